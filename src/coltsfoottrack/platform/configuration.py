"""Converts the operator's configuration to routes and limits."""

from typing import Any

from orjson import JSONDecodeError, dumps, loads

from coltsfoottrack._internal.mesh.customers.validation import InvalidCustomersError
from coltsfoottrack._internal.mesh.exceptions import MeshError
from coltsfoottrack._internal.mesh.model import (
    CallerLimits,
    Route,
    RoutingConfiguration,
    WeightedService,
)
from coltsfoottrack.platform.names import SAFE
from coltsfoottrack.platform.tenants import read_tenants


class UnreadableConfigurationError(MeshError):
    """A configuration does not have the format that the platform documents."""


def decode_configuration(content: bytes) -> RoutingConfiguration:
    """Returns the routes and limits of a configuration. Raises UnreadableConfigurationError."""
    try:
        spec = loads(content)
        entries = spec["routes"]
        priorities = sorted({int(entry.get("priority", 0)) for entry in entries.values()})
        ranks = {priority: rank for rank, priority in enumerate(priorities)}
        routes = []
        for name, entry in entries.items():
            routes.append(_route(name, entry, ranks))
        limits = spec.get("limits") or {}
        default = CallerLimits()
        return RoutingConfiguration(
            version=int(spec["version"]),
            routes=tuple(routes),
            limits=CallerLimits(
                max_header_bytes=int(limits.get("maxHeaderBytes", default.max_header_bytes)),
                max_body_bytes=int(limits.get("maxBodyBytes", default.max_body_bytes)),
                header_timeout_ms=int(limits.get("headerTimeoutMs", default.header_timeout_ms)),
                idle_timeout_ms=int(limits.get("idleTimeoutMs", default.idle_timeout_ms)),
            ),
            content=content,
            customers=read_tenants(spec.get("tenants")),
            services=tuple(spec.get("services") or ()) or None,
        )
    except InvalidCustomersError as error:
        raise UnreadableConfigurationError(str(error)) from error
    except (JSONDecodeError, KeyError, TypeError, ValueError, AttributeError) as error:
        raise UnreadableConfigurationError(f"{type(error).__name__}: {error}") from error


def _route(name: str, entry: dict[str, Any], ranks: dict[int, int]) -> Route:
    parts = entry.get("weightedServices")
    if parts:
        services = tuple(WeightedService(part["service"], int(part["weight"])) for part in parts)
    else:
        services = (WeightedService(entry["service"], 1),)
    priority = int(entry.get("priority", 0))
    return Route(
        name=name,
        host=entry["host"].lower(),
        prefix=entry["pathPrefix"],
        services=services,
        idempotent=entry["type"] == SAFE,
        timeout_ms=int(entry["timeoutMs"]),
        target_latency_ms=int(entry.get("targetLatencyMs", entry["timeoutMs"])),
        max_attempts=int(entry.get("maxAttempts", 1)),
        priority=priority,
        rank=ranks[priority],
        public=entry.get("public") is True,
    )


def encode_spec(spec: Any) -> bytes:
    """Returns a stored configuration as JSON bytes."""
    return dumps(spec)

"""Reads the platform's settings file: lines of the form a.b=value with comma-separated lists."""

from os import environ
from pathlib import Path

from coltsfoottrack._internal.mesh.model import MeshSettings, QuotaBounds, RetryBounds
from coltsfoottrack._internal.mesh.sockets import split_address
from coltsfoottrack.platform.names import (
    ADVERTISED_ADDRESS_VARIABLE,
    METRICS_PORT_VARIABLE,
    SETTINGS_VARIABLE,
)

BYTES_PER_MB = 1024 * 1024
# Descriptors that the platform keeps for files; sockets share the others.
FILE_DESCRIPTORS = 200
MIN_SOCKETS = 64


def parse_fields(text: str) -> dict[str, str]:
    """Returns the fields of a settings file; unknown fields are kept, other lines skipped."""
    fields = {}
    for line in text.splitlines():
        name, separator, value = line.partition("=")
        if separator:
            fields[name.strip()] = value.strip()
    return fields


def read_settings() -> MeshSettings:
    """Reads the settings file that the environment variable names.

    Raises OSError if the file cannot be read, and ValueError if the variable is not set or the
    settings are invalid; the message then holds the missing field or the invalid value.
    """
    path = environ.get(SETTINGS_VARIABLE)
    if not path:
        raise ValueError(f"environment variable {SETTINGS_VARIABLE} is not set")
    return from_fields(parse_fields(Path(path).read_text(encoding="utf-8")))


def from_fields(fields: dict[str, str]) -> MeshSettings:
    """Returns the settings of a node. Raises ValueError if a field is missing or invalid."""
    bounds = parse_fields(fields.get("bounds", "").replace(",", "\n"))
    try:
        metrics_port = environ.get(METRICS_PORT_VARIABLE, "")
        return MeshSettings(
            node=fields["node"],
            failure_domain=fields["zone"],
            service=fields["service"],
            caller_address=fields["listen.outbound"],
            link_address=fields["listen.inbound"],
            advertised_address=environ.get(ADVERTISED_ADDRESS_VARIABLE) or fields["listen.inbound"],
            ready_address=fields["listen.ready"],
            report_address=fields["listen.control"],
            metrics_address=f"{fields['ip']}:{int(metrics_port)}" if metrics_port else "",
            backend_address=fields["appAddr"],
            store_address=fields["platform.address"],
            grace_seconds=float(bounds.get("graceS", "6")),
            retries=RetryBounds(
                ratio=float(bounds.get("retryBudgetRatio", "0.2")),
                slack=float(bounds.get("retryBudgetSlack", "0")),
                window_seconds=float(bounds.get("budgetWindowS", "10")),
            ),
            quota=QuotaBounds(
                window_seconds=float(bounds.get("quotaWindowS", "5")),
                over=float(bounds.get("quotaOver", "0.1")),
                slack=float(bounds.get("quotaSlack", "20")),
            ),
            memory_bytes=int(float(fields.get("limits.memoryMb", "300"))) * BYTES_PER_MB,
            max_sockets=_max_sockets(fields),
            seed_addresses=_seed_addresses(fields),
            first_start=fields.get("bootstrap") == "true",
        )
    except KeyError as error:
        raise ValueError(f"settings: field {error.args[0]} is missing") from error
    except ValueError as error:
        raise ValueError(f"settings: {error}") from error


def _max_sockets(fields: dict[str, str]) -> int:
    """Returns how many sockets the process may have, 0 if the settings do not limit them."""
    descriptors = int(fields.get("limits.maxFds") or "0")
    return max(MIN_SOCKETS, descriptors - FILE_DESCRIPTORS) if descriptors else 0


def _seed_addresses(fields: dict[str, str]) -> tuple[str, ...]:
    """Returns the link addresses of the seeds, which the platform names by their report port.

    All instances use the same ports.
    """
    link_port = split_address(fields["listen.inbound"])[1]
    addresses = []
    for seed in fields.get("seeds", "").split(","):
        host = seed.strip().rpartition(":")[0]
        if host:
            addresses.append(f"{host}:{link_port}")
    return tuple(addresses)

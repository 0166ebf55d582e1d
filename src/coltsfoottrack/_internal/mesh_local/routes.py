"""Reads the routes of a mesh from a YAML file."""

from collections.abc import Sequence

from coltsfoottrack._internal.mesh.customers.validation import (
    InvalidCustomersError,
    check_customers,
)
from coltsfoottrack._internal.mesh.exceptions import MeshError
from coltsfoottrack._internal.mesh.model import (
    CallerLimits,
    Customer,
    Route,
    RoutingConfiguration,
    WeightedService,
)
from coltsfoottrack._internal.schema.mesh_pb2 import (
    CustomerEntry,
    LimitsEntry,
    RouteEntry,
    RoutesFile,
)
from coltsfoottrack._internal.settings.exceptions import SettingsError
from coltsfoottrack._internal.settings.loader import load_text
from coltsfoottrack._internal.settings.rules import number_or_default

ROUTES_FILE = "routes.yaml"


class RoutesError(MeshError):
    """The routes file does not match the schema, or two of its routes conflict."""


class UnreadableRoutesError(RoutesError):
    """The routes file does not match the schema; the message may quote any part of it."""

    def __init__(self, problem: str, line: int) -> None:
        super().__init__(problem)
        self.line = line

    @property
    def log_text(self) -> str:
        """The line of the problem only, as the file holds the keys of customers."""
        return f"{ROUTES_FILE}:{self.line}: does not match the schema"


def decode_routes(content: bytes) -> RoutingConfiguration:
    """Returns the routes and limits in a file's content. Raises RoutesError if it is invalid."""
    try:
        loaded = load_text(content.decode("utf-8"), RoutesFile, ROUTES_FILE)
    except SettingsError as error:
        raise UnreadableRoutesError(str(error), error.line) from error
    except UnicodeDecodeError as error:
        raise UnreadableRoutesError(str(error), 1) from error
    _check_routes(loaded)
    priorities = sorted({int(number_or_default(entry, "priority")) for entry in loaded.routes})
    ranks = {priority: rank for rank, priority in enumerate(priorities)}
    routes = []
    for entry in loaded.routes:
        routes.append(_route(entry, ranks))
    return RoutingConfiguration(
        loaded.version,
        tuple(routes),
        _limits(loaded.limits),
        content,
        _customers(loaded.customers),
    )


def _customers(entries: Sequence[CustomerEntry]) -> tuple[Customer, ...] | None:
    """Returns the customers, None if there are none. Raises RoutesError."""
    if not entries:
        return None
    customers = []
    for entry in entries:
        customers.append(
            Customer(
                name=entry.name,
                keys=tuple(key.encode("utf-8") for key in entry.keys),
                priority=int(number_or_default(entry, "priority")),
                rate_per_second=number_or_default(entry, "rate_per_s"),
                burst=number_or_default(entry, "burst"),
            )
        )
    try:
        check_customers(customers)
    except InvalidCustomersError as error:
        raise RoutesError(str(error)) from error
    return tuple(customers)


def _check_routes(loaded: RoutesFile) -> None:
    names = set()
    matchers = set()
    for entry in loaded.routes:
        matcher = (entry.host.lower(), entry.prefix)
        if entry.name in names:
            raise RoutesError(f"route {entry.name}: the name is given twice")
        if matcher in matchers:
            raise RoutesError(f"route {entry.name}: host and prefix are those of another route")
        if not entry.prefix.startswith("/") or not entry.prefix.endswith("/"):
            raise RoutesError(f"route {entry.name}: prefix must begin and end with a slash")
        names.add(entry.name)
        matchers.add(matcher)


def _route(entry: RouteEntry, ranks: dict[int, int]) -> Route:
    services = []
    for part in entry.services:
        services.append(WeightedService(part.service, int(number_or_default(part, "weight"))))
    priority = int(number_or_default(entry, "priority"))
    target = int(number_or_default(entry, "target_latency_ms"))
    return Route(
        name=entry.name,
        host=entry.host.lower(),
        prefix=entry.prefix,
        services=tuple(services),
        idempotent=entry.idempotent,
        timeout_ms=entry.timeout_ms,
        target_latency_ms=target or entry.timeout_ms,
        max_attempts=int(number_or_default(entry, "max_attempts")),
        priority=priority,
        rank=ranks[priority],
        public=entry.public,
    )


def _limits(entry: LimitsEntry) -> CallerLimits:
    values = []
    for name in CallerLimits._fields:
        values.append(int(number_or_default(entry, name)))
    return CallerLimits._make(values)

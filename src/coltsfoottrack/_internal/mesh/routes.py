"""Finds the route of a request and distributes requests among the services of a route."""

from random import random

from coltsfoottrack._internal.mesh.customers.table import CustomerTable
from coltsfoottrack._internal.mesh.model import Route, RoutingConfiguration, WeightedService


class ServiceChoice:
    """Smooth weighted round robin, which keeps the shares in short sequences as well."""

    def __init__(self, services: tuple[WeightedService, ...]) -> None:
        self.services = services
        self.total = sum(part.weight for part in services)
        # Random start, or the first requests of all nodes would go to the same service.
        self.credits = [random() * part.weight for part in services]

    def next(self) -> str:
        """Returns the service for the next request."""
        best = 0
        for index, part in enumerate(self.services):
            self.credits[index] += part.weight
            if self.credits[index] > self.credits[best]:
                best = index
        self.credits[best] -= self.total
        return self.services[best].service


class RouteTable:
    """The routes of one configuration by host and path prefix."""

    def __init__(
        self, configuration: RoutingConfiguration, previous: "RouteTable | None" = None
    ) -> None:
        self.configuration = configuration
        self.version = configuration.version
        self.hosts: dict[str, dict[str, Route]] = {}
        self.choices: dict[str, ServiceChoice] = {}
        self.top_rank = 0
        for route in configuration.routes:
            self.hosts.setdefault(route.host, {})[route.prefix] = route
            self.top_rank = max(self.top_rank, route.rank)
            if len(route.services) < 2:
                continue
            kept = previous.choices.get(route.name) if previous else None
            if kept is None or kept.services != route.services:
                kept = ServiceChoice(route.services)
            self.choices[route.name] = kept
        # None if the configuration has no customers.
        self.customers: CustomerTable | None = None
        if configuration.customers is not None:
            self.customers = CustomerTable(configuration.customers, configuration.routes)
            self.top_rank = self.customers.ranks.count - 1

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of the path, or None."""
        prefixes = self.hosts.get(host)
        if prefixes is None:
            prefixes = self.hosts.get(host.lower().rsplit(":", 1)[0])
            if prefixes is None:
                return None
        end = path.find("?")
        position = path.rfind("/", 0, end if end >= 0 else len(path))
        while position >= 0:
            route = prefixes.get(path[: position + 1])
            if route is not None:
                return route
            position = path.rfind("/", 0, position)
        return None

    def service_of(self, route: Route) -> str:
        """Returns the service for the next request of a route."""
        choice = self.choices.get(route.name)
        return choice.next() if choice else route.services[0].service

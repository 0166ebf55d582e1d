"""Mean admission levels of routes, as this node's sources have sent them."""

from collections.abc import Iterable
from typing import NamedTuple

from coltsfoottrack._internal.schema.links_pb2 import RouteLevel

# Value of a level of 1.0 in messages between nodes.
LEVEL_UNIT = 1000.0
# Summaries older than this are ignored.
SUMMARY_RETENTION_SECONDS = 1.5
# A summary over fewer members says little about the others.
MIN_SUMMARY_MEMBERS = 3


class Summary(NamedTuple):
    """Mean level of a route over some of the members that serve it, and when it arrived."""

    level: float
    members: int
    called: tuple[str, ...]
    at: float


class RouteSummaries:
    """The summaries that this node's sources have sent."""

    def __init__(self) -> None:
        # Route -> source -> summary.
        self.routes: dict[str, dict[str, Summary]] = {}

    def record(self, source: str, levels: Iterable[RouteLevel], now: float) -> None:
        """Records the summaries of a source."""
        for sent in levels:
            sources = self.routes.setdefault(sent.route, {})
            sources[source] = Summary(
                sent.level / LEVEL_UNIT, sent.members, tuple(sent.called), now
            )

    def level(self, route: str, now: float) -> float | None:
        """Returns the lowest mean level of a route and of those called for it.

        Returns None if no source has heard of enough members of the route.
        """
        if not self.routes:
            return None
        lowest = None
        pending = [route]
        seen = {route}
        while pending:
            name = pending.pop()
            total = 0.0
            members = 0
            for source, summary in list(self.routes.get(name, {}).items()):
                if now - summary.at > SUMMARY_RETENTION_SECONDS:
                    del self.routes[name][source]
                    continue
                total += summary.level * summary.members
                members += summary.members
                for below in summary.called:
                    if below not in seen:
                        seen.add(below)
                        pending.append(below)
            if members < MIN_SUMMARY_MEMBERS:
                continue
            mean = total / members
            if lowest is None or mean < lowest:
                lowest = mean
        if lowest is None:
            self._discard_old(now)
        return lowest

    def _discard_old(self, now: float) -> None:
        for route, sources in list(self.routes.items()):
            if all(now - summary.at > SUMMARY_RETENTION_SECONDS for summary in sources.values()):
                del self.routes[route]

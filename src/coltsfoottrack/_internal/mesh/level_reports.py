"""Reports of admission levels to watchers, and their means over the reporting members.

A node learns the level of a member from its answers, but in a large mesh it seldom hears from the
same member twice, and under overload an answer comes late. So each node reports the levels of the
routes that it serves to its sources, and these pass on the mean over their subscribers.
"""

from collections.abc import Iterable
from typing import NamedTuple

from coltsfoottrack._internal.mesh.parent_requests import ParentRequests
from coltsfoottrack._internal.mesh.route_summaries import LEVEL_UNIT
from coltsfoottrack._internal.mesh.runner import Runner
from coltsfoottrack._internal.schema.links_pb2 import RouteLevel

# Nodes that shed report more often, so that others shed for them soon and admit again soon.
SHEDDING_REPORT_SECONDS = 0.2
REPORT_SECONDS = 1.0
# Reports older than this are dropped.
RETENTION_SECONDS = 2.5
# A route counts as served, and as called for another, for this long after the last time.
ROUTE_SECONDS = 10.0


class Report(NamedTuple):
    """The level of a route at one member, and when it was reported."""

    level: float
    at: float


class LevelReporter:
    """Decides when this node reports the levels of its routes."""

    def __init__(self, runner: Runner, parent_requests: ParentRequests) -> None:
        self.runner = runner
        self.parent_requests = parent_requests
        self.reported_at = 0.0
        self.was_shedding = False

    def due(self, now: float) -> list[RouteLevel]:
        """Returns the levels to be reported now; none if no report is due."""
        own = self.runner.level
        whole_requests = self.runner.whole_requests
        shedding = own.level < own.ranks or whole_requests.sheds()
        frequent = shedding or self.was_shedding
        if now - self.reported_at < (SHEDDING_REPORT_SECONDS if frequent else REPORT_SECONDS):
            return []
        self.reported_at = now
        self.was_shedding = shedding
        levels = []
        for route, at in list(self.runner.served_routes.items()):
            if now - at > ROUTE_SECONDS:
                del self.runner.served_routes[route]
                continue
            called = self.parent_requests.recently_called(route, now)
            level = int(min(own.level, whole_requests.level(route)) * LEVEL_UNIT)
            levels.append(RouteLevel(route=route, level=level, members=1, called=called))
        return levels


class LevelCollector:
    """The reports of this node's subscribers, and their means."""

    def __init__(self) -> None:
        # Route -> node -> report.
        self.reports: dict[str, dict[str, Report]] = {}
        # Route -> called route -> time of the last report of the call.
        self.called: dict[str, dict[str, float]] = {}
        # Number of ranks in the configuration in force; a lower level means that some are shed.
        self.ranks = 1
        # Whether any route was shed in the last summaries.
        self.sheds = False

    def record(self, node: str, levels: Iterable[RouteLevel], now: float) -> None:
        """Records a report."""
        for reported in levels:
            nodes = self.reports.setdefault(reported.route, {})
            nodes[node] = Report(reported.level / LEVEL_UNIT, now)
            for below in reported.called:
                self.called.setdefault(reported.route, {})[below] = now

    def summaries(self, now: float) -> list[RouteLevel]:
        """Returns the mean level of each route, none if all admit everything.

        Drops old reports.
        """
        found = []
        self.sheds = False
        for route, nodes in list(self.reports.items()):
            for node, report in list(nodes.items()):
                if now - report.at > RETENTION_SECONDS:
                    del nodes[node]
            if not nodes:
                del self.reports[route]
                self.called.pop(route, None)
                continue
            mean = sum(report.level for report in nodes.values()) / len(nodes)
            self.sheds = self.sheds or mean < self.ranks
            called = self.called.get(route, {})
            recent = [below for below, at in called.items() if now - at < ROUTE_SECONDS]
            found.append(
                RouteLevel(
                    route=route, level=int(mean * LEVEL_UNIT), members=len(nodes), called=recent
                )
            )
        return found if self.sheds else []

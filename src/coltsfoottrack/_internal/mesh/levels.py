"""Admission levels: which ranks, and what share of the last one, the services of a route can take.

With the ranks 0 and 1, a level of 2.0 admits all requests, 1.6 admits rank 0 and 60 % of rank 1,
and 0.5 admits half of rank 0 and only MIN_ADMITTED_SHARE of rank 1.
"""

from math import ceil

from coltsfoottrack._internal.mesh.clock import current_time
from coltsfoottrack._internal.mesh.route_summaries import RouteSummaries

INTERVAL_SECONDS = 0.1
# Target fraction of the slots in use by arriving requests.
TARGET_LOAD = 0.95
# Load added for each second that a new request would wait in the queue.
LOAD_PER_DELAY_SECOND = 5.0
# Change of the level in one interval for an excess load of 1.0. A change of admission reaches the
# arrivals at the called services up to 0.4 s later; a higher gain would oscillate.
CHANGE_PER_LOAD = 0.1
MAX_FALL_PER_INTERVAL = 0.1
MAX_RISE_PER_INTERVAL = 0.05
# Weight of the newest interval in the moving average of arrivals.
ARRIVALS_WEIGHT = 0.4
# Arrivals per second below which the moving average counts as zero.
SETTLED_RATE = 0.01
# A rank is shed only after all less important ranks have been shed for this long: shedding lowers
# the load only once the requests admitted earlier have ended.
RANK_HOLD_SECONDS = 2.0
# A level belongs to a load. A backend server that had nothing to do for this long sheds nothing:
# while callers were refused, the share that is admitted at any level would have kept it at work.
IDLE_SECONDS = 1.0
# Share of each rank that is admitted at any level, so that no rank starves.
MIN_ADMITTED_SHARE = 0.12
# A reported level that was not confirmed for this long starts to rise.
REPORT_FRESH_SECONDS = 0.5
STALE_RISE_PER_SECOND = 0.5
# Reported levels older than this are dropped.
REPORT_RETENTION_SECONDS = 3.0
# Number of reports in one log line.
MAX_DESCRIBED = 4


class OwnLevel:
    """Admission level of one backend server, computed from arrivals and queue length.

    Queue length alone is too late a signal: it grows as long as too much arrives and shrinks as
    long as too much is shed.
    """

    def __init__(self) -> None:
        self.ranks = 1
        self.level = 1.0
        self.updated = current_time()
        self.arrived = 0
        # Moving average of arrivals per second.
        self.rate = 0.0
        # Load of each slot by arriving and queued requests; 1.0 is full.
        self.load = 0.0
        # Since when nothing has arrived, waited or run.
        self.idle_since: float | None = None
        # When the least important rank still admitted fell to MIN_ADMITTED_SHARE.
        self.at_floor_since: float | None = None

    def set_ranks(self, ranks: int) -> None:
        """Sets the number of ranks; a change resets the level to admit everything."""
        if ranks != self.ranks:
            self.ranks = ranks
            self.level = float(ranks)

    def is_settled(self) -> bool:
        """Returns whether updates without arrivals no longer change the level."""
        return not self.arrived and self.rate < SETTLED_RATE and self.level >= self.ranks

    def resume(self, now: float) -> None:
        """Starts a new interval after a time without updates, in which nothing arrived.

        It starts half an interval ago, as does that of a node without a break on average.
        """
        self.updated = max(self.updated, now - INTERVAL_SECONDS / 2.0)

    def count_arrival(self) -> None:
        """Counts a request that was started or queued."""
        self.arrived += 1

    def update(
        self, seconds_per_request: float, waiting: int, now: float, running: int = 0
    ) -> None:
        """Adjusts the level once per interval.

        ``seconds_per_request`` is the time between requests at which the backend server is full.
        """
        elapsed = now - self.updated
        if elapsed < INTERVAL_SECONDS:
            return
        self.updated = now
        if self._is_idle(waiting + running, now):
            self.level = float(self.ranks)
        self.rate += ARRIVALS_WEIGHT * (self.arrived / elapsed - self.rate)
        self.arrived = 0
        load = self.rate * seconds_per_request
        load += LOAD_PER_DELAY_SECOND * waiting * seconds_per_request
        self.load = load
        change = CHANGE_PER_LOAD * (load - TARGET_LOAD)
        if change > 0.0:
            self._lower(min(MAX_FALL_PER_INTERVAL, change), now)
            return
        self.at_floor_since = None
        self.level = min(float(self.ranks), self.level + min(MAX_RISE_PER_INTERVAL, -change))

    def _is_idle(self, requests: int, now: float) -> bool:
        if self.arrived or requests:
            self.idle_since = None
            return False
        if self.idle_since is None:
            self.idle_since = now
        return now - self.idle_since >= IDLE_SECONDS

    def _lower(self, amount: float, now: float) -> None:
        last_admitted_rank = ceil(self.level) - 1
        floor = last_admitted_rank + MIN_ADMITTED_SHARE
        if self.level - amount >= floor:
            self.level -= amount
            return
        if self.at_floor_since is None:
            self.at_floor_since = now
        if last_admitted_rank == 0 or now - self.at_floor_since < RANK_HOLD_SECONDS:
            self.level = floor
            return
        self.level = float(last_admitted_rank)
        self.at_floor_since = None


class ReportedLevels:
    """Levels of routes, as reported by the nodes that serve them."""

    def __init__(self) -> None:
        # Route -> node -> level and time of the report.
        self.reports: dict[str, dict[str, tuple[float, float]]] = {}
        # Means over many members, from the sources of this node.
        self.summaries = RouteSummaries()

    def record(self, route: str, node: str, level: float) -> None:
        """Records the level that a reply carried."""
        nodes = self.reports.get(route)
        if nodes is None:
            nodes = self.reports[route] = {}
        nodes[node] = (level, current_time())

    def refresh(self, route: str, node: str, level: float) -> None:
        """Replaces the report of a node that has reported before."""
        if node in self.reports.get(route, ()):
            self.record(route, node, level)

    def level(self, route: str, ranks: int, now: float) -> float:
        """Returns the mean level of a route over the nodes that serve it; drops old reports.

        The summaries of this node's sources go first, as they cover more members and come sooner.
        """
        summarized = self.summaries.level(route, now)
        if summarized is not None:
            return min(float(ranks), summarized)
        nodes = self.reports.get(route)
        if not nodes:
            return float(ranks)
        total = 0.0
        count = 0
        for node, (level, at) in list(nodes.items()):
            age = now - at
            if age > REPORT_RETENTION_SECONDS:
                del nodes[node]
                continue
            if age > REPORT_FRESH_SECONDS:
                level += (age - REPORT_FRESH_SECONDS) * STALE_RISE_PER_SECOND
            total += min(float(ranks), level)
            count += 1
        return total / count if count else float(ranks)

    def describe(self, route: str, now: float) -> dict[str, str]:
        """Returns level and age of the summaries and newest reports about a route, for the log."""
        described = {}
        for source, summary in self.summaries.routes.get(route, {}).items():
            age_ms = int((now - summary.at) * 1000.0)
            described[f"{summary.members} members by {source}"] = (
                f"{summary.level:.2f}, {age_ms} ms old"
            )
        newest = sorted(self.reports.get(route, {}).items(), key=lambda item: -item[1][1])
        for node, (level, at) in newest[:MAX_DESCRIBED]:
            described[node] = f"{level:.2f}, {int((now - at) * 1000.0)} ms old"
        return described


def admitted_share(level: float, rank: int) -> float:
    """Returns the share of the requests of a rank that a level admits."""
    return min(1.0, max(MIN_ADMITTED_SHARE, level - rank))


class Admission:
    """Admits a share of the requests of each route, spread evenly over the arrivals."""

    def __init__(self) -> None:
        # By route and rank, as the ranks of one route have different shares.
        self.credits: dict[tuple[str, int], float] = {}

    def admit(self, route: str, rank: int, level: float) -> bool:
        """Returns whether to admit the next request of a route and rank; counts it."""
        share = admitted_share(level, rank)
        if share >= 1.0:
            return True
        key = (route, rank)
        credit = self.credits.get(key, 0.5) + share
        if credit >= 1.0:
            self.credits[key] = credit - 1.0
            return True
        self.credits[key] = credit
        return False

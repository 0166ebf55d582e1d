"""Admission levels: how much of which rank the services on the way of a route can take.

A level of 2.0 with the ranks 0 and 1 admits all requests, 1.6 admits rank 0 and six tenths of
rank 1, 0.5 half of rank 0 and none of rank 1 beyond the floor.
"""

from math import ceil

from coltsfoottrack._internal.mesh.clock import current_time

# A level of 1.0 in messages between nodes.
LEVEL_UNIT = 1000.0
INTERVAL_SECONDS = 0.1
# Part of the slots that the arriving requests may take.
TARGET_LOAD = 0.95
# Each second that a new request would wait counts as this much load.
LOAD_PER_DELAY_SECOND = 1.0
# Change of the level in one interval for an excess of all slots. What is admitted shows in the
# arrivals at the services below up to 0.4 s later; a quicker change would swing.
CHANGE_PER_LOAD = 0.1
MAX_FALL_PER_INTERVAL = 0.1
MAX_RISE_PER_INTERVAL = 0.05
# Weight of the newest interval in the arrivals.
ARRIVALS_WEIGHT = 0.4
# A rank is shed only after all below it have been shed for this long: what was shed shows in the
# load only after the requests admitted before have ended.
RANK_HOLD_SECONDS = 2.0
# Part of a rank that is admitted at any level, so that no kind of request starves.
MIN_ADMITTED_SHARE = 0.12
# A level that was not confirmed for this long rises again.
REPORT_FRESH_SECONDS = 0.5
STALE_RISE_PER_SECOND = 0.5
# Nodes that have not answered for this long say nothing of the level of a route.
REPORT_RETENTION_SECONDS = 3.0


class OwnLevel:
    """Level of one backend server, from the work that arrives and the queue that is left of it.

    The queue alone is too late a signal: it grows for as long as too much arrives, and goes on
    shrinking for as long as too much is shed.
    """

    def __init__(self) -> None:
        self.ranks = 1
        self.level = 1.0
        self.updated = current_time()
        self.arrived = 0
        # Arrivals in a second.
        self.rate = 0.0
        # Arriving work and waiting time for each slot, 1.0 is full.
        self.load = 0.0
        # Since when the lowest rank that is admitted at all has been at its floor.
        self.at_floor_since: float | None = None

    def set_ranks(self, ranks: int) -> None:
        """Takes the number of ranks from the configuration in force."""
        if ranks != self.ranks:
            self.ranks = ranks
            self.level = float(ranks)

    def count_arrival(self) -> None:
        """Counts a request that runs or waits."""
        self.arrived += 1

    def update(self, run_seconds: float, slots: int, waiting: int, now: float) -> None:
        """Adjusts the level; ``run_seconds`` is the mean time of a run."""
        elapsed = now - self.updated
        if elapsed < INTERVAL_SECONDS:
            return
        self.updated = now
        self.rate += ARRIVALS_WEIGHT * (self.arrived / elapsed - self.rate)
        self.arrived = 0
        load = self.rate * run_seconds / slots
        load += LOAD_PER_DELAY_SECOND * waiting * run_seconds / slots
        self.load = load
        change = CHANGE_PER_LOAD * (load - TARGET_LOAD)
        if change > 0.0:
            self._fall(min(MAX_FALL_PER_INTERVAL, change), now)
            return
        self.at_floor_since = None
        self.level = min(float(self.ranks), self.level + min(MAX_RISE_PER_INTERVAL, -change))

    def _fall(self, amount: float, now: float) -> None:
        marginal = ceil(self.level) - 1
        floor = marginal + MIN_ADMITTED_SHARE
        if self.level - amount >= floor:
            self.level -= amount
            return
        if self.at_floor_since is None:
            self.at_floor_since = now
        if marginal == 0 or now - self.at_floor_since < RANK_HOLD_SECONDS:
            self.level = floor
            return
        self.level = float(marginal)
        self.at_floor_since = None


class ReportedLevels:
    """Levels of routes, as the nodes of their services reported them."""

    def __init__(self) -> None:
        # Route, then node: level and time of the report.
        self.reports: dict[str, dict[str, tuple[float, float]]] = {}

    def record(self, route: str, node: str, level: float) -> None:
        """Takes the level of an answer."""
        nodes = self.reports.get(route)
        if nodes is None:
            nodes = self.reports[route] = {}
        nodes[node] = (level, current_time())

    def level(self, route: str, ranks: int, now: float) -> float:
        """Returns the mean level of a route over the nodes that serve it."""
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
        """Returns level and age of each report on a route, for the log."""
        described = {}
        for node, (level, at) in self.reports.get(route, {}).items():
            described[node] = f"{level:.2f}, {int((now - at) * 1000.0)} ms old"
        return described


class Admission:
    """Spreads admitted requests evenly over those that arrive."""

    def __init__(self) -> None:
        self.credits: dict[str, float] = {}

    def admit(self, route: str, rank: int, level: float) -> bool:
        """Tells whether the next request of a route is admitted."""
        share = min(1.0, max(MIN_ADMITTED_SHARE, level - rank))
        if share >= 1.0:
            return True
        credit = self.credits.get(route, 0.5) + share
        if credit >= 1.0:
            self.credits[route] = credit - 1.0
            return True
        self.credits[route] = credit
        return False

"""Admission levels: how much of which rank the services on the way of a route can take.

A level of 2.0 with the ranks 0 and 1 admits all requests, 1.6 admits rank 0 and six tenths of
rank 1, 0.5 half of rank 0 and none of rank 1 beyond the floor.
"""

from math import ceil

from coltsfoottrack._internal.mesh.clock import now

INTERVAL_SECONDS = 0.1
# Running and waiting requests for each slot above which the level falls, and below which it rises.
FULL_LOAD = 1.05
FREE_LOAD = 0.9
RISE_PER_INTERVAL = 0.03
FALL_PER_LOAD = 0.15
MAX_FALL_PER_INTERVAL = 0.1
# A rank is shed only after all below it have been shed for this long: what was shed shows in the
# load only after the requests admitted before have ended.
HOLD_SECONDS = 1.0
# Part of a rank that is admitted at any level, so that no kind of request starves.
FLOOR = 0.12
# A level that was not confirmed for this long rises again.
FRESH_SECONDS = 0.5
STALE_RISE_PER_SECOND = 0.5
# Nodes that have not answered for this long say nothing of the level of a route.
FORGET_SECONDS = 3.0


class OwnLevel:
    """Level of one backend server, from the load that its node measures."""

    def __init__(self) -> None:
        self.ranks = 1
        self.level = 1.0
        self.updated = now()
        self.sum = 0.0
        self.samples = 0
        # Since when the lowest rank that is admitted at all has been at its floor.
        self.at_floor_since: float | None = None

    def set_ranks(self, ranks: int) -> None:
        """Takes the number of ranks from the configuration in force."""
        if ranks != self.ranks:
            self.ranks = ranks
            self.level = float(ranks)

    def update(self, load: float, moment: float) -> None:
        """Takes a sample of the running and waiting requests for each slot."""
        self.sum += load
        self.samples += 1
        if moment - self.updated < INTERVAL_SECONDS:
            return
        mean = self.sum / self.samples
        self.updated = moment
        self.sum = 0.0
        self.samples = 0
        if mean > FULL_LOAD:
            self._fall(min(MAX_FALL_PER_INTERVAL, FALL_PER_LOAD * (mean - FULL_LOAD)), moment)
        else:
            self.at_floor_since = None
            if mean < FREE_LOAD:
                self.level = min(float(self.ranks), self.level + RISE_PER_INTERVAL)

    def _fall(self, amount: float, moment: float) -> None:
        marginal = ceil(self.level) - 1
        floor = marginal + FLOOR
        if self.level - amount >= floor:
            self.level -= amount
            return
        if self.at_floor_since is None:
            self.at_floor_since = moment
        if marginal == 0 or moment - self.at_floor_since < HOLD_SECONDS:
            self.level = floor
            return
        self.level = float(marginal)
        self.at_floor_since = None


class ReportedLevels:
    """Levels of routes, as the nodes of their services reported them."""

    def __init__(self) -> None:
        # Route, then node: level and time of the report.
        self.reports: dict[str, dict[str, tuple[float, float]]] = {}

    def report(self, route: str, node: str, level: float) -> None:
        """Takes the level of an answer."""
        nodes = self.reports.get(route)
        if nodes is None:
            nodes = self.reports[route] = {}
        nodes[node] = (level, now())

    def level(self, route: str, ranks: int, moment: float) -> float:
        """Returns the mean level of a route over the nodes that serve it."""
        nodes = self.reports.get(route)
        if not nodes:
            return float(ranks)
        total = 0.0
        count = 0
        for node, (level, at) in list(nodes.items()):
            age = moment - at
            if age > FORGET_SECONDS:
                del nodes[node]
                continue
            if age > FRESH_SECONDS:
                level += (age - FRESH_SECONDS) * STALE_RISE_PER_SECOND
            total += min(float(ranks), level)
            count += 1
        return total / count if count else float(ranks)


class Admission:
    """Spreads admitted requests evenly over those that arrive."""

    def __init__(self) -> None:
        self.credits: dict[str, float] = {}

    def admit(self, route: str, rank: int, level: float) -> bool:
        """Tells whether the next request of a route is admitted."""
        share = min(1.0, max(FLOOR, level - rank))
        if share >= 1.0:
            return True
        credit = self.credits.get(route, 0.5) + share
        if credit >= 1.0:
            self.credits[route] = credit - 1.0
            return True
        self.credits[route] = credit
        return False

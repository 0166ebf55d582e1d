"""Estimate of demand by priority, and the admission level at which it fits a rate."""

from math import ceil, exp

from coltsfoottrack._internal.calls.identifiers import RANK_BUCKETS

PRIORITIES = 3
# Ranks are even at the entry and odd at deeper hops. Levels are always even, so every layer
# decides alike about the calls of one request.
RANKS_PER_PRIORITY = RANK_BUCKETS * 2
SMOOTHING_SECONDS = 0.6
# Callers refuse calls below the level without sending them. The demand of a priority of which less
# than this share is admitted cannot be measured, so the last estimate decays instead.
UNMEASURED_SHARE = 1.0 / 16.0
UNMEASURED_DECAY_SECONDS = 10.0
IDLE_DECAY_FACTOR = 0.5


def lowest_rank(priority: int) -> int:
    """Returns the lowest rank of a priority."""
    return priority * RANKS_PER_PRIORITY


def admitted_share(priority: int, level: int) -> float:
    """Returns the share, 0 to 1, of a priority's requests with a rank at or above a level."""
    above = lowest_rank(priority + 1) - level
    return min(1.0, max(0.0, above / RANKS_PER_PRIORITY))


class DemandEstimate:
    """Arrivals per second of each priority, including calls that callers refuse early.

    Buckets are a hash of the request identifier, so the requests of one priority are spread
    evenly over them, and the total is extrapolated from the part above the level. The histogram
    by rank follows Zhou et al., "Overload Control for Scaling WeChat Microservices" (SoCC 2018).
    """

    def __init__(self) -> None:
        self.rates = [0.0] * PRIORITIES
        self.above = [0] * PRIORITIES
        self.below = [0] * PRIORITIES

    def record(self, priority: int, admitted: bool) -> None:
        """Counts an arrival; ``admitted`` is true if its rank is at or above the level."""
        if admitted:
            self.above[priority] += 1
        else:
            self.below[priority] += 1

    def close_window(self, seconds: float, level: int) -> None:
        """Updates the rates from the counts of a window in which ``level`` was in force."""
        weight = 1.0 - exp(-seconds / SMOOTHING_SECONDS)
        for priority in range(PRIORITIES):
            share = admitted_share(priority, level)
            arrived = self.above[priority] + self.below[priority]
            if share < UNMEASURED_SHARE:
                remembered = self.rates[priority] * exp(-seconds / UNMEASURED_DECAY_SECONDS)
                self.rates[priority] = max(remembered, weight * arrived / seconds)
                continue
            arrivals = max(arrived, self.above[priority] / share)
            self.rates[priority] += weight * (arrivals / seconds - self.rates[priority])
        self.above = [0] * PRIORITIES
        self.below = [0] * PRIORITIES

    def decay_refused(self, level: int) -> None:
        """Halves the estimates of refused priorities, after a window in which slots stayed free."""
        for priority in range(PRIORITIES):
            if admitted_share(priority, level) < 1.0:
                self.rates[priority] *= IDLE_DECAY_FACTOR

    def level_for(self, rate: float, minimum_share: float) -> int:
        """Returns the level at which the admitted demand fits a rate in requests per second.

        While only the lowest priority is refused, ``minimum_share`` of the rate is reserved for it.
        """
        remaining = max(0.0, rate)
        for priority in reversed(range(PRIORITIES)):
            demand = self.rates[priority]
            if demand <= remaining:
                remaining -= demand
                continue
            if priority == 0:
                remaining = max(remaining, rate * minimum_share)
            refused_buckets = ceil((1.0 - min(1.0, remaining / demand)) * RANK_BUCKETS)
            return lowest_rank(priority) + refused_buckets * 2
        return 0

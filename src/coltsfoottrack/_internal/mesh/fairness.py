"""Max-min fairness between the customers of one rank, when the entry must refuse a share of it.

Each customer may have an equal part of what is admitted; what a customer does not ask for is
divided among the others. So those that ask for more than their part are refused first.
"""

from collections.abc import Iterable

from coltsfoottrack._internal.mesh.levels import Admission, admitted_share

# Weight of the past is halved in this time.
HALF_LIFE_SECONDS = 2.0
# Parts are computed again after this time, or when the share has changed by this much.
INTERVAL_SECONDS = 0.25
SHARE_CHANGE = 0.05
# No customer is admitted with a smaller share than this fraction of the share of all. The limit is
# a quarter; the rest is a margin for errors of the measured demand.
MIN_FRACTION_OF_SHARE = 0.3
# Bisection steps for the equal part.
BISECTIONS = 24
# A customer whose demand has decayed to this is forgotten.
FORGOTTEN_DEMAND = 0.05


class CustomerDemand:
    """Recent requests of one customer, and the share of them that is admitted."""

    __slots__ = ("credit", "demand", "share")

    def __init__(self, share: float) -> None:
        self.demand = 0.0
        self.share = share
        self.credit = 0.5


class FairShares:
    """Customers that send requests of one route and rank."""

    def __init__(self) -> None:
        self.customers: dict[str, CustomerDemand] = {}
        self.updated = 0.0
        # Share of all for which the shares of the customers were computed.
        self.share = 1.0
        # Demand up to which a customer is admitted.
        self.part = 0.0

    def admit(self, customer: str, share: float, now: float) -> bool:
        """Returns whether to admit the next request of a customer; counts it."""
        self._update(share, now)
        known = self.customers.get(customer)
        if known is None:
            # Its demand is not known yet, so it is admitted like all together at least.
            first_share = max(share, _customer_share(1.0, self.part, share))
            known = self.customers[customer] = CustomerDemand(first_share)
        known.demand += 1.0
        if share >= 1.0:
            return True
        known.credit += known.share
        if known.credit < 1.0:
            return False
        known.credit -= 1.0
        return True

    def _update(self, share: float, now: float) -> None:
        elapsed = now - self.updated
        if elapsed < INTERVAL_SECONDS and abs(share - self.share) < SHARE_CHANGE:
            return
        decay = 0.5 ** (elapsed / HALF_LIFE_SECONDS)
        self.updated = now
        self.share = share
        for name, known in list(self.customers.items()):
            known.demand *= decay
            if known.demand < FORGOTTEN_DEMAND:
                del self.customers[name]
        if share >= 1.0:
            return
        self.part = equal_part([known.demand for known in self.customers.values()], share)
        for known in self.customers.values():
            known.share = _customer_share(known.demand, self.part, share)


class FairAdmission:
    """Admits a share of the requests of each route and rank, divided fairly among customers.

    Demand is what this entry has seen itself. Requests without a customer are admitted with the
    share of all, each route on its own.
    """

    def __init__(self) -> None:
        self.by_rank: dict[tuple[str, int], FairShares] = {}
        # Admits requests without a customer.
        self.plain = Admission()

    def admit(self, route: str, rank: int, level: float, customer: str, now: float) -> bool:
        """Returns whether to admit the next request of a route; counts it.

        ``customer`` is empty for requests without a customer, ``level`` the level of the route.
        """
        if not customer:
            return self.plain.admit(route, rank, level)
        share = admitted_share(level, rank)
        known = self.by_rank.get((route, rank))
        if known is None:
            known = self.by_rank[(route, rank)] = FairShares()
        return known.admit(customer, share, now)


def equal_part(demands: Iterable[float], share: float) -> float:
    """Returns the demand up to which each customer is admitted, so that ``share`` of all is."""
    wanted = list(demands)
    total = share * sum(wanted)
    low, high = 0.0, max(wanted, default=0.0)
    for _ in range(BISECTIONS):
        middle = (low + high) / 2.0
        if sum(demand * _customer_share(demand, middle, share) for demand in wanted) < total:
            low = middle
        else:
            high = middle
    return high


def _customer_share(demand: float, part: float, share: float) -> float:
    """Returns the share of a customer's requests that is admitted."""
    if demand <= part:
        return 1.0
    return max(MIN_FRACTION_OF_SHARE * share, part / demand)

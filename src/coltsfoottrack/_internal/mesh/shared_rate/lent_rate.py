"""Token bucket of one shared rate at its lender, and what each borrower may use of it.

While tokens are plentiful, each borrower may use a part of the level, and the level falls as they
report. While they are scarce, the whole level is divided among the borrowers in proportion to what
they need. Tokens used beyond the level make it negative and are thereby repaid.
"""

from math import floor
from random import random

from coltsfoottrack._internal.mesh.model import QuotaBounds
from coltsfoottrack._internal.mesh.shared_rate.terms import PLENTIFUL_RATIO, RateTerms

# A borrower that has not reported for this long no longer follows this lender.
FOLLOW_SECONDS = 0.8
# Tokens lent to a borrower count as used if it has not reported for this long.
RECLAIM_SECONDS = 1.0
# Records of borrowers are kept for this long after their last report.
RETENTION_SECONDS = 5.0
# Fraction of the nodes that must report to a lender before it lends the full rate. It is above one
# half because nodes that know different members may choose different lenders.
MAJORITY = 0.6
# With fewer, it lends this fraction of its borrowers' equal share of the rate, counting at most
# MAX_MINORITY of all nodes.
MINORITY_RATIO = 0.25
MAX_MINORITY = 1.0 / 3.0
# Part of the plentiful tokens that one borrower may use before its next report.
PLENTIFUL_SHARE = 0.75
# A grant covers what a borrower needs for this long.
NEED_SECONDS = 0.4
# Weight of the newest report in the demand of a borrower when it falls; a rise applies at once.
NEED_WEIGHT = 0.5
# Demand is sparse if there is less than one request per borrower in this time.
SPARSE_SECONDS = 1.0
# A lower demand, in tokens per second, counts as none.
MIN_DEMAND = 0.1
# A single request after a short interval does not count as a high demand.
MIN_INTERVAL_SECONDS = 0.2
# Weight of the newest interval in the moving average of the total demand.
TOTAL_WEIGHT = 0.3


class Borrower:
    """What a lender knows about one node that uses a rate."""

    def __init__(self, epoch: int, used: int, now: float) -> None:
        self.epoch = epoch
        # Count of used tokens up to which the level was charged.
        self.charged = used
        # Tokens lent and not yet reported as used; only while tokens are scarce.
        self.lent = 0
        # Tokens per second that the borrower asks for.
        self.demand = 0.0
        self.heard_at = now

    @property
    def need(self) -> float:
        """Tokens that the borrower needs until its next report."""
        return self.demand * NEED_SECONDS + 1.0 if self.demand > 0.0 else 0.0


class LentRate:
    """One shared rate at its lender."""

    def __init__(self, terms: RateTerms, bounds: QuotaBounds, now: float) -> None:
        self.terms = terms
        self.bounds = bounds
        self.capacity = terms.capacity(bounds)
        self.scarce_below = terms.scarce_below(bounds)
        # Nothing is known of the tokens that were used before, so the bucket starts empty.
        self.level = 0.0
        self.scarce = True
        self.updated_at = now
        self.borrowers: dict[str, Borrower] = {}
        # Sums over all borrowers.
        self.total_lent = 0
        self.total_need = 0.0
        # Tokens per second that all borrowers ask for, and tokens asked for since the last sweep.
        self.demand = 0.0
        self.wanted = 0
        self.swept_at = now
        # Whether the bucket was nearly full since most nodes follow this lender.
        self.was_plentiful = False
        # Part of the nodes that follow this lender.
        self.followers = 0.0
        # Since when most nodes follow it, None if they do not.
        self.followed_since: float | None = None

    def set_terms(self, terms: RateTerms) -> None:
        """Applies changed terms; the level keeps its relation to the capacity."""
        before = self.capacity
        self.terms = terms
        self.capacity = terms.capacity(self.bounds)
        self.scarce_below = terms.scarce_below(self.bounds)
        self.level *= self.capacity / before

    def is_sole(self, now: float) -> bool:
        """Returns whether a majority has reported here for FOLLOW_SECONDS without a break."""
        return self.followed_since is not None and now - self.followed_since >= FOLLOW_SECONDS

    def knows_use(self) -> bool:
        """Returns whether an empty bucket shows that the rate is used up.

        The bucket of a new lender is empty because it does not know what was used before.
        """
        if not self.is_sole(self.updated_at):
            return False
        followed = self.updated_at - self.followed_since
        return self.was_plentiful or followed >= self.bounds.window_seconds

    def refill(self, now: float) -> None:
        """Adds the tokens that were earned since the last call."""
        elapsed = max(0.0, now - self.updated_at)
        self.updated_at = now
        rate = self.terms.earned_per_second(self.bounds)
        if self.is_sole(now):
            self.level = min(self.capacity, self.level + elapsed * rate)
            return
        rate *= MINORITY_RATIO * min(MAX_MINORITY, self.followers)
        self.level = min(max(1.0, self.level), self.level + elapsed * rate)

    def report(
        self, node: str, epoch: int, used: int, wanted: int, seconds: float | None, now: float
    ) -> Borrower:
        """Records a report: the count of used tokens and the tokens asked for in some seconds.

        The seconds are None if they are not known.
        """
        borrower = self.borrowers.get(node)
        if borrower is None:
            borrower = self.borrowers[node] = Borrower(epoch, used, now)
        elif borrower.epoch != epoch:
            # A new process counts from 0.
            borrower.epoch = epoch
            borrower.charged = 0
        self.level -= used - borrower.charged
        borrower.charged = used
        borrower.heard_at = now
        self.total_lent -= borrower.lent
        borrower.lent = 0
        self.wanted += wanted
        if seconds is not None:
            self._set_demand(borrower, wanted / max(MIN_INTERVAL_SECONDS, seconds))
        return borrower

    def _set_demand(self, borrower: Borrower, demand: float) -> None:
        if demand < borrower.demand:
            demand = borrower.demand + NEED_WEIGHT * (demand - borrower.demand)
            demand = demand if demand > MIN_DEMAND else 0.0
        self.total_need -= borrower.need
        borrower.demand = demand
        self.total_need += borrower.need

    def update_scarcity(self) -> bool:
        """Updates whether tokens are scarce; returns whether this has changed."""
        before = self.scarce
        if self.level < self.scarce_below:
            self.scarce = True
        elif self.demand > self.terms.rate_per_second and not self._is_sparse():
            return False
        elif self.level > self.scarce_below + PLENTIFUL_RATIO * self.capacity:
            self.scarce = False
            self.was_plentiful = self.is_sole(self.updated_at)
        return before != self.scarce

    def _is_sparse(self) -> bool:
        """Returns whether few borrowers will ask for a token before their next report.

        Tokens that are lent to each of them would then mostly expire unused.
        """
        return self.demand * SPARSE_SECONDS < len(self.borrowers)

    def limit(self, borrower: Borrower) -> int:
        """Returns up to which count of used tokens a borrower may go."""
        if not self.scarce:
            depth = self.level - self.scarce_below
            needed = min(borrower.need, self.level)
            return borrower.charged + max(1, int(PLENTIFUL_SHARE * max(depth, needed)))
        self.total_lent -= borrower.lent
        available = self.level - self.total_lent
        borrower.lent = self._grant(borrower, available)
        self.total_lent += borrower.lent
        return borrower.charged + borrower.lent

    def _grant(self, borrower: Borrower, available: float) -> int:
        need = borrower.need
        if available < 1.0 or need <= 0.0:
            return 0
        share = min(need, max(0.0, self.level) * need / max(need, self.total_need))
        # A share of less than a token is granted as a whole one, that much more seldom.
        return max(0, min(floor(share + random()), int(available)))

    def sweep(self, nodes: int, now: float) -> None:
        """Reclaims lent tokens, forgets old borrowers and counts the followers."""
        elapsed = now - self.swept_at
        if elapsed > 0.0:
            self.demand += TOTAL_WEIGHT * (self.wanted / elapsed - self.demand)
            self.wanted = 0
            self.swept_at = now
        followers = 0
        for node, borrower in list(self.borrowers.items()):
            silent = now - borrower.heard_at
            if silent <= FOLLOW_SECONDS:
                followers += 1
                continue
            if silent > RECLAIM_SECONDS:
                self._reclaim(borrower)
            if silent > RETENTION_SECONDS:
                del self.borrowers[node]
        self.followers = followers / max(1, nodes)
        if self.followers < MAJORITY:
            self.followed_since = None
        elif self.followed_since is None:
            self.followed_since = now
            self.was_plentiful = False
            self.level = min(0.0, self.level)

    def _reclaim(self, borrower: Borrower) -> None:
        """Counts what was lent to a silent borrower as used; its next report corrects this."""
        self.level -= borrower.lent
        borrower.charged += borrower.lent
        self.total_lent -= borrower.lent
        borrower.lent = 0
        self.total_need -= borrower.need
        borrower.demand = 0.0

    def suspend(self) -> None:
        """Requires a new majority before the full rate is lent, as others may have lent."""
        self.followed_since = None

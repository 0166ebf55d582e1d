"""Share of one runner in the retry budget of its service."""

from collections import deque
from typing import NamedTuple

from coltsfoottrack._internal.mesh.model import RetryBounds

BUCKET_SECONDS = 0.5


class BudgetUse(NamedTuple):
    """Fractions of the limit that a node uses, and how long it may save them."""

    # Fraction of the ratio; each first send earns this much of a retry.
    ratio: float
    # Fraction of the slack, shared by the nodes of the service.
    slack: float
    # Windows after which an earned retry expires. In one window, all nodes together use at most
    # what was earned in it and this long before it: ratio * (1 + lifetime) must not exceed 1.
    lifetime: float


# Calls made for retried runs also count as retries at the services that they reach, so a service
# whose runs make calls keeps most of its budget unused.
CALLING_USE = BudgetUse(ratio=0.3, slack=0.25, lifetime=0.5)
LEAF_USE = BudgetUse(ratio=0.8, slack=0.6, lifetime=0.25)
# Fraction of the saved retries below which only the more important half of the ranks, and only the
# most important one, may retry.
HALF_RANKS_BELOW = 0.5
TOP_RANK_BELOW = 0.25
# A rank counts as present for this many windows after its last request.
PRESENT_WINDOWS = 1.0


class RetryBudget:
    """Counts first sends and retries of one node.

    Only its own node sends to a backend server, so the service stays within its limit if each node
    stays within its share. A retry is paid for by a first send to the same node, once: when load
    moves between nodes, a share computed from each node's best window would grant the same
    requests to several nodes.
    """

    def __init__(self, bounds: RetryBounds) -> None:
        self.bounds = bounds
        self.use = CALLING_USE
        # Start of a bucket, the first sends in it, and the retries that they have earned and that
        # are not used yet. Oldest first.
        self.earned: deque[list[float]] = deque()
        # Start of a bucket, the part of the slack that was used in it, and an unused value.
        self.slack_used: deque[list[float]] = deque()
        # Time of the last request by rank.
        self.ranks: dict[int, float] = {}

    def set_leaf(self, is_leaf: bool) -> None:
        """Sets whether the runs of this node make no calls."""
        self.use = LEAF_USE if is_leaf else CALLING_USE

    def count_first(self, now: float, rank: int = 0) -> None:
        """Counts a first send."""
        self.ranks[rank] = now
        if not self.earned or now - self.earned[-1][0] >= BUCKET_SECONDS:
            self._discard_old(now)
        bucket = _bucket_at(self.earned, now)
        bucket[1] += 1.0
        bucket[2] += self.bounds.ratio * self.use.ratio

    def charge(self, now: float) -> None:
        """Counts a retry that cannot be refused: a call made for a retried request."""
        self._discard_old(now)
        self._use_one(now)

    def try_take(self, now: float, members: int, rank: int = 0) -> bool:
        """Counts a retry and returns True if the budget allows it, else returns False.

        ``members`` is the number of nodes that share the service's slack.
        """
        self._discard_old(now)
        self.ranks[rank] = now
        bounds, use = self.bounds, self.use
        slack = bounds.slack * use.slack / max(1, members)
        left = slack
        full = slack
        for _, first_sends, unused in self.earned:
            left += unused
            full += first_sends * bounds.ratio * use.ratio
        for _, used, _ in self.slack_used:
            left -= used
        # Bounds that were lowered also apply to retries earned before.
        left = min(left, full)
        if left < 1.0 or not self._may_take(rank, left / full):
            return False
        self._use_one(now)
        return True

    def _may_take(self, rank: int, fraction_left: float) -> bool:
        """Returns whether a rank may retry while this fraction of the saved retries is left."""
        if fraction_left >= HALF_RANKS_BELOW:
            return True
        more_important = sum(1 for present in self.ranks if present < rank)
        if fraction_left < TOP_RANK_BELOW:
            return more_important == 0
        return 2 * more_important < len(self.ranks)

    def _use_one(self, now: float) -> None:
        """Uses one retry, the oldest earned one first, and the slack for what is missing."""
        missing = 1.0
        for bucket in self.earned:
            part = min(missing, bucket[2])
            bucket[2] -= part
            missing -= part
            if missing <= 0.0:
                return
        _bucket_at(self.slack_used, now)[1] += missing

    def _discard_old(self, now: float) -> None:
        window = self.bounds.window_seconds
        # Earned retries expire when the oldest part of their bucket does, and used slack counts
        # until the newest part of its bucket is too old, so that the limit holds in any window.
        while self.earned and now - self.earned[0][0] >= window * self.use.lifetime:
            self.earned.popleft()
        while self.slack_used and now - self.slack_used[0][0] >= window + BUCKET_SECONDS:
            self.slack_used.popleft()
        if len(self.ranks) > 1:
            oldest = now - window * PRESENT_WINDOWS
            for rank, at in list(self.ranks.items()):
                if at < oldest:
                    del self.ranks[rank]


def _bucket_at(buckets: deque[list[float]], now: float) -> list[float]:
    """Returns the newest bucket, after adding one if its time has come."""
    start = now - now % BUCKET_SECONDS
    if not buckets or buckets[-1][0] != start:
        buckets.append([start, 0.0, 0.0])
    return buckets[-1]

"""Share of one runner in the budget of repeated sends to its service."""

from collections import deque

from coltsfoottrack._internal.mesh.model import RetryBounds

# Part of the bound that is used: calls of repeated runs count at the services below as well,
# where no node can tell them from others for certain.
USED_RATIO = 0.3
USED_SLACK = 0.25
BUCKET_SECONDS = 0.5


class RetryBudget:
    """Counts first and repeated sends of one node in a sliding window.

    Only the node beside a backend server sends to it, so the sums over the nodes of a service keep
    the bound of the service if each node keeps its share of it.
    """

    def __init__(self, bounds: RetryBounds) -> None:
        self.bounds = bounds
        # Start of a bucket, first sends and retries in it.
        self.buckets: deque[list[float]] = deque()
        self.first_sends = 0
        self.retries = 0

    def _bucket_at(self, now: float) -> list[float]:
        start = now - now % BUCKET_SECONDS
        while self.buckets and self.buckets[0][0] <= now - self.bounds.window_seconds:
            _, first_sends, retries = self.buckets.popleft()
            self.first_sends -= first_sends
            self.retries -= retries
        if not self.buckets or self.buckets[-1][0] != start:
            self.buckets.append([start, 0, 0])
        return self.buckets[-1]

    def count_first(self, now: float) -> None:
        """Counts a first send."""
        self._bucket_at(now)[1] += 1
        self.first_sends += 1

    def charge(self, now: float) -> None:
        """Counts a repeat that cannot be refused: a call of a repeated run."""
        self._bucket_at(now)[2] += 1
        self.retries += 1

    def try_take(self, now: float, members: int) -> bool:
        """Takes a repeat from the budget; False if none is left.

        ``members`` is the number of nodes that share the service's slack.
        """
        bucket = self._bucket_at(now)
        allowed = self.first_sends * self.bounds.ratio * USED_RATIO
        allowed += self.bounds.slack * USED_SLACK / max(1, members)
        if self.retries + 1 > allowed:
            return False
        bucket[2] += 1
        self.retries += 1
        return True

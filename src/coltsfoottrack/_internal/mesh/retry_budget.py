"""Share of one runner in the retry budget of its service."""

from collections import deque

from coltsfoottrack._internal.mesh.model import RetryBounds

# Fractions of the limit that are used: calls made for retried requests also count as retries at
# the services that they reach, where no node can reliably tell them from other calls.
USED_RATIO = 0.3
USED_SLACK = 0.25
BUCKET_SECONDS = 0.5


class RetryBudget:
    """Counts first sends and retries of one node in a sliding window.

    Only its own node sends to a backend server, so the service stays within its limit if each node
    stays within its share.
    """

    def __init__(self, bounds: RetryBounds) -> None:
        self.bounds = bounds
        # Start of a bucket, and the first sends and retries in it.
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
        """Counts a retry that cannot be refused: a call made for a retried request."""
        self._bucket_at(now)[2] += 1
        self.retries += 1

    def try_take(self, now: float, members: int) -> bool:
        """Counts a retry and returns True if the budget allows it, else returns False.

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

"""Bounds on retries: a budget that travels with the request, and a ratio per destination."""

from collections import deque
from time import monotonic
from typing import Self

RATIO_WINDOW_SECONDS = 10.0
RATIO_RESERVE = 10


class AttemptBudget:
    """The number of retries left for a call and for all calls below it.

    Parallel calls split the budget, so that the retries of a whole request never exceed what it
    set out with, however deep the call graph is.
    """

    def __init__(self, retries: int) -> None:
        self.retries = max(0, retries)

    def spend(self) -> bool:
        """Takes one retry; returns False if none is left."""
        if self.retries == 0:
            return False
        self.retries -= 1
        return True

    def split(self, parts: int) -> list[Self]:
        """Moves the whole budget into the given number of shares, as even as possible."""
        share, rest = divmod(self.retries, parts)
        self.retries = 0
        shares = []
        for index in range(parts):
            shares.append(type(self)(share + (1 if index < rest else 0)))
        return shares

    def restore(self, retries: int) -> None:
        """Adds what an answer returned of a share."""
        self.retries += max(0, retries)


class RetryRatio:
    """Limits retries to a share of the first attempts of the last 10 s, plus a reserve of 10."""

    def __init__(self, ratio: float) -> None:
        self.ratio = ratio
        self.first_attempts: deque[float] = deque()
        self.retries: deque[float] = deque()

    def record_first_attempt(self) -> None:
        """Counts a first attempt."""
        now = monotonic()
        self.first_attempts.append(now)
        self._forget(now)

    def allow_retry(self) -> bool:
        """Counts a retry and returns True, or returns False if the share is used up."""
        now = monotonic()
        self._forget(now)
        if len(self.retries) >= RATIO_RESERVE + self.ratio * len(self.first_attempts):
            return False
        self.retries.append(now)
        return True

    def _forget(self, now: float) -> None:
        oldest = now - RATIO_WINDOW_SECONDS
        for times in (self.first_attempts, self.retries):
            while times and times[0] < oldest:
                times.popleft()

"""Pauses after failed calls to the store, and log lines when it is lost and regained."""

from random import uniform

from coltsfoottrack._internal.mesh.decisions import DecisionLog
from coltsfoottrack._internal.mesh.exceptions import StoreError

# Random, so that the nodes do not all call the store at once.
MIN_PAUSE_SECONDS = 0.2
MAX_PAUSE_SECONDS = 0.6
# Short enough to follow the store again soon after an outage.
LONGEST_PAUSE_SECONDS = 1.5


class Backoff:
    """Exponential pauses between failed calls for one purpose."""

    def __init__(self, purpose: str, log: DecisionLog) -> None:
        self.purpose = purpose
        self.log = log
        self.failures = 0

    def record_failure(self, error: StoreError) -> float:
        """Logs the first of several failures; returns the pause in seconds."""
        if not self.failures:
            self.log.decision("store_lost", what=self.purpose, problem=str(error))
        pause = uniform(MIN_PAUSE_SECONDS, MAX_PAUSE_SECONDS) * 2.0 ** min(self.failures, 10)
        self.failures += 1
        return min(pause, uniform(0.7, 1.0) * LONGEST_PAUSE_SECONDS)

    def record_success(self) -> None:
        """Logs the end of a series of failures."""
        if self.failures:
            self.log.decision("store_regained", what=self.purpose, failures=self.failures)
        self.failures = 0

"""Concurrency limit of a backend server, learned from the node's own measures."""

from time import monotonic

INITIAL_LIMIT = 4
MINIMUM_LIMIT = 1
WINDOW_SECONDS = 0.25
SHED_FACTOR = 0.9


class ConcurrencyLimiter:
    """Additive increase while the limit is used, decrease when the backend server sheds."""

    def __init__(self, initial_limit: int = INITIAL_LIMIT, maximum: int = 1000) -> None:
        self.limit = float(initial_limit)
        self.maximum = maximum
        self.in_flight = 0
        self.window_start = monotonic()
        self.window_full = False
        self.window_shed = False

    def has_room(self) -> bool:
        """Tells whether one more request may run."""
        return self.in_flight < int(self.limit)

    def start(self) -> None:
        """Counts a dispatch."""
        self.in_flight += 1
        if not self.has_room():
            self.window_full = True

    def finish(self, shed: bool) -> None:
        """Counts the end of a dispatch; ``shed`` if the backend server turned it away."""
        self.in_flight -= 1
        if shed and not self.window_shed:
            self.window_shed = True
            self.limit = max(MINIMUM_LIMIT, self.in_flight * SHED_FACTOR)
        if monotonic() - self.window_start < WINDOW_SECONDS:
            return
        if self.window_full and not self.window_shed:
            self.limit = min(self.maximum, self.limit + 1)
        self.window_start = monotonic()
        self.window_full = False
        self.window_shed = False

"""Addresses that lately took no connection or had no backend server."""

from collections.abc import Callable
from time import monotonic

AVOIDANCE_SECONDS = 1.0


class UnhealthyAddresses:
    """Addresses to avoid for a second; after it, a call tries them again."""

    def __init__(self, clock: Callable[[], float] = monotonic) -> None:
        self.clock = clock
        self.until: dict[str, float] = {}

    def record(self, address: str, unhealthy: bool) -> None:
        """Remembers how a copy sent to an address fared."""
        if unhealthy:
            self.until[address] = self.clock() + AVOIDANCE_SECONDS
        else:
            self.until.pop(address, None)

    def is_unhealthy(self, address: str) -> bool:
        """Tells whether an address is to be avoided."""
        return self.until.get(address, 0.0) > self.clock()

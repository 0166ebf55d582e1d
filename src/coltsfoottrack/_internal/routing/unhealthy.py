"""Addresses whose node recently refused connections or had no backend server."""

from collections.abc import Callable
from time import monotonic

AVOIDANCE_SECONDS = 1.0


class UnhealthyAddresses:
    """Addresses that are avoided for 1 s after a failure, and then tried again."""

    def __init__(self, clock: Callable[[], float] = monotonic) -> None:
        self.clock = clock
        self.avoid_until: dict[str, float] = {}

    def record(self, address: str, unhealthy: bool) -> None:
        """Records whether the result of a copy shows that an address is unhealthy."""
        if unhealthy:
            self.avoid_until[address] = self.clock() + AVOIDANCE_SECONDS
        else:
            self.avoid_until.pop(address, None)

    def is_unhealthy(self, address: str) -> bool:
        """Returns whether an address is to be avoided."""
        return self.avoid_until.get(address, 0.0) > self.clock()

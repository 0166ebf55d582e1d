"""Addresses that lately took no connection or had no backend server."""

from collections.abc import Callable
from time import monotonic

AVOIDED_SECONDS = 1.0


class IllAddresses:
    """Addresses to avoid for a second; after it, a call tries them again."""

    def __init__(self, clock: Callable[[], float] = monotonic) -> None:
        self.clock = clock
        self.until: dict[str, float] = {}

    def record(self, address: str, ill: bool) -> None:
        """Remembers how a copy sent to an address fared."""
        if ill:
            self.until[address] = self.clock() + AVOIDED_SECONDS
        else:
            self.until.pop(address, None)

    def is_ill(self, address: str) -> bool:
        """Tells whether an address is to be avoided."""
        return self.until.get(address, 0.0) > self.clock()

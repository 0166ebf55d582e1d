"""Hybrid logical clock that orders events of processes whose wall clocks differ."""

from time import time

LOGICAL_BITS = 16
# A reading further ahead than this comes from a faulty or hostile sender. Adopting it would move
# all later events of the fleet into the future.
MAX_AHEAD_MS = 600_000


class HybridClock:
    """A clock that follows the wall clock and never returns less than a reading it has observed.

    A reading is one integer: wall-clock milliseconds shifted left by 16 bits, plus a counter, after
    Kulkarni et al., "Logical Physical Clocks" (OPODIS 2014). Readings more than 10 minutes ahead
    of the local wall clock are ignored.
    """

    def __init__(self) -> None:
        self.last = 0

    def tick(self) -> int:
        """Returns a reading greater than all earlier ones."""
        self.last = max(self.last + 1, int(time() * 1000) << LOGICAL_BITS)
        return self.last

    def observe(self, reading: int) -> None:
        """Advances to a reading received with a message, so that later events sort after it."""
        if reading <= self.last:
            return
        if reading >> LOGICAL_BITS <= int(time() * 1000) + MAX_AHEAD_MS:
            self.last = reading

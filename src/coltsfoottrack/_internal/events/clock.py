"""Hybrid logical clock: orders events across processes whose wall clocks differ."""

from time import time

LOGICAL_BITS = 16


class HybridClock:
    """A clock that follows the wall clock and never runs behind a reading it has seen.

    A reading is one integer, wall milliseconds shifted left by 16 bits plus a counter, after
    Kulkarni et al., "Logical Physical Clocks" (OPODIS 2014).
    """

    def __init__(self) -> None:
        self.last = 0

    def tick(self) -> int:
        """Returns a reading greater than all before it."""
        self.last = max(self.last + 1, int(time() * 1000) << LOGICAL_BITS)
        return self.last

    def observe(self, reading: int) -> None:
        """Takes over a reading that came with a message, so that later events sort after it."""
        if reading.bit_length() <= 63:
            self.last = max(self.last, reading)

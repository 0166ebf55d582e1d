"""Monotonic wall clock of one process."""

from time import monotonic, time


class WallClock:
    """Wall clock time at the start of the process, advanced by the monotonic clock.

    If it followed a backward step of the system clock, an expired key would be valid again.
    """

    def __init__(self) -> None:
        self.offset_seconds = time() - monotonic()

    def now_ms(self) -> int:
        """Returns the milliseconds since the epoch."""
        return int((self.offset_seconds + monotonic()) * 1000.0)

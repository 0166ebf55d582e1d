"""Wall clock of one process that never steps back."""

from time import monotonic, time


class WallClock:
    """Wall time at the start of the process, advanced by the monotonic clock.

    A step of the system's wall clock would make an expired key valid again.
    """

    def __init__(self) -> None:
        self.offset_seconds = time() - monotonic()

    def now_ms(self) -> int:
        """Returns milliseconds since the epoch."""
        return int((self.offset_seconds + monotonic()) * 1000.0)

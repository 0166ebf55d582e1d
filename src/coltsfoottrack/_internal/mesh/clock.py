"""Clocks: one for deadlines, one to compare with times that other processes state."""

from time import CLOCK_BOOTTIME, clock_gettime, time


def current_time() -> float:
    """Returns seconds since boot, including time for which the instance was suspended.

    The monotonic clock stops while an instance is suspended, so a deadline would pass later here
    than at the caller.
    """
    return clock_gettime(CLOCK_BOOTTIME)


def unix_time_ms() -> int:
    """Returns the time of day in Unix milliseconds; it may differ between instances, and jump."""
    return int(time() * 1000.0)

"""Time for deadlines."""

from time import CLOCK_BOOTTIME, clock_gettime


def current_time() -> float:
    """Returns seconds since boot, also those for which the instance was suspended.

    The monotonic clock stands still while an instance is suspended, and a deadline would then
    pass later than at the caller.
    """
    return clock_gettime(CLOCK_BOOTTIME)

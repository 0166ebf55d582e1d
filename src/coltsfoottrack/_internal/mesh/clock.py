"""Clock for deadlines."""

from time import CLOCK_BOOTTIME, clock_gettime


def current_time() -> float:
    """Returns seconds since boot, including time for which the instance was suspended.

    The monotonic clock stops while an instance is suspended, so a deadline would pass later here
    than at the caller.
    """
    return clock_gettime(CLOCK_BOOTTIME)

"""Resource usage of this process."""

from pathlib import Path
from resource import getpagesize

STATM = Path("/proc/self/statm")


def resident_bytes() -> int:
    """Returns the resident memory of this process in bytes, 0 where it cannot be read."""
    try:
        return int(STATM.read_text(encoding="ascii").split()[1]) * getpagesize()
    except (OSError, ValueError, IndexError):
        return 0

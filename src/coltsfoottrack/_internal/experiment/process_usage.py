"""Processor time and memory of a process, read from procfs."""

from os import sysconf
from pathlib import Path

TICKS_PER_SECOND = sysconf("SC_CLK_TCK")
PAGE_BYTES = sysconf("SC_PAGE_SIZE")


def cpu_seconds(pid: int) -> float:
    """Returns the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text(encoding="utf-8").rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def run_seconds(pid: int) -> float:
    """Returns the time for which the main thread of a process has run, in seconds.

    The kernel counts it in nanoseconds, cpu_seconds in ticks of the clock.
    """
    fields = Path(f"/proc/{pid}/schedstat").read_text(encoding="utf-8").split()
    return int(fields[0]) / 1e9


def resident_bytes(pid: int) -> int:
    """Returns the resident memory of a process in bytes."""
    fields = Path(f"/proc/{pid}/statm").read_text(encoding="utf-8").split()
    return int(fields[1]) * PAGE_BYTES

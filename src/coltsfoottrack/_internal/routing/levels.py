"""Admission levels reported by answers."""

from collections.abc import Callable
from time import monotonic

LEVEL_TTL_SECONDS = 5.0
# Time after the last report at which one call is sent as a probe. When all levels expired after
# 0.5 s instead, the calls sent until the next answer were wasted runs: 264 of 3150 requests.
PROBE_INTERVAL_SECONDS = 0.25
# Reports older than the newest by more than this are left out of the mean. With all reports of the
# last 5 s in it, single probes took longer than 5 s to lower the mean after a surge.
FRESH_SECONDS = 0.4


class ReportedLevels:
    """Reported levels by destination and source, with probes that refresh them.

    ``probe_interval_seconds`` bounds how long recovery goes undetected for refused ranks.
    """

    def __init__(
        self,
        probe_interval_seconds: float = PROBE_INTERVAL_SECONDS,
        clock: Callable[[], float] = monotonic,
    ) -> None:
        self.probe_interval_seconds = probe_interval_seconds
        self.clock = clock
        self.levels: dict[str, dict[str, tuple[int, float]]] = {}
        self.probe_at: dict[str, float] = {}

    def record(self, destination: str, source: str, level: int) -> None:
        """Records a level that a node or backend server reported for a destination."""
        now = self.clock()
        self.levels.setdefault(destination, {})[source] = (level, now)
        self.probe_at[destination] = now + self.probe_interval_seconds

    def level(self, destination: str) -> int:
        """Returns the mean level of a destination, 0 without a recent report; always even."""
        sources = self.levels.get(destination)
        if not sources:
            return 0
        now = self.clock()
        for source, (_, reported_at) in list(sources.items()):
            if now - reported_at >= LEVEL_TTL_SECONDS:
                del sources[source]
        if not sources:
            return 0
        newest = max(reported_at for _, reported_at in sources.values())
        fresh = []
        for level, reported_at in sources.values():
            if newest - reported_at <= FRESH_SECONDS:
                fresh.append(level)
        return sum(fresh) // len(fresh) // 2 * 2

    def refuses(self, destination: str, rank: int) -> bool:
        """Returns whether a call of this rank should be refused without sending it.

        Lets one call through as a probe when there was no report for the probe interval.
        """
        if rank >= self.level(destination):
            return False
        now = self.clock()
        if now < self.probe_at.get(destination, 0.0):
            return True
        self.probe_at[destination] = now + self.probe_interval_seconds
        return False

"""Admission levels that answers reported."""

from collections.abc import Callable
from time import monotonic

LEVEL_TTL_SECONDS = 5.0
# Time after the last report at which one call is let through to ask again. With every level
# forgotten after 0.5 s, the calls sent until the next answer ran for nothing: 264 of 3150 requests.
PROBE_INTERVAL_SECONDS = 0.25
# Reports older than the newest by more than this are left out of the mean. With all of 5 s in it,
# single calls that ask again took longer than 5 s to bring the mean down after a surge.
FRESH_SECONDS = 0.4


class ReportedLevels:
    """Levels by destination and source, and the calls that may ask whether they still hold.

    ``ask_again_seconds`` bounds how long a class that is refused here stays unaware of recovery.
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
        """Remembers a level that a node or backend server reported for a destination."""
        now = self.clock()
        self.levels.setdefault(destination, {})[source] = (level, now)
        self.probe_at[destination] = now + self.probe_interval_seconds

    def level(self, destination: str) -> int:
        """Returns the mean level of a destination, 0 if none was reported lately; always even."""
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
        """Tells whether a call of this rank should be refused without sending it.

        One call is let through when no report has come for a while.
        """
        if rank >= self.level(destination):
            return False
        now = self.clock()
        if now < self.probe_at.get(destination, 0.0):
            return True
        self.probe_at[destination] = now + self.probe_interval_seconds
        return False

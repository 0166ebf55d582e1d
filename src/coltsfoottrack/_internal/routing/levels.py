"""Admission levels that answers reported, remembered for a short time."""

from collections.abc import Callable
from time import monotonic

# Bounds how long a class that is refused early everywhere stays unaware of recovery.
MEMORY_SECONDS = 0.5
PROBE_INTERVAL = 64
RANKS_PER_PRIORITY = 256


class ReportedLevels:
    """Levels by destination and source; one refusal in 64 is let through to notice recovery."""

    def __init__(self, clock: Callable[[], float] = monotonic) -> None:
        self.clock = clock
        self.levels: dict[str, dict[str, tuple[int, float]]] = {}
        self.refusals = 0

    def record(self, destination: str, source: str, level: int) -> None:
        """Remembers a level that a node or backend server reported for a destination."""
        sources = self.levels.setdefault(destination, {})
        sources[source] = (level, self.clock() + MEMORY_SECONDS)

    def level(self, destination: str) -> int:
        """Returns the mean level of a destination, 0 if none was reported lately; always even."""
        sources = self.levels.get(destination)
        if not sources:
            return 0
        now = self.clock()
        fresh = []
        for source, (level, expires_at) in list(sources.items()):
            if expires_at <= now:
                del sources[source]
                continue
            fresh.append(level)
        if not fresh:
            return 0
        return sum(fresh) // len(fresh) // 2 * 2

    def level_of(self, destination: str, source: str) -> int:
        """Returns the level that one source reported lately, 0 if none."""
        level, expires_at = self.levels.get(destination, {}).get(source, (0, 0.0))
        return level if expires_at > self.clock() else 0

    def refuses(self, destination: str, rank: int) -> bool:
        """Tells whether a call of this rank should be refused without sending it.

        A probe is let through only in the priority in which the level lies, so that it never
        runs while a higher priority is refused.
        """
        level = self.level(destination)
        if rank >= level:
            return False
        if rank // RANKS_PER_PRIORITY != max(0, level - 2) // RANKS_PER_PRIORITY:
            return True
        self.refusals += 1
        return self.refusals % PROBE_INTERVAL != 0

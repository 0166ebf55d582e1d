"""Admission levels that answers reported."""

from collections.abc import Callable
from time import monotonic

MEMORY_SECONDS = 5.0
# Time after the last report at which one call is let through to ask again. With every level
# forgotten after 0.5 s, the calls sent until the next answer ran for nothing: 264 of 3150 requests.
ASK_AGAIN_SECONDS = 0.25


class ReportedLevels:
    """Levels by destination and source, and the calls that may ask whether they still hold.

    ``ask_again_seconds`` bounds how long a class that is refused here stays unaware of recovery.
    """

    def __init__(
        self,
        ask_again_seconds: float = ASK_AGAIN_SECONDS,
        clock: Callable[[], float] = monotonic,
    ) -> None:
        self.ask_again_seconds = ask_again_seconds
        self.clock = clock
        self.levels: dict[str, dict[str, tuple[int, float]]] = {}
        self.ask_at: dict[str, float] = {}

    def record(self, destination: str, source: str, level: int) -> None:
        """Remembers a level that a node or backend server reported for a destination."""
        now = self.clock()
        self.levels.setdefault(destination, {})[source] = (level, now + MEMORY_SECONDS)
        self.ask_at[destination] = now + self.ask_again_seconds

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

    def refuses(self, destination: str, rank: int) -> bool:
        """Tells whether a call of this rank should be refused without sending it.

        One call is let through when no report has come for a while.
        """
        if rank >= self.level(destination):
            return False
        now = self.clock()
        if now < self.ask_at.get(destination, 0.0):
            return True
        self.ask_at[destination] = now + self.ask_again_seconds
        return False

"""Admission levels that answers reported, remembered for a short time."""

from time import monotonic

MEMORY_SECONDS = 1.0
PROBE_INTERVAL = 64


class ReportedLevels:
    """Levels by destination; one refusal in 64 is let through to notice recovery."""

    def __init__(self) -> None:
        self.levels: dict[str, tuple[int, float]] = {}
        self.refusals = 0

    def record(self, destination: str, level: int) -> None:
        """Remembers a level that an answer reported."""
        self.levels[destination] = (level, monotonic() + MEMORY_SECONDS)

    def level(self, destination: str) -> int:
        """Returns the level of a destination, 0 if none was reported lately."""
        level, expires_at = self.levels.get(destination, (0, 0.0))
        return level if expires_at > monotonic() else 0

    def refuses(self, destination: str, rank: int) -> bool:
        """Tells whether a call of this rank should be refused without sending it."""
        if rank >= self.level(destination):
            return False
        self.refusals += 1
        return self.refusals % PROBE_INTERVAL != 0

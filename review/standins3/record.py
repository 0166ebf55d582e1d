"""Record of a run: what was sent, answered and run, with the seconds since its start."""

from pathlib import Path
from time import monotonic


class Record:
    """Lines of one run, written to a file at once."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.started = monotonic()

    def now(self) -> float:
        """Returns the seconds since the start of the run."""
        return monotonic() - self.started

    def note(self, who: str, what: str) -> float:
        """Writes one line and returns its time."""
        at = self.now()
        self.file.write(f"{at:8.3f}  {who:<12} {what}\n")
        self.file.flush()
        return at

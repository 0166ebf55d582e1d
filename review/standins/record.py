"""The record of one run: what was sent, answered and run, with the time of each."""

import sys
from pathlib import Path
from time import monotonic


class Record:
    """Writes lines to ``record.txt`` in the folder of a case, and to standard output."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.started = monotonic()

    def write(self, text: str) -> None:
        """Writes one line with the seconds since the start of the run."""
        line = f"{monotonic() - self.started:8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()

    def say(self, text: str) -> None:
        """Writes one line to the record and to standard output."""
        self.write(text)
        print(text)
        sys.stdout.flush()

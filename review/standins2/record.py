"""What was sent, answered and run, in the order in which it happened."""

from pathlib import Path
from time import monotonic
from typing import NamedTuple


class Run(NamedTuple):
    """One run of a request at an upstream."""

    backend: str
    service: str
    began: float
    caller_service: str


class Record:
    """All events of one play; times are in seconds from its start."""

    def __init__(self) -> None:
        self.started = monotonic()
        self.lines: list[str] = []
        self.runs: dict[str, list[Run]] = {}
        self.ends: dict[str, list[tuple[float, int]]] = {}

    def now(self) -> float:
        """Returns the time."""
        return monotonic() - self.started

    def add(self, text: str) -> None:
        """Adds a line."""
        self.lines.append(f"{self.now():8.3f} {text}")

    def run_begins(self, request_id: str, backend: object, request: object) -> None:
        """Notes that an upstream begins to work on a request."""
        caller = request.headers.get("caller-service", "")
        run = Run(backend.identifier, backend.service, self.now(), caller)
        self.runs.setdefault(request_id, []).append(run)
        self.add(f"run     {request_id} begins at {backend.identifier} ({backend.service})")

    def run_ends(self, request_id: str, backend: object, status: int) -> None:
        """Notes the end of a run; the status is 0 if it has no answer."""
        self.ends.setdefault(request_id, []).append((self.now(), status))
        self.add(f"run     {request_id} ends at {backend.identifier}: {status or 'no answer'}")

    def write(self, path: Path) -> None:
        """Writes all lines to a file."""
        path.write_text("\n".join(self.lines) + "\n", encoding="utf-8")

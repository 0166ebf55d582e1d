"""Requests that were running when a backend server crashed."""

from collections import OrderedDict
from collections.abc import Callable
from time import monotonic
from typing import NamedTuple

MAX_SUSPECTS = 10_000
QUARANTINE_CRASHES = 2
# Cap, since the count must fit the header that carries it and a higher one adds no information.
MAX_CRASHES = 100


class SuspectEntry(NamedTuple):
    """Crashes of one suspect, and the time of the newest one."""

    crashes: int
    crashed_at: float


class SuspectReport(NamedTuple):
    """A suspect as reported to other nodes; the age is that of its newest crash."""

    digest: bytes
    crashes: int
    age_ms: int


class SuspectTable:
    """Crash counts by digest of service, operation and body.

    After one crash a request is on probation and runs as the only suspect of its node. After two
    it is quarantined. An entry expires when the quarantine time has passed since its newest crash.
    The table holds at most 10,000 entries; the least recently updated one is evicted first.
    """

    def __init__(
        self, quarantine_ms: Callable[[], float], clock: Callable[[], float] = monotonic
    ) -> None:
        self.quarantine_ms = quarantine_ms
        self.clock = clock
        self.entries: OrderedDict[bytes, SuspectEntry] = OrderedDict()

    def crashes(self, digest: bytes) -> int:
        """Returns the crash count of a request, 0 if it is not a suspect."""
        entry = self.entries.get(digest)
        if entry is None:
            return 0
        if self.clock() - entry.crashed_at >= self.quarantine_ms() / 1000.0:
            del self.entries[digest]
            return 0
        return entry.crashes

    def record_crash(self, digest: bytes, known_crashes: int = 0) -> int:
        """Counts a crash during a run and returns the new count.

        ``known_crashes`` is the count that was known when the run started. A run that started
        before the request was a suspect adds nothing to a crash that was reported meanwhile: the
        run was not on probation, so a concurrent request is as likely to be the cause.
        """
        crashes = min(MAX_CRASHES, max(self.crashes(digest), known_crashes + 1))
        self._put(digest, SuspectEntry(crashes, self.clock()))
        return crashes

    def merge(self, report: SuspectReport) -> None:
        """Merges the report of another node; the greater crash count wins."""
        age_seconds = report.age_ms / 1000.0
        if age_seconds >= self.quarantine_ms() / 1000.0:
            return
        if not report.crashes or report.crashes <= self.crashes(report.digest):
            return
        crashes = min(MAX_CRASHES, report.crashes)
        self._put(report.digest, SuspectEntry(crashes, self.clock() - age_seconds))

    def clear(self, digest: bytes) -> bool:
        """Removes a suspect on probation that completed; returns whether there was one.

        A quarantined request stays, since the completed copy may have started before the crashes.
        """
        if not 0 < self.crashes(digest) < QUARANTINE_CRASHES:
            return False
        del self.entries[digest]
        return True

    def report(self, digest: bytes) -> SuspectReport | None:
        """Returns the report for other nodes, None if the request is not a suspect."""
        crashes = self.crashes(digest)
        if not crashes:
            return None
        age_ms = int((self.clock() - self.entries[digest].crashed_at) * 1000.0)
        return SuspectReport(digest, crashes, age_ms)

    def quarantined(self) -> int:
        """Returns the number of quarantined requests."""
        count = 0
        for digest in list(self.entries):
            if self.crashes(digest) >= QUARANTINE_CRASHES:
                count += 1
        return count

    def _put(self, digest: bytes, entry: SuspectEntry) -> None:
        self.entries[digest] = entry
        self.entries.move_to_end(digest)
        if len(self.entries) > MAX_SUSPECTS:
            self.entries.popitem(last=False)

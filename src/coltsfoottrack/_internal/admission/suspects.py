"""Requests that were running when a backend server crashed."""

from collections import OrderedDict
from collections.abc import Callable
from time import monotonic
from typing import NamedTuple

MAX_SUSPECTS = 10_000
QUARANTINE_CRASHES = 2
# A count above this says nothing more and must fit the header that carries it.
MAX_CRASHES = 100


class SuspectEntry(NamedTuple):
    """What is known of one suspect."""

    crashes: int
    crashed_at: float


class SuspectReport(NamedTuple):
    """A suspect as it is told to other nodes; the age is that of its newest crash."""

    digest: bytes
    crashes: int
    age_ms: int


class SuspectTable:
    """Crashes by digest of service, operation and body.

    With one crash a request is on probation and runs as the only suspect of its node. With two
    it is quarantined. An entry expires a quarantine time after its newest crash. Bounded to
    10,000 entries; the one whose crash was learned of longest ago is dropped first.
    """

    def __init__(
        self, quarantine_ms: Callable[[], float], clock: Callable[[], float] = monotonic
    ) -> None:
        self.quarantine_ms = quarantine_ms
        self.clock = clock
        self.entries: OrderedDict[bytes, SuspectEntry] = OrderedDict()

    def crashes(self, digest: bytes) -> int:
        """Returns the number of crashes of a request, 0 if it is not suspected."""
        entry = self.entries.get(digest)
        if entry is None:
            return 0
        if self.clock() - entry.crashed_at >= self.quarantine_ms() / 1000.0:
            del self.entries[digest]
            return 0
        return entry.crashes

    def record_crash(self, digest: bytes, known_crashes: int = 0) -> int:
        """Counts a crash during a run and returns the new number.

        ``known_crashes`` is what was known when the run started. A run that started before the
        request was suspected adds nothing to a crash learned of meanwhile: it was not on
        probation, and another request that ran beside it is as likely to be the cause.
        """
        crashes = min(MAX_CRASHES, max(self.crashes(digest), known_crashes + 1))
        self._put(digest, SuspectEntry(crashes, self.clock()))
        return crashes

    def merge(self, report: SuspectReport) -> None:
        """Takes over what another node reports; the greater number of crashes wins."""
        age_seconds = report.age_ms / 1000.0
        if age_seconds >= self.quarantine_ms() / 1000.0:
            return
        if not report.crashes or report.crashes <= self.crashes(report.digest):
            return
        crashes = min(MAX_CRASHES, report.crashes)
        self._put(report.digest, SuspectEntry(crashes, self.clock() - age_seconds))

    def clear(self, digest: bytes) -> bool:
        """Drops a suspect that ran to its end; returns whether there was one on probation.

        A quarantined request stays: a copy that started before the crashes proves nothing.
        """
        if not 0 < self.crashes(digest) < QUARANTINE_CRASHES:
            return False
        del self.entries[digest]
        return True

    def report(self, digest: bytes) -> SuspectReport | None:
        """Returns what to tell other nodes about a suspect, None if it is not one."""
        crashes = self.crashes(digest)
        if not crashes:
            return None
        age_ms = int((self.clock() - self.entries[digest].crashed_at) * 1000.0)
        return SuspectReport(digest, crashes, age_ms)

    def quarantined(self) -> int:
        """Counts the requests that are refused now."""
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

"""Finds requests that crash the backend server and quarantines them."""

from collections.abc import Callable
from typing import NamedTuple

from coltsfoottrack._internal.admission.suspects import QUARANTINE_CRASHES, SuspectTable
from coltsfoottrack._internal.mesh.backend_state import Lifetime
from coltsfoottrack._internal.mesh.clock import current_time
from coltsfoottrack._internal.mesh.decisions import DecisionLog
from coltsfoottrack._internal.mesh.runner_call import RunnerCall

# Bound on the lost runs that are kept; beyond it the oldest one is dropped.
MAX_LOST_RUNS = 1000
# A request is quarantined for this long after the last crash of which it is suspected.
QUARANTINE_MS = 120_000.0


class LostRun(NamedTuple):
    """A run whose connection ended; it does not hold the request, which may be large."""

    at: float
    # Process of the backend server that ran it.
    lifetime: Lifetime
    digest: bytes
    request_id: str
    route: str


class CrashWatch:
    """Tracks the requests that were running when the backend server crashed."""

    def __init__(self, log: DecisionLog) -> None:
        self.log = log
        self.suspects = SuspectTable(lambda: QUARANTINE_MS, current_time)
        # Runs that lost their connection, while it is open whether their process has crashed.
        self.lost: list[LostRun] = []
        # Called when there are new suspects.
        self.on_new_suspects: Callable[[], None] = lambda: None

    def is_quarantined(self, call: RunnerCall) -> bool:
        """Returns whether a request is suspected of too many crashes to run again."""
        if not self.suspects.entries:
            return False
        return self.suspects.crashes(call.content_digest()) >= QUARANTINE_CRASHES

    def connection_lost(self, call: RunnerCall, now: float) -> None:
        """Records a run whose connection ended without an answer."""
        message = call.message
        digest = call.content_digest()
        self.lost.append(LostRun(now, call.lifetime, digest, message.request_id, message.route))
        del self.lost[:-MAX_LOST_RUNS]

    def answered(self, call: RunnerCall) -> None:
        """Drops the runs that have not ended their process, as it answers a later request."""
        if self.lost:
            self._drop(lambda run: run.lifetime == call.lifetime and run.at < call.sent_at)

    def backend_left(self, lifetime: Lifetime) -> None:
        """Drops the runs of a process that ends as announced."""
        if self.lost:
            self._drop(lambda run: run.lifetime == lifetime)

    def _drop(self, is_cleared: Callable[[LostRun], bool]) -> None:
        self.lost = [run for run in self.lost if not is_cleared(run)]

    def backend_crashed(self, lifetime: Lifetime) -> None:
        """Records the requests that a process had lost before it crashed as suspects."""
        lost = [run for run in self.lost if run.lifetime == lifetime]
        self._drop(lambda run: run.lifetime == lifetime)
        for run in lost:
            crashes = self.suspects.record_crash(run.digest, self.suspects.crashes(run.digest))
            self.log.decision(
                "crash_suspected",
                request_id=run.request_id,
                route=run.route,
                crashes=crashes,
            )
        if lost:
            self.on_new_suspects()

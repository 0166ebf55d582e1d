"""Finds requests that crash the backend server, and keeps them from it."""

from collections.abc import Callable

from coltsfoottrack._internal.admission.suspects import QUARANTINE_CRASHES, SuspectTable
from coltsfoottrack._internal.mesh.clock import current_time
from coltsfoottrack._internal.mesh.decisions import DecisionLog
from coltsfoottrack._internal.mesh.runner_call import RunnerCall

# Crashes show within this time of the loss of a connection.
CRASH_WINDOW_SECONDS = 4.0
# A request is refused for this long after the last crash that it is suspected of.
QUARANTINE_MS = 120_000.0


class CrashWatch:
    """Requests that ran when the backend server ended without a word."""

    def __init__(self, log: DecisionLog) -> None:
        self.log = log
        self.suspects = SuspectTable(lambda: QUARANTINE_MS, current_time)
        # Calls that lost their connection lately, with the time.
        self.lost: list[tuple[float, RunnerCall]] = []
        # Tells other nodes of new suspects.
        self.on_new_suspects: Callable[[], None] = lambda: None

    def is_quarantined(self, call: RunnerCall) -> bool:
        """Tells whether a request has been suspected too often to run again."""
        if not self.suspects.entries:
            return False
        return self.suspects.crashes(call.content_digest()) >= QUARANTINE_CRASHES

    def connection_lost(self, call: RunnerCall, now: float) -> None:
        """Takes note of a run whose connection ended without an answer."""
        self.lost.append((now, call))

    def discard_old(self, now: float) -> None:
        """Drops runs that were lost too long ago to have caused a crash that shows now."""
        while self.lost and now - self.lost[0][0] > CRASH_WINDOW_SECONDS:
            self.lost.pop(0)

    def backend_crashed(self, now: float) -> None:
        """Suspects the requests that were lost shortly before."""
        self.discard_old(now)
        lost = self.lost
        self.lost = []
        for _, call in lost:
            digest = call.content_digest()
            crashes = self.suspects.record_crash(digest, self.suspects.crashes(digest))
            self.log.decision(
                "crash_suspected",
                request_id=call.message.request_id,
                route=call.message.route,
                crashes=crashes,
            )
        if lost:
            self.on_new_suspects()

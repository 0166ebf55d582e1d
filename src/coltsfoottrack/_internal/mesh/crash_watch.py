"""Finds requests that crash the backend server and quarantines them."""

from collections.abc import Callable

from coltsfoottrack._internal.admission.suspects import QUARANTINE_CRASHES, SuspectTable
from coltsfoottrack._internal.mesh.clock import current_time
from coltsfoottrack._internal.mesh.decisions import DecisionLog
from coltsfoottrack._internal.mesh.runner_call import RunnerCall

# A crash is detected within this time after a connection was lost.
CRASH_WINDOW_SECONDS = 4.0
# A request is quarantined for this long after the last crash of which it is suspected.
QUARANTINE_MS = 120_000.0


class CrashWatch:
    """Tracks the requests that were running when the backend server crashed."""

    def __init__(self, log: DecisionLog) -> None:
        self.log = log
        self.suspects = SuspectTable(lambda: QUARANTINE_MS, current_time)
        # Calls that recently lost their connection, with the time.
        self.lost: list[tuple[float, RunnerCall]] = []
        # Called when there are new suspects.
        self.on_new_suspects: Callable[[], None] = lambda: None

    def is_quarantined(self, call: RunnerCall) -> bool:
        """Returns whether a request is suspected of too many crashes to run again."""
        if not self.suspects.entries:
            return False
        return self.suspects.crashes(call.content_digest()) >= QUARANTINE_CRASHES

    def connection_lost(self, call: RunnerCall, now: float) -> None:
        """Records a run whose connection ended without an answer."""
        self.lost.append((now, call))

    def discard_old(self, now: float) -> None:
        """Drops runs that were lost too long ago to have caused a crash detected now."""
        while self.lost and now - self.lost[0][0] > CRASH_WINDOW_SECONDS:
            self.lost.pop(0)

    def backend_crashed(self, now: float) -> None:
        """Records the recently lost requests as suspects."""
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

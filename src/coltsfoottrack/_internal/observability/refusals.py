"""Runs of refusals: what is being turned away now, and since when."""

from time import time

from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import RefusalCount

# A run of refusals has ended when none came for this long.
RUN_GAP_MS = 5000


class RefusalRuns:
    """Counts refusals by priority and reason; both come from small fixed sets."""

    def __init__(self) -> None:
        self.runs: dict[tuple[str, str], RefusalCount] = {}

    def count(self, priority: str, reason: str) -> None:
        """Counts one refusal."""
        now_ms = int(time() * 1000)
        run = self.runs.get((priority, reason))
        if run is None:
            run = RefusalCount(priority=priority, reason=reason, since_ms=now_ms)
            self.runs[(priority, reason)] = run
        if run.count and now_ms - run.last_ms > RUN_GAP_MS:
            run.since_ms = now_ms
        run.count += 1
        run.last_ms = now_ms

    def shedding_since_ms(self, reasons: frozenset[str]) -> int:
        """Returns the start of the oldest run with one of the reasons that still goes on.

        Wall clock in ms since the epoch, 0 if there is none.
        """
        now_ms = int(time() * 1000)
        since = 0
        for (_, reason), run in self.runs.items():
            if reason not in reasons or now_ms - run.last_ms > RUN_GAP_MS:
                continue
            since = min(since, run.since_ms) if since else run.since_ms
        return since

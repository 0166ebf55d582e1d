"""Admission of calls by what the services below them can take."""

from collections.abc import Callable
from time import monotonic
from typing import NamedTuple

from coltsfoottrack._internal.admission.controller import AdmissionController
from coltsfoottrack._internal.admission.demand import PRIORITIES
from coltsfoottrack._internal.admission.limiter import MINIMUM_LIMIT, ConcurrencyLimiter
from coltsfoottrack._internal.calls.context import CallContext
from coltsfoottrack._internal.observability.invariants import InvariantChecker
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import OverloadPolicy

# Calls of this node that may wait further down at any time, on average: those of 30 ms, but at
# least one, or slots there stay free. With 45 ms, critical calls waited too long for a service at a
# quarter of its speed; with one call alone, a service at full speed was used 3% less.
DEPENDENCY_WAIT_SECONDS = 0.03
MINIMUM_DEPENDENCY_WAITERS = 1.0
# Weight of one run, so that the limit follows within about as many runs as are in flight.
SMOOTHING_WEIGHT = 0.2
UNUSED_DECAY_WEIGHT = 0.05
# A run whose call below was refused counts like one that waited for this share of its time.
REFUSED_WAIT_SHARE = 0.5
# Share of its time that a run may wait below before its operation is gated. With 25%, the limit
# was not yet known when a service below slowed, and every slot started a run that was refused.
GATING_WAIT_SHARE = 0.05
# Time without a wait or a refusal below after which an operation passes freely again.
GATED_SECONDS = 30.0
# Time after a refusal below in which calls of the highest priority are held back too.
CRITICAL_GATED_SECONDS = 1.0


class PathReport(NamedTuple):
    """What a run showed of the services below it; times in seconds."""

    dependency_wait_seconds: float
    run_seconds: float
    # A call below was refused, so the run was for nothing.
    was_refused: bool

    @property
    def wait_share(self) -> float:
        """Share of the run that was spent waiting for slots below, 0 to 1."""
        share = min(1.0, self.dependency_wait_seconds / max(self.run_seconds, 1e-6))
        return max(share, REFUSED_WAIT_SHARE) if self.was_refused else share


class PathLimiter(ConcurrencyLimiter):
    """Limits the runs in flight to those that the services below serve without long queues.

    By Little's law, the share of a run that is spent waiting below is the share of the runs in
    flight that wait there. The limit moves to the number that does not wait, plus the few that
    may. The rule follows Brakmo and Peterson, "TCP Vegas" (1995).
    """

    def adjust(self, report: PathReport) -> None:
        """Moves the limit after one run; to be called before ``finish``."""
        waiting = MINIMUM_DEPENDENCY_WAITERS
        if not report.was_refused:
            # A refused run is short and says nothing of the rate that the path carries.
            calls_per_second = self.limit / max(report.run_seconds, 1e-3)
            waiting = max(waiting, calls_per_second * DEPENDENCY_WAIT_SECONDS)
        target = self.limit * (1.0 - report.wait_share) + waiting
        if target > self.limit and self.has_room():
            # Below its limit a node does not learn whether the services could take more. An unused
            # limit comes down, or a surge would start that many runs before the first one reports.
            unused = self.limit - self.in_flight - waiting
            self.limit -= UNUSED_DECAY_WEIGHT * max(0.0, unused)
            return
        limit = self.limit + SMOOTHING_WEIGHT * (target - self.limit)
        self.limit = min(float(self.maximum), max(MINIMUM_LIMIT, limit))

    def _adjust_limit(self, now: float) -> None:
        """The limit follows the reports alone."""


class GatedCall:
    """A call in flight; it is counted once its operation is gated."""

    def __init__(self, operation: str) -> None:
        self.operation = operation
        self.counted = False


class PathGate:
    """Holds calls back before they run while the services below them are short of capacity.

    An operation is gated once a run of it waited long below or was refused there. Gated
    operations share one limit and one queue, so that the most important go first whichever
    operation they are. Calls from deeper hops are counted but not held, since other services have
    already run for them. Calls of the highest priority are held only while the services below
    refuse some of them: for the few of them that a node has in flight, waits say little of
    capacity, and held calls cannot use the slot of another node that becomes free.
    """

    def __init__(
        self,
        checker: InvariantChecker,
        policy: Callable[[], OverloadPolicy],
        clock: Callable[[], float] = monotonic,
    ) -> None:
        self.clock = clock
        self.limiter = PathLimiter(clock=clock)
        self.controller = AdmissionController(self.limiter, checker, policy, clock)
        # When a run of an operation last showed trouble below.
        self.congested_at: dict[str, float] = {}
        self.refused_at: dict[str, float] = {}
        self.running: dict[str, set[GatedCall]] = {}

    def is_gated(self, operation: str) -> bool:
        """Tells whether calls of an operation are held back."""
        congested_at = self.congested_at.get(operation)
        if congested_at is None:
            return False
        if self.clock() - congested_at < GATED_SECONDS:
            return True
        del self.congested_at[operation]
        self.refused_at.pop(operation, None)
        return False

    def is_active(self) -> bool:
        """Tells whether calls of any operation are held back."""
        return any(self.is_gated(operation) for operation in list(self.congested_at))

    def level(self, operation: str) -> int:
        """Returns the lowest rank of an operation that is let through to the services below."""
        return self.controller.level if self.is_gated(operation) else 0

    async def enter(self, context: CallContext) -> GatedCall:
        """Waits until the services below can take a call.

        Raises NotAdmittedError if the call is turned away. After a return, the caller must call
        ``leave`` exactly once.
        """
        call = GatedCall(context.operation)
        if self.is_gated(context.operation):
            if self._bypasses_queue(context):
                self.controller.admit_started(context)
            else:
                await self.controller.admit(context)
            call.counted = True
        self.running.setdefault(context.operation, set()).add(call)
        return call

    def _bypasses_queue(self, context: CallContext) -> bool:
        if context.depth:
            return True
        if context.priority < PRIORITIES - 1:
            return False
        refused_at = self.refused_at.get(context.operation, float("-inf"))
        return self.clock() - refused_at >= CRITICAL_GATED_SECONDS

    def leave(self, call: GatedCall, report: PathReport | None) -> None:
        """Ends a call; ``report`` is None if it did not run to its end."""
        calls = self.running[call.operation]
        calls.discard(call)
        if report is not None:
            self._record_report(call.operation, report)
        if not calls:
            # Callers choose the names of operations, so none is kept without a call.
            del self.running[call.operation]
        if call.counted:
            ran_to_end = report is not None and not report.was_refused
            self.controller.release(False, report.run_seconds if ran_to_end else None)

    def _record_report(self, operation: str, report: PathReport) -> None:
        is_gated = self.is_gated(operation)
        if report.was_refused:
            self.refused_at[operation] = self.clock()
        if report.wait_share >= GATING_WAIT_SHARE:
            is_first = not self.is_active()
            self.congested_at[operation] = self.clock()
            if not is_gated:
                self._gate(operation, report.run_seconds, is_first)
        elif not is_gated:
            return
        self.limiter.adjust(report)

    def _gate(self, operation: str, run_seconds: float, is_first: bool) -> None:
        """Gates an operation: the runs in flight are counted from now on."""
        for call in self.running[operation]:
            if not call.counted:
                call.counted = True
                self.limiter.start()
        if is_first:
            # The one that is just ending included.
            self.limiter.limit = float(self.limiter.in_flight + 1)
            # A first estimate; without whole runs after it the capacity counts as falling.
            self.limiter.service_seconds = run_seconds

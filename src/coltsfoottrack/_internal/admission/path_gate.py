"""Admission of calls by the capacity of the services that they call.

A dependency is a service that a run calls, directly or through another service.
"""

from collections.abc import Callable
from time import monotonic
from typing import NamedTuple

from coltsfoottrack._internal.admission.controller import AdmissionController
from coltsfoottrack._internal.admission.demand import PRIORITIES
from coltsfoottrack._internal.admission.limiter import MINIMUM_LIMIT, ConcurrencyLimiter
from coltsfoottrack._internal.calls.context import CallContext
from coltsfoottrack._internal.observability.invariants import InvariantChecker
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import OverloadPolicy

# Mean number of this node's calls that may wait in queues of dependencies: as many as complete in
# 30 ms, but at least one, or slots there would stay free. With 45 ms, critical calls waited too
# long for a service at a quarter of its speed. With a single call, a service at full speed was used
# 3% less.
DEPENDENCY_WAIT_SECONDS = 0.03
MINIMUM_DEPENDENCY_WAITERS = 1.0
# Weight of one run: the limit adapts within about as many runs as are in flight.
SMOOTHING_WEIGHT = 0.2
UNUSED_DECAY_WEIGHT = 0.05
# A run with a refused call counts as one that waited for this share of its time.
REFUSED_WAIT_SHARE = 0.5
# Share of its time that a run may wait for dependencies before its operation is gated. With 25%,
# there was no limit yet when a dependency slowed, and every slot started a run that was refused.
GATING_WAIT_SHARE = 0.05
# Time without a wait or a refusal at a dependency after which an operation is no longer gated.
GATED_SECONDS = 30.0
# Time after a refusal at a dependency in which calls of the highest priority are gated too.
CRITICAL_GATED_SECONDS = 1.0


class PathReport(NamedTuple):
    """Measurements of one run's calls to its dependencies; times in seconds."""

    dependency_wait_seconds: float
    run_seconds: float
    # A call to a dependency was refused, so the run was wasted.
    was_refused: bool

    @property
    def wait_share(self) -> float:
        """Share of the run, 0 to 1, that was spent waiting for slots of dependencies."""
        share = min(1.0, self.dependency_wait_seconds / max(self.run_seconds, 1e-6))
        return max(share, REFUSED_WAIT_SHARE) if self.was_refused else share


class PathLimiter(ConcurrencyLimiter):
    """Limits the runs in flight to those that the dependencies serve without long queues.

    By Little's law, the share of a run that is spent waiting for dependencies equals the share of
    the runs in flight that wait there. The limit moves to the number that does not wait, plus the
    few that may. The rule follows Brakmo and Peterson, "TCP Vegas" (1995).
    """

    def adjust(self, report: PathReport) -> None:
        """Adjusts the limit after one run; to be called before ``finish``."""
        waiting = MINIMUM_DEPENDENCY_WAITERS
        if not report.was_refused:
            # A refused run is short, so its duration does not show the rate that the path carries.
            calls_per_second = self.limit / max(report.run_seconds, 1e-3)
            waiting = max(waiting, calls_per_second * DEPENDENCY_WAIT_SECONDS)
        target = self.limit * (1.0 - report.wait_share) + waiting
        if target > self.limit and self.has_room():
            # While the limit is not reached, the node cannot measure whether the dependencies could
            # take more. The unused part decays; otherwise a surge would start that many runs
            # before the first report.
            unused = self.limit - self.in_flight - waiting
            self.limit -= UNUSED_DECAY_WEIGHT * max(0.0, unused)
            return
        limit = self.limit + SMOOTHING_WEIGHT * (target - self.limit)
        self.limit = min(float(self.maximum), max(MINIMUM_LIMIT, limit))

    def _sample_throughput(self, now: float) -> None:
        """Does nothing, as only reports change the limit."""


class GatedCall:
    """A call in flight, which counts against the limit once its operation is gated."""

    def __init__(self, operation: str) -> None:
        self.operation = operation
        self.counted = False


class PathGate:
    """Queues calls before they run while their dependencies are short of capacity.

    An operation is gated once one of its runs waited long for a dependency or was refused there.
    Gated operations share one limit and one queue, so calls are ordered by rank across operations.
    Calls from deeper hops are counted but not queued, since other services have already run for
    them. Calls of the highest priority are queued only while dependencies refuse some of them: a
    node has few of them in flight, so their waits are a poor measure of capacity, and a queued call
    cannot use a slot that becomes free at another node.
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
        # When a run of an operation last waited long for a dependency or was refused there.
        self.congested_at: dict[str, float] = {}
        self.refused_at: dict[str, float] = {}
        self.running: dict[str, set[GatedCall]] = {}

    def is_gated(self, operation: str) -> bool:
        """Returns whether calls of an operation are gated."""
        congested_at = self.congested_at.get(operation)
        if congested_at is None:
            return False
        if self.clock() - congested_at < GATED_SECONDS:
            return True
        del self.congested_at[operation]
        self.refused_at.pop(operation, None)
        return False

    def is_active(self) -> bool:
        """Returns whether calls of any operation are gated."""
        return any(self.is_gated(operation) for operation in list(self.congested_at))

    def level(self, operation: str) -> int:
        """Returns the lowest rank of an operation that the gate admits."""
        return self.controller.level if self.is_gated(operation) else 0

    async def enter(self, context: CallContext) -> GatedCall:
        """Waits until the dependencies have capacity for a call.

        Raises NotAdmittedError if the call is refused. After a return, the caller must call
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
        """Ends a call; ``report`` is None if it did not complete."""
        calls = self.running[call.operation]
        calls.discard(call)
        if report is not None:
            self._record_report(call.operation, report)
        if not calls:
            # Callers choose operation names, so an idle one is dropped to bound the memory.
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
        """Gates an operation, and counts its runs in flight against the limit."""
        for call in self.running[operation]:
            if not call.counted:
                call.counted = True
                self.limiter.start()
        if is_first:
            # Includes the run that is just ending.
            self.limiter.limit = float(self.limiter.in_flight + 1)
            # Initial estimate; the capacity estimate drops while no run completes after it.
            self.limiter.service_seconds = run_seconds

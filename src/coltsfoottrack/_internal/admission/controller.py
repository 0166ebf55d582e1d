"""Admission of calls to one backend server."""

from asyncio import CancelledError, timeout_at
from asyncio import get_running_loop as running_loop
from collections.abc import Callable
from time import monotonic

from coltsfoottrack._internal.admission.exceptions import NotAdmittedError
from coltsfoottrack._internal.admission.limiter import ConcurrencyLimiter
from coltsfoottrack._internal.admission.queue import PriorityQueue, Waiter
from coltsfoottrack._internal.calls.context import CallContext
from coltsfoottrack._internal.calls.outcome import Reason
from coltsfoottrack._internal.observability.invariants import Invariant, InvariantChecker
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import OverloadPolicy
from coltsfoottrack._internal.settings.rules import number_or_default


class AdmissionController:
    """Decides which calls run on the backend server beside this node, and in which order."""

    def __init__(
        self,
        limiter: ConcurrencyLimiter,
        checker: InvariantChecker,
        policy: Callable[[], OverloadPolicy],
    ) -> None:
        self.limiter = limiter
        self.checker = checker
        self.policy = policy
        self.queue = PriorityQueue()
        self.level = 0
        self.decisions_off = False
        self.last_start_by_priority = [0.0, 0.0, 0.0]

    async def admit(self, context: CallContext) -> float:
        """Waits for a slot and returns the time waited in seconds.

        Raises NotAdmittedError if the call is turned away. After a return, the caller must
        call ``release`` exactly once.
        """
        if self.decisions_off:
            self.limiter.start()
            return 0.0
        arrived = monotonic()
        if context.deadline.has_passed():
            raise NotAdmittedError(Reason.DEADLINE)
        if self.limiter.has_room() and not self.queue.waiters:
            self._start(context)
            return 0.0
        waiter = Waiter(context)
        self._make_room_for(waiter, arrived)
        self.queue.add(waiter)
        await self._wait(waiter)
        return monotonic() - arrived

    def release(self, shed: bool = False) -> None:
        """Gives back a slot; ``shed`` if the backend server turned the call away."""
        self.limiter.finish(shed)
        self._serve_queue()

    def _make_room_for(self, waiter: Waiter, arrived: float) -> None:
        if len(self.queue) < number_or_default(self.policy(), "max_queue_length"):
            return
        lowest = self.queue.lowest()
        if lowest is None or lowest.rank >= waiter.rank:
            self._check_shed_order(waiter.context, arrived)
            raise NotAdmittedError(Reason.OVERLOAD)
        self.queue.remove(lowest)
        lowest.admitted.set_exception(NotAdmittedError(Reason.EVICTED))

    async def _wait(self, waiter: Waiter) -> None:
        expiry = running_loop().time() + waiter.context.deadline.remaining_seconds()
        try:
            async with timeout_at(expiry):
                await waiter.admitted
        except TimeoutError as error:
            self.queue.remove(waiter)
            raise NotAdmittedError(Reason.DEADLINE) from error
        except CancelledError:
            self._abandon(waiter)
            raise

    def _abandon(self, waiter: Waiter) -> None:
        """Handles a caller that has gone, also if its slot was granted at the same moment."""
        self.queue.remove(waiter)
        admitted = waiter.admitted
        if admitted.done() and not admitted.cancelled() and admitted.exception() is None:
            self.release()

    def _serve_queue(self) -> None:
        while self.limiter.has_room():
            waiter = self.queue.pop_highest()
            if waiter is None:
                return
            if waiter.admitted.done():
                continue
            if waiter.context.deadline.has_passed():
                waiter.admitted.set_exception(NotAdmittedError(Reason.DEADLINE))
                continue
            self._start(waiter.context)
            waiter.admitted.set_result(None)

    def _start(self, context: CallContext) -> None:
        self.limiter.start()
        self.last_start_by_priority[context.priority] = monotonic()

    def _check_shed_order(self, context: CallContext, arrived: float) -> None:
        for priority in range(context.priority):
            self.checker.check(
                self.last_start_by_priority[priority] <= arrived,
                Invariant.SHED_ORDER,
                f"{context.priority_name} request refused after a lower priority started",
            )

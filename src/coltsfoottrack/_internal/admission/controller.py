"""Admission of calls to one backend server."""

from asyncio import CancelledError, timeout_at
from asyncio import get_running_loop as running_loop
from collections.abc import Callable
from time import monotonic

from coltsfoottrack._internal.admission.demand import (
    PRIORITIES,
    DemandEstimate,
    lowest_rank,
)
from coltsfoottrack._internal.admission.exceptions import NotAdmittedError
from coltsfoottrack._internal.admission.limiter import ConcurrencyLimiter
from coltsfoottrack._internal.admission.queue import PriorityQueue, Waiter
from coltsfoottrack._internal.calls.context import CallContext
from coltsfoottrack._internal.calls.outcome import Reason
from coltsfoottrack._internal.observability.invariants import Invariant, InvariantChecker
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import OverloadPolicy
from coltsfoottrack._internal.settings.rules import milliseconds_to_seconds, number_or_default

WINDOW_SECONDS = 0.1
# The level corrects the queue length over this time, but at least over this many service times.
# With shorter times the level oscillated with every single arrival.
CORRECTION_SECONDS = 0.6
CORRECTION_SERVICE_TIMES = 4.0
MINIMUM_QUEUE = 4
QUEUE_PER_SLOT = 3.0
TARGET_QUEUE_PER_SLOT = 1.0
# Bounds the queue delay at one hop. With a bound by slots alone, queues grew to 0.5 s at each layer
# when the backend server slowed to a quarter of its speed, and callers with shorter timeouts had
# disconnected before it ran their calls.
MAX_WAIT_SECONDS = 0.2
# Reserved so that a refusal reaches the caller before the deadline.
RESPONSE_MARGIN_SECONDS = 0.01


class AdmissionController:
    """Decides which calls run on the node's own backend server, and in which order.

    The admission level is the lowest rank that is admitted. It is recomputed every 100 ms so that
    the demand at or above it fits the capacity that the limiter measures, corrected by the queue
    length.
    """

    def __init__(
        self,
        limiter: ConcurrencyLimiter,
        checker: InvariantChecker,
        policy: Callable[[], OverloadPolicy],
        clock: Callable[[], float] = monotonic,
    ) -> None:
        self.limiter = limiter
        self.checker = checker
        self.policy = policy
        self.clock = clock
        self.queue = PriorityQueue()
        self.demand = DemandEstimate()
        self.level = 0
        self.decisions_off = False
        self.window_start = clock()
        # Highest priority refused for overload in the current window, -1 for none.
        self.refused_priority = -1

    async def admit(self, context: CallContext) -> float:
        """Waits for a slot and returns the time waited in seconds.

        Raises NotAdmittedError if the call is refused. After a return, the caller must call
        ``release`` exactly once.
        """
        if self.decisions_off:
            self.limiter.start()
            return 0.0
        arrived = self.clock()
        self.close_window(arrived)
        above_level = context.rank >= self.level
        self.demand.record(context.priority, above_level)
        if self._would_miss_deadline(context):
            raise NotAdmittedError(Reason.DEADLINE)
        if not self.admits(context) or context.priority < self.refused_priority:
            self._record_refusal(context.priority)
            raise NotAdmittedError(Reason.OVERLOAD)
        if self.limiter.has_room() and not self.queue.waiters:
            self._start(context)
            return 0.0
        waiter = Waiter(context)
        self._make_room_for(waiter)
        self.queue.add(waiter)
        await self._wait(waiter)
        return self.clock() - arrived

    def admit_started(self, context: CallContext) -> None:
        """Starts a call at once, even above the limit, since other services have run for it.

        Raises NotAdmittedError if a higher priority was refused for overload in the current
        window.
        """
        self.close_window(self.clock())
        self.demand.record(context.priority, True)
        if context.priority < self.refused_priority:
            raise NotAdmittedError(Reason.OVERLOAD)
        self._start(context)

    def release(self, shed: bool = False, seconds: float | None = None) -> None:
        """Releases a slot and starts waiting calls.

        ``shed`` is true if the backend server refused the call. ``seconds`` is the service time of
        a completed call.
        """
        self.limiter.finish(shed, seconds)
        if self.decisions_off:
            return
        self.close_window(self.clock())
        self._serve_queue()

    def close_window(self, now: float) -> None:
        """Recomputes the level if the current window has ended."""
        elapsed = now - self.window_start
        if elapsed < WINDOW_SECONDS:
            return
        self.demand.close_window(elapsed, self.level)
        if not self.limiter.was_full and not self.queue.waiters:
            self.demand.decay_refused(self.level)
        self.limiter.was_full = not self.limiter.has_room()
        self.window_start = now
        self.refused_priority = -1
        self._set_level(self._next_level())

    def admits(self, context: CallContext) -> bool:
        """Returns whether the level admits a call.

        The level applies to calls at the entry. Other services have already run for a call from a
        deeper hop, so only a full queue or the refusal of a higher priority refuses it.
        """
        return bool(context.depth) or context.rank >= self.level

    def max_queue_length(self) -> int:
        """Returns the number of waiters beyond which the lowest rank is evicted."""
        longest = QUEUE_PER_SLOT * self.limiter.effective_limit
        capacity = self.limiter.capacity_per_second()
        if capacity is not None:
            longest = min(longest, capacity * MAX_WAIT_SECONDS)
        configured = int(number_or_default(self.policy(), "max_queue_length"))
        return min(configured, max(MINIMUM_QUEUE, int(longest)))

    def _next_level(self) -> int:
        capacity = self.limiter.capacity_per_second()
        if capacity is None:
            return 0
        policy = self.policy()
        slots = self.limiter.effective_limit
        target_delay = milliseconds_to_seconds(policy, "queue_delay_target_ms")
        target = min(TARGET_QUEUE_PER_SLOT * slots, capacity * MAX_WAIT_SECONDS / 2.0)
        target = max(1.0, target, target_delay * capacity)
        if not self.level and len(self.queue) <= target:
            return 0
        service_seconds = slots / capacity
        correction = max(CORRECTION_SECONDS, CORRECTION_SERVICE_TIMES * service_seconds)
        rate = capacity + (target - len(self.queue)) / correction
        return self.demand.level_for(rate, number_or_default(policy, "minimum_share"))

    def _set_level(self, level: int) -> None:
        self.level = level
        for priority in reversed(range(1, PRIORITIES)):
            if level > lowest_rank(priority):
                # Part of this priority is refused, so lower priorities are refused at the entry.
                self._evict_entries_below(priority)
                return

    def _evict_entries_below(self, priority: int) -> None:
        for waiter in list(self.queue.waiters):
            if waiter.context.priority < priority and not waiter.context.depth:
                self._evict(waiter)

    def _evict_below(self, priority: int) -> None:
        lowest = self.queue.lowest()
        while lowest is not None and lowest.context.priority < priority:
            self._evict(lowest)
            lowest = self.queue.lowest()

    def _evict(self, waiter: Waiter) -> None:
        self.queue.remove(waiter)
        if not waiter.admitted.done():
            self._record_refusal(waiter.context.priority)
            waiter.admitted.set_exception(NotAdmittedError(Reason.EVICTED))

    def _record_refusal(self, priority: int) -> None:
        """Refuses and evicts lower priorities for the rest of the window."""
        if priority <= self.refused_priority:
            return
        self.refused_priority = priority
        self._evict_below(priority)

    def _make_room_for(self, waiter: Waiter) -> None:
        if len(self.queue) < self.max_queue_length():
            return
        lowest = self.queue.lowest()
        if lowest is None or lowest.rank >= waiter.rank:
            self._record_refusal(waiter.context.priority)
            raise NotAdmittedError(Reason.OVERLOAD)
        self._evict(lowest)

    def _would_miss_deadline(self, context: CallContext) -> bool:
        """Returns whether the call cannot complete and be answered before its deadline."""
        needed = RESPONSE_MARGIN_SECONDS + (self.limiter.service_seconds or 0.0)
        return context.deadline.remaining_seconds() < needed

    async def _wait(self, waiter: Waiter) -> None:
        needed = RESPONSE_MARGIN_SECONDS + (self.limiter.service_seconds or 0.0)
        expiry = running_loop().time() + waiter.context.deadline.remaining_seconds() - needed
        try:
            async with timeout_at(expiry):
                await waiter.admitted
        except TimeoutError as error:
            self._abandon(waiter)
            raise NotAdmittedError(Reason.DEADLINE) from error
        except CancelledError:
            self._abandon(waiter)
            raise

    def _abandon(self, waiter: Waiter) -> None:
        """Removes a waiter that timed out or was cancelled, and releases a slot granted to it."""
        self.queue.remove(waiter)
        admitted = waiter.admitted
        if admitted.done() and not admitted.cancelled() and admitted.exception() is None:
            self.release()

    def _serve_queue(self) -> None:
        while self.limiter.has_room():
            waiter = self.queue.pop_highest()
            if waiter is None:
                self.limiter.idle_slot()
                return
            if waiter.admitted.done():
                continue
            if self._would_miss_deadline(waiter.context):
                waiter.admitted.set_exception(NotAdmittedError(Reason.DEADLINE))
                continue
            self._start(waiter.context)
            waiter.admitted.set_result(None)

    def _start(self, context: CallContext) -> None:
        self.checker.check(
            context.priority >= self.refused_priority,
            Invariant.SHED_ORDER,
            f"{context.priority_name} request started in a window that refused a higher priority",
        )
        self.limiter.start()

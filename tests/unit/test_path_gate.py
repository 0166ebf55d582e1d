"""Tests of the gate that queues or refuses calls before they become wasted runs."""

from asyncio import CancelledError, create_task, sleep
from unittest import IsolatedAsyncioTestCase, TestCase

from coltsfoottrack._internal.admission.controller import AdmissionController
from coltsfoottrack._internal.admission.exceptions import NotAdmittedError
from coltsfoottrack._internal.admission.limiter import ConcurrencyLimiter
from coltsfoottrack._internal.admission.path_gate import (
    CRITICAL_GATED_SECONDS,
    GATED_SECONDS,
    PathGate,
    PathLimiter,
    PathReport,
)
from coltsfoottrack._internal.calls.budget import AttemptBudget
from coltsfoottrack._internal.calls.context import CallContext
from coltsfoottrack._internal.calls.deadline import Deadline
from coltsfoottrack._internal.calls.outcome import Answer, Outcome, Reason, failed
from coltsfoottrack._internal.events.clock import HybridClock
from coltsfoottrack._internal.events.ring import EventRing
from coltsfoottrack._internal.node.local_calls import LocalCalls
from coltsfoottrack._internal.observability.invariants import InvariantChecker
from coltsfoottrack._internal.observability.metrics import NodeMetrics
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import OverloadPolicy

NORMAL, CRITICAL = 1, 2
UNDELAYED_RUN = PathReport(0.0, 0.25, False)
REFUSED_RUN = PathReport(0.0, 0.05, True)


class Clock:
    """A clock that a test advances."""

    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        return self.now


def context(priority: int = NORMAL, depth: int = 0, operation: str = "lookup") -> CallContext:
    return CallContext(
        service="stores",
        operation=operation,
        request_id=f"request-{priority}-{depth}",
        call_id="call",
        deadline=Deadline.after_ms(60_000),
        budget=AttemptBudget(0),
        priority=priority,
        depth=depth,
    )


class PathLimiterTest(TestCase):
    """Guards against a limit that fills the queue of a slow dependency, or leaves slots free."""

    def run_closed_loop(self, limiter: PathLimiter, slots: int, service_seconds: float) -> float:
        """Runs as many calls as the limit admits, and returns the resulting limit."""
        for _ in range(300):
            while limiter.has_room():
                limiter.start()
            waiting = max(0, limiter.in_flight - slots)
            waited = waiting * service_seconds / slots
            limiter.adjust(PathReport(waited, waited + service_seconds, False))
            limiter.finish(False, waited + service_seconds)
        return limiter.limit

    def test_limit_converges_just_above_the_slots_of_a_dependency(self) -> None:
        limiter = PathLimiter(initial_limit=24)
        for slots, service_seconds in ((2, 0.16), (8, 0.16), (2, 0.16), (12, 0.04)):
            with self.subTest(slots=slots):
                limit = self.run_closed_loop(limiter, slots, service_seconds)
                waiting = max(1.0, 0.03 * limit / service_seconds)
                self.assertGreaterEqual(limit, slots)
                self.assertLessEqual(limit, slots + waiting + 2.0)

    def test_unused_limit_decays(self) -> None:
        limiter = PathLimiter(initial_limit=8)
        for _ in range(200):
            limiter.start()
            limiter.adjust(UNDELAYED_RUN)
            limiter.finish(False, 0.25)
        self.assertGreaterEqual(limiter.limit, 2.0)
        self.assertLess(limiter.limit, 2.5)


class PathGateTest(IsolatedAsyncioTestCase):
    """Guards against runs that dependencies refuse, and critical calls queued needlessly."""

    def setUp(self) -> None:
        self.clock = Clock()
        self.checker = InvariantChecker()
        self.gate = PathGate(self.checker, OverloadPolicy, self.clock)

    async def run_with_refusal(self, operation: str = "lookup") -> None:
        call = await self.gate.enter(context(operation=operation))
        self.gate.leave(call, REFUSED_RUN)

    async def is_queued(self, call: CallContext) -> bool:
        task = create_task(self.gate.enter(call))
        await sleep(0)
        if task.done():
            task.exception()
            return False
        task.cancel()
        with self.assertRaises(CancelledError):
            await task
        return True

    async def test_runs_in_flight_are_counted_once_a_dependency_refuses(self) -> None:
        calls = [await self.gate.enter(context()) for _ in range(5)]
        self.assertEqual(self.gate.limiter.in_flight, 0)
        await self.run_with_refusal()
        self.assertEqual(self.gate.limiter.in_flight, 5)
        self.assertTrue(await self.is_queued(context()))
        for call in calls:
            self.gate.leave(call, None)
        self.assertEqual(self.gate.limiter.in_flight, 0)
        self.assertFalse(self.gate.running)

    async def test_other_operations_are_not_gated(self) -> None:
        for _ in range(5):
            await self.gate.enter(context())
        await self.run_with_refusal()
        self.assertFalse(await self.is_queued(context(operation="audit")))
        self.assertEqual(self.gate.level("audit"), 0)

    async def test_calls_from_deeper_hops_are_not_queued(self) -> None:
        for _ in range(5):
            await self.gate.enter(context())
        await self.run_with_refusal()
        self.assertTrue(await self.is_queued(context()))
        self.assertFalse(await self.is_queued(context(depth=1)))
        self.assertEqual(self.gate.limiter.in_flight, 6)

    async def test_critical_calls_are_queued_only_after_a_dependency_refuses(self) -> None:
        for _ in range(5):
            await self.gate.enter(context(CRITICAL))
        await self.run_with_refusal()
        self.assertTrue(await self.is_queued(context(CRITICAL)))
        self.clock.now = CRITICAL_GATED_SECONDS
        self.assertTrue(await self.is_queued(context()))
        self.assertFalse(await self.is_queued(context(CRITICAL)))

    async def test_gate_opens_without_recent_waits_or_refusals_at_dependencies(self) -> None:
        for _ in range(5):
            await self.gate.enter(context())
        await self.run_with_refusal()
        self.clock.now = GATED_SECONDS
        self.assertFalse(await self.is_queued(context()))
        self.assertFalse(self.gate.is_active())


class StartedCallTest(IsolatedAsyncioTestCase):
    """Guards against a call that starts after the refusal of a higher priority."""

    async def test_lower_priority_is_refused_in_a_window_that_refused_a_higher_one(self) -> None:
        clock, checker = Clock(), InvariantChecker()
        admission = AdmissionController(
            ConcurrencyLimiter(clock=clock), checker, OverloadPolicy, clock
        )
        admission.level = 768
        with self.assertRaises(NotAdmittedError):
            await admission.admit(context(CRITICAL))
        with self.assertRaises(NotAdmittedError):
            admission.admit_started(context(NORMAL, depth=1))
        admission.admit_started(context(CRITICAL, depth=1))
        self.assertEqual(checker.total(), 0)


class BackendRefusedByDependency:
    """A backend server whose calls are all refused by a dependency."""

    address, starts, slots = "backend", 1, 8

    def __init__(self) -> None:
        self.runs = 0

    async def run(self, call: CallContext, body: bytes) -> Answer:
        self.runs += 1
        await sleep(0.01)
        return failed(Reason.BACKEND_ERROR)._replace(path_level=400)


class LocalCallsTest(IsolatedAsyncioTestCase):
    """Guards against runs that a dependency refuses, and refusals without the right reason."""

    async def test_calls_are_refused_before_they_run(self) -> None:
        backend = BackendRefusedByDependency()
        admission = AdmissionController(ConcurrencyLimiter(8), InvariantChecker(), OverloadPolicy)
        calls = LocalCalls(admission, backend, EventRing("n", HybridClock()), NodeMetrics())
        tasks = []
        for _ in range(200):
            # Four times the capacity of 8 slots; every run is wasted.
            tasks.extend(create_task(calls.run(context(), b"")) for _ in range(3))
            await sleep(0.001)
        answers = [await task for task in tasks]
        self.assertLess(backend.runs, len(answers) / 4)
        refusals = [answer for answer in answers if answer.outcome is Outcome.REFUSED]
        self.assertEqual(len(refusals), len(answers) - backend.runs)
        self.assertIn(Reason.EARLY_REFUSAL, {answer.reason for answer in refusals})
        self.assertEqual(calls.gate.limiter.in_flight, 0)

"""Invariant 2: when capacity is short, requests of higher priority are shed last."""

from asyncio import all_tasks, new_event_loop, sleep
from unittest import TestCase

from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from hypothesis.strategies import integers, lists, sampled_from

from coltsfoottrack._internal.admission.controller import WINDOW_SECONDS, AdmissionController
from coltsfoottrack._internal.admission.exceptions import NotAdmittedError
from coltsfoottrack._internal.admission.limiter import ConcurrencyLimiter
from coltsfoottrack._internal.calls.budget import AttemptBudget
from coltsfoottrack._internal.calls.context import CallContext
from coltsfoottrack._internal.calls.deadline import Deadline
from coltsfoottrack._internal.calls.outcome import Reason
from coltsfoottrack._internal.observability.invariants import InvariantChecker
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import OverloadPolicy

SLOTS = 4
SERVICE_SECONDS = 0.04
STEP_SECONDS = 0.01
CAPACITY_PER_SECOND = SLOTS / SERVICE_SECONDS
CRITICAL = 2
STEPS_FOR_CRITICAL_ALONE = 600


class Service:
    """The real controller in front of a simulated backend server with a simulated clock."""

    def __init__(self) -> None:
        self.loop = new_event_loop()
        self.now = 0.0
        self.checker = InvariantChecker()
        limiter = ConcurrencyLimiter(SLOTS, clock=lambda: self.now)
        self.controller = AdmissionController(
            limiter, self.checker, OverloadPolicy, clock=lambda: self.now
        )
        self.service_seconds = SERVICE_SECONDS
        self.sent = 0
        self.arrivals = 0
        self.due_arrivals = 0.0
        self.running: list[float] = []
        # The highest priority refused in each window, and lower ones that started after it.
        self.refused: dict[int, int] = {}
        self.order_violations: list[str] = []
        self.starts = [0, 0, 0]
        self.refusals = [0, 0, 0]

    def context(self, priority: int, depth: int = 0) -> CallContext:
        self.sent += 1
        return CallContext(
            service="fitments",
            operation="fitting",
            request_id=f"request-{self.sent}",
            call_id=f"call-{self.sent}",
            deadline=Deadline.after_ms(1_000_000),
            budget=AttemptBudget(0),
            priority=priority,
            depth=depth,
        )

    def step(self, factor: float, priorities: list[int]) -> None:
        """Advances time by one step with arrivals at a multiple of capacity."""
        self.now += STEP_SECONDS
        due = [end for end in self.running if end <= self.now]
        self.running = [end for end in self.running if end > self.now]
        for _ in due:
            self.controller.release(False, self.service_seconds)
        self.run_until_idle()
        self.due_arrivals += factor * CAPACITY_PER_SECOND * STEP_SECONDS
        while self.due_arrivals >= 1.0:
            self.due_arrivals -= 1.0
            self.arrive([priorities[self.arrivals % len(priorities)]])
            self.arrivals += 1

    def arrive(self, priorities: list[int]) -> None:
        """Sends requests one after the other without advancing the clock."""
        for priority in priorities:
            self.loop.create_task(self.send(self.context(priority)))
            self.run_until_idle()

    async def send(self, context: CallContext) -> None:
        arrived = self.now
        try:
            await self.controller.admit(context)
        except NotAdmittedError as error:
            self.refusals[context.priority] += 1
            if error.reason in (Reason.OVERLOAD, Reason.EVICTED):
                window = round(self.controller.window_start, 6)
                self.refused[window] = max(self.refused.get(window, -1), context.priority)
            return
        window = round(self.controller.window_start, 6)
        if self.refused.get(window, -1) > context.priority:
            self.order_violations.append(
                f"priority {context.priority} started at {self.now:.2f}, arrived {arrived:.2f}"
            )
        for waiter in self.controller.queue.waiters:
            if waiter.context.priority > context.priority:
                self.order_violations.append(
                    f"priority {context.priority} started while a higher one waited"
                )
        self.starts[context.priority] += 1
        self.running.append(self.now + self.service_seconds)

    def run_until_idle(self) -> None:
        """Runs the event loop until all tasks wait."""
        for _ in range(4):
            self.loop.run_until_complete(sleep(0))

    def close(self) -> None:
        for task in all_tasks(self.loop):
            task.cancel()
        self.run_until_idle()
        self.loop.close()


class ShedOrderMachine(RuleBasedStateMachine):
    """Random mixes of priorities at 2, 5 and 10 times capacity."""

    @initialize()
    def start(self) -> None:
        self.service = Service()

    @rule(
        factor=sampled_from([0.5, 2.0, 5.0, 10.0]),
        priorities=lists(integers(0, 2), min_size=1, max_size=10),
        steps=integers(1, 25),
    )
    def load(self, factor: float, priorities: list[int], steps: int) -> None:
        for _ in range(steps):
            self.service.step(factor, priorities)

    @rule(seconds=sampled_from([0.005, 0.04, 0.16]))
    def change_speed(self, seconds: float) -> None:
        """A faster backend server drains a queue within the window in which it overflowed."""
        self.service.service_seconds = seconds

    @rule(critical=integers(1, 30), sheddable=integers(1, 10), steps=integers(1, 6))
    def burst(self, critical: int, sheddable: int, steps: int) -> None:
        """Sends critical requests at once, and then a few sheddable ones."""
        self.service.arrive([2] * critical)
        for _ in range(steps):
            self.service.step(0.0, [])
        self.service.arrive([0] * sheddable)
        for _ in range(steps):
            self.service.step(0.0, [])

    @invariant()
    def no_lower_priority_starts_after_a_higher_one_is_refused(self) -> None:
        if not hasattr(self, "service"):
            return
        assert not self.service.order_violations, self.service.order_violations[:3]
        assert not self.service.checker.total()

    @invariant()
    def every_layer_decides_alike_about_a_request(self) -> None:
        if not hasattr(self, "service"):
            return
        controller = self.service.controller
        assert controller.level % 2 == 0
        for priority in range(3):
            entry = self.service.context(priority)
            deeper = entry._replace(depth=3)
            # A request admitted at the entry is admitted at deeper hops, and ranks of different
            # priorities do not overlap.
            assert not controller.admits(entry) or controller.admits(deeper)
            assert deeper.rank // 256 == entry.rank // 256 == priority

    def teardown(self) -> None:
        if hasattr(self, "service"):
            self.service.close()


class ShedOrderTest(ShedOrderMachine.TestCase):
    """Guards against a lower priority admitted in a window that refuses a higher one."""

    settings = settings(max_examples=40, stateful_step_count=12)


class CriticalShareTest(TestCase):
    """Guards against critical requests shed while capacity suffices, and against idle capacity."""

    def run_load(self, factor: float, priorities: list[int], steps: int) -> Service:
        service = Service()
        self.addCleanup(service.close)
        for _ in range(steps):
            service.step(factor, priorities)
        return service

    def test_no_critical_request_is_refused_while_capacity_suffices(self) -> None:
        mixes = {2.0: [2, 0, 1, 0], 5.0: [2] + [0] * 9, 10.0: [2] + [1, 0] * 8}
        for factor, priorities in mixes.items():
            with self.subTest(factor=factor):
                service = self.run_load(factor, priorities, 300)
                self.assertEqual(service.refusals[CRITICAL], 0)
                self.assertGreater(sum(service.refusals), 0)

    def test_critical_requests_alone_above_capacity_are_served_up_to_capacity(self) -> None:
        for factor in (2.0, 5.0, 10.0):
            with self.subTest(factor=factor):
                service = self.run_load(factor, [2, 2, 2, 0], STEPS_FOR_CRITICAL_ALONE)
                possible = CAPACITY_PER_SECOND * STEP_SECONDS * STEPS_FOR_CRITICAL_ALONE
                self.assertGreaterEqual(service.starts[CRITICAL], 0.9 * possible)

    def test_lowest_priority_keeps_its_share_while_no_higher_one_is_refused(self) -> None:
        service = self.run_load(2.0, [1, 0], 600)
        self.assertGreater(service.starts[0], 0)

    def test_level_opens_within_two_windows_after_a_surge(self) -> None:
        service = self.run_load(5.0, [2, 1, 0, 0], 300)
        self.assertGreater(service.controller.level, 0)
        for _ in range(int(1.0 / STEP_SECONDS)):
            service.step(0.5, [2, 1, 0, 0])
        before = service.refusals[:]
        for _ in range(int(20 * WINDOW_SECONDS / STEP_SECONDS)):
            service.step(0.5, [2, 1, 0, 0])
        self.assertEqual(service.controller.level, 0)
        self.assertEqual(service.refusals, before)

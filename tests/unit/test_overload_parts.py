"""Unit tests of overload control: limit, demand, reported levels and unhealthy addresses."""

from random import Random
from unittest import TestCase

from coltsfoottrack._internal.admission.demand import DemandEstimate, lowest_rank
from coltsfoottrack._internal.admission.limiter import ConcurrencyLimiter
from coltsfoottrack._internal.routing.levels import ReportedLevels
from coltsfoottrack._internal.routing.unhealthy import AVOIDANCE_SECONDS, UnhealthyAddresses


class Clock:
    """A clock that a test advances."""

    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        return self.now


class SimulatedServer:
    """A backend server with slots, under more load than the limiter admits."""

    def __init__(self, limiter: ConcurrencyLimiter, clock: Clock, slots: int, queue: int) -> None:
        self.limiter = limiter
        self.clock = clock
        self.slots = slots
        self.max_accepted = slots + queue
        self.service_seconds = 0.04
        self.random = Random(7)
        self.queued: list[float] = []
        self.ends: list[float] = []
        self.done = 0

    def run(self, seconds: float) -> None:
        until = self.clock.now + seconds
        while self.clock.now < until:
            self.clock.now += 0.001
            while self.limiter.has_room():
                self.limiter.start()
                if len(self.queued) + len(self.ends) >= self.max_accepted:
                    self.limiter.finish(True)
                    break
                self.queued.append(self.clock.now)
            for end in [end for end in self.ends if end <= self.clock.now]:
                self.ends.remove(end)
                self.done += 1
                self.limiter.finish(False, self.service_seconds)
            while self.queued and len(self.ends) < self.slots:
                self.queued.pop(0)
                spread = self.random.uniform(0.7, 1.3)
                self.ends.append(self.clock.now + self.service_seconds * spread)


class LimiterTest(TestCase):
    """Guards against a limit far from the real slots after a wrong announcement or a slowdown."""

    def start(self, announced: int, slots: int) -> tuple[ConcurrencyLimiter, SimulatedServer]:
        clock = Clock()
        limiter = ConcurrencyLimiter(clock=clock)
        limiter.begin_cold(announced)
        return limiter, SimulatedServer(limiter, clock, slots, 4)

    def test_limit_converges_when_too_many_slots_are_announced(self) -> None:
        limiter, server = self.start(announced=80, slots=8)
        server.run(10.0)
        self.assertLessEqual(limiter.effective_limit, 12)
        self.assertGreaterEqual(server.done, 0.9 * 10.0 * 8 / 0.04)

    def test_too_few_announced_slots_do_not_leave_the_server_idle(self) -> None:
        limiter, server = self.start(announced=2, slots=8)
        server.run(20.0)
        self.assertGreaterEqual(limiter.effective_limit, 7)

    def test_capacity_drops_when_the_server_completes_no_requests(self) -> None:
        limiter, server = self.start(announced=8, slots=8)
        server.run(2.0)
        before = limiter.capacity_per_second()
        server.clock.now += 5.0
        self.assertLess(limiter.capacity_per_second(), before / 10)


class DemandTest(TestCase):
    """Guards against a level that is too low, as calls refused by callers are not counted."""

    def test_demand_includes_calls_that_callers_refuse_early(self) -> None:
        demand = DemandEstimate()
        for _ in range(100):
            for _ in range(5):
                demand.record(0, True)
            # Callers refuse half of the buckets early, so those calls never arrive.
            demand.close_window(0.1, 128)
        self.assertAlmostEqual(demand.rates[0], 100.0, delta=1.0)

    def test_level_refuses_the_lowest_priorities_first(self) -> None:
        demand = DemandEstimate()
        demand.rates = [100.0, 50.0, 30.0]
        self.assertEqual(demand.level_for(200.0, 0.01), 0)
        self.assertTrue(lowest_rank(0) < demand.level_for(100.0, 0.01) < lowest_rank(1))
        self.assertTrue(lowest_rank(1) < demand.level_for(50.0, 0.01) < lowest_rank(2))
        self.assertGreater(demand.level_for(20.0, 0.01), lowest_rank(2))


class ReportedLevelsTest(TestCase):
    """Guards against a burst of probes for the level, and against no probe at all."""

    def test_one_call_at_a_time_is_sent_as_a_probe(self) -> None:
        clock = Clock()
        levels = ReportedLevels(0.25, clock)
        levels.record("stores/lookup", "one", 200)
        levels.record("stores/lookup", "two", 100)
        self.assertEqual(levels.level("stores/lookup"), 150)
        self.assertTrue(levels.refuses("stores/lookup", 148))
        self.assertFalse(levels.refuses("stores/lookup", 150))
        clock.now = 0.3
        self.assertFalse(levels.refuses("stores/lookup", 0))
        self.assertTrue(levels.refuses("stores/lookup", 0))
        # One answer shows recovery, and outdates the earlier report of the other node.
        clock.now = 0.5
        levels.record("stores/lookup", "one", 0)
        self.assertEqual(levels.level("stores/lookup"), 0)
        levels.record("stores/lookup", "two", 100)
        clock.now = 6.0
        self.assertEqual(levels.level("stores/lookup"), 0)


class UnhealthyAddressesTest(TestCase):
    """Guards against a recovered node that is still avoided."""

    def test_unhealthy_address_is_tried_again_after_a_second(self) -> None:
        clock = Clock()
        unhealthy = UnhealthyAddresses(clock)
        unhealthy.record("a", True)
        self.assertTrue(unhealthy.is_unhealthy("a"))
        clock.now = AVOIDANCE_SECONDS
        self.assertFalse(unhealthy.is_unhealthy("a"))

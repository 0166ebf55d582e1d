"""The periodic work of a node, which is done seldom while the node is idle."""

from unittest import TestCase
from unittest.mock import patch

from coltsfoottrack._internal.mesh import levels, work_timer
from coltsfoottrack._internal.mesh.levels import OwnLevel
from coltsfoottrack._internal.mesh.work_timer import (
    BUSY_SECONDS,
    IDLE_SECONDS,
    SETTLING_SECONDS,
    WorkTimer,
)


class FakeLoop:
    """A loop in virtual time that holds one timer."""

    def __init__(self) -> None:
        self.now = 100.0
        self.timers = []

    def time(self) -> float:
        return self.now

    def call_at(self, due, run):
        self.timers = [(due, run)]
        return self

    def cancel(self) -> None:
        self.timers = []

    def advance(self, seconds: float) -> None:
        """Runs the timers that become due."""
        end = self.now + seconds
        while self.timers and self.timers[0][0] <= end:
            self.now, run = self.timers.pop()
            run()
        self.now = end


class WorkTimerTest(TestCase):
    """The intervals of the work."""

    def setUp(self):
        self.loop = FakeLoop()
        patcher = patch.object(work_timer, "get_running_loop", lambda: self.loop)
        patcher.start()
        self.addCleanup(patcher.stop)
        self.next = BUSY_SECONDS
        self.calls = []
        self.timer = WorkTimer(self.work)
        self.timer.start()

    def work(self) -> float:
        self.calls.append(self.loop.now)
        return self.next

    def test_single_request_at_an_idle_node_is_checked_as_soon_as_at_a_busy_one(self):
        """Guards against a request that is ended up to a second after it has expired."""
        self.next = IDLE_SECONDS
        self.loop.advance(0.4)
        self.next = BUSY_SECONDS
        self.assertTrue(self.timer.wake())
        woken_at = self.loop.now
        self.loop.advance(BUSY_SECONDS)
        self.assertLessEqual(self.calls[-1] - woken_at, BUSY_SECONDS)
        self.assertEqual(2, len(self.calls))
        self.assertFalse(self.timer.wake())

    def test_sparse_requests_do_not_shift_the_intervals(self):
        """Guards against averages over longer intervals at a low rate of requests."""
        self.next = SETTLING_SECONDS
        for _ in range(20):
            self.loop.advance(0.07)
            self.timer.wake()
        for earlier, later in zip(self.calls, self.calls[1:], strict=False):
            intervals = (later - earlier) / BUSY_SECONDS
            self.assertAlmostEqual(round(intervals), intervals)

    def test_failed_work_is_done_again(self):
        """Guards against requests that never expire after one error."""
        fails = patch.object(self.timer, "work", side_effect=ValueError)
        with fails, self.assertRaises(ValueError):
            self.loop.advance(BUSY_SECONDS)
        self.loop.advance(BUSY_SECONDS)
        self.assertEqual(1, len(self.calls))

    def test_closed_timer_does_no_work(self):
        self.timer.close()
        self.loop.advance(1.0)
        self.assertEqual([], self.calls)


class SurgeAfterIdleTimeTest(TestCase):
    """200 requests a second at a backend server for 50, after ten seconds without any."""

    def test_level_falls_as_fast_as_without_idle_time(self):
        """Guards against the idle time as part of the interval, which hides the surge."""
        with patch.object(levels, "current_time", lambda: 0.05):
            idle = OwnLevel()
            steady = OwnLevel()
        for interval in range(1, 100):
            steady.update(0.02, 0, 0.05 + interval * 0.101)
        self.assertTrue(idle.is_settled())
        idle.resume(steady.updated + 0.05)
        for _ in range(10):
            now = steady.updated + 0.101
            for level in (idle, steady):
                level.arrived = 20
                level.update(0.02, 0, now)
            self.assertAlmostEqual(steady.rate, idle.rate, delta=1.0)
            self.assertAlmostEqual(steady.level, idle.level, delta=0.01)
        self.assertLess(idle.level, 0.5)

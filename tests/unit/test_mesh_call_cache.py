"""What a runner remembers of the calls that it has had."""

from unittest import TestCase

from hypothesis import given
from hypothesis import strategies as st

from coltsfoottrack._internal.mesh.call_cache import CallCache
from coltsfoottrack._internal.mesh.runner_call import CallKey, RunnerCall, RunResult
from coltsfoottrack._internal.schema.links_pb2 import RESULT_ANSWERED, Request


def ignore(call: RunnerCall) -> None:
    """Takes a result."""


class CallCacheTest(TestCase):
    """A call is remembered for as long as its sender may send it again."""

    def setUp(self) -> None:
        self.cache = CallCache()

    def add(self, number: int, seconds: float, idempotent: bool = False) -> RunnerCall:
        """Adds a call with this time left."""
        message = Request(
            number=number, route="r", idempotent=idempotent, time_left_ms=int(seconds * 1000.0)
        )
        call = RunnerCall(CallKey("n", 1, number), message, ignore)
        self.cache.add(call)
        return call

    def finish(self, call: RunnerCall, at: float) -> None:
        """Ends a call, as the runner does."""
        call.done = True
        call.answer = RunResult(RESULT_ANSWERED, "")
        self.cache.release_request(call)
        self.cache.hold_answer(call, at)

    # TWICE: an order that had ended after 15 s was forgotten while its sender could send it again.
    def test_long_order_is_remembered_until_it_expires(self):
        call = self.add(1, 30.0)
        self.finish(call, call.arrived + 16.0)
        for seconds in (16.1, 20.0, 29.9, 30.1):
            self.cache.evict(call.arrived + seconds)
            self.assertIs(self.cache.get(call.key), call, seconds)
        self.cache.evict(call.arrived + 33.0)
        self.assertIsNone(self.cache.get(call.key))

    def test_long_call_does_not_keep_short_ones(self):
        """Guards against memory that grows for as long as one call runs."""
        long = self.add(1, 120.0)
        for number in range(2, 100):
            self.finish(self.add(number, 1.0), long.arrived)
        self.cache.evict(long.arrived + 20.0)
        self.assertEqual(list(self.cache.calls), [long.key])

    def test_running_call_is_kept_whatever_its_age(self):
        """Guards against a run that cannot be cancelled or asked for."""
        call = self.add(1, 1.0)
        self.cache.evict(call.arrived + 60.0)
        self.assertIs(self.cache.get(call.key), call)
        self.finish(call, call.arrived + 60.0)
        self.cache.evict(call.arrived + 62.0)
        self.assertIsNone(self.cache.get(call.key))

    @given(st.lists(st.tuples(st.floats(1.0, 120.0), st.floats(0.0, 1.5)), max_size=12))
    def test_no_order_is_forgotten_before_it_expires(self, calls):
        """Guards against an order of eviction that depends on the order of arrival."""
        self.cache = CallCache()
        added = []
        for number, (seconds, ended) in enumerate(calls):
            call = self.add(number, seconds)
            added.append((call, call.arrived + seconds * ended))
        if not added:
            return
        start = added[0][0].arrived
        for step in range(0, 260):
            now = start + step * 0.75
            for call, ends in added:
                if not call.done and now >= ends:
                    self.finish(call, now)
            self.cache.evict(now)
            for call, _ in added:
                if now < call.expires or not call.done:
                    self.assertIs(self.cache.get(call.key), call)
        self.assertEqual(len(self.cache.calls), 0)

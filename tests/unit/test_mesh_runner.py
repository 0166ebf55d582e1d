"""The runner on its own, without a network."""

from os import O_WRONLY, devnull
from os import open as open_file
from time import perf_counter
from unittest import TestCase
from unittest.mock import Mock, patch

from coltsfoottrack._internal.mesh.backend_connection import BackendPool
from coltsfoottrack._internal.mesh.backend_state import BackendState
from coltsfoottrack._internal.mesh.clock import current_time
from coltsfoottrack._internal.mesh.decisions import DecisionLog, LineWriter
from coltsfoottrack._internal.mesh.directory import Directory
from coltsfoottrack._internal.mesh.level_reports import LevelReporter
from coltsfoottrack._internal.mesh.links import Links
from coltsfoottrack._internal.mesh.model import Member, RetryBounds
from coltsfoottrack._internal.mesh.parent_requests import ParentRequests
from coltsfoottrack._internal.mesh.retry_budget import RetryBudget
from coltsfoottrack._internal.mesh.runner import Runner
from coltsfoottrack._internal.mesh.runner_call import CallKey, RunnerCall, RunResult
from coltsfoottrack._internal.observability.plain_histogram import PlainHistogram
from coltsfoottrack._internal.schema.links_pb2 import (
    RESULT_ANSWERED,
    RESULT_NOT_RUN,
    RESULT_UNKNOWN,
    Request,
)
from coltsfoottrack.platform.names import HEADERS, parent_identifier


def make_runner() -> Runner:
    """Returns a runner whose backend server has not reported yet."""
    log = DecisionLog("n", LineWriter(open_file(devnull, O_WRONLY)))
    return Runner(
        BackendState("127.0.0.1:9", log),
        BackendPool("127.0.0.1:9", HEADERS),
        RetryBudget(RetryBounds(0.2, 48.0, 10.0)),
        ParentRequests(parent_identifier),
        HEADERS,
        log,
        PlainHistogram((1.0,)),
    )


def remember(runner: Runner, count: int) -> None:
    """Adds answered calls to the runner's cache."""
    for number in range(count):
        key = CallKey("n", 1, number)
        runner.submit(RunnerCall(key, Request(number=number), lambda call: None))
        call = runner.call_cache.calls[key]
        call.answer = RunResult(RESULT_ANSWERED, "", 200, b"", b"body")
        runner.call_cache.hold_answer(call, current_time())


def tick_seconds(runner: Runner) -> float:
    """Returns the shortest time of 20 ticks while all calls are cached."""
    now = current_time() + 5.0
    times = []
    for _ in range(20):
        began = perf_counter()
        runner.tick(now)
        times.append(perf_counter() - began)
    return min(times)


class ShortOfMemoryTest(TestCase):
    """Calls that find no memory at the runner."""

    def setUp(self):
        self.runner = make_runner()
        self.runner.pool.account.limit_bytes = 0

    def result(self, **fields: bool) -> int:
        """Submits a call; returns its result."""
        results = []
        message = Request(number=1, head=b"POST / HTTP/1.1", **fields)
        call = RunnerCall(
            CallKey("n", 1, 1), message, lambda call: results.append(call.answer.result)
        )
        self.runner.submit(call)
        return results[0]

    # REFUSED: an order that was sent again may have run before this process forgot it.
    def test_order_that_was_sent_again_is_not_refused(self):
        self.assertEqual(self.result(resent=True), RESULT_UNKNOWN)

    def test_call_whose_body_found_no_room_on_its_link(self):
        """Guards against the same for a body that was not received: only a new call is refused."""
        member = Member("runner", "10.0.0.1:1", "east", "s")
        distribution = Mock(handlers={})
        links = Links(
            Directory(member),
            self.runner,
            Mock(),
            Mock(),
            Mock(version=1),
            distribution,
            Mock(),
            None,
        )
        for resent, expected in ((True, RESULT_UNKNOWN), (False, RESULT_NOT_RUN)):
            connection = Mock(node="n", process=1)
            message = Request(number=1, resent=resent)
            with patch.object(links, "_level", return_value=1.0):
                links.receive_large(connection, "request", message, None)
            reply = connection.send.call_args.args[0].reply
            self.assertEqual((reply.number, reply.result, reply.reason), (1, expected, "memory"))

    def test_new_call_is_refused(self):
        """Guards against a call that is run although there is no room for it."""
        self.assertEqual(self.result(), RESULT_NOT_RUN)
        self.assertEqual(self.runner.pool.account.used_bytes, 0)


class RouteSheddingTest(TestCase):
    """Requests of a route are refused because its runs find no capacity below."""

    def setUp(self):
        self.runner = make_runner()
        self.runner.level.set_ranks(2)
        self.runner.whole_requests.set_ranks(2)
        self.now = current_time()

    def run_for(self, steps: int, failed: bool) -> None:
        """Ends one run of each rank in each step of 50 ms."""
        for _ in range(steps):
            self.now += 0.05
            for rank in (0, 1):
                self.runner.whole_requests.record_outcome("r", rank, failed, self.now)
            self.runner.tick(self.now)

    def test_start_and_end_are_logged_once(self):
        """Guards against refusals without a line that says why."""
        self.run_for(60, True)
        self.run_for(60, False)
        counts = self.runner.log.log.counts
        self.assertEqual(counts["route_shedding_started"], 1)
        self.assertEqual(counts["route_shedding_ended"], 1)

    def test_level_is_reported_to_other_nodes(self):
        """Guards against entries that go on admitting requests that will fail."""
        self.run_for(60, True)
        self.runner.served_routes["r"] = self.now
        (reported,) = LevelReporter(self.runner, self.runner.parent_requests).due(self.now)
        self.assertLess(reported.level, 1500)


class RememberedCallsTest(TestCase):
    """Answered calls stay cached, for a sender that sends them again."""

    def test_tick_does_not_scan_all_cached_calls(self):
        """Guards against ticks that use up the CPU at hundreds of calls per second."""
        few = make_runner()
        remember(few, 10)
        many = make_runner()
        remember(many, 20_000)
        # A scan of all calls took a thousand times as long.
        self.assertLess(tick_seconds(many), 100 * tick_seconds(few))

    def test_answers_are_evicted_before_the_calls(self):
        """Guards against memory growth with the number of calls, and against second runs."""
        runner = make_runner()
        remember(runner, 5)
        runner.tick(current_time() + 4.0)
        self.assertEqual(len(runner.call_cache.calls), 5)
        self.assertEqual([call.answer for call in runner.call_cache.calls.values()], [None] * 5)

    def test_refused_call_keeps_its_answer_but_not_its_body(self):
        """Guards against uploads that fill the memory of a node that refuses them."""
        runner = make_runner()
        key = CallKey("n", 1, 1)
        runner.submit(RunnerCall(key, Request(number=1, body=b"x" * 1000), lambda call: None))
        runner.tick(current_time() + 4.0)
        call = runner.call_cache.calls[key]
        self.assertEqual(call.answer.reason, "no_backend")
        self.assertEqual(call.message.body, b"")

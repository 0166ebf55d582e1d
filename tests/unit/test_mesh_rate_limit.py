"""Backend servers that name a rate limit in their answers."""

from asyncio import Task, create_task, gather, get_running_loop, sleep
from os import O_WRONLY, devnull
from os import open as open_file
from unittest import TestCase

from coltsfoottrack._internal.mesh.backend_rate import BackendRate, parse_rate
from coltsfoottrack._internal.mesh.backend_state import BackendState, Lifetime
from coltsfoottrack._internal.mesh.daemon import MeshNode
from coltsfoottrack._internal.mesh.decisions import DecisionLog, LineWriter
from coltsfoottrack._internal.schema.links_pb2 import Reply
from tests.standins.backend import StandInBackend
from tests.standins.mesh import Answer, MeshTestCase, encode
from tests.unit.test_mesh_runner import make_runner

WINDOW_SECONDS = 4.0
LIMIT_PER_SECOND = 10.0
# The users' rule: one and a half times the limit, and 5 requests, in any window.
ALLOWED = 1.5 * LIMIT_PER_SECOND * WINDOW_SECONDS + 5


def make_rate() -> BackendRate:
    """Returns the rate of a backend server whose process has reported."""
    log = DecisionLog("n", LineWriter(open_file(devnull, O_WRONLY)))
    backend = BackendState("127.0.0.1:9", log)
    backend.identifier = "i-1"
    return BackendRate(backend, log)


class BackendRateTest(TestCase):
    """Pacing at a named rate, without a network."""

    def test_any_window_stays_within_the_limit(self):
        """Guards against bursts after a pause that exceed the limit of a window."""
        rate = make_rate()
        rate.observe(LIMIT_PER_SECOND, rate.backend.lifetime, 0.0)
        now = rate.named_at
        sent = []
        for step in range(2000):
            now += 0.01
            # Nothing arrives for 5 s out of 10.
            if step % 1000 < 500 or rate.seconds_until(1, now) > 0.0:
                continue
            rate.take()
            sent.append(now)
        for first, start in enumerate(sent):
            within = [at for at in sent[first:] if at < start + WINDOW_SECONDS]
            self.assertLessEqual(len(within), ALLOWED)
        self.assertGreaterEqual(len(sent), 9.0 * LIMIT_PER_SECOND)

    def test_waiting_requests_pass_at_the_limit(self):
        """Guards against a wait that ignores the requests ahead."""
        rate = make_rate()
        rate.observe(10.0, rate.backend.lifetime, 0.0)
        self.assertAlmostEqual(rate.seconds_until(5, rate.named_at), 0.5, delta=0.01)

    def test_limit_of_an_earlier_process_ends(self):
        """Guards against a restarted server that gets less than it takes."""
        rate = make_rate()
        earlier = rate.backend.lifetime
        rate.observe(10.0, earlier, 0.0)
        rate.backend.started_ms += 1
        self.assertEqual(rate.seconds_until(100, rate.named_at), 0.0)
        rate.observe(10.0, earlier, 0.0)
        self.assertIsNone(rate.limit)

    def test_single_answer_without_the_limit_does_not_end_it(self):
        """Guards against a burst after one answer that lacks the limit."""
        rate = make_rate()
        lifetime = Lifetime("i-1", 0)
        rate.observe(10.0, lifetime, 0.0)
        rate.observe(None, lifetime, 0.0)
        self.assertEqual(rate.limit, 10.0)
        rate.named_at -= 2.0
        rate.observe(None, lifetime, 0.0)
        self.assertIsNone(rate.limit)

    def test_server_that_takes_nothing_is_asked_now_and_then(self):
        """Guards against a limit of 0 whose end is never learnt."""
        rate = make_rate()
        rate.observe(0.0, rate.backend.lifetime, 0.0)
        self.assertLessEqual(rate.seconds_until(1, rate.named_at), 2.0)

    def test_unreadable_limits_are_ignored(self):
        """Guards against limits that no server means."""
        for value in (b"", b"nan", b"-1", b"inf", b"ten", b"1,5"):
            self.assertIsNone(parse_rate(value), value)
        self.assertEqual(parse_rate(b"24.7"), 24.7)


class ReportedLoadTest(TestCase):
    """The load that a runner reports while its backend server names a limit."""

    def test_reported_load_is_bounded(self):
        """Guards against a load that no message can carry, under a low limit and a long queue."""
        runner = make_runner()
        runner.backend.slots = 100_000
        runner.rate.observe(0.0, runner.backend.lifetime, 0.0)
        runner.level.load = 1e6
        self.assertEqual(Reply(load=runner.load).load, 1_000_000)


class RateLimitTest(MeshTestCase):
    """The rate limit of a backend server holds for all nodes together."""

    async def send_at_rate(
        self, nodes: list[MeshNode], per_second: float, seconds: float, path: str = "/read/"
    ) -> list[Answer]:
        """Sends requests at a constant rate, from the nodes in turn; returns the answers."""
        tasks: list[Task[Answer]] = []
        count = int(per_second * seconds)
        began = get_running_loop().time()
        for number in range(count):
            await sleep(began + number / per_second - get_running_loop().time())
            request = encode(path, f"r{began}-{number}", Deadline_Ms="1500")
            node = nodes[number % len(nodes)]
            tasks.append(create_task(self.send_request(node, request)))
        return await gather(*tasks)

    def assert_within_limit(self, backend: StandInBackend, since: float) -> None:
        """Checks each window of the arrivals after a time."""
        arrivals = [at for at in backend.arrivals if at >= since]
        for first, start in enumerate(arrivals):
            within = [at for at in arrivals[first:] if at < start + WINDOW_SECONDS]
            self.assertLessEqual(len(within), ALLOWED, f"from {start - since:.2f} s on")

    async def test_backend_server_gets_no_more_than_its_rate_limit(self):
        """Guards against a rate limit that no node keeps, which LIMIT forbids."""
        fronts = [await self.start("front", "portal"), await self.start("other", "portal")]
        await self.start("store", slots=50)
        await self.wait_for_members(3)
        backend = self.backends[2]
        backend.rate_limit = str(LIMIT_PER_SECOND)
        for front in fronts:
            answer = await self.send_request(
                front, encode("/read/", f"first-{front.settings.node}")
            )
            self.assertEqual(answer.headers["server-limit"], backend.rate_limit)
        named = get_running_loop().time()
        answers = await self.send_at_rate(fronts, 60.0, WINDOW_SECONDS + 1.0)
        self.assert_within_limit(backend, named)
        statuses = {answer.status for answer in answers}
        self.assertEqual(statuses, {200, 503})
        served = [answer for answer in answers if answer.status == 200]
        # What the backend server asks for is used.
        self.assertGreaterEqual(len(served), 0.8 * LIMIT_PER_SECOND * WINDOW_SECONDS)

    async def test_limit_holds_over_a_restart_of_the_node(self):
        """Guards against a restarted node that does not know the limit before the first answer."""
        front = await self.start("front", "portal")
        store = await self.start("store", slots=100)
        await self.wait_for_members(2)
        backend = self.backends[1]
        backend.rate_limit = str(LIMIT_PER_SECOND)
        await self.send_request(front, encode("/read/", "first"))
        named = get_running_loop().time()
        store.close()
        await sleep(0.02)
        again = await self.start_node(store.settings)
        await backend.report(again.settings.report_address)
        await self.wait_until(lambda: bool(again.links.accepted))
        # No answer comes before many more requests have arrived.
        backend.work_seconds = 1.5
        await self.send_at_rate([front], 100.0, 2.0)
        self.assert_within_limit(backend, named)
        self.assertGreaterEqual(len(backend.arrivals), LIMIT_PER_SECOND)

"""The load that a backend server reports, and what its own node derives from it."""

from random import Random
from unittest import TestCase
from unittest.mock import patch

from coltsfoottrack._internal.cli.mesh_metrics import parse_metrics
from coltsfoottrack._internal.mesh.backend_connection import BackendResponse
from coltsfoottrack._internal.mesh.backend_load import LoadReport, parse_load
from coltsfoottrack._internal.mesh.backend_state import Lifetime
from coltsfoottrack._internal.mesh.clock import current_time
from coltsfoottrack._internal.mesh.daemon import MeshNode
from coltsfoottrack._internal.mesh.metrics import scrape
from coltsfoottrack._internal.mesh.own_capacity import OwnCapacity
from coltsfoottrack._internal.mesh.runner_call import CallKey, RunnerCall
from coltsfoottrack._internal.schema.links_pb2 import Reply, Request
from tests.standins.mesh import MeshTestCase, encode
from tests.unit.test_mesh_runner import make_runner

PROCESS = Lifetime("i-1", 1)
RUN_SECONDS = 0.04


def make_capacity(slots: int = 20) -> OwnCapacity:
    """Returns the state of a backend server that has reported to its node."""
    backend = make_runner().backend
    backend.identifier, backend.started_ms = PROCESS
    backend.slots = slots
    return OwnCapacity(backend)


def run(capacity: OwnCapacity, start: float, seconds: float, *load: int, status: int = 200) -> None:
    """Runs a request whose answer reports a load."""
    call = RunnerCall(CallKey("n", 1, 1), Request(route="read"), lambda call: None)
    call.sent_at = start
    call.lifetime = PROCESS
    capacity.start(call, start)
    answer = BackendResponse(status, b"", b"", False, load=LoadReport(*load) if load else None)
    capacity.observe(call, answer, start + seconds)


class ParseTest(TestCase):
    """Guards against a malformed header that ends an answer or changes the load."""

    def test_three_or_four_numbers(self):
        self.assertEqual(parse_load(b"3,0,8,250"), (3, 0, 8, 250))
        self.assertEqual(parse_load(b" 3, 0 ,8"), (3, 0, 8, 0))

    def test_anything_else_is_ignored(self):
        for value in (
            b"",
            b"3",
            b"3,0",
            b"3,0,8,1,1",
            b"3,-1,8",
            b"3,0,8,x",
            b"3,0,8,",
            b"3,0,8,1e3",
        ):
            with self.subTest(value=value):
                self.assertIsNone(parse_load(value))
        self.assertIsNone(parse_load(b"3,0,8," + b"9" * 5000))
        self.assertIsNone(parse_load("3,0,8,²".encode()))


class CapacityTest(TestCase):
    """Instances shared with others, which run at 1/2.5 of their speed for 0.6 s at a time."""

    def test_absent_or_zero_value_changes_nothing(self):
        """Guards against deployments without the value that are served differently."""
        for load in ((), (19, 3, 20), (19, 3, 20, 0)):
            capacity = make_capacity()
            for step in range(100):
                run(capacity, step * 0.1, 0.2, *load)
            self.assertEqual(capacity.per_second(10.0), 0.0)
            self.assertEqual(capacity.limit(10.0), capacity.backend.limit)
            self.assertEqual(capacity.run_seconds(0.7, 10.0), 0.7)

    def test_usual_time_is_learned_through_slow_periods(self):
        """Guards against a capacity that counts a slow period as the usual speed."""
        capacity = make_capacity()
        start = 0.0
        for step in range(400):
            slowdown = 250 if step % 100 < 30 else 100
            run(capacity, start, RUN_SECONDS * slowdown / 100, 5, 0, 20, slowdown)
            start += RUN_SECONDS * slowdown / 100
        usual = capacity.run_times.usual_seconds("read", start)
        self.assertAlmostEqual(usual, RUN_SECONDS, delta=0.1 * RUN_SECONDS)
        self.assertAlmostEqual(capacity.per_second(start), 19 / RUN_SECONDS, delta=60.0)

    def test_slowdown_applies_at_once_and_fades(self):
        """Guards against an expected wait that lags, and a slowdown that is believed for ever."""
        capacity = make_capacity()
        for step in range(50):
            run(capacity, step * 0.05, RUN_SECONDS, 5, 0, 20, 100)
        before = capacity.per_second(2.5)
        run(capacity, 2.5, RUN_SECONDS, 5, 0, 20, 250)
        now = 2.5 + RUN_SECONDS
        self.assertAlmostEqual(capacity.run_seconds(0.0, now), 2.5 * RUN_SECONDS, delta=0.02)
        self.assertGreater(capacity.per_second(now), 0.9 * before)
        self.assertAlmostEqual(capacity.run_seconds(0.0, now + 2.0), RUN_SECONDS, delta=0.01)

    def test_failed_runs_and_a_new_process(self):
        """Guards against quick failures that look like a fast server, and against old values."""
        capacity = make_capacity()
        for step in range(50):
            run(capacity, step * 0.05, RUN_SECONDS, 5, 0, 20, 100)
            run(capacity, step * 0.05 + 0.041, 0.001, 5, 0, 20, 100, status=500)
        self.assertAlmostEqual(capacity.per_second(2.5), 19 / RUN_SECONDS, delta=20.0)
        capacity.backend.started_ms = 2
        self.assertEqual(capacity.per_second(2.5), 0.0)


class SlowedLimitTest(TestCase):
    """Slots of a server that is slow because of the requests that it runs, and one that is not."""

    def play(self, shared_processor: bool) -> int:
        """Returns the limit after requests came and went, at a slowdown of about 3."""
        capacity = make_capacity(40)
        capacity.targets = {"read": RUN_SECONDS * 2.5}
        random = Random(5)
        running = 30
        slowdown = 1.0
        for step in range(4000):
            now = step * 0.01
            running = max(20, min(38, running + random.choice((-1, 1))))
            if shared_processor:
                slowdown = running / 10.0
            elif step % 75 == 0:
                # Slow from outside: more requests run during the slow period, as they take longer.
                slowdown = 3.0 if slowdown == 1.0 else 1.0
            if not shared_processor and step % 75 < 10:
                running = max(20, min(38, running + (2 if slowdown > 1.0 else -2)))
            seconds = RUN_SECONDS * slowdown
            run(capacity, now - seconds, seconds, running, 0, 40, int(slowdown * 100))
        run(capacity, now, 0.01, running, 0, 40, 300)
        return capacity.limit(now + 0.01)

    def test_fewer_at_a_time_only_where_it_helps(self):
        """Guards against a limit that halves the throughput of a server slowed from outside."""
        self.assertEqual(self.play(shared_processor=False), 38)
        self.assertLess(self.play(shared_processor=True), 28)


class ReportedCapacityTest(MeshTestCase):
    """Nodes with real connections."""

    async def send(self, front: MeshNode, count: int) -> None:
        for number in range(count):
            await self.send_request(front, encode("/read/", f"{current_time()}-{number}"))

    async def test_replies_carry_capacity_only_where_a_slowdown_is_reported(self):
        """Guards against a value that is lost on its way, and one that nobody has reported."""
        front = await self.start("front", "portal")
        await self.start("store", slots=10)
        await self.wait_for_members(2)
        await self.send(front, 15)
        self.assertEqual(front.directory.balancer.services, {})
        self.backends[1].slowdown_percent = 100
        await self.send(front, 15)
        peer = front.directory.peers["store"]
        # 9 requests of 10 ms at a time.
        self.assertLess(peer.capacity, 1000.0)
        self.assertGreater(peer.capacity, 100.0)
        metrics = parse_metrics("a", scrape(front).decode())
        self.assertGreater(metrics.values["load_age_seconds_count"], 0.0)
        self.assertGreater(parse_metrics("a", scrape(self.nodes[1]).decode()).values["capacity"], 0)

    def test_greatest_capacity_fits_its_field(self):
        """Guards against a reply that cannot be sent, for a server with very short runs."""
        runner = make_runner()
        runner.capacity = make_capacity(100_000)
        for _ in range(20):
            run(runner.capacity, 1.0, 0.0, 5, 0, 20, 10)
        runner.capacity.run_times.mean_at = -1.0
        with patch("coltsfoottrack._internal.mesh.runner.current_time", lambda: 1.0):
            self.assertGreater(Reply(capacity=runner.reported_capacity()).capacity, 10**9)

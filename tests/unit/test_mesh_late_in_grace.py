"""Requests that come while a node stops: taken and finished, or refused without having run."""

from asyncio import Task, create_task, gather, sleep, wait_for
from unittest import TestCase
from unittest.mock import patch

from coltsfoottrack._internal.mesh.clock import current_time
from coltsfoottrack._internal.mesh.daemon import MeshNode
from coltsfoottrack._internal.mesh.entry_gate import EntryGate
from coltsfoottrack._internal.mesh.model import Route
from coltsfoottrack._internal.mesh.seen_durations import MIN_SEEN, SeenDurations
from tests.standins.mesh import Answer, MeshTestCase, configuration, encode, read_answer

# A request at work may be ended by the node itself in the last part of the grace period only.
LAST_PART_OF_GRACE = 5.0 / 6.0
ROUTES = {
    "read": {"pathPrefix": "/read/", "service": "stock"},
    "order": {"pathPrefix": "/order/", "service": "stock", "type": "unsafe", "priority": 0},
    "long": {
        "pathPrefix": "/long/",
        "service": "stock",
        "type": "unsafe",
        "timeoutMs": 20_000,
        "targetLatencyMs": 500,
    },
}


class LateRequestTest(MeshTestCase):
    """Requests of callers and of other nodes, on kept connections and on links."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.store.put("config", "main", configuration(1, **ROUTES))
        self.front = await self.start("front", "portal")
        self.stock = await self.start("stock")
        await self.wait_for_members(2)
        self.backend = self.backends[1]

    def stop_after(self, node: MeshNode, grace_seconds: float) -> Task[None]:
        """Stops a node as SIGTERM does."""
        node.settings = node.settings._replace(grace_seconds=grace_seconds)
        node.stopping.set()
        return create_task(node.stop())

    async def answers(self, reader, count: int) -> list[Answer]:
        """Returns the next answers on a connection."""
        return [await wait_for(read_answer(reader), 8.0) for _ in range(count)]

    # LOST: the first answer closed the connection, and the other requests at work were cut.
    async def test_requests_sent_ahead_are_all_answered(self):
        self.backend.released.clear()
        reader, writer = await self.connect(self.front)
        writer.write(b"".join(encode("/read/", f"r{n}") for n in range(5)))
        await self.wait_until(lambda: self.backend.running == 5)
        ending = self.stop_after(self.front, 6.0)
        await sleep(0.1)
        self.backend.released.set()
        answers = await self.answers(reader, 5)
        self.assertEqual([answer.status for answer in answers], [200] * 5)
        closes = [answer.headers.get("connection", "") for answer in answers]
        self.assertEqual(closes, [""] * 4 + ["close"])
        await ending

    async def test_request_behind_the_closing_answer_is_not_passed_on(self):
        """Guards against a request that runs although its connection is about to close."""
        self.backend.held = {"first"}
        self.backend.released.clear()
        reader, writer = await self.connect(self.front)
        writer.write(encode("/read/", "first") + encode("/read/", "second"))
        ending = self.stop_after(self.front, 6.0)
        await self.wait_until(lambda: "second" in self.backend.order)
        await self.wait_until(lambda: self.backend.running == 1)
        await sleep(0.1)
        writer.write(encode("/order/", "third", "POST", b"body"))
        await sleep(0.1)
        self.backend.released.set()
        answers = await self.answers(reader, 2)
        self.assertEqual([answer.status for answer in answers], [200, 200])
        self.assertEqual(await reader.read(), b"")
        self.assertEqual(self.backend.runs["third"], 0)
        await ending

    async def test_request_whose_last_byte_comes_late_is_refused(self):
        """Guards against an order that is taken and cut, on a kept connection too."""
        reader, writer = await self.connect(self.front)
        writer.write(encode("/order/", "kept", "POST", b"body"))
        kept = await self.answers(reader, 1)
        self.assertEqual(kept[0].status, 200)
        order = encode("/long/", "late", "POST", b"body")
        writer.write(order[:-1])
        ending = self.stop_after(self.front, 6.0)
        await sleep(3.1)
        writer.write(order[-1:])
        answer = (await self.answers(reader, 1))[0]
        self.assertEqual(answer.status, 503)
        self.assertEqual(answer.headers["connection"], "close")
        await ending
        self.assertEqual(self.backend.runs["late"], 0)

    # LOST: a node ended requests at work before the last part of a short grace period.
    async def test_long_request_has_most_of_the_grace_period(self):
        for grace_seconds in (3.0, 4.0):
            with self.subTest(grace_seconds=grace_seconds):
                front = await self.start(f"front-{grace_seconds}", "portal")
                await self.wait_until(lambda front=front: front.is_ready())
                await self.wait_until(lambda front=front: "stock" in front.directory.peers)
                self.backend.released.clear()
                request = encode("/long/", f"g{grace_seconds}", "POST", b"body")
                running = create_task(self.send_request(front, request, 8.0))
                await self.wait_until(lambda: self.backend.running == 1)
                began = current_time()
                ending = self.stop_after(front, grace_seconds)
                answer = await running
                took = current_time() - began
                self.backend.released.set()
                self.assertEqual(answer.status, 502)
                self.assertGreaterEqual(took, grace_seconds * LAST_PART_OF_GRACE)
                await ending
                self.assertLess(current_time() - began, grace_seconds)
                await self.wait_until(lambda: self.backend.running == 0)

    async def test_order_at_a_stopping_nodes_server_is_not_reported_as_refused(self):
        """Guards against a 503 for an order that another node has passed on and that was cut."""
        self.backend.released.clear()
        began = current_time()
        ending = self.stop_after(self.stock, 3.0)
        await sleep(1.4)
        request = encode("/long/", "linked", "POST", b"body")
        answer = await self.send_request(self.front, request, 8.0)
        self.assertEqual(answer.status, 502)
        self.assertGreaterEqual(current_time() - began, 3.0 * LAST_PART_OF_GRACE)
        self.assertEqual(self.backend.runs["linked"], 1)
        self.backend.released.set()
        await ending

    # LOST: calls of a running request were passed on until the end, and cut then.
    async def test_call_that_cannot_end_in_time_is_refused(self):
        self.backends[0].released.clear()
        route = {"pathPrefix": "/portal/", "service": "portal", "timeoutMs": 9000}
        self.store.put("config", "main", configuration(2, **ROUTES, portal=route))
        await self.wait_until(lambda: self.front.active_configuration.version == 2)
        running = create_task(self.send_request(self.front, encode("/portal/", "parent"), 9.0))
        await self.wait_until(lambda: self.backends[0].running == 1)
        ending = self.stop_after(self.front, 6.0)
        await self.wait_until(self.front.entry.is_stopping)
        early = await self.send_request(self.front, encode("/order/", "parent.1", "POST"))
        self.backend.released.clear()
        # Less than the target latency is left, however long this test is delayed.
        gate = self.front.entry.gate
        now = current_time()
        gate.stop_period = gate.stop_period._replace(accepts_any_until=now, ends=now + 0.4)
        late = await self.send_request(self.front, encode("/long/", "parent.2", "POST"))
        self.assertEqual((early.status, late.status), (200, 503))
        self.assertEqual(self.backend.runs["parent.2"], 0)
        self.backend.released.set()
        self.backends[0].released.set()
        await gather(running, ending)

    # LOST: a connection that had just been accepted counted as idle, and was closed.
    async def test_call_on_a_connection_that_was_accepted_late_is_answered(self):
        self.backends[0].released.clear()
        route = {"pathPrefix": "/portal/", "service": "portal", "timeoutMs": 9000}
        self.store.put("config", "main", configuration(2, **ROUTES, portal=route))
        await self.wait_until(lambda: self.front.active_configuration.version == 2)
        running = create_task(self.send_request(self.front, encode("/portal/", "parent"), 9.0))
        await self.wait_until(lambda: self.backends[0].running == 1)
        ending = self.stop_after(self.front, 9.0)
        await self.wait_until(lambda: self.front.backend.node_closed)
        reader, writer = await self.connect(self.front)
        # Several ticks pass until its first request is sent.
        await sleep(0.3)
        writer.write(encode("/order/", "parent.1", "POST"))
        self.assertEqual((await self.answers(reader, 1))[0].status, 200)
        # One that sends nothing does not delay the end for good.
        await self.connect(self.front)
        self.backends[0].released.set()
        await gather(running, wait_for(ending, 3.0))

    async def test_order_that_waits_for_its_grant_as_the_node_ends_does_not_run(self):
        """Guards against a run after the caller was told that there was none."""
        held = []
        grant = self.stock.runner.grant
        with patch.object(self.stock.runner, "grant", lambda *given: held.append(given)):
            request = encode("/long/", "waits", "POST", b"body")
            running = create_task(self.send_request(self.front, request, 8.0))
            await self.wait_until(lambda: bool(held))
            ending = self.stop_after(self.front, 1.0)
            answer = await running
        self.assertIn(answer.status, (502, 503))
        for given in held:
            grant(*given)
        await ending
        await sleep(0.1)
        self.assertLessEqual(self.backend.runs["waits"], 1 if answer.status == 502 else 0)

    # A lookup of a stopping node was not repeated, although there was time.
    async def test_lookup_whose_run_failed_is_repeated_while_the_node_stops(self):
        await self.start("other")
        await self.wait_for_members(3)
        servers = self.backends[1:]
        for server in servers:
            server.fault = "fail"
            server.work_seconds = 0.2
        ending = self.stop_after(self.front, 6.0)
        running = create_task(self.send_request(self.front, encode("/read/", "r1")))
        await self.wait_until(lambda: any(server.running for server in servers))
        # The server that was not chosen works.
        for server in servers:
            if not server.running:
                server.fault = ""
        self.assertEqual((await running).status, 200)
        self.assertEqual(self.front.statistics.retries, 1)
        await ending


class LateCallTest(MeshTestCase):
    """Calls of a run that began before its node was told to stop."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        routes = {
            "parent": {"pathPrefix": "/parent/", "service": "portal", "timeoutMs": 9000},
            "ledger": {"pathPrefix": "/ledger/", "service": "stock", "targetLatencyMs": 200},
            "change": {"pathPrefix": "/change/", "service": "stock", "type": "unsafe"},
        }
        self.store.put("config", "main", configuration(1, **routes))
        self.front = await self.start("front", "portal")
        self.stock = await self.start("stock")
        await self.wait_for_members(2)
        self.backend = self.backends[1]
        self.backends[0].released.clear()
        self.parent = create_task(self.send_request(self.front, encode("/parent/", "p"), 9.0))
        await self.wait_until(lambda: self.backends[0].running == 1)

    async def asyncTearDown(self) -> None:
        self.parent.cancel()
        await super().asyncTearDown()

    async def stop_with(self, seconds: float) -> None:
        """Puts the node into the second half of a grace period that ends after some time."""
        self.front.settings = self.front.settings._replace(grace_seconds=9.0)
        self.ending = create_task(self.front.stop())
        await self.wait_until(self.front.entry.is_stopping)
        gate = self.front.entry.gate
        now = current_time()
        gate.stop_period = gate.stop_period._replace(accepts_any_until=now, ends=now + seconds)

    async def call(self, path: str, request_id: str, method: str = "GET", **head: str) -> int:
        """Sends a call as the local backend server does; returns the status."""
        return (
            await self.send_request(self.front, encode(path, request_id, method, **head))
        ).status

    async def see_runs(self, count: int) -> None:
        """Lets the node see this many calls of the route."""
        for number in range(count):
            self.assertEqual(await self.call("/ledger/", f"p.seen{number}"), 200)

    # LOST: a call whose target latency fitted was taken, and broken off while it ran.
    async def test_call_that_may_last_beyond_the_end_is_refused(self):
        await self.stop_with(0.5)
        self.backend.work_seconds = 0.8
        self.assertEqual(await self.call("/ledger/", "p.1"), 503)
        self.assertEqual(self.backend.runs["p.1"], 0)

    async def test_call_whose_time_budget_ends_in_time_is_taken(self):
        """Guards against a refusal of what must end in time."""
        await self.stop_with(1.0)
        self.assertEqual(await self.call("/ledger/", "p.1", Deadline_Ms="700"), 200)

    async def test_call_of_a_route_whose_runs_were_short_is_taken(self):
        """Guards against orders that fail for calls that would have ended in time."""
        await self.see_runs(12)
        await self.stop_with(0.6)
        self.assertEqual(await self.call("/ledger/", "p.1"), 200)

    # LOST: the usual time of a route says nothing of its longer runs.
    async def test_call_of_a_route_with_one_long_run_is_refused(self):
        await self.see_runs(12)
        self.backend.work_seconds = 0.8
        await self.see_runs(1)
        self.backend.work_seconds = 0.01
        await self.stop_with(0.6)
        self.assertEqual(await self.call("/ledger/", "p.1"), 503)

    # LOST: an order that had waited was granted as the node was about to end.
    async def test_order_that_waits_is_not_granted_too_late(self):
        held = []
        with patch.object(self.front.entry, "grant", lambda number: held.append(number) or False):
            order = create_task(self.call("/change/", "p.1", "POST"))
            await self.wait_until(lambda: bool(held))
        number = next(iter(self.front.entry.calls))
        await self.stop_with(0.5)
        self.assertFalse(self.front.entry.grant(number))
        self.assertEqual(await order, 503)
        self.assertEqual(self.backend.runs["p.1"], 0)

    # A refused call came back to the node that was still stopping.
    async def test_refused_call_comes_back_after_the_restart_if_its_time_allows(self):
        await self.stop_with(0.5)
        ends = self.front.entry.gate.stop_period.kill_at
        long = encode("/ledger/", "p.1", Deadline_Ms="60000")
        answer = await self.send_request(self.front, long)
        self.assertEqual(answer.status, 503)
        wait = float(answer.headers["retry-after"])
        self.assertGreaterEqual(current_time() + wait, ends)
        short = encode("/ledger/", "p.2", Deadline_Ms="3000")
        wait = float((await self.send_request(self.front, short)).headers["retry-after"])
        self.assertLessEqual(wait, 1.0)


class StoppingGateTest(TestCase):
    """What a stopping node takes, by the time that is left of its grace period."""

    def setUp(self) -> None:
        self.gate = EntryGate()
        self.route = Route("r", "h", "/r/", (), True, 9000, 100, 2, 0, 0)

    def takes(self, seconds: float, lasts: float = 0.5) -> tuple[bool, bool]:
        """Returns whether a request, and a call, is taken after some time.

        ``lasts`` is the longest time in seconds that it may last.
        """
        now = 100.0 + seconds
        refusal = self.gate.check(self.route, 0, "", 1, now + lasts, now)
        return refusal is None, self.gate.takes_call(self.route, now + lasts, now)

    def see(self, seconds: float, count: int, at: float) -> None:
        for _ in range(count):
            self.gate.durations.record(self.route.name, seconds, at)

    def test_node_that_does_not_stop_takes_all(self):
        self.assertEqual(self.takes(50.0, 9.0), (True, True))

    def test_grace_period_of_six_seconds(self):
        self.gate.stop(100.0, 6.0)
        self.assertEqual(self.takes(0.0), (True, True))
        self.assertEqual(self.takes(2.5, 9.0), (True, True))
        self.assertEqual(self.takes(2.7), (False, True))
        self.assertEqual(self.takes(3.5, 3.0), (False, False))
        self.assertEqual(self.takes(4.8), (False, True))
        self.assertEqual(self.takes(5.0), (False, False))

    def test_short_grace_period(self):
        """Guards against requests that are taken as the node ends."""
        self.gate.stop(100.0, 3.0)
        self.assertEqual(self.takes(1.4, 9.0), (True, True))
        self.assertEqual(self.takes(1.6, 9.0), (False, False))
        self.assertEqual(self.takes(2.1), (True, True))
        self.assertEqual(self.takes(2.3), (False, False))

    def test_time_that_runs_were_seen_to_take(self):
        """Guards against a few short runs, or old ones, that are taken for a bound."""
        self.gate.stop(100.0, 6.0)
        self.see(0.4, MIN_SEEN - 1, 100.0)
        self.assertEqual(self.takes(4.0, 3.0), (False, False))
        self.see(0.4, 1, 100.0)
        self.assertEqual(self.takes(4.0, 3.0), (False, True))
        self.assertEqual(self.takes(5.0, 3.0), (False, False))
        self.see(1.7, 1, 101.0)
        self.assertEqual(self.takes(4.0, 3.0), (False, False))

    def test_old_runs_are_forgotten(self):
        """Guards against a route that is judged by a slow minute of long ago."""
        durations = SeenDurations()
        for _ in range(MIN_SEEN):
            durations.record("r", 5.0, 0.0)
        self.assertEqual(durations.longest("r", 1.0), 5.0)
        for second in range(100):
            durations.record("r", 0.2, float(second))
        self.assertEqual(durations.longest("r", 100.0), 0.2)
        self.assertIsNone(durations.longest("r", 1000.0))
        self.assertIsNone(durations.longest("other", 1.0))

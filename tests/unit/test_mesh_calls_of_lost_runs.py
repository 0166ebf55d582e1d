"""Calls of runs that the node no longer awaits, or that an earlier process of it began."""

from asyncio import create_task, sleep
from unittest import TestCase

from coltsfoottrack._internal.mesh.clock import current_time
from coltsfoottrack._internal.mesh.parent_requests import ParentRequests, RunningRequest
from coltsfoottrack.platform.names import parent_identifier
from tests.standins.mesh import Answer, MeshTestCase, configuration, encode

KEY = "maj3nr26tta828m82thh"
KEYED = {"Authorization": f"Bearer {KEY}"}
TENANTS = {"pulo780": {"apiKeys": [KEY], "priority": 1}, "gold": {"apiKeys": ["g"], "priority": 0}}
ROUTES = {
    "read": {"pathPrefix": "/read/", "service": "stock"},
    "order": {"pathPrefix": "/order/", "service": "stock", "type": "unsafe"},
    "short": {"pathPrefix": "/short/", "service": "stock", "timeoutMs": 300},
    "price": {"pathPrefix": "/price/", "service": "prices", "priority": 0},
}


class LostRunTest(MeshTestCase):
    """A node beside a backend server whose runs call another service without a key."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.store.put("config", "main", {**configuration(1, **ROUTES), "tenants": TENANTS})
        self.node = await self.start("stock")
        await self.start("prices", "prices")
        await self.wait_for_members(2)
        self.backend = self.backends[0]

    async def begin(self, request: bytes):
        """Sends a request whose run does not end; returns its connection."""
        self.backend.released.clear()
        reader, writer = await self.connect(self.node)
        writer.write(request)
        await self.wait_until(lambda: self.backend.running == 1)
        return reader, writer

    async def call(self, request_id: str, **headers: str) -> Answer:
        """Sends a call as the local backend server does."""
        return await self.send_request(self.node, encode("/price/", request_id, **headers))

    # DENIED: the node forgot the run with its client, and its calls were denied for lack of a key.
    async def test_call_of_a_run_whose_client_has_left_is_served(self):
        _, writer = await self.begin(encode("/read/", "left", **KEYED))
        parent = self.node.parent_requests.running["left"]
        writer.close()
        await self.wait_until(lambda: not self.node.runner.running)
        self.assertEqual((await self.call("left.1")).status, 200)
        found = self.node.parent_requests.parent("left.1", current_time())
        self.assertEqual((found.customer, found.rank), ("pulo780", parent.rank))

    # DENIED: a connection that breaks proves nothing about the run behind it.
    async def test_call_of_a_run_whose_answer_was_lost_is_served(self):
        self.backend.fault = "lose"
        answer = await self.send_request(self.node, encode("/order/", "lost", "POST", **KEYED))
        self.assertEqual(answer.status, 502)
        self.assertEqual((await self.call("lost.1")).status, 200)

    # DENIED: a call that is under way as its run ends is not one of a stranger.
    async def test_late_call_of_a_run_that_is_over_is_refused_for_now(self):
        answer = await self.send_request(self.node, encode("/read/", "over", **KEYED))
        self.assertEqual(answer.status, 200)
        late = await self.call("over.1")
        self.assertEqual(late.status, 503)
        self.assertIn("retry-after", late.headers)
        await self.begin(encode("/short/", "slow", **KEYED))
        await sleep(0.65)
        self.assertEqual((await self.call("slow.1")).status, 503)
        self.assertEqual(self.backends[1].runs.total(), 0)

    # DENIED: after a restart, calls of runs of the earlier process were answered with a 401.
    async def test_call_of_a_run_of_an_earlier_process_is_refused_for_now(self):
        running = create_task(
            self.send_request(self.node, encode("/read/", "earlier", **KEYED), 8.0)
        )
        self.backend.released.clear()
        await self.wait_until(lambda: self.backend.running == 1)
        self.node.close()
        running.cancel()
        self.node = await self.start_node(self.node.settings)
        await self.wait_until(self.node.is_ready)
        early = await self.call("earlier.1")
        self.assertEqual(early.status, 503)
        self.assertIn("retry-after", early.headers)
        # Nobody is let in, and what cannot be a call is answered as ever.
        self.assertEqual((await self.call("stranger")).status, 401)
        self.assertEqual((await self.call("a.b", Authorization="Bearer wrong")).status, 401)
        self.assertEqual(self.backends[1].runs.total(), 0)
        # No run of an earlier process can be at work any more.
        self.node.parent_requests.started_at -= 4.0
        self.assertEqual((await self.call("earlier.2")).status, 401)

    async def test_identifier_of_a_call_lets_no_stranger_in(self):
        """Guards against a client that gets round the keys with the identifier of a call."""
        self.node.parent_requests.started_at -= 4.0
        for request_id in ("a.b", "unknown.1", ".1", "a."):
            self.assertEqual((await self.call(request_id)).status, 401)
        await self.begin(encode("/short/", "slow", **KEYED))
        await sleep(1.5)
        self.assertEqual((await self.call("slow.1")).status, 401)
        self.assertEqual(self.backends[1].runs.total(), 0)

    async def test_calls_of_an_order_go_on_after_its_client_has_left(self):
        """Guards against an order that cannot end because its calls are refused."""
        _, writer = await self.begin(encode("/order/", "kept", "POST", b"body", **KEYED))
        writer.close()
        await sleep(0.1)
        self.assertEqual((await self.call("kept.1")).status, 200)


class RememberedRunTest(TestCase):
    """The memory of runs, without a network."""

    def setUp(self) -> None:
        self.parents = ParentRequests(parent_identifier)
        self.parents.started_at = -100.0

    def run_of(self, request_id: str, expires: float, is_retry: bool = False) -> RunningRequest:
        """Returns a run that has begun."""
        run = RunningRequest("read", 2, expires, is_retry, request_id, "pulo780")
        self.parents.begin(run)
        return run

    def test_lost_run_is_known_until_its_time_is_over(self):
        """Guards against a call of a repeated run that does not count as a repeat."""
        run = self.run_of("a", 5.0, is_retry=True)
        self.parents.lose(run)
        self.assertTrue(self.parents.parent("a.1", 4.9).is_retry)
        self.assertIsNone(self.parents.parent("a.1", 5.1))
        self.assertTrue(self.parents.may_be_call("a.1", 5.1))
        self.parents.discard_old(6.1)
        self.assertFalse(self.parents.may_be_call("a.1", 6.1))
        self.assertEqual(self.parents.remembered(), 0)

    def test_second_run_of_a_request_does_not_end_the_first(self):
        """Guards against a lost run that is forgotten when the request runs here once more."""
        first = self.run_of("a", 5.0)
        self.parents.lose(first)
        second = self.run_of("a", 5.0)
        self.assertIs(self.parents.parent("a.1", 1.0), second)
        self.parents.end(second, 1.0)
        self.assertIs(self.parents.parent("a.1", 1.1), first)

    def test_memory_is_bounded_by_the_time_of_the_runs(self):
        """Guards against records of runs that are never dropped."""
        for number in range(1000):
            run = self.run_of(str(number), 5.0)
            if number % 2:
                self.parents.lose(run)
            else:
                self.parents.end(run, 1.0)
        self.assertEqual(self.parents.remembered(), 1000)
        self.parents.discard_old(2.1)
        self.assertEqual(self.parents.remembered(), 500)
        self.parents.discard_old(6.1)
        self.assertEqual(self.parents.remembered(), 0)

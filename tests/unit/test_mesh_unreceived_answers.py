"""Connections that end while a caller or a node has not received all that was sent to it."""

from asyncio import Task, create_task, get_running_loop, sleep, wait_for

from coltsfoottrack._internal.mesh.clock import current_time
from coltsfoottrack._internal.mesh.daemon import MeshNode
from coltsfoottrack._internal.mesh.frames import encode as encode_frame
from coltsfoottrack._internal.mesh.model import Member
from coltsfoottrack._internal.mesh.records import to_record
from coltsfoottrack._internal.schema.links_pb2 import Frame, Hello, Ping, Request
from tests.standins.mesh import MeshTestCase, configuration, encode, free_address
from tests.standins.slow_reader import SlowReader

ANSWER_BYTES = 36_000
# Answers of a small port that a slow caller takes over 3 s to read.
SCRAPES = 30
ROUTES = {
    "read": {"pathPrefix": "/read/", "service": "stock", "timeoutMs": 5000},
    "order": {"pathPrefix": "/order/", "service": "stock", "type": "unsafe", "timeoutMs": 5000},
}
ORDER = encode("/order/", "order", "POST", b"body")
QUERY = encode("/read/", "query")
BEHIND = encode("/read/", "behind")


class UnreceivedAnswerTest(MeshTestCase):
    """A close is in order only once the remote end has received the answers before it."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.store.put("config", "main", configuration(1, **ROUTES))
        self.node = await self.start("stock")
        await self.wait_for_members(1)
        self.backend = self.backends[0]
        self.backend.body_bytes = ANSWER_BYTES
        self.callers: list[SlowReader] = []

    async def asyncTearDown(self) -> None:
        for caller in self.callers:
            caller.close()
        await super().asyncTearDown()

    async def caller(self, pause_seconds: float = 0.02) -> SlowReader:
        """Opens the connection of a slow caller."""
        caller = SlowReader(pause_seconds)
        self.callers.append(caller)
        await caller.connect(self.node.settings.caller_address)
        return caller

    def stop(self, node: MeshNode) -> Task[None]:
        """Stops a node as SIGTERM does."""
        node.stopping.set()
        return create_task(node.stop())

    async def await_runs(self, count: int) -> None:
        """Waits until the backend server has finished a number of runs."""
        await self.wait_until(lambda: len(self.backend.runs) == count and not self.backend.running)
        await sleep(0.05)

    # LOST: the close after the last answer reset the connection, as a query arrived behind it.
    async def test_bytes_behind_the_closing_answer_cost_no_answer(self):
        behind = (BEHIND, encode("/order/", "behind", "POST", b"x" * 200_000), b"x" * 200_000)
        for sent_behind in behind:
            with self.subTest(size=len(sent_behind)):
                node = self.node = await self.start(f"n{len(sent_behind)}", "portal")
                await self.wait_until(lambda node=node: node.entry.table is not None)
                await self.wait_until(lambda node=node: node.directory.knows("stock"))
                self.backend.runs.clear()
                caller = await self.caller()
                ending = self.stop(node)
                await sleep(0.1)
                await caller.send(ORDER + QUERY)
                await self.await_runs(2)
                sending = create_task(caller.send(sent_behind))
                await caller.read()
                self.assertEqual(caller.answers(), [(200, "order"), (200, "query")])
                self.assertEqual(caller.problem, "")
                await sending
                await ending

    # LOST: a connection whose answers were still read was closed as an idle one.
    async def test_connection_whose_answers_are_read_is_not_idle(self):
        caller = await self.caller(0.045)
        await caller.send(ORDER + QUERY)
        await self.await_runs(2)
        self.backend.body_bytes = 0
        ending = self.stop(self.node)
        await caller.read(2.6)
        await caller.send(BEHIND)
        await caller.read()
        self.assertEqual(caller.answers()[:2], [(200, "order"), (200, "query")])
        self.assertEqual(len(caller.answers()), 3)
        self.assertEqual(caller.problem, "")
        await ending

    async def test_caller_that_never_reads_is_waited_for_until_its_time_budget_ends(self):
        """Guards against a stop that one caller holds up beyond what it waits for itself."""
        caller = await self.caller()
        self.backend.body_bytes = 200_000
        await caller.send(encode("/read/", "unread", Deadline_Ms="3500"))
        sent_at = current_time()
        await self.await_runs(1)
        await self.stop(self.node)
        took = current_time() - sent_at
        self.assertGreaterEqual(took, 2.3)
        self.assertLess(took, 4.5)

    async def test_stop_does_not_outlast_the_grace_period_for_unread_answers(self):
        """Guards against a process that is killed with answers that it might have closed after."""
        self.node.settings = self.node.settings._replace(grace_seconds=3.0)
        caller = await self.caller()
        await caller.send(encode("/read/", "unread", Deadline_Ms="60000"))
        await self.await_runs(1)
        began = current_time()
        await self.stop(self.node)
        self.assertLess(current_time() - began, 3.0)

    # LOST: the answer that a caller asked to be the last was reset by requests behind it.
    async def test_answer_that_closes_is_received_whole(self):
        caller = await self.caller()
        await caller.send(encode("/read/", "last", Connection="close"))
        await self.await_runs(1)
        await caller.send(BEHIND)
        await caller.read()
        self.assertEqual((caller.answers(), caller.problem), ([(200, "last")], ""))

    # LOST: what a caller sent 2 s after its rejected request cut the answers before it off.
    async def test_answers_before_a_rejected_request_are_received_whole(self):
        caller = await self.caller(0.04)
        self.backend.body_bytes = 90_000
        await caller.send(QUERY + b"no request\r\n\r\n" + b"x" * 10_000)
        await caller.read(3.2)
        await caller.send(b"x" * 1000)
        await caller.read()
        self.assertEqual([status for status, _ in caller.answers()], [200, 400])
        self.assertEqual(caller.problem, "")

    # LOST: the idle timeout closed a connection on which an answer was still read.
    async def test_idle_timeout_waits_for_an_answer_that_is_read(self):
        content = configuration(2, **ROUTES)
        content["limits"]["idleTimeoutMs"] = 500
        self.store.put("config", "main", content)
        await self.wait_until(lambda: self.node.active_configuration.version == 2)
        caller = await self.caller(0.03)
        self.backend.body_bytes = 70_000
        await caller.send(QUERY)
        await self.await_runs(1)
        self.backend.body_bytes = 0
        await caller.read(1.7)
        await caller.send(BEHIND)
        await caller.read()
        self.assertEqual(caller.answers(), [(200, "query"), (200, "behind")])
        self.assertEqual(caller.problem, "")

    async def test_flood_behind_the_last_answer_leaves_time_for_others(self):
        """Guards against discarded bytes that take the event loop from other callers."""
        caller = await self.caller()
        await caller.send(encode("/read/", "last", Connection="close"))
        await self.await_runs(1)
        stop_at = get_running_loop().time() + 1.0

        async def flood() -> None:
            while get_running_loop().time() < stop_at and not caller.problem:
                await caller.send(b"x" * 65_536)

        flooding = create_task(flood())
        for number in range(20):
            answer = await self.send_request(self.node, encode("/read/", f"r{number}"), 1.0)
            self.assertEqual(answer.status, 200)
        await flooding

    # LOST: metrics that were read slowly were cut as the node ended.
    async def test_answers_of_small_ports_are_received_whole(self):
        settings = self.settings("monitored", "stock", self.backend)
        node = await self.start_node(settings._replace(metrics_address=free_address()))
        caller = SlowReader(0.02)
        self.callers.append(caller)
        await caller.connect(node.settings.metrics_address)
        scrape = b"GET /metrics HTTP/1.1\r\nHost: node\r\n\r\n"
        await caller.send(scrape * SCRAPES)
        await sleep(0.5)
        ending = self.stop(node)
        await caller.read(3.0)
        await caller.send(scrape)
        await caller.read()
        self.assertEqual(caller.answers()[:SCRAPES], [(200, "")] * SCRAPES)
        self.assertEqual(caller.problem, "")
        await ending

    # LOST: a stopping node reset the link on which another node still read its replies.
    async def test_replies_on_links_are_received_whole(self):
        peer = SlowReader(0.03)
        self.callers.append(peer)
        await peer.connect(self.node.settings.link_address)
        self.backend.body_bytes = 100_000
        member = Member(
            node="peer", address="127.0.0.1:1", failure_domain="east", service="portal", epoch=1
        )
        request = Request(
            number=7,
            backend=self.backend.identifier,
            time_left_ms=5000,
            wait_ms=1000,
            idempotent=True,
            request_id=b"linked",
            route="read",
            head=b"GET /read/ HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: linked\r\n",
        )
        hello = Frame(hello=Hello(member=to_record(member), process=1))
        for frame in (hello, Frame(request=request)):
            await peer.send(b"".join(encode_frame(frame)))
        await self.await_runs(1)
        self.node.settings = self.node.settings._replace(grace_seconds=6.0)
        reading = create_task(peer.read())
        ending = self.stop(self.node)
        ping = b"".join(encode_frame(Frame(ping=Ping(answer=True))))
        while not reading.done() and not peer.problem:
            await peer.send(ping)
            await sleep(0.05)
        await wait_for(ending, 6.0)
        self.assertGreater(len(peer.received), 100_000)

"""Clients that do not behave must not end a node, exceed its memory, or lock out other callers.

Each test starts node processes with little memory and few descriptors. None checks times or a share
of served requests.
"""

from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import IsolatedAsyncioTestCase

from tests.standins.crowd import (
    KILOBYTE,
    LARGE_ANSWER_PATH,
    MEGABYTE,
    Crowd,
    WatchedNode,
    after_head,
    by_length,
    in_chunks,
    poll,
    post_head,
    sent_ahead,
)
from tests.standins.mesh import configuration, encode
from tests.standins.store import StandInStore

MEMORY_MEGABYTES = 120
MAX_DESCRIPTORS = 400
# Descriptors that sockets cannot have.
RESERVED_DESCRIPTORS = 200
MAX_BODY_BYTES = 16 * MEGABYTE
NEARLY_MAX_BODY_BYTES = 15 * MEGABYTE
CROWD = 24
# Of its memory, a node may keep this part in use after the clients that used it have left.
KEPT_FRACTION = 0.1
# How long a node may take to notice that clients have left.
LEAVE_SECONDS = 20.0
START_SECONDS = 30.0


def limited_configuration(service: str) -> dict[str, object]:
    """Returns a configuration with routes to one service and low limits."""
    long = {"service": service, "timeoutMs": 20_000, "targetLatencyMs": 10_000}
    content = configuration(
        1,
        read={"pathPrefix": "/read/", **long},
        order={"pathPrefix": "/order/", "type": "unsafe", "priority": 0, **long},
    )
    content["limits"] = {
        "maxHeaderBytes": 4096,
        "maxBodyBytes": MAX_BODY_BYTES,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 10_000,
    }
    return content


class CrowdTestCase(IsolatedAsyncioTestCase):
    """Base class with the processes of one or two nodes."""

    async def asyncSetUp(self) -> None:
        self.directory = TemporaryDirectory()
        self.store = StandInStore()
        await self.store.open()
        self.store.put("config", "main", limited_configuration("stock"))
        self.nodes: list[WatchedNode] = []
        self.crowds: list[Crowd] = []

    async def asyncTearDown(self) -> None:
        for crowd in self.crowds:
            await crowd.leave()
        for node in self.nodes:
            await node.stop()
        self.store.close()
        self.directory.cleanup()

    async def start(self, service: str = "stock") -> WatchedNode:
        """Starts a node and waits until it serves ordinary requests."""
        node = WatchedNode(
            Path(self.directory.name),
            service,
            self.store,
            MEMORY_MEGABYTES,
            MAX_DESCRIPTORS,
            RESERVED_DESCRIPTORS,
        )
        self.nodes.append(node)
        await node.start()
        async for _ in poll(START_SECONDS):
            try:
                await node.report()
            except (OSError, IndexError):
                continue
            break
        for other in self.nodes:
            await self.wait_until_served(other)
        return node

    async def wait_until_served(self, node: WatchedNode) -> None:
        """Waits until a node answers ordinary requests, or is known to have no server."""
        async for _ in poll(START_SECONDS):
            answer = await node.ask(encode("/read/first", "first"), 5.0)
            if answer is not None and answer.status == 200:
                return
            if "stock" not in [known.service for known in self.nodes]:
                return
        self.fail("the node does not serve requests")

    def crowd(self, node: WatchedNode) -> Crowd:
        """Returns a new crowd without clients."""
        crowd = Crowd(node)
        self.crowds.append(crowd)
        return crowd

    async def assert_serves(self, node: WatchedNode, request_id: str) -> None:
        """Asserts that an ordinary request is answered."""
        answer = await node.ask(encode("/read/1", request_id))
        self.assertIsNotNone(answer, "an ordinary request got no answer")
        self.assertEqual(answer.status, 200)

    def assert_within_bounds(self) -> None:
        """Asserts that all processes run and have kept within their memory and descriptors."""
        for node in self.nodes:
            megabytes = node.peak_bytes / MEGABYTE
            self.assertLessEqual(megabytes, node.memory_megabytes, f"peak of {node.service}")
            self.assertTrue(node.is_running(), f"{node.service} has ended")
            peak = node.peak_resident_bytes() / MEGABYTE
            self.assertLessEqual(peak, node.memory_megabytes, f"peak of {node.service}")
            self.assertLessEqual(node.peak_descriptors, node.max_sockets, node.service)

    async def assert_withstands(self, crowd: Crowd) -> None:
        """Asserts that a node stands a crowd, and serves others while it stays and afterwards."""
        node = crowd.node
        await crowd.settle()
        self.assert_within_bounds()
        await self.assert_serves(node, "during")
        await crowd.leave()
        await self.assert_serves(node, "after")
        self.assert_within_bounds()


class BodyCrowdTest(CrowdTestCase):
    """Bodies that the memory cannot hold together."""

    async def test_bodies_that_stop_one_byte_short(self):
        """Guards against a bound that each incomplete body has for itself only."""
        crowd = self.crowd(await self.start())
        for number in range(CROWD):
            size = NEARLY_MAX_BODY_BYTES
            crowd.add(by_length(f"c{number}", size, size - 1))
        await self.assert_withstands(crowd)

    async def test_large_chunks_without_end(self):
        """Guards against the same with bodies whose length is not announced."""
        crowd = self.crowd(await self.start())
        for number in range(CROWD):
            crowd.add(in_chunks(f"c{number}", 64 * KILOBYTE, NEARLY_MAX_BODY_BYTES))
        await self.assert_withstands(crowd)

    async def test_small_chunks_without_end(self):
        """Guards against an account of bytes that leaves out what holds them."""
        crowd = self.crowd(await self.start())
        for number in range(CROWD):
            crowd.add(in_chunks(f"c{number}", 2, 256 * KILOBYTE))
        await self.assert_withstands(crowd)

    async def test_many_bodies_of_middle_size(self):
        """Guards against a bound on the largest bodies only."""
        crowd = self.crowd(await self.start())
        for number in range(120):
            crowd.add(by_length(f"c{number}", 3 * MEGABYTE, 3 * MEGABYTE - 1))
        await self.assert_withstands(crowd)

    async def test_whole_bodies_at_once(self):
        """Guards against a bound that is checked once all bodies are held; refusals are true."""
        node = await self.start()
        crowd = self.crowd(node)
        for number in range(CROWD):
            size = NEARLY_MAX_BODY_BYTES
            crowd.add(by_length(f"c{number}", size, size))
        await self.assert_withstands(crowd)
        for number, client in enumerate(crowd.clients):
            if client.status in (408, 413, 429, 503):
                self.assertEqual(node.backend.runs[f"c{number}"], 0)
        self.assertNotIn(413, crowd.statuses())

    async def test_announced_length_over_the_limit(self):
        """Guards against a limit that is checked late, and a refusal that the client never gets."""
        crowd = self.crowd(await self.start())
        for number in range(CROWD):
            crowd.add(by_length(f"c{number}", 512 * MEGABYTE, 24 * MEGABYTE))
        await self.assert_withstands(crowd)
        self.assertEqual(crowd.statuses(), {413: CROWD})

    async def test_chunks_over_the_limit(self):
        """Guards against chunks without end."""
        crowd = self.crowd(await self.start())
        for number in range(CROWD):
            crowd.add(in_chunks(f"c{number}", 4 * KILOBYTE, 48 * MEGABYTE))
        await self.assert_withstands(crowd)

    async def test_trailer_without_end(self):
        """Guards against a trailer line that the parser collects."""
        crowd = self.crowd(await self.start())
        head = post_head("t", "Transfer-Encoding: chunked") + b"1\r\nx\r\n0\r\nX-Long: "
        for _ in range(CROWD):
            crowd.add(after_head(head, b"x" * KILOBYTE, 16 * MEGABYTE))
        await self.assert_withstands(crowd)

    async def test_chunk_extension_without_end(self):
        """Guards against a connection that is kept for bytes that are no body."""
        crowd = self.crowd(await self.start())
        head = post_head("e", "Transfer-Encoding: chunked") + b"1;"
        for _ in range(CROWD):
            crowd.add(after_head(head, b"x" * KILOBYTE, 16 * MEGABYTE))
        await self.assert_withstands(crowd)

    async def test_bodies_for_another_node(self):
        """Guards against copies on the way to another node, and a runner that holds them all."""
        portal = await self.start("portal")
        await self.start("stock")
        await self.wait_until_served(portal)
        crowds = [self.crowd(node) for node in self.nodes]
        for crowd in crowds:
            for number in range(CROWD):
                size = NEARLY_MAX_BODY_BYTES
                crowd.add(by_length(f"{crowd.node.service}{number}", size, size))
        for crowd in crowds:
            await crowd.settle()
        self.assert_within_bounds()
        for crowd in crowds:
            await self.assert_withstands(crowd)


class HeadCrowdTest(CrowdTestCase):
    """Heads that the memory cannot hold together."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        content = limited_configuration("stock")
        content["limits"]["maxHeaderBytes"] = MEGABYTE
        content["limits"]["headerTimeoutMs"] = 60_000
        content["limits"]["idleTimeoutMs"] = 60_000
        self.store.put("config", "main", content)

    async def test_heads_without_end(self):
        """Guards against header lines that no account sees while their request is incomplete."""
        crowd = self.crowd(await self.start())
        line = b"X-Line: " + b"x" * 1014 + b"\r\n"
        for number in range(120):
            head = f"GET /read/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: c{number}\r\n"
            crowd.add(after_head(head.encode(), line, 900 * KILOBYTE))
        await self.assert_withstands(crowd)

    async def test_heads_of_connections_that_are_idle(self):
        """Guards against the last request of a connection that stays with it."""
        crowd = self.crowd(await self.start())
        line = b"X-Line: " + b"x" * 1014 + b"\r\n"
        for number in range(120):
            head = f"GET /read/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: c{number}\r\n"
            whole = head.encode() + line * 900 + b"\r\n"
            crowd.add(after_head(whole, b"", 0))
        await self.assert_withstands(crowd)


class SingleBodyTest(CrowdTestCase):
    """A single request within the limits is served."""

    async def assert_served_whole(self, node: WatchedNode, request: bytes, size: int) -> None:
        """Asserts that a request is answered and reached the backend server whole."""
        answer = await node.ask(request)
        self.assertIsNotNone(answer, "no answer")
        self.assertEqual(answer.status, 200)
        last = node.backend.received[-1]
        self.assertEqual(len(last.body), size)
        self.assertEqual(last.body.count(b"x"), size)
        self.assert_within_bounds()

    async def test_body_in_chunks_of_one_byte(self):
        """Guards against one legal request that takes the memory of a machine."""
        node = await self.start()
        size = 2 * MEGABYTE
        head = post_head("tiny", "Transfer-Encoding: chunked")
        request = head + b"1\r\nx\r\n" * size + b"0\r\n\r\n"
        await self.assert_served_whole(node, request, size)

    async def test_body_at_the_limit(self):
        """Guards against a bound that one request within the limits meets, again and again."""
        node = await self.start()
        for number in range(4):
            request = by_length(f"full{number}", MAX_BODY_BYTES, MAX_BODY_BYTES)
            content = request.head + b"".join(request.pieces())
            await self.assert_served_whole(node, content, MAX_BODY_BYTES)
            chunked = in_chunks(f"chunks{number}", 1000, 16_000 * KILOBYTE, b"0\r\n\r\n")
            content = chunked.head + b"".join(chunked.pieces())
            await self.assert_served_whole(node, content, 16_000 * KILOBYTE // 1000 * 1000)

    async def test_body_at_the_limit_for_another_node(self):
        """Guards against bodies that are whole at one node only, on the way there or back."""
        portal = await self.start("portal")
        stock = await self.start("stock")
        await self.wait_until_served(portal)
        stock.backend.answer_bytes = 8 * MEGABYTE
        for number in range(3):
            request = by_length(f"far{number}", MAX_BODY_BYTES, MAX_BODY_BYTES)
            answer = await portal.ask(request.head + b"".join(request.pieces()))
            self.assertEqual((answer.status, answer.body), (200, b"i-stock POST /order/"))
            self.assertEqual(len(stock.backend.received[-1].body), MAX_BODY_BYTES)
            answer = await portal.ask(encode(LARGE_ANSWER_PATH, f"large{number}"))
            self.assertEqual((answer.status, len(answer.body)), (200, 8 * MEGABYTE))
            self.assertEqual(answer.body.count(b"x"), 8 * MEGABYTE)
        self.assert_within_bounds()

    async def test_body_at_the_limit_after_a_crowd_has_left(self):
        """Guards against memory or an account that a crowd keeps after it has left."""
        node = await self.start()
        crowd = self.crowd(node)
        for number in range(CROWD):
            size = NEARLY_MAX_BODY_BYTES
            crowd.add(by_length(f"c{number}", size, size - 1))
        await crowd.settle()
        await crowd.leave()
        async for _ in poll(LEAVE_SECONDS):
            answer = await node.ask(encode("/read/1", "left"), 5.0)
            if answer is not None and answer.status == 200:
                break
        request = by_length("full", MAX_BODY_BYTES, MAX_BODY_BYTES)
        content = request.head + b"".join(request.pieces())
        await self.assert_served_whole(node, content, MAX_BODY_BYTES)


class LeftMemoryTest(CrowdTestCase):
    """Memory is free once the clients that used it have left."""

    async def assert_frees(self, node: WatchedNode, crowd: Crowd, before: int) -> None:
        """Asserts that the memory of a crowd is free after it has left."""
        await crowd.settle()
        await crowd.leave()
        allowed = before + int(KEPT_FRACTION * node.memory_bytes)
        kept = 0
        async for _ in poll(LEAVE_SECONDS):
            kept = node.resident_bytes()
            if kept <= allowed:
                break
        self.assertLessEqual(kept / MEGABYTE, allowed / MEGABYTE, "resident after they left")
        await self.assert_serves(node, "after")
        self.assert_within_bounds()

    async def test_bodies_of_clients_that_disconnect(self):
        """Guards against incomplete bodies that stay with closed connections."""
        node = await self.start()
        before = node.resident_bytes()
        crowd = self.crowd(node)
        for number in range(4):
            size = NEARLY_MAX_BODY_BYTES
            crowd.add(by_length(f"c{number}", size, size - 1))
        await self.assert_frees(node, crowd, before)

    async def test_bodies_in_small_pieces_of_clients_that_disconnect(self):
        """Guards against the same for what a body in pieces costs."""
        node = await self.start()
        before = node.resident_bytes()
        crowd = self.crowd(node)
        for number in range(4):
            crowd.add(in_chunks(f"c{number}", 2, 256 * KILOBYTE))
        await self.assert_frees(node, crowd, before)

    async def test_running_requests_of_clients_that_disconnect(self):
        """Guards against bodies that stay with the calls of callers that have left."""
        node = await self.start()
        before = node.resident_bytes()
        node.backend.released.clear()
        crowd = self.crowd(node)
        for number in range(2):
            size = NEARLY_MAX_BODY_BYTES
            crowd.add(by_length(f"c{number}", size, size, path="/read/1"))
        await crowd.settle()
        await crowd.leave()
        node.backend.released.set()
        await self.assert_frees(node, crowd, before)


class UnreadCrowdTest(CrowdTestCase):
    """Clients that do not read, or that are not read."""

    async def test_answers_that_are_not_read(self):
        """Guards against answers that wait for callers without a bound on all of them."""
        node = await self.start()
        node.backend.answer_bytes = MEGABYTE
        crowd = self.crowd(node)
        for number in range(12):
            crowd.add(sent_ahead(f"c{number}", 32, LARGE_ANSWER_PATH), reads=False)
        await self.assert_withstands(crowd)

    async def test_bodies_behind_requests_sent_ahead(self):
        """Guards against receive buffers that grow while the node does not read."""
        node = await self.start()
        node.backend.held = {f"c{number}-0" for number in range(12)}
        node.backend.released.clear()
        crowd = self.crowd(node)
        for number in range(12):
            crowd.add(sent_ahead(f"c{number}", 80, "/read/1", 6 * MEGABYTE))
        await self.assert_withstands(crowd)


class DescriptorCrowdTest(CrowdTestCase):
    """More connections than the process has descriptors, which the node would keep for long."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        content = limited_configuration("stock")
        content["limits"]["idleTimeoutMs"] = 120_000
        self.store.put("config", "main", content)

    async def test_connections_with_incomplete_bodies(self):
        """Guards against callers that are not accepted until a crowd leaves."""
        crowd = self.crowd(await self.start())
        for number in range(300):
            crowd.add(by_length(f"c{number}", 100, 99))
        await self.assert_withstands(crowd)

    async def test_connections_without_a_request(self):
        """Guards against the same with connections on which nothing is sent."""
        crowd = self.crowd(await self.start())
        for _ in range(300):
            crowd.add(after_head(b"", b"", 0))
        await self.assert_withstands(crowd)

    async def test_connections_to_the_small_ports(self):
        """Guards against descriptors that the ports for reports and readiness take."""
        node = await self.start()
        outbound = node.addresses["outbound"]
        for port in ("control", "ready"):
            node.addresses["outbound"] = node.addresses[port]
            crowd = self.crowd(node)
            for number in range(150):
                crowd.add(by_length(f"c{number}", 60_000, 59_999, path="/api/ready"))
            await crowd.settle()
        node.addresses["outbound"] = outbound
        self.assert_within_bounds()
        await self.assert_serves(node, "during")
        self.assert_within_bounds()

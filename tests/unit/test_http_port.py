"""HTTP port over real sockets: framing, order, cancellation and timeouts."""

from asyncio import (
    CancelledError,
    Event,
    StreamReader,
    StreamWriter,
    create_task,
    open_connection,
    sleep,
    wait_for,
)
from collections.abc import Callable
from logging import disable
from time import monotonic
from unittest import IsolatedAsyncioTestCase

from coltsfoottrack._internal.node.connection_bounds import ConnectionBounds
from coltsfoottrack._internal.node.http_messages import CallRequest, CallResponse
from coltsfoottrack._internal.node.http_port import HttpPort
from coltsfoottrack._internal.observability.stages import StageTimes
from tests.standins.slow_reader import SlowReader

BOUNDS = ConnectionBounds(
    max_connections=10,
    max_header_bytes=1000,
    max_header_count=20,
    max_body_bytes=1000,
    max_held_body_bytes=2500,
    first_byte_seconds=0.3,
    body_seconds=0.3,
)
# Exceeds the buffers of both sockets.
HUGE_BYTES = 64 * 1024 * 1024
# Takes a slow caller over a second to read.
LARGE_BYTES = 36_000
OFFER = ("Connection: Upgrade, HTTP2-Settings", "Upgrade: h2c", "HTTP2-Settings: AAMAAABk")
CHUNKED = b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"


def post(body: bytes, *lines: str) -> bytes:
    head = ["POST /a HTTP/1.1", f"Content-Length: {len(body)}", *lines]
    return "\r\n".join(head).encode() + b"\r\n\r\n" + body


class HttpPortTest(IsolatedAsyncioTestCase):
    """Guards against answers out of order, smuggled or split messages, and held connections."""

    async def asyncSetUp(self) -> None:
        disable()
        self.seen: list[bytes] = []
        self.cancelled = 0
        self.gate = Event()
        self.gate.set()
        self.refused: list[str] = []
        self.port = HttpPort(self.serve, BOUNDS, self.refused.append, StageTimes())
        await self.port.open("127.0.0.1", 0, 10)
        self.port_number = self.port.listener.sockets[0].getsockname()[1]

    async def asyncTearDown(self) -> None:
        await self.port.close(1.0)
        disable(0)

    async def serve(self, request: CallRequest) -> CallResponse:
        if request.problem is not None:
            return CallResponse(request.problem.status, {}, request.problem.text.encode())
        self.seen.append(request.body)
        try:
            await self.gate.wait()
        except CancelledError:
            self.cancelled += 1
            raise
        if request.body == b"fail":
            raise ValueError("handler error")
        if request.body == b"split":
            return CallResponse(200, {"Reason": "a\r\nOutcome: done"}, b"")
        if request.body == b"huge":
            return CallResponse(200, {}, bytes(HUGE_BYTES))
        if request.body == b"large":
            return CallResponse(200, {}, bytes(LARGE_BYTES))
        status = int(request.body) if request.body.isdigit() else 200
        return CallResponse(status, {"X": "y"}, request.body)

    async def connect(self) -> tuple[StreamReader, StreamWriter]:
        return await open_connection("127.0.0.1", self.port_number)

    async def exchange(self, *parts: bytes) -> bytes:
        """Sends parts with pauses; returns the data received until the port closes or is silent."""
        reader, writer = await self.connect()
        received = b""
        try:
            for part in parts:
                writer.write(part)
                await sleep(0.005)
            while chunk := await wait_for(reader.read(65536), 0.15):
                received += chunk
        except (TimeoutError, ConnectionError):
            pass
        finally:
            writer.close()
        return received

    async def slow_caller(self) -> SlowReader:
        """Opens a connection whose answers are read slowly."""
        caller = SlowReader()
        self.addCleanup(caller.close)
        await caller.connect(f"127.0.0.1:{self.port_number}")
        return caller

    # A close after the last answer reset the connection, as more arrived behind that answer.
    async def test_bytes_behind_the_closing_answer_cost_no_answer(self) -> None:
        caller = await self.slow_caller()
        await caller.send(post(b"large", "Connection: close"))
        await sleep(0.1)
        await caller.send(post(b"behind"))
        await caller.read()
        self.assertEqual((caller.answers(), caller.problem), ([(200, "")], ""))

    # A stop closed connections whose answers were still read as unused ones.
    async def test_stop_waits_for_answers_that_are_read(self) -> None:
        caller = await self.slow_caller()
        await caller.send(post(b"large"))
        await sleep(0.1)
        closing = create_task(self.port.close(5.0))
        await sleep(0.1)
        await caller.send(post(b"behind"))
        await caller.read()
        self.assertEqual((caller.answers(), caller.problem), ([(200, "")], ""))
        await closing

    async def wait_until(self, holds: Callable[[], bool]) -> None:
        for _ in range(500):
            if holds():
                return
            await sleep(0.01)
        self.fail("the condition was not met within 5 s")

    async def test_bodies_of_all_connections_are_bounded_together(self) -> None:
        """Guards against bodies that stop short of their end and together take all memory."""
        crowd = [await self.connect() for _ in range(4)]
        for _, writer in crowd:
            writer.write(b"POST /a HTTP/1.1\r\nContent-Length: 1000\r\n\r\n" + b"x" * 800)
        await self.wait_until(lambda: bool(self.refused))
        self.assertEqual(self.refused, ["max_held_body_bytes"])
        self.assertEqual(self.port.held_body_bytes, 2400)
        for _, writer in crowd:
            writer.close()
        await self.wait_until(lambda: not self.port.connections)
        self.assertEqual(self.port.held_body_bytes, 0)
        self.assertIn(b"HTTP/1.1 200", await self.exchange(post(b"x" * 1000)))
        self.assertEqual(self.port.held_body_bytes, 0)

    async def test_body_in_single_bytes_costs_its_bytes(self) -> None:
        """Guards against an object for each piece of a body."""
        received = await self.exchange(CHUNKED, b"1\r\nx\r\n" * 900, b"0\r\n\r\n")
        self.assertIn(b"HTTP/1.1 200", received)
        self.assertEqual(self.seen, [b"x" * 900])

    async def test_pipelined_requests_are_answered_in_order(self) -> None:
        bodies = [f"b{number}".encode() for number in range(30)]
        received = await self.exchange(b"".join(post(body) for body in bodies))
        self.assertEqual(self.seen, bodies)
        self.assertEqual(received.count(b"HTTP/1.1 200"), 30)
        places = [received.index(b"\r\n\r\n" + body) for body in bodies]
        self.assertEqual(places, sorted(places))

    async def test_answers_before_a_malformed_request_are_kept(self) -> None:
        received = await self.exchange(post(b"first") + b"\x00\x01 bad\r\n\r\n")
        self.assertLess(received.index(b"first"), received.index(b"HTTP/1.1 400"))

    async def test_request_that_arrives_byte_by_byte_is_answered(self) -> None:
        # Long timeouts, so that they do not end this test's slow requests.
        self.port.bounds = BOUNDS._replace(first_byte_seconds=30.0, body_seconds=30.0)
        data = post(b"body")
        reader, writer = await self.connect()
        for at in range(len(data)):
            writer.write(data[at : at + 1])
            await sleep(0.005)
        received = await wait_for(reader.readuntil(b"\r\n\r\nbody"), 10.0)
        self.assertTrue(received.startswith(b"HTTP/1.1 200"), received)
        writer.close()

    async def test_chunked_body_is_read_and_its_trailer_dropped(self) -> None:
        received = await self.exchange(CHUNKED + b"2\r\nab\r\n1\r\nc\r\n0\r\nX: t\r\n\r\n")
        self.assertEqual(self.seen, [b"abc"])
        self.assertIn(b"HTTP/1.1 200", received)

    # MIXED: a call that offered HTTP/2 ran with an empty body.
    async def test_body_of_a_request_that_offers_another_protocol_is_read(self) -> None:
        data = post(b"first", *OFFER) + post(b"second")
        for cut in range(1, len(data), 7):
            self.seen = []
            received = await self.exchange(data[:cut], data[cut:])
            self.assertEqual(self.seen, [b"first", b"second"], cut)
            self.assertEqual(received.count(b"HTTP/1.1 200"), 2)

    async def test_chunked_body_behind_an_offer_is_read(self) -> None:
        offer = CHUNKED[:-2] + "\r\n".join(OFFER).encode() + b"\r\n\r\n"
        await self.exchange(offer + b"2\r\nab\r\n0\r\n\r\n" + post(b"second"))
        self.assertEqual(self.seen, [b"ab", b"second"])

    async def test_large_body_behind_an_offer_is_refused(self) -> None:
        self.assertIn(b"HTTP/1.1 413", await self.exchange(post(b"x" * 1500, *OFFER)))
        self.assertEqual(self.seen, [])

    async def test_oversized_trailer_and_body_are_refused(self) -> None:
        trailer = CHUNKED + b"1\r\na\r\n0\r\nX: "
        self.assertIn(b"HTTP/1.1 431", await self.exchange(trailer, b"t" * 6000))
        self.assertIn(b"HTTP/1.1 413", await self.exchange(CHUNKED + b"7d0\r\n" + b"x" * 1500))
        self.assertIn(b"HTTP/1.1 413", await self.exchange(post(b"x" * 1001)[:80]))
        self.assertEqual(self.seen, [])

    async def test_ambiguous_length_is_refused(self) -> None:
        both = post(b"0\r\n\r\n", "Transfer-Encoding: chunked")
        twice = post(b"ab", "Content-Length: 1")
        for data in (both, twice, post(b"ab", "Content-Length : 1")):
            with self.subTest(data=data):
                received = await self.exchange(data + post(b"smuggled"))
                self.assertTrue(received.startswith(b"HTTP/1.1 400"), received)
                self.assertEqual(received.count(b"HTTP/1.1 "), 1)
        self.assertEqual(self.seen, [])

    async def test_expect_100_continue_is_answered_unless_the_body_is_too_large(self) -> None:
        data = post(b"late", "Expect: 100-continue")
        received = await self.exchange(data[:-4], data[-4:])
        self.assertTrue(received.startswith(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200"))
        received = await self.exchange(post(b"x" * 1001, "Expect: 100-continue")[:-1001])
        self.assertTrue(received.startswith(b"HTTP/1.1 413"))

    async def test_responses_without_a_body_keep_the_framing(self) -> None:
        head = post(b"0").replace(b"POST", b"HEAD").replace(b"\r\n\r\n0", b"\r\n\r\n1")
        for data in (head.replace(b"\r\n\r\n1", b"\r\n\r\n7"), post(b"204"), post(b"304")):
            with self.subTest(data=data):
                received = await self.exchange(data + post(b"next"))
                _, _, rest = received.partition(b"\r\n\r\n")
                self.assertTrue(rest.startswith(b"HTTP/1.1 200"), received)

    async def test_http_1_0_and_upgrade_requests_are_answered(self) -> None:
        old = post(b"a").replace(b"HTTP/1.1", b"HTTP/1.0")
        self.assertIn(b"Connection: close", await self.exchange(old))
        kept = old.replace(b"Content", b"Connection: keep-alive\r\nContent", 1)
        self.assertIn(b"Connection: keep-alive", await self.exchange(kept))
        upgrade = post(b"", "Connection: upgrade", "Upgrade: h2c") + b"PRI * HTTP/2.0"
        received = await self.exchange(upgrade)
        self.assertEqual(received.count(b"HTTP/1.1"), 1)
        self.assertIn(b"Connection: close", received)

    async def test_call_is_cancelled_when_its_caller_disconnects(self) -> None:
        self.gate.clear()
        _, writer = await self.connect()
        writer.write(post(b"a") + post(b"b"))
        await sleep(0.05)
        writer.close()
        await sleep(0.05)
        self.assertEqual((self.seen, self.cancelled), ([b"a"], 1))
        self.assertEqual(self.port.open_connections, 0)

    async def test_partial_next_request_does_not_abort_the_call_in_progress(self) -> None:
        self.gate.clear()
        reader, writer = await self.connect()
        writer.write(post(b"a") + b"POST /b")
        await sleep(0.5)
        self.gate.set()
        self.assertIn(b"200", await wait_for(reader.read(100), 1.0))
        self.assertEqual(await wait_for(reader.read(), 1.0), b"")
        self.assertEqual(self.refused, ["first_byte_timeout_ms"])
        writer.close()

    async def test_header_timeout_applies_to_later_requests_of_a_connection(self) -> None:
        for start in (b"POST /a", b"\r\n\r\n"):
            reader, writer = await self.connect()
            writer.write(post(b"a"))
            await wait_for(reader.read(1000), 1.0)
            await sleep(0.35)
            self.assertEqual(self.port.open_connections, 1)
            writer.write(start)
            self.assertEqual(await wait_for(reader.read(), 1.0), b"")
            writer.close()

    async def test_idle_and_stalled_connections_are_closed(self) -> None:
        """Guards against connections that inactive callers keep open for ever."""
        idle_reader, idle_writer = await self.connect()
        idle_writer.write(post(b"a"))
        await idle_reader.readuntil(b"\r\n\r\na")
        _, stalled_writer = await self.connect()
        stalled_writer.write(post(b"huge"))
        await self.wait_until(lambda: b"huge" in self.seen)
        self.gate.clear()
        busy_reader, busy_writer = await self.connect()
        busy_writer.write(post(b"b"))
        await self.wait_until(lambda: b"b" in self.seen)
        self.port._close_idle(0.0)
        self.assertEqual(self.port.open_connections, 3)
        # As the idle sweep does after the keep-alive time.
        self.port._close_idle(monotonic() + 1.0)
        await self.wait_until(lambda: self.port.open_connections == 1)
        self.assertEqual(await wait_for(idle_reader.read(), 1.0), b"")
        self.gate.set()
        self.assertIn(b"200", await wait_for(busy_reader.read(100), 1.0))
        for writer in (idle_writer, stalled_writer, busy_writer):
            writer.close()

    async def test_handler_error_is_answered_with_500(self) -> None:
        for body in (b"fail", b"split"):
            received = await self.exchange(post(body))
            self.assertTrue(received.startswith(b"HTTP/1.1 500"), received)
            self.assertNotIn(b"Outcome", received)

    async def test_closing_port_waits_for_calls_but_not_for_idle_connections(self) -> None:
        idle_reader, idle_writer = await self.connect()
        self.gate.clear()
        reader, writer = await self.connect()
        writer.write(post(b"a"))
        await sleep(0.05)
        closing = self.port.close(5.0)
        results = []

        async def close() -> None:
            await closing
            results.append(self.port.open_connections)

        task = create_task(close())
        self.assertEqual(await wait_for(idle_reader.read(), 1.0), b"")
        self.assertEqual(results, [])
        self.gate.set()
        received = await wait_for(reader.read(), 1.0)
        self.assertIn(b"Connection: close", received)
        await wait_for(task, 1.0)
        self.assertEqual(results, [0])
        for each in (idle_writer, writer):
            each.close()

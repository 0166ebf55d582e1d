"""HTTP client connections against a faulty server."""

from asyncio import (
    StreamReader,
    StreamWriter,
    Task,
    current_task,
    gather,
    sleep,
    start_server,
    wait_for,
)
from collections.abc import Awaitable, Callable
from unittest import IsolatedAsyncioTestCase
from unittest.mock import patch
from weakref import WeakSet

from coltsfoottrack._internal.routing.exceptions import ConnectionLostError, NotSentError
from coltsfoottrack._internal.routing.http_connection import ConnectionPool, encode_request

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
REQUEST = encode_request("POST", "127.0.0.1:1", "/x", {"Call-Id": "c"}, b"body")


def read_once() -> Callable[..., Awaitable[bytes]]:
    """Returns a ``read`` of a stream that reports the end after the first part of each stream."""
    read = StreamReader.read
    ended: WeakSet[StreamReader] = WeakSet()

    async def read_first(reader: StreamReader, size: int = -1) -> bytes:
        if reader in ended:
            return b""
        ended.add(reader)
        return await read(reader, size)

    return read_first


class HttpConnectionTest(IsolatedAsyncioTestCase):
    """Guards against truncated or duplicate responses, and those to an earlier call."""

    async def asyncSetUp(self) -> None:
        self.answers: list[bytes] = []
        self.connections = 0
        self.handlers: list[Task[None]] = []
        self.ended = 0
        self.server = await start_server(self.serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        self.pool = ConnectionPool()
        self.seconds = 5.0

    async def asyncTearDown(self) -> None:
        self.pool.close()
        self.server.close()
        # A handler that is still running when the event loop closes would log a traceback.
        await wait_for(gather(*self.handlers), 5.0)

    async def serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        self.connections += 1
        self.handlers.append(current_task())
        try:
            while await reader.read(65536):
                if self.answers:
                    writer.write(self.answers.pop(0))
        except ConnectionError:
            pass
        self.ended += 1
        writer.close()

    async def exchange(self) -> bytes:
        return (await self.pool.exchange(self.address, REQUEST, True, self.seconds)).body

    async def test_connection_is_reused(self) -> None:
        self.answers = [ANSWER, ANSWER]
        self.assertEqual([await self.exchange(), await self.exchange()], [b"ok", b"ok"])
        self.assertEqual(self.connections, 1)

    async def test_interim_response_is_skipped(self) -> None:
        self.answers = [b"HTTP/1.1 100 Continue\r\n\r\n" + ANSWER]
        self.assertEqual(await self.exchange(), b"ok")

    async def test_second_response_closes_the_connection(self) -> None:
        self.answers = [ANSWER + ANSWER, ANSWER]
        await self.exchange()
        await sleep(0.05)
        self.assertEqual(await self.exchange(), b"ok")
        self.assertEqual(self.connections, 2)

    # MIXED: an answer that ends inside its head, or before its end, is none.
    async def test_cut_response_raises_connection_lost_error(self) -> None:
        chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
        unframed = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok"
        cut_answers = [ANSWER[:end] for end in range(1, len(ANSWER))]
        cut_answers += [chunked[:end] for end in range(1, len(chunked))] + [unframed]
        with patch.object(StreamReader, "read", read_once()):
            for cut in cut_answers:
                self.answers = [cut]
                with self.assertRaises(ConnectionLostError, msg=cut):
                    await self.exchange()

    async def test_part_of_a_second_response_answers_no_later_request(self) -> None:
        second = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad"
        for cut in range(1, len(second)):
            self.answers = [ANSWER + second[:cut], second[cut:] + ANSWER, ANSWER]
            self.assertEqual(await self.exchange(), b"ok")
            try:
                self.assertEqual(await self.exchange(), b"ok", cut)
            except ConnectionLostError:
                pass

    async def test_response_that_is_not_http_raises_connection_lost_error(self) -> None:
        self.answers = [b"SSH-2.0-server\r\n"]
        with self.assertRaises(ConnectionLostError):
            await self.exchange()

    async def test_cancellation_closes_the_connection(self) -> None:
        with self.assertRaises(TimeoutError):
            await wait_for(self.exchange(), 0.1)
        await sleep(0.1)
        self.assertEqual(self.ended, 1)

    async def test_idle_connections_are_dropped_without_another_call(self) -> None:
        """Guards against idle connections that stay open to addresses never called again."""
        module = "coltsfoottrack._internal.routing.http_connection"
        self.answers = [ANSWER, ANSWER]
        with patch(f"{module}.SWEEP_SECONDS", 0.05), patch(f"{module}.IDLE_SECONDS", 0.15):
            await self.exchange()
            await sleep(0.1)
            await self.exchange()
            self.assertEqual((self.connections, len(self.pool.idle)), (1, 1))
            await sleep(0.3)
        self.assertEqual((self.pool.idle, self.pool.sweep_timer, self.ended), ({}, None, 1))

    async def test_connection_closed_by_its_peer_is_dropped(self) -> None:
        module = "coltsfoottrack._internal.routing.http_connection"
        self.answers = [ANSWER]
        with patch(f"{module}.SWEEP_SECONDS", 0.05):
            await self.exchange()
            for idle in self.pool.idle.values():
                idle[0].transport.abort()
            await sleep(0.1)
        self.assertEqual(self.pool.idle, {})

    async def test_timeout_closes_the_connection(self) -> None:
        self.seconds = 0.05
        with self.assertRaisesRegex(ConnectionLostError, "in time"):
            await self.exchange()
        await sleep(0.05)
        self.assertEqual((self.ended, self.pool.idle), (1, {}))

    async def test_refused_connection_raises_not_sent_error(self) -> None:
        self.server.close()
        await self.server.wait_closed()
        with self.assertRaises(NotSentError):
            await self.exchange()

    def test_line_end_in_a_header_is_refused(self) -> None:
        with self.assertRaises(NotSentError):
            encode_request("POST", "n", "/x", {"Request-Id": "a\r\nPriority: critical"}, b"")

"""Status lines that no HTTP answer has, from a backend server in trouble."""

from asyncio import wait_for
from unittest import IsolatedAsyncioTestCase, TestCase

from coltsfoottrack._internal.mesh.receive_budget import ReceiveBudget
from coltsfoottrack._internal.routing.exceptions import ConnectionLostError
from coltsfoottrack._internal.routing.http_connection import ConnectionPool
from tests.standins.http import HttpServer, read_message
from tests.standins.mesh import MeshTestCase, encode
from tests.unit.test_endless_bytes import receiving

ODD_STATUSES = ("000", "001", "099", "600", "700", "999")
# Interim answers have no body, so one with a body is none.
INTERIM_STATUSES = ("100", "103", "199")
BODY = "Content-Length: 4\r\n\r\nbody"


def answer(status: str, rest: str = BODY) -> bytes:
    """Returns an answer to the request r1."""
    return f"HTTP/1.1 {status} Odd\r\nRequest-Id: r1\r\nResponse-Seal: s\r\n{rest}".encode()


class OddStatusTest(TestCase):
    """One connection to a backend server."""

    def reasons(self, *pieces: bytes) -> list[str]:
        """Returns how the request ended, in a list that is empty if it did not."""
        reasons: list[str] = []
        connection = receiving(ReceiveBudget(10**9), reasons)
        for piece in pieces:
            connection.data_received(piece)
        return reasons

    # MIXED: such a status was taken for an interim answer, or passed on as an answer.
    def test_status_of_no_answer_ends_the_request(self):
        for status in ODD_STATUSES:
            for rest in (BODY, "\r\n", "Content-Length: 0\r\n\r\n"):
                with self.subTest(status=status, rest=rest):
                    self.assertEqual(self.reasons(answer(status, rest)), ["answer_not_http"])

    # MIXED: the slot was held, and the caller kept waiting, until its time was over.
    def test_interim_status_with_a_body_ends_the_request(self):
        for status in INTERIM_STATUSES:
            with self.subTest(status=status):
                self.assertEqual(self.reasons(answer(status)), ["answer_not_http"])
                chunked = "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
                self.assertEqual(self.reasons(answer(status, chunked)), ["answer_not_http"])

    def test_interim_answer_is_followed_by_the_final_one(self):
        """Guards against a refusal of interim answers that have no name."""
        for status in INTERIM_STATUSES:
            interim = f"HTTP/1.1 {status} Interim\r\n\r\n".encode()
            self.assertEqual(self.reasons(interim, answer("200")), [""])
        self.assertEqual(self.reasons(answer("599")), [""])

    def test_odd_status_after_an_answer_does_not_replace_it(self):
        """Guards against bytes behind a whole answer that end its request."""
        self.assertEqual(self.reasons(answer("200") + answer("000")), [""])


class OddStatusPathTest(MeshTestCase):
    """A caller, two nodes and backend servers."""

    # MIXED: the caller got the answer, or a 504 after its whole time budget.
    async def test_lookup_is_served_elsewhere_and_order_is_unknown(self):
        front = await self.start("front", "portal")
        await self.start("odd")
        await self.start("well")
        await self.wait_for_members(3)
        odd, well = self.backends[1:]
        odd.status = "000"
        for number in range(6):
            request = encode("/read/", f"r{number}", Deadline_Ms="2000")
            served = await self.send_request(front, request, 1.0)
            self.assertEqual(served.status, 200)
            self.assertTrue(served.body.startswith(b"i-well"))
        well.fault = "shed"
        order = encode("/order/", "o1", "POST", Deadline_Ms="2000")
        self.assertEqual((await self.send_request(front, order, 1.0)).status, 502)
        self.assertEqual(odd.runs["o1"], 1)


class OddServer(HttpServer):
    """Answers each request with fixed bytes."""

    answer = b""

    async def serve(self, reader, writer) -> None:
        while await read_message(reader) is not None:
            writer.write(self.answer)


class OddStatusOlderPathTest(IsolatedAsyncioTestCase):
    """The client of the older call path and of the store."""

    async def asyncSetUp(self) -> None:
        self.server = OddServer()
        await self.server.open()
        self.addCleanup(self.server.close)
        self.pool = ConnectionPool()
        self.addCleanup(self.pool.close)

    async def exchange(self) -> bytes:
        """Returns the body of the answer."""
        request = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
        reply = await wait_for(self.pool.exchange(self.server.address, request, True, 1.0), 2.0)
        return reply.body

    # MIXED: the body of what was taken for an interim answer became part of the final one.
    async def test_status_of_no_answer_fails_the_exchange(self):
        for status in ODD_STATUSES + INTERIM_STATUSES:
            self.server.answer = answer(status) + answer("200")
            with self.subTest(status=status), self.assertRaises(ConnectionLostError) as caught:
                await self.exchange()
            self.assertNotIn("in time", str(caught.exception))
        self.server.answer = b"HTTP/1.1 103 Hints\r\n\r\n" + answer("200")
        self.assertEqual(await self.exchange(), b"body")

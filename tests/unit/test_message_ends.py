"""Messages cut, joined and split anywhere, read as a plain model of their sequence says.

More inputs by hand: COLTSFOOTTRACK_EXAMPLES=100000 python -m unittest tests.unit.test_message_ends
"""

from itertools import pairwise
from os import environ
from typing import NamedTuple
from unittest import TestCase

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from coltsfoottrack._internal.mesh.backend_connection import BackendConnection, BackendResponse
from coltsfoottrack._internal.mesh.caller_connection import MAX_PIPELINED, CallerConnection
from coltsfoottrack._internal.mesh.caller_group import CallerGroup
from coltsfoottrack._internal.mesh.caller_request import CallerRequest
from coltsfoottrack._internal.mesh.memory_account import MemoryAccount
from coltsfoottrack._internal.mesh.model import CallerLimits
from coltsfoottrack._internal.mesh.read_turns import ReadTurns
from coltsfoottrack._internal.mesh.receive_budget import ReceiveBudget
from coltsfoottrack.platform.names import HEADERS

EXAMPLES = int(environ.get("COLTSFOOTTRACK_EXAMPLES", "300"))
many = settings(max_examples=EXAMPLES, deadline=None, suppress_health_check=[HealthCheck.too_slow])
REQUEST_ID = b"r1"
BODIES = st.binary(max_size=40)
# Without an event loop, each connection has its next turn at once.
TURNS = ReadTurns(call_soon=lambda function: function())
CUTS = st.lists(st.integers(0, 2000), max_size=6)


class FakeTransport:
    """A transport whose other end reads everything."""

    def __init__(self) -> None:
        self.closed = False
        self.reading = True

    def write(self, data: bytes) -> None:
        """Drops the bytes."""

    def get_extra_info(self, name: str) -> "FakeTransport":
        """Stands for the socket as well."""
        return self

    def setsockopt(self, *option: int) -> None:
        """Ignores an option."""

    def is_closing(self) -> bool:
        return self.closed

    def is_reading(self) -> bool:
        return self.reading

    def pause_reading(self) -> None:
        self.reading = False

    def resume_reading(self) -> None:
        self.reading = True

    def close(self) -> None:
        self.closed = True

    abort = close


def segments(data: bytes, cuts: list[int]) -> list[bytes]:
    """Returns the data in pieces."""
    positions = sorted({min(cut, len(data)) for cut in cuts} | {0, len(data)})
    pieces = []
    for start, end in pairwise(positions):
        pieces.append(data[start:end])
    return pieces


def chunked(body: bytes, size: int) -> bytes:
    """Returns a body in chunks."""
    parts = []
    for start in range(0, len(body), size):
        piece = body[start : start + size]
        parts.append(b"%x\r\n%s\r\n" % (len(piece), piece))
    return b"".join(parts) + b"0\r\n\r\n"


class Sent(NamedTuple):
    """An answer as a server writes it, and what it means."""

    head: bytes
    body: bytes
    status: int
    # How its end is told: length, chunks or close.
    framing: str
    not_run: bool = False

    def encode(self) -> bytes:
        """Returns its bytes."""
        if self.framing == "length":
            return self.head + b"Content-Length: %d\r\n\r\n%s" % (len(self.body), self.body)
        if self.framing == "chunks":
            return self.head + b"Transfer-Encoding: chunked\r\n\r\n" + chunked(self.body, 7)
        return self.head + b"\r\n" + self.body


@st.composite
def answers(draw: st.DrawFn) -> Sent:
    """An answer to the request, or a refusal of it."""
    framing = draw(st.sampled_from(("length", "chunks", "close")))
    body = draw(BODIES)
    names = b"Request-Id: " + REQUEST_ID + b"\r\n"
    kind = draw(st.sampled_from(("answer", "failure", "refusal", "unnamed refusal")))
    if kind == "answer":
        return Sent(b"HTTP/1.1 200 OK\r\n%sResponse-Seal: s\r\n" % names, body, 200, framing)
    if kind == "failure":
        return Sent(b"HTTP/1.1 500 Failed\r\n%sResponse-Seal: s\r\n" % names, body, 500, framing)
    if kind == "unnamed refusal":
        names = b""
    head = b"HTTP/1.1 503 Full\r\n%sNot-Executed: 1\r\n" % names
    return Sent(head, body, 503, framing, True)


LATE = Sent(
    b"HTTP/1.1 200 OK\r\nRequest-Id: earlier\r\nResponse-Seal: s\r\n", b"late", 200, "length"
).encode()
LATE_REFUSAL = Sent(
    b"HTTP/1.1 503 Full\r\nRequest-Id: earlier\r\nNot-Executed: 1\r\n", b"", 503, "length"
).encode()
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"


class AnswerSequenceTest(TestCase):
    """Answers of a backend server."""

    @many
    @given(
        st.lists(st.sampled_from((LATE, LATE_REFUSAL, INTERIM)), max_size=3),
        answers(),
        st.sampled_from((b"", LATE, LATE_REFUSAL, b"\x00garbage", b"HTTP/1.1 503")),
        st.integers(0, 400),
        CUTS,
        st.booleans(),
    )
    def test_answer_is_told_once_whole_or_not_at_all(
        self, before, answer, after, missing, cuts, ends
    ):
        """Guards against parts of answers, and answers to other requests, that count."""
        found: list[tuple[BackendResponse | None, str]] = []
        connection = BackendConnection(HEADERS, ReceiveBudget(10**9))
        connection.connection_made(FakeTransport())
        connection.send(b"", REQUEST_ID, False, lambda told, reason: found.append((told, reason)))
        prefix = b"".join(before)
        encoded = answer.encode()
        if answer.framing == "close":
            after = b""
        data = prefix + encoded + after
        data = data[: max(0, len(data) - missing)]
        for piece in segments(data, cuts):
            if connection.transport.is_closing():
                break
            connection.data_received(piece)
        if ends and not connection.transport.is_closing():
            connection.eof_received()
            connection.connection_lost(None)
        expected = self.expected(answer, data[len(prefix) :], len(encoded), ends)
        self.assertLessEqual(len(found), 1)
        if expected is None:
            self.assertEqual([told for told, _ in found if told is not None], [])
            self.assertEqual(len(found), 1 if ends else len(found))
            return
        told = found[0][0]
        self.assertEqual((told.status, told.body, told.not_run), expected)
        odd = len(data) > len(prefix) + len(encoded) or LATE in before or LATE_REFUSAL in before
        if odd or answer.framing == "close" or b"Request-Id" not in answer.head:
            usable = connection.reusable and not connection.transport.is_closing()
            # Bytes after the answer may still arrive while the connection is idle.
            self.assertFalse(usable and connection.on_finished is None, data)

    def expected(
        self, answer: Sent, received: bytes, size: int, ends: bool
    ) -> tuple[int, bytes, bool] | None:
        """Returns status, body and whether it is a refusal; None if there is no whole answer."""
        if answer.framing != "close":
            complete = len(received) >= size
            return (answer.status, answer.body, answer.not_run) if complete else None
        head = len(answer.head) + 2
        if not ends or len(received) < head:
            return None
        return answer.status, received[head:], answer.not_run


class Asked(NamedTuple):
    """A request as a caller sends it."""

    method: bytes
    path: str
    body: bytes
    is_chunked: bool
    offers: bool

    def encode(self, number: int) -> bytes:
        """Returns its bytes."""
        lines = [b"%s %s HTTP/1.1" % (self.method, self.path.encode()), b"Host: h"]
        lines.append(b"Request-Id: r%d" % number)
        if self.offers:
            lines += [b"Connection: Upgrade", b"Upgrade: h2c"]
        body = self.body
        if self.method == b"POST" and self.is_chunked:
            lines.append(b"Transfer-Encoding: chunked")
            body = chunked(body, 5)
        elif self.method == b"POST":
            lines.append(b"Content-Length: %d" % len(body))
        return b"\r\n".join(lines) + b"\r\n\r\n" + body


REQUESTS = st.builds(
    Asked,
    st.just(b"POST"),
    st.sampled_from(("/a", "/b/c?d=e")),
    BODIES,
    st.booleans(),
    st.booleans(),
) | st.builds(
    Asked,
    st.just(b"GET"),
    st.sampled_from(("/a", "/")),
    st.just(b""),
    st.just(False),
    st.booleans(),
)


class Collector:
    """Handles requests by collecting them; answers at once or later."""

    headers = HEADERS
    caller_header = b"Caller-Service: s\r\n"
    requires_id = True

    def __init__(self, answers_at_once: bool) -> None:
        self.answers_at_once = answers_at_once
        self.requests: list[CallerRequest] = []

    def limits(self) -> CallerLimits:
        return CallerLimits()

    def is_stopping(self) -> bool:
        return False

    def drops_customer_headers(self) -> bool:
        return False

    def handle(self, request: CallerRequest) -> None:
        self.requests.append(request)
        if self.answers_at_once:
            request.respond(200, b"", b"")


class RequestSequenceTest(TestCase):
    """Requests of a caller."""

    @many
    @given(
        st.lists(REQUESTS, max_size=8),
        # More than the number of requests at which reading pauses.
        st.sampled_from((1, 1, 20)),
        st.integers(0, 60),
        CUTS,
        st.booleans(),
        st.randoms(use_true_random=False),
    )
    def test_requests_are_read_as_sent(self, asked, times, missing, cuts, answers_at_once, random):
        """Guards against a body that is lost, changed or read as a request."""
        asked = asked * times
        handler = Collector(answers_at_once)
        connection = CallerConnection(handler, CallerGroup(MemoryAccount(), lambda: 9, TURNS))
        connection.connection_made(FakeTransport())
        encoded = [request.encode(number) for number, request in enumerate(asked)]
        data = b"".join(encoded)
        data = data[: max(0, len(data) - missing)]
        for piece in segments(data, [cut * 3 for cut in cuts]):
            connection.data_received(piece)
        whole = 0
        size = 0
        for request in encoded:
            size += len(request)
            whole += size <= len(data)
        # Those that are sent further ahead are handled as the ones before them are answered.
        self.assertGreaterEqual(len(handler.requests), min(whole, MAX_PIPELINED))
        self.assertFalse(connection.transport.is_closing())
        while waiting := [request for request in handler.requests if request.answer is None]:
            random.shuffle(waiting)
            for request in waiting:
                request.respond(200, b"", b"")
        found = [(r.method, r.path, r.body) for r in handler.requests]
        expected = [(r.method, r.path, r.body) for r in asked[:whole]]
        self.assertEqual(found, expected)
        # All is answered, so the connection is read.
        self.assertTrue(connection.transport.is_reading())
        self.assertEqual(len(connection.waiting), 0)

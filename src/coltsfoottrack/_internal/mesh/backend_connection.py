"""Connections to the local backend server; each answer is read and checked as a whole."""

from asyncio import Protocol, Transport, get_running_loop, wait_for
from collections.abc import Callable
from math import inf
from typing import NamedTuple

from httptools import HttpParserError, HttpParserUpgrade, HttpResponseParser

from coltsfoottrack._internal.calls.answer_status import StatusKind, status_kind
from coltsfoottrack._internal.mesh.backend_load import LoadReport, parse_load
from coltsfoottrack._internal.mesh.backend_rate import parse_rate
from coltsfoottrack._internal.mesh.body_buffer import Body, BodyBuffer, LargeBody
from coltsfoottrack._internal.mesh.clock import current_time
from coltsfoottrack._internal.mesh.http_headers import CONNECTION_HEADERS
from coltsfoottrack._internal.mesh.memory_account import MemoryAccount
from coltsfoottrack._internal.mesh.model import HeaderNames
from coltsfoottrack._internal.mesh.paced_writer import PacedWriter
from coltsfoottrack._internal.mesh.read_turns import ReadTurns, bound_reads
from coltsfoottrack._internal.mesh.receive_budget import ReceiveBudget
from coltsfoottrack._internal.mesh.silence_watch import SilenceWatch
from coltsfoottrack._internal.mesh.sockets import (
    INNER_RECEIVE_BYTES,
    bound_receive_buffer,
    detect_silence,
    split_address,
)

CONNECT_TIMEOUT_SECONDS = 1.0
MAX_RESPONSE_BYTES = 32 * 1024 * 1024
# Bound on the status line and headers of an answer, and on its trailers.
MAX_HEAD_BYTES = 64 * 1024
# Bound on all incomplete answers of a node, if it is not told how much memory it has.
DEFAULT_HELD_BYTES = 64 * 1024 * 1024
# Idle connections are closed this long before the backend server would close them.
IDLE_MARGIN_SECONDS = 1.5
DEFAULT_IDLE_SECONDS = 4.0
# A backend server may drop an idle connection without notice, and a non-idempotent request lost by
# that cannot be retried. The limit falls to half of the idle time after which a drop was seen.
NON_IDEMPOTENT_IDLE_SECONDS = 3.0
# A connection that has refused this many requests is closed, as it must know them all.
MAX_REFUSED_IDS = 256
# Statuses from here on count as failures of the backend server.
FIRST_FAILURE_STATUS = 500
# Value of the header by which a backend server states that it leaves.
LEAVING = b"1"
# Reason of an answer for which the node has no memory.
NO_MEMORY = "answer_no_memory"


class BackendResponse(NamedTuple):
    """A complete response of the backend server."""

    status: int
    # Header lines to be forwarded.
    head: bytes
    body: Body
    # The backend server reports that it did not run the request.
    not_run: bool
    # Requests per second that the backend server asks for, None if it names no limit.
    rate_limit: float | None = None
    # The backend server states that it leaves.
    leaving: bool = False
    # Load of the backend server, None if it names none.
    load: LoadReport | None = None


Finished = Callable[[BackendResponse | None, str], None]


class BackendConnection(Protocol):
    """One connection to the backend server; carries one request at a time."""

    def __init__(
        self,
        names: HeaderNames,
        budget: ReceiveBudget,
        account: MemoryAccount | None = None,
        turns: ReadTurns | None = None,
    ) -> None:
        self.names = names
        self.budget = budget
        self.turns = turns or ReadTurns()
        # Parts of the answer that the parser has reported in this read.
        self.parts = 0
        account = account or MemoryAccount()
        # Called when the connection has ended.
        self.on_lost: Callable[[BackendConnection], object] = lambda connection: None
        self.transport: Transport | None = None
        # Used once a large body is sent.
        self.writer: PacedWriter | None = None
        self.writing_paused = False
        self.body = BodyBuffer(account, account.try_add_answer)
        self.parser: HttpResponseParser | None = None
        self.on_finished: Finished | None = None
        # The complete answer, until the bytes received with it are parsed.
        self.answer: BackendResponse | None = None
        self.request_id = b""
        # Requests that were refused on this connection.
        self.refused_ids: set[bytes] = set()
        self.is_head_request = False
        self.header_lines: list[bytes] = []
        self.received = 0
        # Bytes since the last complete header block, and size of the trailers of this answer.
        self.received_in_head = 0
        self.trailer_size = 0
        # Bytes received since the parser last reported a part of the answer; it collects a header
        # line, and the extension of a chunk, of any length before it reports them.
        self.unreported = 0
        self.in_body = False
        self.response_id: bytes | None = None
        self.has_seal = False
        self.not_run = False
        self.rate_limit: float | None = None
        self.leaving = False
        self.load: LoadReport | None = None
        self.has_content_encoding = False
        self.has_framing = False
        self.status_kind = StatusKind.INTERIM
        self.in_response = False
        self.reusable = True
        self.silence = SilenceWatch()
        self.idle_since = 0.0
        self.idle_seconds = DEFAULT_IDLE_SECONDS
        # Idle time of the connection before the request in flight; 0 before its first.
        self.was_idle_seconds = 0.0

    def connection_made(self, transport: Transport) -> None:
        """Sets the socket's options."""
        self.transport = transport
        detect_silence(transport)
        bound_receive_buffer(transport, INNER_RECEIVE_BYTES)
        bound_reads(transport)

    def wait_for_turn(self) -> None:
        """Stops reading."""
        self.transport.pause_reading()

    def take_turn(self) -> None:
        """Reads again; does nothing if the connection is closed."""
        if not self.transport.is_closing():
            self.transport.resume_reading()

    def pause_writing(self) -> None:
        """Stops sending a large body while the backend server does not read it."""
        self.writing_paused = True
        if self.writer is not None:
            self.writer.pause()

    def resume_writing(self) -> None:
        """Continues to send a large body."""
        self.writing_paused = False
        if self.writer is not None:
            self.writer.resume()

    def send(
        self,
        request: bytes,
        request_id: bytes,
        is_head_request: bool,
        finished: Finished,
        body: LargeBody | None = None,
    ) -> None:
        """Sends a request and its body; ``finished`` gets the response, or None and the reason."""
        self.on_finished = finished
        self.was_idle_seconds = current_time() - self.idle_since if self.idle_since else 0.0
        self.request_id = request_id
        self.is_head_request = is_head_request
        self.parser = HttpResponseParser(self)
        self.received = 0
        self.received_in_head = 0
        self.unreported = 0
        self.in_body = False
        self.transport.write(request)
        if body is not None:
            self.writer = PacedWriter(self.transport)
            self.writer.paused = self.writing_paused
            self.writer.write_body(body)

    def data_received(self, data: bytes) -> None:
        """Feeds the parser; aborts the connection if no request is in flight."""
        if self.on_finished is None:
            self.abort()
            return
        self.received += len(data)
        if self.received > MAX_RESPONSE_BYTES:
            self._fail("answer_too_large")
            return
        self.received_in_head += len(data)
        self.unreported += len(data)
        self.parts = 0
        try:
            self.parser.feed_data(data)
        except (HttpParserError, HttpParserUpgrade):
            self.reusable = False
            if self.answer is None:
                self._fail("answer_not_http")
                return
        if self.answer is not None:
            self._deliver()
            return
        unbounded = self.unreported if self.in_body else self.received_in_head
        if unbounded > MAX_HEAD_BYTES:
            self._fail("answer_too_large")
        elif self.on_finished is not None:
            self.turns.end_read(self, self.parts)

    def eof_received(self) -> bool:
        """Completes a response without a length; any other one, or part of a head, is truncated."""
        if (
            self.on_finished is not None
            and self.in_response
            and self.in_body
            and not self.has_framing
        ):
            self.reusable = False
            self._complete()
            if self.answer is not None:
                self._deliver()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Fails the request in flight."""
        self.reusable = False
        self.on_lost(self)
        self._fail("connection_reset" if error else "connection_closed")

    def on_message_begin(self) -> None:
        """Starts a response."""
        if self.answer is not None:
            # It belongs to no request.
            self.reusable = False
        self.in_response = True
        self.in_body = False
        self.trailer_size = 0
        self.header_lines = []
        self.body.discard()
        self.body.expected_bytes = MAX_RESPONSE_BYTES
        self.response_id = None
        self.has_seal = False
        self.not_run = False
        self.rate_limit = None
        self.leaving = False
        self.load = None
        self.has_content_encoding = False
        self.has_framing = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Evaluates a header and keeps it if it is to be forwarded."""
        if self.in_body:
            self._count_trailer(len(name) + len(value))
        self.parts += 1
        self.unreported = 0
        lower = name.lower()
        names = self.names
        if lower == names.request_id:
            self.response_id = value
        elif lower == names.seal:
            self.has_seal = True
        elif lower == names.not_run:
            self.not_run = True
        elif lower == names.rate_limit:
            self.rate_limit = parse_rate(value)
        elif lower == names.leaving:
            self.leaving = value.strip() == LEAVING
        elif lower == names.load:
            self.load = parse_load(value)
        elif lower == b"content-encoding":
            self.has_content_encoding = True
        elif lower in CONNECTION_HEADERS:
            if lower in (b"content-length", b"transfer-encoding"):
                self.has_framing = True
                if value.strip().isdigit():
                    self.body.expected_bytes = min(int(value), MAX_RESPONSE_BYTES)
            elif lower == b"keep-alive":
                self._read_keep_alive_timeout(value)
            return
        self.header_lines.append(name + b": " + value + b"\r\n")

    def on_headers_complete(self) -> None:
        """Completes the response to a HEAD request, which never has a body."""
        self.status_kind = status_kind(self.parser.get_status_code(), self.has_framing)
        if self.status_kind is StatusKind.INVALID and self.answer is None:
            self._fail("answer_not_http")
        if self.status_kind is not StatusKind.FINAL:
            return
        self.in_body = True
        self.received_in_head = 0
        if self.is_head_request:
            self.reusable = False
            self._complete()

    def on_body(self, chunk: bytes) -> None:
        """Collects a part of the body."""
        self.parts += 1
        self.unreported = 0
        if self.on_finished is not None and self.answer is None:
            if self.body.append(chunk):
                self.budget.add(self, len(chunk))
            else:
                self._fail(NO_MEMORY)

    def fail_too_large(self) -> None:
        """Fails the request in flight, as its answer takes too much memory."""
        self._fail("answer_too_large")

    def on_message_complete(self) -> None:
        """Completes a response."""
        if self.status_kind is not StatusKind.FINAL:
            return
        self.reusable = self.reusable and self.parser.should_keep_alive()
        self._complete()

    def _count_trailer(self, size: int) -> None:
        """Bounds the trailers of a chunked answer."""
        self.trailer_size += size
        if self.trailer_size > MAX_HEAD_BYTES and self.answer is None:
            self._fail("answer_too_large")

    def _read_keep_alive_timeout(self, value: bytes) -> None:
        for part in value.split(b","):
            name, _, text = part.strip().partition(b"=")
            if name.strip().lower() == b"timeout" and text.strip().isdigit():
                self.idle_seconds = max(0.0, int(text) - IDLE_MARGIN_SECONDS)

    def _complete(self) -> None:
        if self.on_finished is None or self.answer is not None:
            return
        status = self.parser.get_status_code()
        not_run = self.not_run or status == 421
        if self.response_id != self.request_id and not (self.response_id is None and not_run):
            # A late response to an earlier request; the expected one may follow.
            self.reusable = False
            self.in_response = False
            return
        self.in_response = False
        if not not_run and (self.has_content_encoding or (status < 300 and not self.has_seal)):
            self._fail("answer_not_sealed")
            return
        if not_run:
            self._note_refusal()
        head = b"".join(self.header_lines)
        self.budget.release(self)
        try:
            body = self.body.finish()
        except MemoryError:
            self._fail(NO_MEMORY)
            return
        self.answer = BackendResponse(
            status, head, body, not_run, self.rate_limit, self.leaving, self.load
        )

    def _note_refusal(self) -> None:
        """Makes sure that a copy of a refusal on this connection refuses no other request."""
        self.refused_ids.add(self.request_id)
        if self.response_id is None or len(self.refused_ids) >= MAX_REFUSED_IDS:
            self.reusable = False

    def _deliver(self) -> None:
        """Passes on the complete answer, once all that was received with it is parsed."""
        finished = self.on_finished
        answer = self.answer
        self.on_finished = None
        self.answer = None
        self.idle_since = current_time()
        if self.writer is not None and not self.writer.is_idle():
            # The rest of a large request would be held until the backend server reads it.
            self.reusable = False
        finished(answer, "")

    def _fail(self, reason: str) -> None:
        finished = self.on_finished
        self.on_finished = None
        self.abort()
        if finished is not None:
            finished(None, reason)

    def abort(self) -> None:
        """Closes the connection at once, without notifying the request in flight."""
        self.reusable = False
        self.on_finished = None
        self.answer = None
        self.body.discard()
        self.budget.release(self)
        if self.writer is not None:
            self.writer.discard()
        if self.transport is not None:
            self.transport.abort()

    def is_usable(self, now: float, bound: float) -> bool:
        """Returns whether the connection is open and idle for less than its limit and ``bound``."""
        if not self.reusable or self.transport.is_closing():
            return False
        return now - self.idle_since < min(self.idle_seconds, bound)


class BackendPool:
    """Pool of connections to the local backend server."""

    def __init__(
        self,
        address: str,
        names: HeaderNames,
        held_bytes: int = DEFAULT_HELD_BYTES,
        account: MemoryAccount | None = None,
        turns: ReadTurns | None = None,
    ) -> None:
        self.address = address
        self.turns = turns or ReadTurns()
        self.names = names
        self.budget = ReceiveBudget(held_bytes)
        # Account of the node's memory.
        self.account = account or MemoryAccount()
        self.idle: list[BackendConnection] = []
        self.opened = 0
        # All open connections, those in use included.
        self.connections: set[BackendConnection] = set()
        # Idle time after which a connection carries no non-idempotent request.
        self.non_idempotent_idle_limit = NON_IDEMPOTENT_IDLE_SECONDS

    def take(self, idempotent: bool, request_id: bytes) -> BackendConnection | None:
        """Returns the most recently used idle connection, None if it must not carry the request."""
        now = current_time()
        while self.idle:
            connection = self.idle[-1]
            if request_id in connection.refused_ids:
                # A copy of the refusal could not be told from the answer.
                return None
            if connection.is_usable(now, inf if idempotent else self.non_idempotent_idle_limit):
                return self.idle.pop()
            if connection.is_usable(now, inf):
                return None
            self.idle.pop().abort()
        return None

    async def connect(self) -> BackendConnection:
        """Opens a connection. Raises OSError or TimeoutError."""
        host, port = split_address(self.address)
        self.opened += 1
        _, connection = await wait_for(
            get_running_loop().create_connection(
                lambda: BackendConnection(self.names, self.budget, self.account, self.turns),
                host,
                port,
            ),
            CONNECT_TIMEOUT_SECONDS,
        )
        self.connections.add(connection)
        connection.on_lost = self.connections.discard
        return connection

    @property
    def open_connections(self) -> int:
        """Number of connections that are open."""
        return len(self.connections)

    def give_back(self, connection: BackendConnection) -> None:
        """Returns a connection to the pool, or aborts it if it cannot be reused."""
        if connection.reusable and not connection.transport.is_closing():
            self.idle.append(connection)
        else:
            connection.abort()

    def record_dropped(self, idle_seconds: float) -> None:
        """Lowers the idle limit after a connection idle for this long turned out to be dropped."""
        self.non_idempotent_idle_limit = min(self.non_idempotent_idle_limit, idle_seconds / 2.0)

    def sweep(self) -> None:
        """Closes connections that were idle for too long, the oldest first, and silent ones."""
        now = current_time()
        for connection in list(self.connections):
            if connection.silence.is_silent(connection.transport, now):
                connection.transport.abort()
        while self.idle and not self.idle[0].is_usable(now, inf):
            self.idle.pop(0).abort()

    def close(self) -> None:
        """Closes the idle connections."""
        for connection in self.idle:
            connection.abort()
        self.idle = []

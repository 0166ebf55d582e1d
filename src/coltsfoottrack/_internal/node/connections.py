"""HTTP connections of the call port and the admin port, with limits on sizes and times.

A protocol class over the httptools parser replaces aiohttp's low-level server, which was the
largest part of a node's processor time per call in a profile at 200 calls/s: 17% without the
functions that it called.
"""

from asyncio import (
    CancelledError,
    Event,
    Future,
    Protocol,
    Task,
    TimerHandle,
    Transport,
    get_running_loop,
)
from collections import deque
from collections.abc import Awaitable, Callable
from socket import SO_KEEPALIVE, SOL_SOCKET
from time import monotonic
from typing import Protocol as TypingProtocol

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser
from structlog import get_logger

from coltsfoottrack._internal.mesh.sockets import unreceived_bytes
from coltsfoottrack._internal.node.connection_bounds import ConnectionBounds
from coltsfoottrack._internal.node.http_messages import (
    CallRequest,
    CallResponse,
    DateHeader,
    InputProblem,
    encode_response,
)
from coltsfoottrack._internal.observability.stages import Stage, StageTimes

MAX_REQUEST_LINE_BYTES = 4096
# Pipelined requests of a caller that may wait before the node stops reading.
MAX_PIPELINED = 8
# Connections over the limit, as a part of it, that may wait for their callers to read the refusal.
REFUSED_DIVISOR = 16
INTERNAL_ERROR = (
    b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
OVER_CONNECTION_LIMIT = (
    b"HTTP/1.1 503 Service Unavailable\r\nOutcome: refused\r\nReason: overload\r\n"
    b"Retry-Useful: yes\r\nRetry-After-Ms: 1000\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

logger = get_logger(__name__)


class ConnectionOwner(TypingProtocol):
    """Interface of the port that accepted a connection."""

    bounds: ConnectionBounds
    stages: StageTimes
    date: DateHeader
    connections: "set[PortConnection]"
    refused_connections: "set[PortConnection]"
    closing: bool
    count_refused: Callable[[str], None]
    hold_body: Callable[[int], bool]
    release_body: Callable[[int], None]
    handler: Callable[[CallRequest], Awaitable[CallResponse]]


class PortConnection(Protocol):
    """One HTTP/1.1 connection.

    Pipelined requests are answered in order. The call in progress is cancelled when the caller
    closes the connection. No input is read after a refused request.
    """

    def __init__(self, server: "ConnectionOwner") -> None:
        self.server = server
        self.bounds = server.bounds
        self.transport: Transport | None = None
        self.parser = HttpRequestParser(self)
        # The request that is being received, None between two requests.
        self.arriving: CallRequest | None = None
        self.headers_complete = False
        # The request offers another protocol and has a body, which the parser does not read.
        self.offers_before_body = False
        # One object whatever the number of pieces, as each would cost more than its bytes.
        self.body = bytearray()
        # Bytes of bodies that the port counts for this connection.
        self.held_bytes = 0
        # Bytes received since the parser last completed a header block or a part of a body.
        self.pending_bytes = 0
        self.timer: TimerHandle | None = None
        self.pending_requests: deque[CallRequest] = deque()
        self.reading_paused = False
        self.input_ended = False
        # The last answer was written; the connection closes once the caller has closed it.
        self.lingering = False
        self.task: Task[None] | None = None
        self.request_waiter: Future[None] | None = None
        self.writable = Event()
        self.writable.set()
        self.idle_since = 0.0
        # Monotonic time in seconds at which the last bytes arrived.
        self.last_data_at = 0.0

    def connection_made(self, transport: Transport) -> None:
        """Accepts the connection, or refuses it when the port has too many."""
        self.transport = transport
        server = self.server
        if len(server.connections) >= self.bounds.max_connections:
            self._refuse_connection()
            return
        transport.get_extra_info("socket").setsockopt(SOL_SOCKET, SO_KEEPALIVE, 1)
        server.connections.add(self)
        self.idle_since = monotonic()
        self.task = get_running_loop().create_task(self._serve_requests())
        self._start_timer(self.bounds.first_byte_seconds, self._header_timed_out)

    def _refuse_connection(self) -> None:
        """Answers that there are too many connections; closes once the caller has read that."""
        server = self.server
        server.count_refused("max_connections")
        self.input_ended = True
        self.transport.write(OVER_CONNECTION_LIMIT)
        if len(server.refused_connections) > self.bounds.max_connections // REFUSED_DIVISOR:
            self.transport.close()
            return
        server.refused_connections.add(self)
        self.close_in_order()
        self._start_timer(self.bounds.first_byte_seconds, self.transport.abort)

    def connection_lost(self, exc: Exception | None) -> None:
        """Releases the connection's resources and cancels the call in progress."""
        self.input_ended = True
        # Breaks the reference cycle with the parser, which only the garbage collector would free.
        self.parser = None
        self.server.connections.discard(self)
        self.server.refused_connections.discard(self)
        self._release_body(self.held_bytes)
        self.body = bytearray()
        self._stop_timer()
        if self.task is not None:
            self.task.cancel()

    def pause_writing(self) -> None:
        """Stops serving further requests, as the caller reads its responses slowly."""
        self.writable.clear()

    def resume_writing(self) -> None:
        """Allows the next response to be written."""
        self.writable.set()

    def data_received(self, data: bytes) -> None:
        """Feeds the parser and limits the size and time of an incomplete request."""
        if self.input_ended:
            return
        self.last_data_at = monotonic()
        self.pending_bytes += len(data)
        try:
            self._feed(data)
        except HttpParserError:
            self._refuse(400, "request is not valid HTTP/1.1")
        if self.pending_bytes > self.bounds.max_header_bytes + MAX_REQUEST_LINE_BYTES:
            self._refuse(431, "header block is too large")
        if self.input_ended:
            self._stop_timer()
        elif (self.pending_bytes or self.arriving is not None) and self.timer is None:
            if self.headers_complete:
                self._start_timer(self.bounds.body_seconds, self._body_timed_out)
            else:
                self._start_timer(self.bounds.first_byte_seconds, self._header_timed_out)

    def _feed(self, data: bytes) -> None:
        """Feeds the parser. Raises HttpParserError.

        A request that offers another protocol is answered without it, then the connection closes.
        """
        try:
            self.parser.feed_data(data)
        except HttpParserUpgrade as offer:
            if self.offers_before_body:
                self._restart_without_offer()
                self._feed(data[offer.args[0] :])
                return
            if self.pending_requests:
                self.pending_requests[-1].keep_alive = False
            self.input_ended = True

    def _restart_without_offer(self) -> None:
        """Parses the header block again without its offer, so that the body is read as one."""
        request = self.arriving
        version = self.parser.get_http_version()
        lines = [f"{request.method} {request.target.decode('latin-1')} HTTP/{version}"]
        for name, value in request.headers.items():
            if name.lower() != "upgrade":
                lines.append(f"{name}: {value}")
        self.offers_before_body = False
        self.headers_complete = False
        self.parser = HttpRequestParser(self)
        self.parser.feed_data("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n")

    def on_message_begin(self) -> None:
        """Starts to receive a request."""
        self.arriving = CallRequest(monotonic())
        self.body = bytearray()

    def on_url(self, part: bytes) -> None:
        """Adds a part of the request target."""
        if self.input_ended:
            return
        self.arriving.target += part
        if len(self.arriving.target) > MAX_REQUEST_LINE_BYTES:
            self._refuse(431, "request line is too long")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header field; trailer fields are dropped."""
        request = self.arriving
        if self.input_ended or request is None or self.headers_complete:
            return
        request.add_header(name, value)
        if request.header_bytes > self.bounds.max_header_bytes:
            limit = self.bounds.max_header_bytes
            self._refuse(431, f"header fields are {request.header_bytes} bytes, over {limit}")
        elif request.header_count > self.bounds.max_header_count:
            self._refuse(431, f"there are over {self.bounds.max_header_count} header fields")

    def on_headers_complete(self) -> None:
        """Checks the announced size of the body before any of it is read."""
        if self.input_ended:
            return
        self.headers_complete = True
        self.pending_bytes = 0
        self._stop_timer()
        request = self.arriving
        request.received_at = monotonic()
        request.method = self.parser.get_method().decode("ascii")
        length = request.headers.get("Content-Length", "0")
        if int(length) > self.bounds.max_body_bytes:
            self._refuse_body()
        elif self.parser.should_upgrade() and request.announces_body():
            self.offers_before_body = True
        elif (
            request.headers.get("Expect", "").lower() == "100-continue"
            and not self.pending_requests
        ):
            self.transport.write(CONTINUE)

    def on_body(self, chunk: bytes) -> None:
        """Adds a part of the body."""
        if self.input_ended:
            return
        self.pending_bytes = 0
        size = len(chunk)
        if len(self.body) + size > self.bounds.max_body_bytes:
            self._refuse_body()
        elif not self.server.hold_body(size):
            self.server.count_refused("max_held_body_bytes")
            self._refuse(503, "the node holds too many request bodies")
        else:
            self.held_bytes += size
            self.body += chunk

    def on_message_complete(self) -> None:
        """Queues the complete request; stops reading when too many wait."""
        if self.input_ended or self.offers_before_body:
            return
        request = self.arriving
        request.body = bytes(self.body)
        request.keep_alive = self.parser.should_keep_alive()
        request.arrived_at = self.last_data_at
        self.arriving = None
        self.headers_complete = False
        self.body = bytearray()
        self.pending_bytes = 0
        self._stop_timer()
        self._hand_over(request)
        if len(self.pending_requests) >= MAX_PIPELINED and not self.reading_paused:
            self.reading_paused = True
            self.transport.pause_reading()

    def _hand_over(self, request: CallRequest) -> None:
        self.pending_requests.append(request)
        if self.request_waiter is not None and not self.request_waiter.done():
            self.request_waiter.set_result(None)

    def _release_body(self, size: int) -> None:
        """Stops counting bytes of a body, unless the connection has ended before."""
        size = min(size, self.held_bytes)
        self.held_bytes -= size
        self.server.release_body(size)

    def _refuse_body(self) -> None:
        self._refuse(413, f"body is over {self.bounds.max_body_bytes} bytes")

    def _refuse(self, status: int, text: str) -> None:
        """Ends the input and queues the incomplete request, to be refused in its turn."""
        if self.input_ended:
            return
        self.input_ended = True
        self._stop_timer()
        self._release_body(len(self.body))
        self.body = bytearray()
        request = self.arriving or CallRequest(monotonic())
        request.arrived_at = monotonic()
        request.problem = InputProblem(status, text)
        request.keep_alive = False
        self._hand_over(request)

    async def _serve_requests(self) -> None:
        """Answers the requests of the connection in order until it closes."""
        try:
            keep_alive = True
            while keep_alive:
                request = await self._next_request()
                keep_alive = await self._answer(request)
                self._release_body(len(request.body))
                del request
                self.idle_since = monotonic()
                if not self.writable.is_set():
                    await self.writable.wait()
            self.close_in_order()
        except CancelledError:
            self.transport.abort()

    def close_in_order(self) -> None:
        """Ends the output after the last answer; the caller closes once it has read that.

        What the caller still sends is discarded, as unread bytes would reset the connection.
        """
        self.input_ended = True
        self.lingering = True
        if self.reading_paused:
            self.reading_paused = False
            self.transport.resume_reading()
        self.transport.write_eof()

    def close_unused(self) -> None:
        """Closes a connection without a call; the caller receives earlier answers first."""
        if unreceived_bytes(self.transport) > 0:
            self.close_in_order()
            return
        self.input_ended = True
        self.transport.close()

    async def _answer(self, request: CallRequest) -> bool:
        """Answers one request; returns whether the connection stays open."""
        stages = self.server.stages
        started = monotonic()
        stages.add(Stage.PARSE, started - request.arrived_at)
        date = self.server.date.now()
        try:
            response = await self.server.handler(request)
            ready = monotonic()
            keep_alive = request.keep_alive and not (response.close or self.server.closing)
            data = encode_response(response, request, date, keep_alive)
        except Exception:
            logger.exception("call_failed", target=request.target[:200].decode("latin-1"))
            self.transport.write(INTERNAL_ERROR)
            return False
        self.transport.write(data)
        stages.add(Stage.WRITE, monotonic() - ready)
        if response.on_sent is not None:
            response.on_sent()
        return keep_alive

    async def _next_request(self) -> CallRequest:
        if not self.pending_requests:
            if self.reading_paused:
                self.reading_paused = False
                self.transport.resume_reading()
            self.request_waiter = get_running_loop().create_future()
            try:
                await self.request_waiter
            finally:
                self.request_waiter = None
        return self.pending_requests.popleft()

    @property
    def has_call(self) -> bool:
        """Returns whether a received request has not been answered yet."""
        if self.lingering:
            return False
        return self.request_waiter is None or self.headers_complete or bool(self.pending_requests)

    def _start_timer(self, seconds: float, expired: Callable[[], None]) -> None:
        self.timer = get_running_loop().call_later(seconds, expired)

    def _stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def _header_timed_out(self) -> None:
        self.timer = None
        if self.has_call:
            # Earlier requests are answered first, and reading may be paused because of them.
            self._start_timer(self.bounds.first_byte_seconds, self._header_timed_out)
            return
        self.server.count_refused("first_byte_timeout_ms")
        self.transport.abort()

    def _body_timed_out(self) -> None:
        self.timer = None
        if self.reading_paused:
            self._start_timer(self.bounds.body_seconds, self._body_timed_out)
            return
        self._refuse(408, "body did not arrive whole and in time")

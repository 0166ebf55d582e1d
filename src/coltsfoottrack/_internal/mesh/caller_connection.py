"""Connections of callers: HTTP/1.1 with pipelining; answers keep the order of the requests."""

from asyncio import Protocol, Transport
from collections import deque
from collections.abc import Callable
from http import HTTPStatus
from typing import Protocol as Interface

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

from coltsfoottrack._internal.mesh.clock import current_time
from coltsfoottrack._internal.mesh.http_headers import CONNECTION_HEADERS
from coltsfoottrack._internal.mesh.model import CallerLimits, HeaderNames
from coltsfoottrack._internal.mesh.sockets import detect_silence

MAX_PIPELINED = 64
# A connection is aborted if the caller does not read its answers for this long.
UNREAD_TIMEOUT_SECONDS = 20.0
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


def _status_lines() -> dict[int, bytes]:
    lines = {}
    for status in HTTPStatus:
        lines[status.value] = f"HTTP/1.1 {status.value} {status.phrase}\r\n".encode("ascii")
    return lines


STATUS_LINES = _status_lines()


class CallerRequest:
    """One request of a caller, with its answer until that is written in its turn."""

    __slots__ = (
        "answer",
        "authorization",
        "body",
        "cancel",
        "connection",
        "deadline_ms",
        "head",
        "host",
        "keep_alive",
        "method",
        "path",
        "received",
        "request_id",
    )

    def __init__(self, connection: "CallerConnection") -> None:
        self.connection = connection
        self.method = b""
        self.path = ""
        self.host = ""
        self.request_id = b""
        self.deadline_ms: bytes | None = None
        # Value of the header with the key; b"" if it was ambiguous, None if there was none.
        self.authorization: bytes | None = None
        self.head = b""
        self.body = b""
        self.keep_alive = True
        self.received = 0.0
        self.answer: bytes | None = None
        # Called if the caller disconnects before its answer.
        self.cancel: Callable[[], None] | None = None

    def respond(self, status: int, head: bytes, body: bytes) -> None:
        """Answers the request; ``head`` holds complete header lines."""
        self.connection.respond(self, status, head, body)


class RequestHandler(Interface):
    """Handles the requests of callers."""

    headers: HeaderNames
    caller_header: bytes
    # Whether requests without an identifier are rejected.
    requires_id: bool

    def limits(self) -> CallerLimits:
        """Returns the limits in force."""

    def is_stopping(self) -> bool:
        """Returns whether connections are closed after their next answer."""

    def drops_customer_headers(self) -> bool:
        """Returns whether headers with a customer's key or name are removed before forwarding."""

    def handle(self, request: CallerRequest) -> None:
        """Handles a complete request; the answer may follow later."""


class CallerConnection(Protocol):
    """One connection of a caller."""

    def __init__(self, handler: RequestHandler, connections: set["CallerConnection"]) -> None:
        self.handler = handler
        self.connections = connections
        self.transport: Transport | None = None
        self.parser = HttpRequestParser(self)
        self.waiting: deque[CallerRequest] = deque()
        self.current: CallerRequest | None = None
        self.header_lines: list[bytes] = []
        # Header lines that are not forwarded, of which some frame the request.
        self.unforwarded_lines: list[bytes] = []
        # The request offers another protocol and has a body, which the parser does not read.
        self.offers_before_body = False
        # Positions of the header lines about customers.
        self.customer_lines: list[int] = []
        self.chunks: list[bytes] = []
        self.url = b""
        self.head_size = 0
        # Limit in force when the request began.
        self.max_head_size = 0
        self.in_head = False
        # Bytes received of an incomplete header block.
        self.received_in_head = 0
        self.body_size = 0
        self.has_duplicate = False
        self.expects_continue = False
        # Since when a request has been partly received.
        self.receiving_since: float | None = None
        self.idle_since = current_time()
        self.unread_since: float | None = None
        # No further requests are read from the connection.
        self.closing = False

    def connection_made(self, transport: Transport) -> None:
        """Registers the connection."""
        self.transport = transport
        detect_silence(transport)
        self.connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Cancels the requests of the caller that are in flight."""
        self.connections.discard(self)
        self.closing = True
        for request in self.waiting:
            if request.answer is None and request.cancel is not None:
                request.cancel()
        self.waiting.clear()

    def pause_writing(self) -> None:
        """Stops reading requests while the caller does not read its answers."""
        self.unread_since = current_time()
        self._update_reading()

    def resume_writing(self) -> None:
        """Resumes reading requests."""
        self.unread_since = None
        self._update_reading()

    def _update_reading(self) -> None:
        """Reads requests while the caller reads its answers and few enough requests wait."""
        if self.transport.is_closing():
            return
        if self.unread_since is None and len(self.waiting) <= MAX_PIPELINED:
            self.transport.resume_reading()
        else:
            self.transport.pause_reading()

    def data_received(self, data: bytes) -> None:
        """Feeds the parser."""
        if self.closing:
            return
        if self.receiving_since is None:
            self.receiving_since = current_time()
        continued = self.current if self.in_head else None
        try:
            self._feed(data)
        except HttpParserError:
            if not self.closing:
                self._reject(400)
            return
        # The parser itself collects a header of any length.
        if continued is not None and self.in_head and self.current is continued:
            self.received_in_head += len(data)
            too_large = self.received_in_head > self.handler.limits().max_header_bytes
            if too_large and not self.closing:
                self._reject(431)

    def _feed(self, data: bytes) -> None:
        """Feeds the parser. Raises HttpParserError.

        An offer of another protocol is ignored: what follows the request is the next request.
        """
        while data and not self.closing:
            try:
                self.parser.feed_data(data)
                return
            except HttpParserUpgrade as offer:
                data = data[offer.args[0] :]
                if self.offers_before_body:
                    self._restart_without_offer()

    def _restart_without_offer(self) -> None:
        """Parses the head again without its offer, so that the body is read as one."""
        version = self.parser.get_http_version().encode("ascii")
        line = b"%s %s HTTP/%s\r\n" % (self.parser.get_method(), self.url, version)
        head = b"".join((line, *self.header_lines, *self.unforwarded_lines, b"\r\n"))
        self.offers_before_body = False
        self.parser = HttpRequestParser(self)
        self.parser.feed_data(head)

    def on_message_begin(self) -> None:
        """Starts a request."""
        self.current = CallerRequest(self)
        self.max_head_size = self.handler.limits().max_header_bytes
        self.in_head = True
        self.received_in_head = 0
        self.header_lines = []
        self.unforwarded_lines = []
        self.customer_lines = []
        self.chunks = []
        self.url = b""
        self.head_size = 0
        self.body_size = 0
        self.has_duplicate = False
        self.expects_continue = False

    def on_url(self, url: bytes) -> None:
        """Collects the request target."""
        self.url += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Evaluates a header and keeps it if it is to be forwarded."""
        self._count_head(len(name) + len(value) + 4)
        request = self.current
        if request is None:
            return
        lower = name.lower()
        names = self.handler.headers
        if lower == b"host":
            if request.host:
                self.has_duplicate = True
            request.host = value.decode("latin-1")
        elif lower == names.request_id:
            if request.request_id:
                self.has_duplicate = True
            request.request_id = value
        elif lower == names.deadline_ms:
            request.deadline_ms = value
            self.unforwarded_lines.append(name + b": " + value + b"\r\n")
            return
        elif lower in CONNECTION_HEADERS:
            if lower == b"expect":
                self.expects_continue = value.lower() == b"100-continue"
            if lower != b"upgrade":
                self.unforwarded_lines.append(name + b": " + value + b"\r\n")
            return
        elif lower in (names.caller_service, names.expected_backend):
            return
        elif lower == names.authorization:
            self._keep_authorization(request, value)
        elif lower == names.customer:
            self.customer_lines.append(len(self.header_lines))
        self.header_lines.append(name + b": " + value + b"\r\n")

    def _keep_authorization(self, request: CallerRequest, value: bytes) -> None:
        """Keeps the value of the header with the key; a duplicate or a trailer makes it invalid."""
        self.customer_lines.append(len(self.header_lines))
        valid = self.in_head and request.authorization is None
        request.authorization = value if valid else b""

    def _drop_customer_lines(self) -> None:
        """Removes the header lines about customers from those to be forwarded.

        Called when the request is complete, as the configuration may have changed since its
        headers were read.
        """
        for position in reversed(self.customer_lines):
            del self.header_lines[position]

    def on_headers_complete(self) -> None:
        """Sends 100 Continue if the caller waits for it."""
        self.in_head = False
        if self.parser.should_upgrade() and self._has_body():
            self.offers_before_body = True
            return
        if self.expects_continue and not self.closing and not self.waiting:
            self.transport.write(CONTINUE)

    def _has_body(self) -> bool:
        """Returns whether the head announces a body; a tunnel that it asks for is none."""
        if self.parser.get_method() == b"CONNECT":
            return False
        for line in self.unforwarded_lines:
            name, _, value = line.lower().partition(b":")
            if name == b"transfer-encoding" or (
                name == b"content-length" and value.strip() != b"0"
            ):
                return True
        return False

    def on_body(self, chunk: bytes) -> None:
        """Collects a part of the body; rejects the request if it is too large."""
        if self.closing:
            return
        self.body_size += len(chunk)
        if self.body_size > self.handler.limits().max_body_bytes:
            self._reject(413)
            return
        self.chunks.append(chunk)

    def on_message_complete(self) -> None:
        """Validates a complete request and passes it to the handler."""
        if self.offers_before_body:
            return
        request = self.current
        self.current = None
        if request is None or self.closing:
            return
        self.receiving_since = None
        request.received = current_time()
        request.method = self.parser.get_method()
        request.keep_alive = self.parser.should_keep_alive()
        request.path = self.url.decode("latin-1")
        body = self.chunks[0] if len(self.chunks) == 1 else b"".join(self.chunks)
        request.body = body
        self.chunks = []
        self.waiting.append(request)
        lacks_id = self.handler.requires_id and not request.request_id
        if self.has_duplicate or lacks_id or not request.path.startswith("/"):
            request.keep_alive = False
            self.respond(request, 400, b"", b"")
            return
        if self.customer_lines and self.handler.drops_customer_headers():
            self._drop_customer_lines()
        parts = [request.method, b" ", self.url, b" HTTP/1.1\r\n", *self.header_lines]
        if body or request.method in (b"POST", b"PUT", b"PATCH"):
            parts.append(b"Content-Length: %d\r\n" % len(body))
        parts.append(self.handler.caller_header)
        request.head = b"".join(parts)
        if len(self.waiting) > MAX_PIPELINED:
            self._update_reading()
        self.handler.handle(request)

    def respond(self, request: CallerRequest, status: int, head: bytes, body: bytes) -> None:
        """Stores an answer and writes all answers whose turn it is."""
        request.cancel = None
        if request.answer is not None:
            return
        # The answers to requests that were sent ahead come before the connection closes.
        if self.handler.is_stopping() and request is self.waiting[-1]:
            request.keep_alive = False
        close = not request.keep_alive
        if close:
            self.closing = True
        parts = [
            STATUS_LINES.get(status) or b"HTTP/1.1 %d Status\r\n" % status,
            head,
            b"Connection: close\r\n" if close else b"",
            b"Content-Length: %d\r\n\r\n" % len(body),
        ]
        if request.method != b"HEAD":
            parts.append(body)
        request.answer = b"".join(parts)
        self._write_answers()

    def _write_answers(self) -> None:
        waiting = self.waiting
        while waiting and waiting[0].answer is not None:
            request = waiting.popleft()
            if self.transport.is_closing():
                continue
            self.transport.write(request.answer)
            if not request.keep_alive:
                self._close_after_response()
                return
        if not waiting:
            self.idle_since = current_time()
        if not self.transport.is_reading():
            self._update_reading()

    def _close_after_response(self) -> None:
        """Closes the connection after an answer; later requests on it are cancelled."""
        self.closing = True
        for request in self.waiting:
            if request.cancel is not None:
                request.cancel()
        self.waiting.clear()
        self.transport.close()

    def _count_head(self, size: int) -> None:
        self.head_size += size
        if self.head_size > self.max_head_size and not self.closing:
            self._reject(431)

    def _reject(self, status: int) -> None:
        """Rejects an unreadable request after the answers to earlier ones."""
        request = self.current or CallerRequest(self)
        self.current = None
        self.receiving_since = None
        request.keep_alive = False
        if request not in self.waiting:
            self.waiting.append(request)
        self.respond(request, status, b"", b"")
        self.closing = True

    def close_if_idle(self) -> None:
        """Closes the connection if no request is in flight or arriving."""
        if not self.waiting and self.receiving_since is None and not self.transport.is_closing():
            self.closing = True
            self.transport.close()

    def sweep(self, now: float, limits: CallerLimits) -> None:
        """Enforces the timeouts of the connection."""
        if self.unread_since is not None and now - self.unread_since > UNREAD_TIMEOUT_SECONDS:
            self.transport.abort()
        elif self.receiving_since is not None:
            if now - self.receiving_since > limits.header_timeout_ms / 1000.0:
                self._sweep_receiving(now, limits)
        elif not self.waiting and now - self.idle_since > limits.idle_timeout_ms / 1000.0:
            self.close_if_idle()

    def _sweep_receiving(self, now: float, limits: CallerLimits) -> None:
        """Rejects a request that arrives too slowly; a body may take the idle timeout."""
        if self.chunks and now - self.receiving_since < limits.idle_timeout_ms / 1000.0:
            return
        self._reject(408)

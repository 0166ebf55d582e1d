"""Connections of the call port, with bounds on number, header size and time."""

from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple, Self

from aiohttp.http_exceptions import LineTooLong
from aiohttp.web import BaseRequest, Response, Server, StreamResponse
from aiohttp.web_protocol import RequestHandler

from coltsfoottrack._internal.calls.context import OUTCOME, REASON, RETRY_USEFUL
from coltsfoottrack._internal.calls.outcome import Outcome, Reason
from coltsfoottrack._internal.observability.metrics import NodeMetrics
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import NodeLimits
from coltsfoottrack._internal.settings.rules import milliseconds_to_seconds, number_or_default

KEEPALIVE_SECONDS = 75.0
MAX_REQUEST_LINE_BYTES = 4096
HEADER_SEPARATOR_BYTES = 4
OVER_CONNECTION_LIMIT = (
    b"HTTP/1.1 503 Service Unavailable\r\nOutcome: refused\r\nReason: overload\r\n"
    b"Retry-Useful: yes\r\nRetry-After-Ms: 1000\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)


class ConnectionBounds(NamedTuple):
    """Bounds of one call port."""

    max_connections: int
    max_header_bytes: int
    max_header_count: int
    max_body_bytes: int
    first_byte_seconds: float
    body_seconds: float

    @classmethod
    def from_config(cls, limits: NodeLimits) -> Self:
        """Reads the bounds from the settings, with the defaults of the schema."""
        return cls(
            max_connections=int(number_or_default(limits, "max_connections")),
            max_header_bytes=int(number_or_default(limits, "max_header_bytes")),
            max_header_count=int(number_or_default(limits, "max_header_count")),
            max_body_bytes=int(number_or_default(limits, "max_body_bytes")),
            first_byte_seconds=milliseconds_to_seconds(limits, "first_byte_timeout_ms"),
            body_seconds=milliseconds_to_seconds(limits, "body_timeout_ms"),
        )


class BoundedConnection(RequestHandler):
    """One connection that must send a whole header block in time and within its size."""

    def __init__(self, manager: "BoundedServer", **arguments: Any) -> None:
        super().__init__(manager, **arguments)
        self.bounds = manager.bounds
        self.metrics = manager.metrics
        self.server = manager
        self.header_timer = None
        self.header_bytes = 0

    def connection_made(self, transport: Any) -> None:
        """Accepts the connection, or closes it at once when there are too many."""
        if self.server.open_connections >= self.bounds.max_connections:
            self.metrics.connections_refused.inc({"bound": "max_connections"})
            transport.write(OVER_CONNECTION_LIMIT)
            transport.close()
            self._manager = None
            return
        self.server.open_connections += 1
        super().connection_made(transport)
        self._start_header_timer()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Gives back what the connection held."""
        if self._manager is not None:
            self.server.open_connections -= 1
        self._stop_header_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Takes in bytes, of which a header block may have no more than its bound."""
        if self._manager is None:
            return
        before = self._request_count
        super().data_received(data)
        if self._request_count != before:
            self._stop_header_timer()
            self.header_bytes = 0
            return
        if self.header_timer is None and self._is_between_requests():
            self._start_header_timer()
        if self.header_timer is None:
            return
        self.header_bytes += len(data)
        if self.header_bytes > self.bounds.max_header_bytes + MAX_REQUEST_LINE_BYTES:
            self.metrics.bad_requests.inc({"status": "431"})
            if self.transport is not None:
                self.transport.write(_plain_refusal(431, "header block is too large"))
            self._stop_header_timer()
            self.close()

    def handle_error(
        self,
        request: BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> StreamResponse:
        """Answers a request that cannot be parsed; the connection is closed after it."""
        if status != 400:
            return super().handle_error(request, status, exc, message)
        if isinstance(exc, LineTooLong) or "Too many headers" in str(exc):
            status = 431
        self.metrics.bad_requests.inc({"status": str(status)})
        text = "header block is too large" if status == 431 else "request is not valid HTTP/1.1"
        headers = {OUTCOME: Outcome.REFUSED, REASON: Reason.BAD_REQUEST, RETRY_USEFUL: "no"}
        response = Response(status=status, text=text, headers=headers)
        response.force_close()
        return response

    def _is_between_requests(self) -> bool:
        return not self._messages and not self._request_in_progress and self._waiter is not None

    def _start_header_timer(self) -> None:
        self.header_timer = self._loop.call_later(
            self.bounds.first_byte_seconds, self._header_timed_out
        )

    def _stop_header_timer(self) -> None:
        if self.header_timer is not None:
            self.header_timer.cancel()
            self.header_timer = None

    def _header_timed_out(self) -> None:
        self.header_timer = None
        self.metrics.connections_refused.inc({"bound": "first_byte_timeout_ms"})
        self.force_close()


class BoundedServer(Server):
    """Makes bounded connections for one call port."""

    def __init__(
        self,
        handler: Callable[[BaseRequest], Awaitable[StreamResponse]],
        bounds: ConnectionBounds,
        metrics: NodeMetrics,
    ) -> None:
        super().__init__(handler, request_factory=self._bounded_request, handler_cancellation=True)
        self.bounds = bounds
        self.metrics = metrics
        self.open_connections = 0

    def __call__(self) -> BoundedConnection:
        """Makes the protocol of a new connection."""
        return BoundedConnection(
            self,
            loop=self._loop,
            access_log=None,
            keepalive_timeout=KEEPALIVE_SECONDS,
            max_line_size=MAX_REQUEST_LINE_BYTES,
            max_field_size=self.bounds.max_header_bytes,
            max_headers=self.bounds.max_header_count,
            lingering_time=0,
            auto_decompress=False,
        )

    def _bounded_request(self, message: Any, payload: Any, *rest: Any) -> BaseRequest:
        return BaseRequest(
            message, payload, *rest, self._loop, client_max_size=self.bounds.max_body_bytes
        )


def header_block_bytes(request: BaseRequest) -> int:
    """Returns the size of a request's header fields in bytes."""
    size = 0
    for name, value in request.raw_headers:
        size += len(name) + len(value) + HEADER_SEPARATOR_BYTES
    return size


def _plain_refusal(status: int, text: str) -> bytes:
    head = f"HTTP/1.1 {status} Refused\r\nOutcome: refused\r\nReason: bad_request\r\n"
    return f"{head}Content-Length: {len(text)}\r\nConnection: close\r\n\r\n{text}".encode("ascii")

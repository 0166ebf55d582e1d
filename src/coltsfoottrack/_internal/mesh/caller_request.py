"""One request of a caller, and the interface of what handles it."""

from collections.abc import Callable
from http import HTTPStatus
from typing import TYPE_CHECKING
from typing import Protocol as Interface

from coltsfoottrack._internal.mesh.body_buffer import Body, LargeBody
from coltsfoottrack._internal.mesh.model import CallerLimits, HeaderNames

if TYPE_CHECKING:
    from coltsfoottrack._internal.mesh.caller_connection import CallerConnection

# Cost of a request in flight besides its content: the objects of the entry and the runner.
REQUEST_BYTES = 4096


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
        "answer_body",
        "authorization",
        "body",
        "cancel",
        "charged_bytes",
        "connection",
        "deadline",
        "deadline_ms",
        "head",
        "host",
        "is_running",
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
        self.body: Body = b""
        self.keep_alive = True
        # It was handled and not answered yet.
        self.is_running = False
        self.received = 0.0
        # When its caller waits no longer, within the operator's limits; 0 if it is not known.
        self.deadline = 0.0
        # The answer, without its body if that is large.
        self.answer: bytes | None = None
        self.answer_body: LargeBody | None = None
        # Memory charged for the request and its answer; large bodies have charges of their own.
        self.charged_bytes = 0
        # Called if the caller disconnects before its answer.
        self.cancel: Callable[[], None] | None = None

    def content_bytes(self) -> int:
        """Returns the cost of the request in flight, without a large body."""
        size = REQUEST_BYTES + len(self.head)
        return size + len(self.body) if type(self.body) is bytes else size

    def answer_size(self) -> int:
        """Returns the size of the stored answer, with a large body."""
        size = len(self.answer)
        return size if self.answer_body is None else size + len(self.answer_body)

    def respond(self, status: int, head: bytes, body: Body) -> None:
        """Answers the request; ``head`` holds complete header lines."""
        self.connection.respond(self, status, head, body)

    def encode_answer(self, status: int, head: bytes, body: Body) -> None:
        """Stores the answer in the form in which it is written."""
        parts = [
            STATUS_LINES.get(status) or b"HTTP/1.1 %d Status\r\n" % status,
            head,
            b"" if self.keep_alive else b"Connection: close\r\n",
            b"Content-Length: %d\r\n\r\n" % len(body),
        ]
        if self.method != b"HEAD":
            if type(body) is bytes:
                parts.append(body)
            else:
                self.answer_body = body
        self.answer = b"".join(parts)


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

    def note_rejected(self, request: CallerRequest, status: int, reason: str) -> bytes:
        """Notes that a request is rejected unread; returns header lines for its answer."""

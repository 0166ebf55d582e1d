"""HTTP requests and responses of a node's ports."""

from collections.abc import Callable
from http import HTTPStatus
from time import time
from typing import NamedTuple
from urllib.parse import parse_qsl, unquote
from wsgiref.handlers import format_date_time

from httptools import HttpParserInvalidURLError, parse_url
from multidict import CIMultiDict

HEADER_SEPARATOR_BYTES = 4
BODILESS_STATUSES = (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)
STATUS_PHRASES = {status.value: status.phrase for status in HTTPStatus}


class InputProblem(NamedTuple):
    """Reason to refuse a request before it is processed."""

    status: int
    text: str


class CallRequest:
    """A complete request, or the part of a refused request that has arrived."""

    __slots__ = (
        "arrived_at",
        "body",
        "header_bytes",
        "header_count",
        "headers",
        "keep_alive",
        "method",
        "problem",
        "received_at",
        "target",
    )

    def __init__(self, received_at: float) -> None:
        # Monotonic times in seconds when the header block was complete and the last bytes came.
        self.received_at = received_at
        self.arrived_at = received_at
        self.method = ""
        self.target = b""
        self.headers: CIMultiDict[str] = CIMultiDict()
        self.header_bytes = 0
        self.header_count = 0
        self.body = b""
        self.keep_alive = False
        self.problem: InputProblem | None = None

    def add_header(self, name: bytes, value: bytes) -> None:
        """Adds a header field and counts its size."""
        self.header_count += 1
        self.header_bytes += len(name) + len(value) + HEADER_SEPARATOR_BYTES
        self.headers.add(name.decode("latin-1"), value.decode("latin-1"))

    def announces_body(self) -> bool:
        """Returns whether the headers announce a body; a tunnel that they ask for is none."""
        if self.method == "CONNECT":
            return False
        return "Transfer-Encoding" in self.headers or self.headers.get("Content-Length", "0") != "0"

    def path(self) -> str:
        """Returns the path without the query, empty if the target has none."""
        return self._part(0)

    def query(self) -> dict[str, str]:
        """Returns the parameters of the query."""
        return dict(parse_qsl(self._part(1)))

    def _part(self, index: int) -> str:
        """Returns the path (0) or the query (1) of the target."""
        if self.target.startswith(b"/"):
            path, _, query = self.target.partition(b"?")
        else:
            try:
                url = parse_url(self.target)
            except HttpParserInvalidURLError:
                return ""
            path, query = url.path or b"", url.query or b""
        text = (path, query)[index].decode("latin-1")
        return unquote(text) if index == 0 and "%" in text else text


class CallResponse(NamedTuple):
    """A response to send; ``close`` closes the connection afterwards.

    ``on_sent`` is called after the response was passed to the transport, so that its work does
    not delay the caller.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    close: bool = False
    on_sent: Callable[[], None] | None = None


class DateHeader:
    """The value of the Date header, formatted once a second."""

    def __init__(self) -> None:
        self.second = 0
        self.text = ""

    def now(self) -> str:
        """Returns the current date in HTTP format."""
        second = int(time())
        if second != self.second:
            self.second = second
            self.text = format_date_time(second)
        return self.text


def encode_response(
    response: CallResponse, request: CallRequest, date: str, keep_alive: bool
) -> bytes:
    """Returns the bytes of a response.

    Raises ValueError if a header value has a line end, which would start another header. This is
    checked although all values come from a parser or from this program.
    """
    status, headers, body = response.status, response.headers, response.body
    lines = [f"HTTP/1.1 {status} {STATUS_PHRASES.get(status, 'Unknown')}", f"Date: {date}"]
    if status not in BODILESS_STATUSES:
        lines.append(f"Content-Length: {len(body)}")
    if not keep_alive:
        lines.append("Connection: close")
    elif "Connection" in request.headers:
        # An HTTP/1.0 caller that requested a persistent connection expects the confirmation.
        lines.append("Connection: keep-alive")
    for name, value in headers.items():
        lines.append(f"{name}: {value}")
    text = "\r\n".join(lines)
    if text.count("\n") != len(lines) - 1 or text.count("\r") != len(lines) - 1:
        raise ValueError("a response header holds a line end")
    head = text.encode("latin-1", "replace") + b"\r\n\r\n"
    if status in BODILESS_STATUSES or request.method == "HEAD":
        return head
    return head + body

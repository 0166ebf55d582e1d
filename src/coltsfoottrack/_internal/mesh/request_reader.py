"""Reads the requests of one connection: HTTP/1.1, bounded in head, body and trailers."""

from typing import Protocol as Interface

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

from coltsfoottrack._internal.mesh.body_buffer import BodyBuffer
from coltsfoottrack._internal.mesh.caller_request import CallerRequest, RequestHandler
from coltsfoottrack._internal.mesh.http_headers import CONNECTION_HEADERS
from coltsfoottrack._internal.mesh.memory_account import MemoryAccount
from coltsfoottrack._internal.mesh.model import CallerLimits

# Reasons for which a request is rejected before it is complete.
MALFORMED = "malformed"
HEAD_TOO_LARGE = "head_too_large"
BODY_TOO_LARGE = "body_too_large"
MEMORY = "memory"
# An incomplete head up to this size is part of the cost of its connection. A larger one is charged
# at the limit, and twice, as its lines are joined in the end.
SMALL_HEAD_BYTES = 4 * 1024
HEAD_COPIES = 2


class RequestOwner(Interface):
    """The connection whose requests are read."""

    closing: bool

    def new_request(self) -> CallerRequest:
        """Returns a request without content."""

    def begin_body(self) -> None:
        """Handles a complete head; the body follows."""

    def reserve(self, size: int) -> bool:
        """Charges memory for the body that is being received."""

    def reserve_head(self, size: int) -> bool:
        """Charges memory for a large head that is being received."""

    def reject(self, status: int, reason: str) -> None:
        """Rejects the request that is being received."""

    def complete(self, request: CallerRequest) -> None:
        """Handles a complete request."""


class RequestReader:
    """Parses the requests of a connection."""

    def __init__(
        self, owner: RequestOwner, handler: RequestHandler, account: MemoryAccount
    ) -> None:
        self.owner = owner
        self.handler = handler
        self.account = account
        self.parser = HttpRequestParser(self)
        self.current: CallerRequest | None = None
        self.body = BodyBuffer(account, owner.reserve)
        self.header_lines: list[bytes] = []
        # Header lines that are not forwarded, of which some frame the request.
        self.unforwarded_lines: list[bytes] = []
        # The request offers another protocol and has a body, which the parser does not read.
        self.offers_before_body = False
        # Positions of the header lines about customers.
        self.customer_lines: list[int] = []
        self.url = b""
        self.head_size = 0
        # Memory charged for an incomplete head.
        self.charged_bytes = 0
        # Limits in force when the request began.
        self.limits = CallerLimits()
        self.in_head = False
        # Bytes received since the parser last reported a part of the request; it collects a header
        # line, and the extension of a chunk, of any length before it reports them.
        self.unreported = 0
        # Parts of requests that the parser has reported in this read.
        self.parts = 0
        # Length of the body that the head announces, 0 if it announces none.
        self.announced_bytes = 0
        self.has_duplicate = False
        self.expects_continue = False

    def close(self) -> None:
        """Drops the incomplete request and frees its memory at once."""
        self.drop_current()
        # Parser and reader refer to each other, which only the garbage collector would free.
        self.parser = None

    def drop_current(self) -> CallerRequest | None:
        """Drops the incomplete request, frees its memory and returns it."""
        request = self.current
        self.current = None
        self.body.discard()
        self._drop_head()
        return request

    def _drop_head(self) -> None:
        """Frees the lines of the head, so that an idle connection does not keep them."""
        self.header_lines = []
        self.unforwarded_lines = []
        self.account.remove(self.charged_bytes)
        self.charged_bytes = 0

    def held_bytes(self) -> int:
        """Returns the memory charged for the incomplete request."""
        return self.charged_bytes + self.body.charged_bytes

    def has_body_part(self) -> bool:
        """Returns whether a part of a body was received."""
        return len(self.body) > 0

    def feed(self, data: bytes) -> None:
        """Parses received bytes."""
        continued = self.current
        self.unreported += len(data)
        self.parts = 0
        try:
            self._feed(data)
        except HttpParserError:
            if not self.owner.closing:
                self.owner.reject(400, MALFORMED)
            return
        if continued is None or self.current is not continued or self.owner.closing:
            return
        if self.unreported > self.limits.max_header_bytes:
            self.owner.reject(431, HEAD_TOO_LARGE)
        elif not self.charged_bytes and self.head_size + self.unreported > SMALL_HEAD_BYTES:
            self._charge_head()

    def _charge_head(self) -> None:
        size = HEAD_COPIES * self.limits.max_header_bytes
        if self.owner.reserve_head(size):
            self.charged_bytes = size
        else:
            self.owner.reject(503, MEMORY)

    def _feed(self, data: bytes) -> None:
        """Feeds the parser. Raises HttpParserError.

        An offer of another protocol is ignored: what follows the request is the next request.
        """
        while data and not self.owner.closing:
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
        self.current = self.owner.new_request()
        self.limits = self.handler.limits()
        self.in_head = True
        self.unreported = 0
        # The parser may begin the same request once more without its offer.
        self.header_lines = []
        self.unforwarded_lines = []
        self.customer_lines = []
        self.url = b""
        self.head_size = 0
        self.announced_bytes = 0
        self.has_duplicate = False
        self.expects_continue = False

    def on_url(self, url: bytes) -> None:
        """Collects the request target."""
        self.url += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Evaluates a header and keeps it if it is to be forwarded."""
        self._count_head(len(name) + len(value) + 4)
        self.parts += 1
        if not self.in_head:
            self.unreported = 0
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
            self._note_connection_header(lower, name, value)
            return
        elif lower in (names.caller_service, names.expected_backend):
            return
        elif lower == names.authorization:
            self._keep_authorization(request, value)
        elif lower == names.customer:
            self.customer_lines.append(len(self.header_lines))
        self.header_lines.append(name + b": " + value + b"\r\n")

    def _note_connection_header(self, lower: bytes, name: bytes, value: bytes) -> None:
        if lower == b"expect":
            self.expects_continue = value.lower() == b"100-continue"
        elif lower == b"content-length" and value.strip().isdigit():
            self.announced_bytes = int(value)
        if lower != b"upgrade":
            self.unforwarded_lines.append(name + b": " + value + b"\r\n")

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
        """Handles a complete head, unless the parser stops at an offer in it."""
        self.in_head = False
        self.unreported = 0
        if self.parser.should_upgrade() and self._has_body():
            self.offers_before_body = True
            return
        if self.owner.closing:
            return
        self.body.expected_bytes = self.announced_bytes or self.limits.max_body_bytes
        if self.announced_bytes > self.limits.max_body_bytes:
            self.owner.reject(413, BODY_TOO_LARGE)
            return
        self.owner.begin_body()

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
        """Collects a part of the body; rejects the request if it is too large or has no room."""
        if self.owner.closing:
            return
        self.parts += 1
        self.unreported = 0
        if len(self.body) + len(chunk) > self.limits.max_body_bytes:
            self.owner.reject(413, BODY_TOO_LARGE)
        elif not self.body.append(chunk):
            self.owner.reject(503, MEMORY)

    def on_message_complete(self) -> None:
        """Passes on a complete request."""
        if self.offers_before_body:
            return
        request = self.current
        if request is None or self.owner.closing:
            self.current = None
            return
        try:
            request.body = self.body.finish()
        except MemoryError:
            self.owner.reject(503, MEMORY)
            return
        self.current = None
        request.method = self.parser.get_method()
        request.keep_alive = self.parser.should_keep_alive()
        request.path = self.url.decode("latin-1")
        if self.customer_lines and self.handler.drops_customer_headers():
            self._drop_customer_lines()
        parts = [request.method, b" ", self.url, b" HTTP/1.1\r\n", *self.header_lines]
        if request.body or request.method in (b"POST", b"PUT", b"PATCH"):
            parts.append(b"Content-Length: %d\r\n" % len(request.body))
        parts.append(self.handler.caller_header)
        request.head = b"".join(parts)
        self._drop_head()
        self.owner.complete(request)

    def _count_head(self, size: int) -> None:
        self.head_size += size
        if self.head_size > self.limits.max_header_bytes and not self.owner.closing:
            self.owner.reject(431, HEAD_TOO_LARGE)

"""Small HTTP ports of a node: readiness, reports of the backend server, metrics."""

from asyncio import Server
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from coltsfoottrack._internal.mesh.caller_connection import CallerConnection
from coltsfoottrack._internal.mesh.caller_group import CallerGroup
from coltsfoottrack._internal.mesh.caller_request import CallerRequest
from coltsfoottrack._internal.mesh.model import CallerLimits, HeaderNames
from coltsfoottrack._internal.mesh.sockets import listen

MAX_BODY_BYTES = 64 * 1024


class PortResponse(NamedTuple):
    """A response of a port."""

    status: int
    content_type: str
    body: bytes


PortHandler = Callable[[str, str, bytes], PortResponse]


class HttpPort:
    """An HTTP port whose handler computes a response from method, path and body at once."""

    def __init__(
        self, names: HeaderNames, answer: PortHandler, group: CallerGroup, accepted_at_once: int
    ) -> None:
        self.headers = names
        self.caller_header = b""
        self.requires_id = False
        self.answer = answer
        self.accepted_at_once = accepted_at_once
        self.group = group
        group.limits = self.limits
        self.server: Server | None = None

    async def open(self, address: str) -> None:
        """Opens the port. Raises OSError."""
        self.server = await listen(
            address, partial(CallerConnection, self, self.group), self.accepted_at_once
        )

    def note_rejected(self, request: CallerRequest, status: int, reason: str) -> bytes:
        """Returns no header lines for the answer to a request that is rejected unread."""
        return b""

    def limits(self) -> CallerLimits:
        """Returns the limits of the port."""
        return CallerLimits(max_body_bytes=MAX_BODY_BYTES)

    def is_stopping(self) -> bool:
        """Returns False: connections stay open until the process exits."""
        return False

    def drops_customer_headers(self) -> bool:
        """Returns False: the requests are not forwarded."""
        return False

    def handle(self, request: CallerRequest) -> None:
        """Responds to a request."""
        method = request.method.decode("latin-1")
        answer = self.answer(method, request.path, request.body)
        head = f"Content-Type: {answer.content_type}\r\n".encode("latin-1")
        request.respond(answer.status, head, answer.body)

    def finish(self) -> None:
        """Closes the port, and its connections after the answers that were written."""
        if self.server is not None:
            self.server.close()
        self.group.close_all()

    def close(self) -> None:
        """Closes the port and its connections at once."""
        if self.server is not None:
            self.server.close()
        for connection in list(self.group.connections):
            connection.transport.abort()

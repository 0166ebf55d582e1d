"""Small HTTP ports of a node: readiness, reports of the backend server, metrics."""

from asyncio import Server, get_running_loop
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from coltsfoottrack._internal.mesh.caller_connection import CallerConnection, CallerRequest
from coltsfoottrack._internal.mesh.model import CallerLimits, HeaderNames
from coltsfoottrack._internal.mesh.sockets import BACKLOG, split_address

MAX_BODY_BYTES = 64 * 1024


class PortResponse(NamedTuple):
    """A response of a port."""

    status: int
    content_type: str
    body: bytes


PortHandler = Callable[[str, str, bytes], PortResponse]


class HttpPort:
    """An HTTP port whose handler computes a response from method, path and body at once."""

    def __init__(self, names: HeaderNames, answer: PortHandler) -> None:
        self.headers = names
        self.caller_header = b""
        self.requires_id = False
        self.answer = answer
        self.connections: set[CallerConnection] = set()
        self.server: Server | None = None

    async def open(self, address: str) -> None:
        """Opens the port. Raises OSError."""
        host, port = split_address(address)
        self.server = await get_running_loop().create_server(
            partial(CallerConnection, self, self.connections),
            host,
            port,
            backlog=BACKLOG,
            reuse_address=True,
        )

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

    def close(self) -> None:
        """Closes the port and its connections."""
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            connection.transport.abort()

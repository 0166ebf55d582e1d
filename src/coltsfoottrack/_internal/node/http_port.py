"""HTTP/1.1 server on one TCP port with limits on its connections."""

from asyncio import Server, Task, get_running_loop, sleep, timeout
from collections.abc import Awaitable, Callable
from time import monotonic

from structlog import get_logger

from coltsfoottrack._internal.node.connection_bounds import ConnectionBounds
from coltsfoottrack._internal.node.connections import PortConnection
from coltsfoottrack._internal.node.http_messages import CallRequest, CallResponse, DateHeader
from coltsfoottrack._internal.observability.stages import StageTimes

KEEPALIVE_SECONDS = 75.0
# Interval of the search for idle connections, which replaces a timer per request.
SWEEP_SECONDS = 5.0
CLOSE_POLL_SECONDS = 0.01

Handler = Callable[[CallRequest], Awaitable[CallResponse]]

logger = get_logger(__name__)


class HttpPort:
    """Accepts connections on one port and passes their requests to a handler."""

    def __init__(
        self,
        handler: Handler,
        bounds: ConnectionBounds,
        count_refused: Callable[[str], None],
        stages: StageTimes,
    ) -> None:
        self.handler = handler
        self.bounds = bounds
        # Called with the name of the limit for each connection that a limit closed.
        self.count_refused = count_refused
        self.stages = stages
        self.connections: set[PortConnection] = set()
        # Connections over the limit whose callers have not read the refusal yet.
        self.refused_connections: set[PortConnection] = set()
        # Bytes of all bodies that are being received or wait for their answer.
        self.held_body_bytes = 0
        self.date = DateHeader()
        self.closing = False
        self.listener: Server | None = None
        self.idle_sweeper: Task[None] | None = None

    @property
    def open_connections(self) -> int:
        """Number of accepted connections that are still open."""
        return len(self.connections)

    def hold_body(self, size: int) -> bool:
        """Counts bytes of a body; returns False if the port holds too many already."""
        if self.held_body_bytes + size > self.bounds.max_held_body_bytes:
            return False
        self.held_body_bytes += size
        return True

    def release_body(self, size: int) -> None:
        """Stops counting bytes of a body."""
        self.held_body_bytes -= size

    async def open(self, address: str, port: int, backlog: int) -> None:
        """Starts listening. Raises OSError if the port cannot be opened."""
        loop = get_running_loop()
        self.listener = await loop.create_server(
            lambda: PortConnection(self), address, port, backlog=backlog, reuse_address=True
        )
        self.idle_sweeper = loop.create_task(self._sweep())

    async def close(self, seconds: float) -> None:
        """Stops listening, and aborts connections whose calls do not end within ``seconds``."""
        self.closing = True
        if self.listener is None:
            return
        self.idle_sweeper.cancel()
        self.listener.close()
        try:
            async with timeout(seconds):
                while self.connections:
                    self._close_unused()
                    await sleep(CLOSE_POLL_SECONDS)
        except TimeoutError:
            logger.warning("call_connections_left_open", count=len(self.connections))
        for connection in (*self.connections, *self.refused_connections):
            connection.transport.abort()

    def _close_unused(self) -> None:
        """Closes connections without a call, including those with a partial header block."""
        for connection in list(self.connections):
            if not connection.has_call:
                connection.close_unused()

    async def _sweep(self) -> None:
        while True:
            await sleep(SWEEP_SECONDS)
            self._close_idle(monotonic() - KEEPALIVE_SECONDS)

    def _close_idle(self, idle_before: float) -> None:
        """Closes connections that have been idle since before ``idle_before``."""
        for connection in list(self.connections):
            if connection.idle_since >= idle_before:
                continue
            if connection.lingering or not connection.writable.is_set():
                # The caller has not read its response within the keep-alive time.
                connection.transport.abort()
            elif not connection.has_call and connection.arriving is None:
                connection.close_unused()

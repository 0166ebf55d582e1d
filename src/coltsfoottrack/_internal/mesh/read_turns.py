"""Shares the time of the event loop among connections whose bytes take long to parse.

A few bytes can hold a part of a message that costs as much to handle as a large one. Connections
that send many such parts are read one at a time, one read in each round of the event loop, so that
each round takes a bounded time and all other connections are served in it.
"""

from asyncio import Transport, get_running_loop
from collections import deque
from collections.abc import Callable
from typing import Protocol as Interface

# What one read takes from a socket.
READ_BYTES = 32 * 1024
# A read that brings more parts of messages than this (pieces of bodies, header lines) is costly.
COSTLY_PARTS = 256


def bound_reads(transport: Transport) -> None:
    """Bounds what one read takes from a connection, and thereby how long it can take."""
    transport.max_size = READ_BYTES


class Reader(Interface):
    """A connection that can be paused."""

    def wait_for_turn(self) -> None:
        """Stops reading."""

    def take_turn(self) -> None:
        """Reads again; does nothing if the connection is closed."""


class ReadTurns:
    """The connections whose last read was costly, in the order in which they are read again."""

    def __init__(self, call_soon: Callable[[Callable[[], None]], object] | None = None) -> None:
        # Calls a function in the next round of the event loop; by default the running one.
        self.call_soon = call_soon
        self.waiting: deque[Reader] = deque()
        # Costly reads since the start.
        self.costly = 0

    def end_read(self, reader: Reader, parts: int) -> None:
        """Notes that a read of a connection has brought this many parts of messages."""
        if parts <= COSTLY_PARTS:
            return
        self.costly += 1
        self.wait(reader)

    def wait(self, reader: Reader) -> None:
        """Lets a connection be read again once it is its turn."""
        reader.wait_for_turn()
        self.waiting.append(reader)
        if len(self.waiting) == 1:
            self._schedule()

    def _schedule(self) -> None:
        call_soon = self.call_soon or get_running_loop().call_soon
        call_soon(self._next)

    def _next(self) -> None:
        self.waiting.popleft().take_turn()
        if self.waiting:
            self._schedule()

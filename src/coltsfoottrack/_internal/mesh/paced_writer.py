"""Writes to a connection without copying large bodies to its buffer."""

from asyncio import Transport
from collections import deque
from collections.abc import Iterator
from typing import NamedTuple

from coltsfoottrack._internal.mesh.body_buffer import LargeBody


class PendingBody(NamedTuple):
    """A body that is being written; the reference keeps its memory and its charge."""

    body: LargeBody
    pieces: Iterator[memoryview]


class PacedWriter:
    """Writes large bodies piece by piece, as fast as the remote end reads them.

    Whatever is written behind a body waits for it.
    """

    def __init__(self, transport: Transport) -> None:
        self.transport = transport
        self.paused = False
        self.pending: deque[bytes | PendingBody] = deque()
        # The stream, or the connection, is to be closed once all is written.
        self.ending = False
        self.closing = False

    def write(self, data: bytes) -> None:
        """Writes bytes."""
        if self.pending:
            self.pending.append(data)
        else:
            self.transport.write(data)

    def write_body(self, body: LargeBody) -> None:
        """Writes a body."""
        self.pending.append(PendingBody(body, body.pieces()))
        self._flush()

    def pause(self) -> None:
        """Notes that the buffer of the connection is full."""
        self.paused = True

    def resume(self) -> None:
        """Notes that the buffer of the connection has room, and continues."""
        self.paused = False
        self._flush()

    def end(self) -> None:
        """Ends the stream once all is written; the connection can still be read."""
        self.ending = True
        self._flush()

    def close(self) -> None:
        """Closes the connection once all is written."""
        self.closing = True
        self._flush()

    def is_idle(self) -> bool:
        """Returns whether nothing waits to be written."""
        return not self.pending

    def discard(self) -> None:
        """Drops what waits to be written."""
        self.pending.clear()

    def _flush(self) -> None:
        while self.pending and not self.paused:
            if self.transport.is_closing():
                self.pending.clear()
                return
            first = self.pending[0]
            if isinstance(first, bytes):
                self.pending.popleft()
                self.transport.write(first)
                continue
            piece = next(first.pieces, None)
            if piece is None:
                self.pending.popleft()
                continue
            self.transport.write(piece)
        if self.pending:
            return
        if self.closing:
            self.transport.close()
        elif self.ending:
            self.transport.write_eof()

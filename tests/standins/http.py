"""Small HTTP/1.1 server on asyncio streams for the stand-ins."""

from asyncio import (
    CancelledError,
    IncompleteReadError,
    StreamReader,
    StreamWriter,
    sleep,
    start_server,
)
from typing import NamedTuple

from coltsfoottrack._internal.experiment.fleet import LOOPBACK, free_ports


class Message(NamedTuple):
    """A parsed request."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


async def read_message(reader: StreamReader, pause_seconds: float = 0.0) -> Message | None:
    """Reads a request with a Content-Length; returns None at the end of the connection.

    Pauses before the body.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, path, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if not name:
            continue
        key = name.strip().lower()
        # Repeated headers are joined, so that tests see each of them.
        headers[key] = f"{headers[key]}, {value.strip()}" if key in headers else value.strip()
    body = b""
    if "content-length" in headers:
        if pause_seconds:
            await sleep(pause_seconds)
        body = await reader.readexactly(int(headers["content-length"]))
    return Message(method, path, headers, body)


class HttpServer:
    """Server whose subclasses implement ``serve`` for one connection."""

    def __init__(self) -> None:
        self.server = None
        self.port = 0
        self.writers: set[StreamWriter] = set()

    async def open(self, port: int = 0) -> None:
        """Opens a port on the loopback address.

        By default, it is one that no outgoing connection takes while the server is restarted.
        """
        self.port = port or free_ports(1)[0]
        self.server = await start_server(self._serve, LOOPBACK, self.port)

    @property
    def address(self) -> str:
        """IP:PORT."""
        return f"{LOOPBACK}:{self.port}"

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (CancelledError, ConnectionError, IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        """Serves one connection."""
        raise NotImplementedError

    def close(self) -> None:
        """Closes the port and resets all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

"""The part of HTTP/1.1 that the stand-ins speak."""

from asyncio import CancelledError, IncompleteReadError, StreamReader, StreamWriter, start_server

STREAM_LIMIT_BYTES = 1024 * 1024


class Message:
    """A request or an answer as it was received."""

    def __init__(self, first_line: str, headers: dict[str, str], body: bytes) -> None:
        self.first_line = first_line
        self.headers = headers
        self.body = body

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.first_line.split()[1])

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.first_line.split(" ")[0]

    @property
    def target(self) -> str:
        """Path and query of a request."""
        return self.first_line.split(" ")[1]


async def read_message(reader: StreamReader) -> Message:
    """Reads a message with a length or in chunks. Raises IncompleteReadError or OSError."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = await _read_chunks(reader)
    elif headers.get("content-length", "0") != "0":
        body = await reader.readexactly(int(headers["content-length"]))
    return Message(lines[0], headers, body)


async def _read_chunks(reader: StreamReader) -> bytes:
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        if not size:
            while (await reader.readline()).strip():
                pass
            return body
        body += await reader.readexactly(size)
        await reader.readexactly(2)


def encode(first_line: str, headers: dict[str, object], body: bytes = b"") -> bytes:
    """Returns the bytes of a message with a length."""
    lines = [first_line]
    for name, value in {**headers, "Content-Length": len(body)}.items():
        lines.append(f"{name}: {value}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class HttpServer:
    """A server whose subclasses serve one connection in ``serve``."""

    def __init__(self) -> None:
        self.server = None
        self.writers: set[StreamWriter] = set()

    async def open(self, host: str, port: int) -> None:
        """Opens the port. Raises OSError."""
        self.server = await start_server(self._serve, host, port, limit=STREAM_LIMIT_BYTES)

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (IncompleteReadError, OSError, CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        """Serves one connection."""
        raise NotImplementedError

    def close(self) -> None:
        """Closes the port and resets all connections, as the end of the process does."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

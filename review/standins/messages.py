"""HTTP/1.1 messages as the stand-ins read and write them."""

from asyncio import IncompleteReadError, LimitOverrunError, StreamReader
from typing import NamedTuple

READ_BYTES = 256 * 1024
STREAM_LIMIT = 1024 * 1024


class Message(NamedTuple):
    """A request or an answer. Of a long body only the size is kept."""

    # First line, split at spaces.
    start: tuple[str, ...]
    headers: dict[str, str]
    body: bytes
    body_size: int
    # Whether the whole message was received.
    complete: bool

    @property
    def status(self) -> int:
        """Status of an answer; 0 if there was none."""
        if len(self.start) < 2 or not self.start[1].isdigit():
            return 0
        return int(self.start[1])


NO_ANSWER = Message((), {}, b"", 0, False)


async def read_head(reader: StreamReader) -> tuple[tuple[str, ...], dict[str, str]] | None:
    """Reads start line and headers; returns None if the connection ended before their end."""
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (IncompleteReadError, LimitOverrunError, ConnectionError):
        return None
    lines = text.split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return tuple(lines[0].split(" ", 2)), headers


async def read_message(reader: StreamReader, keep_body: bool = True) -> Message | None:
    """Reads a message with a Content-Length; returns None if there was no whole head."""
    head = await read_head(reader)
    if head is None:
        return None
    start, headers = head
    left = int(headers.get("content-length", "0"))
    size = 0
    chunks = []
    while left:
        try:
            chunk = await reader.read(min(left, READ_BYTES))
        except ConnectionError:
            chunk = b""
        if not chunk:
            return Message(start, headers, b"".join(chunks), size, False)
        left -= len(chunk)
        size += len(chunk)
        if keep_body:
            chunks.append(chunk)
    return Message(start, headers, b"".join(chunks), size, True)

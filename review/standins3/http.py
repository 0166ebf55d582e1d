"""Reading of HTTP/1.1 messages with a Content-Length or in chunks, on asyncio streams."""

from asyncio import StreamReader
from typing import NamedTuple


class Message(NamedTuple):
    """A request or an answer: the words of its first line, its headers and its body."""

    first: list[str]
    headers: dict[str, str]
    body: bytes


async def read_message(reader: StreamReader) -> Message:
    """Reads one message. Raises IncompleteReadError or OSError at the end of the connection."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        while (await reader.readline()).strip():
            pass
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return Message(lines[0].split(" ", 2), headers, body)

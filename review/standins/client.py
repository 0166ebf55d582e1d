"""Stand-in of a client of one machine."""

from asyncio import StreamReader, StreamWriter, open_connection, timeout

from standins.messages import NO_ANSWER, STREAM_LIMIT, Message, read_message


def encode(
    method: str, path: str, request_id: str, deadline_ms: int, body: bytes = b"", host: str = ""
) -> bytes:
    """Returns the bytes of a request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {host or HOST}",
        f"Request-Id: {request_id}",
        f"Deadline-Ms: {deadline_ms}",
    ]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


HOST = "shop.example"


async def connect(address: tuple[str, int]) -> tuple[StreamReader, StreamWriter]:
    """Opens a connection; a client allows one second for that."""
    async with timeout(1.0):
        return await open_connection(*address, limit=STREAM_LIMIT)


async def read_answer(reader: StreamReader, seconds: float) -> Message:
    """Reads an answer; one without a status means that the connection ended or the time passed."""
    try:
        async with timeout(seconds):
            return await read_message(reader) or NO_ANSWER
    except (TimeoutError, ConnectionError):
        return NO_ANSWER


async def request_once(address: tuple[str, int], request: bytes, seconds: float) -> Message:
    """Sends a request on a new connection and returns its answer."""
    try:
        reader, writer = await connect(address)
    except (OSError, TimeoutError):
        return NO_ANSWER
    try:
        writer.write(request)
        return await read_answer(reader, seconds)
    finally:
        writer.close()

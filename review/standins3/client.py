"""Stand-in of a client: sends a request to a node and notes what becomes of it."""

from asyncio import IncompleteReadError, StreamReader, StreamWriter, open_connection, wait_for
from typing import NamedTuple

from review.standins3.http import Message, read_message
from review.standins3.record import Record

HOST = "hulo84.example"


class Result(NamedTuple):
    """What a client saw; the status is 0 if the connection ended or gave no answer."""

    request_id: str
    status: int
    sent_at: float
    ended_at: float
    headers: dict[str, str]


def encode(
    method: str, path: str, request_id: str, deadline_ms: int, body: bytes = b""
) -> bytes:
    """Returns the bytes of a request."""
    head = f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request_id}\r\n"
    head += f"Deadline-Ms: {deadline_ms}\r\n"
    if body or method != "GET":
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


class Client:
    """Sends requests from one machine, each on a new connection unless one is given."""

    def __init__(self, record: Record, name: str, address: str) -> None:
        self.record = record
        self.name = name
        self.address = address

    async def connect(self) -> tuple[StreamReader, StreamWriter]:
        """Opens a connection."""
        host, _, port = self.address.rpartition(":")
        return await wait_for(open_connection(host, int(port)), 1.0)

    async def send(
        self,
        method: str,
        path: str,
        request_id: str,
        deadline_ms: int,
        body: bytes = b"",
        connection: tuple[StreamReader, StreamWriter] | None = None,
        quiet: bool = False,
    ) -> Result:
        """Sends one request and waits for its answer, at most 0.6 s beyond its time budget."""
        sent_at = self.record.now()
        status = 0
        headers: dict[str, str] = {}
        problem = ""
        try:
            reader, writer = connection or await self.connect()
            if not quiet:
                self.record.note(self.name, f"sends {request_id} ({method} {path})")
            sent_at = self.record.now()
            writer.write(encode(method, path, request_id, deadline_ms, body))
            message: Message = await wait_for(read_message(reader), deadline_ms / 1000.0 + 0.6)
            status = int(message.first[1])
            headers = message.headers
            if connection is None:
                writer.close()
        except (OSError, IncompleteReadError, TimeoutError) as error:
            problem = f", {type(error).__name__}"
        ended_at = self.record.now()
        if not quiet:
            seal = "sealed" if "response-seal" in headers else "no seal"
            self.record.note(self.name, f"gets {status} for {request_id} ({seal}{problem})")
        return Result(request_id, status, sent_at, ended_at, headers)

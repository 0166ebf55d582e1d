"""Stand-in of an application upstream beside a node."""

from asyncio import (
    Server,
    StreamReader,
    StreamWriter,
    Task,
    create_task,
    open_connection,
    sleep,
    start_server,
    timeout,
)
from json import dumps
from time import time

from standins.messages import STREAM_LIMIT, Message, read_message
from standins.record import Record

HEARTBEAT_SECONDS = 1.5
ACK_SECONDS = 1.0


class Upstream:
    """Runs each request for a while and answers it whole; subclasses misbehave."""

    def __init__(
        self, identifier: str, service: str, zone: str, host: str, port: int, record: Record
    ) -> None:
        self.identifier = identifier
        self.service = service
        self.zone = zone
        self.host = host
        self.port = port
        self.record = record
        self.slots = 90
        self.work_seconds = 0.02
        self.born = int(time() * 1000.0)
        self.sequence = 0
        self.running = 0
        # Requests that began to run, and those that ran to their end, by identifier.
        self.started: dict[str, int] = {}
        self.finished: dict[str, int] = {}
        self.server: Server | None = None
        self.heartbeats: Task[None] | None = None

    async def open(self, control: tuple[str, int]) -> None:
        """Opens the port and starts the heartbeats to a node's control address."""
        self.server = await start_server(self._serve, self.host, self.port, limit=STREAM_LIMIT)
        self.heartbeats = create_task(self._send_heartbeats(control))

    async def _send_heartbeats(self, control: tuple[str, int]) -> None:
        while True:
            if not await self.heartbeat(control):
                await sleep(0.3)
                continue
            await sleep(HEARTBEAT_SECONDS)

    async def heartbeat(self, control: tuple[str, int], state: str = "ready") -> bool:
        """Sends one heartbeat; returns whether it was acknowledged in time."""
        self.sequence += 1
        body = dumps(
            {
                "service": self.service,
                "address": f"{self.host}:{self.port}",
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": state,
                "coldMs": 0,
                "seq": self.sequence,
                "born": self.born,
            }
        ).encode()
        return await self.post(control, "heartbeat", body)

    async def post(self, control: tuple[str, int], action: str, body: bytes) -> bool:
        """Sends a call about this upstream; returns whether it was acknowledged in time."""
        head = (
            f"POST /api/instances/{self.identifier}/{action} HTTP/1.1\r\nHost: control\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        try:
            async with timeout(ACK_SECONDS):
                reader, writer = await open_connection(*control)
                try:
                    writer.write(head.encode() + body)
                    answer = await read_message(reader)
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return False
        return answer is not None and 200 <= answer.status < 300

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        try:
            while (message := await read_message(reader, keep_body=False)) is not None:
                if not message.complete or not await self._handle(message, reader, writer):
                    return
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def _handle(self, message: Message, reader: StreamReader, writer: StreamWriter) -> bool:
        """Handles one request; returns whether the connection stays open."""
        request_id = message.headers.get("request-id", "")
        if not request_id and message.start[1] == "/health":
            writer.write(
                f"HTTP/1.1 200 OK\r\nInstance-Id: {self.identifier}\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            return True
        expected = message.headers.get("expected-instance", self.identifier)
        if expected != self.identifier:
            self.record.write(f"{self.identifier} answers 421 to {request_id}: expected {expected}")
            writer.write(
                f"HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {request_id}\r\n"
                f"Instance-Id: {self.identifier}\r\nNot-Executed: 1\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            return True
        self.started[request_id] = self.started.get(request_id, 0) + 1
        self.running += 1
        self.record.write(
            f"{self.identifier} runs {request_id} {message.start[0]} {message.start[1]}"
            f" body {message.body_size}"
        )
        try:
            left = self.seconds_for(request_id)
            while left > 0.0:
                step = min(left, 0.05)
                await sleep(step)
                left -= step
                if reader.at_eof() or writer.is_closing():
                    self.record.write(f"{self.identifier} drops {request_id}: connection closed")
                    return False
        finally:
            self.running -= 1
        self.finished[request_id] = self.finished.get(request_id, 0) + 1
        return await self.answer(message, request_id, writer)

    def seconds_for(self, request_id: str) -> float:
        """Returns how long a request runs."""
        return self.work_seconds

    async def answer(self, message: Message, request_id: str, writer: StreamWriter) -> bool:
        """Writes the answer to a request that ran; returns whether the connection stays open."""
        writer.write(self.head(request_id, self.body(request_id)) + self.body(request_id))
        return True

    def body(self, request_id: str) -> bytes:
        """Returns the body of the answer to a request."""
        return f"answer of {self.identifier} to {request_id}; ".encode() * 10

    def head(self, request_id: str, body: bytes) -> bytes:
        """Returns the head of an answer, in the order of the platform's example."""
        return (
            f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n"
            f"Response-Seal: {self.identifier}.{request_id}\r\n"
            f"Server-Load: {self.running},0,{self.slots}\r\nKeep-Alive: timeout=10\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode()

    def close(self) -> None:
        """Ends the upstream."""
        if self.heartbeats is not None:
            self.heartbeats.cancel()
        if self.server is not None:
            self.server.close()

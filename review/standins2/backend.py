"""Stand-in of an upstream: runs requests, reports to the node beside it, makes calls."""

from asyncio import (
    CancelledError,
    IncompleteReadError,
    StreamReader,
    StreamWriter,
    Task,
    create_task,
    open_connection,
    sleep,
    timeout,
)
from collections.abc import Awaitable, Callable
from json import dumps
from time import time
from uuid import uuid4

from review.standins2.http import HttpServer, Message, encode, read_message
from review.standins2.record import Record

HEARTBEAT_SECONDS = 1.5
REPORT_TIMEOUT_SECONDS = 1.0


class CrashError(Exception):
    """The request has crashed the upstream that ran it."""


class Backend(HttpServer):
    """One lifetime of an upstream on the machine of a node."""

    def __init__(
        self,
        record: Record,
        service: str,
        host: str,
        ports: dict[str, int],
        work: "Callable[[Backend, Message], Awaitable[int]]",
        slots: int = 90,
    ) -> None:
        super().__init__()
        self.record = record
        self.service = service
        self.host = host
        self.ports = ports
        # Runs a request; returns the status of its answer.
        self.work = work
        self.slots = slots
        self.identifier = f"i-{uuid4().hex[:10]}"
        self.started_ms = int(time() * 1000)
        self.number = 0
        self.running = 0
        self.heartbeats: Task[None] | None = None
        # Whether a run ends when its connection does, as that of most upstreams.
        self.drops_with_connection = True
        self.on_crash: Callable[[Backend, str], None] = lambda backend, request_id: None

    async def start(self) -> None:
        """Opens the port and starts to report. Raises OSError."""
        await self.open(self.host, self.ports["app"])
        self.heartbeats = create_task(self._report())

    async def _report(self) -> None:
        while True:
            self.number += 1
            fields = {
                "service": self.service,
                "address": f"{self.host}:{self.ports['app']}",
                "zone": "east-depot",
                "version": "v1",
                "slots": self.slots,
                "state": "ready",
                "coldMs": 0,
                "seq": self.number,
                "born": self.started_ms,
            }
            path = f"/api/instances/{self.identifier}/heartbeat"
            headers = {"Host": self.host, "Content-Type": "application/json"}
            report = encode(f"POST {path} HTTP/1.1", headers, dumps(fields).encode())
            try:
                async with timeout(REPORT_TIMEOUT_SECONDS):
                    reader, writer = await open_connection(self.host, self.ports["control"])
                    writer.write(report)
                    await read_message(reader)
                    writer.close()
            except (OSError, TimeoutError, IncompleteReadError):
                pass
            await sleep(HEARTBEAT_SECONDS)

    def end(self) -> None:
        """Ends the process: nothing is sent any more, all connections are reset."""
        if self.heartbeats is not None:
            self.heartbeats.cancel()
        self.close()

    async def serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        """Serves one connection, one request at a time."""
        while True:
            request = await read_message(reader)
            request_id = request.headers.get("request-id", "")
            names = {"Request-Id": request_id}
            if request.headers.get("expected-instance", self.identifier) != self.identifier:
                names["Instance-Id"] = self.identifier
                writer.write(encode("HTTP/1.1 421 Misdirected Request", names))
                continue
            if not request_id or self.running >= self.slots:
                status = "503 Service Unavailable" if request_id else "400 Bad Request"
                writer.write(encode(f"HTTP/1.1 {status}", {**names, "Not-Executed": 1}))
                continue
            status = await self._run(reader, request, request_id)
            if not status:
                return
            body = f"{request_id} {request.first_line}".encode()
            headers = {
                **names,
                "Response-Seal": f"seal.{request_id}",
                "Server-Load": f"{self.running},0,{self.slots}",
                "Keep-Alive": "timeout=10",
            }
            writer.write(encode(f"HTTP/1.1 {status} Status", headers, body))

    async def _run(self, reader: StreamReader, request: Message, request_id: str) -> int:
        """Runs a request; returns its status, 0 if the run has ended without an answer."""
        self.running += 1
        self.record.run_begins(request_id, self, request)
        task = create_task(self.work(self, request))
        try:
            while not task.done():
                if self.drops_with_connection and (reader.at_eof() or reader.exception()):
                    task.cancel()
                    break
                await sleep(0.005)
            status = await task
        except CancelledError:
            status = 0
        except CrashError:
            status = 0
            self.on_crash(self, request_id)
        finally:
            self.running -= 1
        self.record.run_ends(request_id, self, status)
        return status

"""Stand-in of an upstream: runs requests, makes calls, reports to the node on its machine."""

from asyncio import (
    CancelledError,
    IncompleteReadError,
    StreamReader,
    StreamWriter,
    create_task,
    open_connection,
    sleep,
    start_server,
    wait_for,
)
from collections.abc import Awaitable, Callable
from json import dumps
from time import time
from typing import NamedTuple

from review.standins3.http import Message, read_message
from review.standins3.record import Record

REPORT_SECONDS = 1.5


class Run(NamedTuple):
    """A request that an upstream began to run."""

    request_id: str
    at: float


class Upstream:
    """One lifetime of an upstream at an address."""

    def __init__(
        self, record: Record, identifier: str, service: str, zone: str, slots: int = 20
    ) -> None:
        self.record = record
        self.identifier = identifier
        self.service = service
        self.zone = zone
        self.slots = slots
        self.born = int(time() * 1000)
        self.seq = 0
        self.state = "ready"
        self.running = 0
        self.runs: list[Run] = []
        # Ids of the requests that are at work.
        self.at_work: set[str] = set()
        # Seconds of work of a request.
        self.work: Callable[[Message], float] = lambda message: 0.02
        # Called after the work of a request; returns the status.
        self.after_work: Callable[[Message], Awaitable[int]] | None = None
        # Whether single requests are left out of the record.
        self.quiet = False
        # Least size of the body of an answer.
        self.answer_bytes = 0
        self.control = ""
        self.address = ""
        self.server = None
        self.writers: set[StreamWriter] = set()
        self.reporting = None

    async def open(self, host: str, port: int = 0) -> None:
        """Listens; the port is a free one if none is given."""
        self.server = await start_server(self._serve, host, port)
        self.address = f"{host}:{self.server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """Ends as a process does: the port and all connections close."""
        self.stop_reporting()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.record.note(self.identifier, "ends")

    def report_to(self, control: str) -> None:
        """Starts the periodic reports."""
        self.control = control
        self.reporting = create_task(self._report_always())

    def stop_reporting(self) -> None:
        """Ends the periodic reports."""
        if self.reporting is not None:
            self.reporting.cancel()
            self.reporting = None

    async def _report_always(self) -> None:
        while True:
            try:
                await self.send_report(self.next_report())
            except (OSError, TimeoutError, IncompleteReadError):
                pass
            await sleep(REPORT_SECONDS)

    def next_report(self) -> dict:
        """Returns the next report, to be sent now or later."""
        self.seq += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldMs": 0,
            "seq": self.seq,
            "born": self.born,
        }

    async def send_report(self, report: dict, quiet: bool = True) -> int:
        """Sends a report; returns the status of its answer."""
        status = await self._post("heartbeat", report)
        if not quiet:
            told = f"state {report['state']}, seq {report['seq']}, born {report['born']}"
            self.record.note(self.identifier, f"heartbeat ({told}): {status}")
        return status

    async def deregister(self) -> int:
        """Announces the leave; returns the status of the answer."""
        self.stop_reporting()
        self.seq += 1
        status = await self._post("deregister", {"born": self.born, "seq": self.seq})
        self.record.note(self.identifier, f"deregister (born {self.born}): {status}")
        return status

    async def _post(self, action: str, fields: dict) -> int:
        host, _, port = self.control.rpartition(":")
        reader, writer = await wait_for(open_connection(host, int(port)), 1.0)
        try:
            body = dumps(fields).encode()
            head = f"POST /api/instances/{self.identifier}/{action} HTTP/1.1\r\nHost: {host}\r\n"
            head += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
            writer.write(head.encode() + body)
            answer = await wait_for(read_message(reader), 1.0)
            return int(answer.first[1])
        finally:
            writer.close()

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if not await self._handle(message, reader, writer):
                    return
        except (OSError, IncompleteReadError, CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def _note(self, what: str) -> float:
        return self.record.now() if self.quiet else self.record.note(self.identifier, what)

    async def _handle(
        self, message: Message, reader: StreamReader, writer: StreamWriter
    ) -> bool:
        request_id = message.headers.get("request-id", "")
        expected = message.headers.get("expected-instance", self.identifier)
        if expected != self.identifier:
            writer.write(
                b"HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\n"
                b"Request-Id: %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n"
                % (request_id.encode(), self.identifier.encode())
            )
            return True
        at = self._note(f"runs {request_id} ({message.first[0]} {message.first[1]})")
        self.runs.append(Run(request_id, at))
        self.running += 1
        self.at_work.add(request_id)
        status = 200
        try:
            await sleep(self.work(message))
            if self.after_work is not None:
                status = await self.after_work(message)
        finally:
            self.running -= 1
            self.at_work.discard(request_id)
        if writer.is_closing() or reader.at_eof():
            self._note(f"ends {request_id}, its connection is closed")
            return False
        self._note(f"answers {request_id} with {status}")
        body = f"{self.identifier} {request_id}".encode().ljust(self.answer_bytes, b".")
        writer.write(
            f"HTTP/1.1 {status} Status\r\nRequest-Id: {request_id}\r\n"
            f"Response-Seal: seal-{request_id}\r\nServer-Load: {self.running},0,{self.slots}\r\n"
            f"Keep-Alive: timeout=10\r\nContent-Length: {len(body)}\r\n\r\n".encode()
            + body
        )
        return True

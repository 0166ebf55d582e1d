"""Stand-ins for backend servers, with and without the platform."""

from asyncio import (
    Event,
    StreamReader,
    StreamWriter,
    get_running_loop,
    open_connection,
    sleep,
)
from collections import Counter
from typing import NamedTuple

from orjson import dumps

from coltsfoottrack._internal.mesh.model import HeaderNames
from coltsfoottrack._internal.mesh.sockets import split_address
from coltsfoottrack._internal.mesh_local.names import HEADERS as LOCAL_HEADERS
from coltsfoottrack.platform.names import HEADERS
from tests.standins.http import HttpServer, Message, read_message

ENDLESS_WRITE_BYTES = 64 * 1024


class EndlessAnswer(NamedTuple):
    """An answer without end: what follows the first headers, and what is repeated."""

    first: bytes
    repeated: bytes
    status_line: bytes = b"HTTP/1.1 200 OK\r\n"


ENDLESS_STARTS = {
    "endless_header": EndlessAnswer(b"X-Long: ", b"x" * 1024),
    "endless_headers": EndlessAnswer(b"", b"X-More: value\r\n"),
    "endless_interim": EndlessAnswer(
        b"", b"\r\nHTTP/1.1 100 Continue\r\n", b"HTTP/1.1 100 Continue\r\n"
    ),
    "endless_body": EndlessAnswer(b"\r\n", b"x" * 1024),
    "endless_chunks": EndlessAnswer(
        b"Transfer-Encoding: chunked\r\n\r\n", b"400\r\n" + b"x" * 1024 + b"\r\n"
    ),
    "endless_extension": EndlessAnswer(b"Transfer-Encoding: chunked\r\n\r\n1;", b"x" * 1024),
    "endless_trailer": EndlessAnswer(
        b"Transfer-Encoding: chunked\r\n\r\n0\r\nX-Long: ", b"x" * 1024
    ),
    "endless_trailers": EndlessAnswer(
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n", b"X-More: value\r\n"
    ),
}


class StandInBackend(HttpServer):
    """Backend server of the platform that runs requests for a fixed time and can inject faults."""

    def __init__(
        self, identifier: str, service: str, slots: int = 10, names: HeaderNames = HEADERS
    ) -> None:
        super().__init__()
        self.request_id_name = names.request_id.decode()
        self.seal_name = names.seal.decode()
        self.backend_name = names.expected_backend.decode()
        self.not_run_line = names.not_run.decode() + ": 1\r\n"
        self.rate_limit_name = names.rate_limit.decode()
        self.load_name = names.load.decode()
        self.leaving_line = names.leaving.decode() + ": 1\r\n"
        self.identifier = identifier
        self.service = service
        self.slots = slots
        self.started_ms = 1_000
        self.number = 0
        self.work_seconds = 0.01
        # Pause in reading before the body of a request.
        self.pause_seconds = 0.0
        self.runs: Counter[str] = Counter()
        self.received: list[Message] = []
        # Time of each arrival, in seconds of the event loop.
        self.arrivals: list[float] = []
        # Rate limit that each answer names; empty for none.
        self.rate_limit = ""
        # Slowdown in percent that each answer reports, with the load; 0 for none.
        self.slowdown_percent = 0
        # Whether each answer says that the server leaves.
        self.leaving = False
        self.order: list[str] = []
        self.running = 0
        self.peak_running = 0
        self.cancelled: list[str] = []
        # Fault in place of a correct answer: lose, truncate, cut_head, extra, unsealed, fail,
        # unframed, encoded, late, shed, shed_unnamed, crash or one of ENDLESS_STARTS.
        self.fault = ""
        # Status of each correct answer, as in its status line.
        self.status = "200"
        # Least size of the body of an answer.
        self.body_bytes = 0
        # Whether the last refusal on a connection is written again before the next answer on it.
        self.repeats_refusals = False
        # Bytes written of answers without end, by request.
        self.endless: Counter[str] = Counter()
        # Runs finish only while this is set; only those of some requests if any are named.
        self.held: set[str] = set()
        self.released = Event()
        self.released.set()

    async def serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        """Serves one connection."""
        refusal = b""
        while (message := await read_message(reader, self.pause_seconds)) is not None:
            self.received.append(message)
            self.arrivals.append(get_running_loop().time())
            request_id = message.headers[self.request_id_name]
            if self.repeats_refusals:
                writer.write(refusal)
            if message.headers.get(self.backend_name, self.identifier) != self.identifier:
                self._write(writer, 421, request_id, b"", seal=False, extra=self.not_run_line)
                continue
            if self.fault == "shed":
                self._write(writer, 503, request_id, b"", seal=False, extra=self.not_run_line)
                refusal = self._refusal(f"{self.request_id_name}: {request_id}\r\n")
                continue
            if self.fault == "shed_unnamed":
                refusal = self._refusal("")
                writer.write(refusal)
                continue
            self.runs[request_id] += 1
            self.order.append(request_id)
            self.running += 1
            self.peak_running = max(self.peak_running, self.running)
            try:
                await sleep(self.work_seconds)
                while not self.released.is_set() and (not self.held or request_id in self.held):
                    if reader.at_eof() or writer.is_closing():
                        self.cancelled.append(request_id)
                        return
                    await sleep(0.01)
            finally:
                self.running -= 1
            if not self._answer(writer, message, request_id):
                return

    async def _write_endless(self, writer: StreamWriter, fault: str, request_id: str) -> None:
        """Writes bytes without end until the connection is closed."""
        start = ENDLESS_STARTS[fault]
        names = f"{self.request_id_name}: {request_id}\r\n{self.seal_name}: s\r\n".encode()
        writer.write(start.status_line + names + start.first)
        while not writer.is_closing():
            writer.write(start.repeated * (ENDLESS_WRITE_BYTES // len(start.repeated)))
            self.endless[request_id] += ENDLESS_WRITE_BYTES
            await sleep(0.001)

    def _answer(self, writer: StreamWriter, message: Message, request_id: str) -> bool:
        """Writes an answer; returns whether the connection stays open."""
        body = f"{self.identifier} {message.method} {message.path}".encode()
        body = body.ljust(self.body_bytes)
        fault = self.fault
        if fault == "crash":
            self.close()
            return False
        if fault in ENDLESS_STARTS:
            get_running_loop().create_task(self._write_endless(writer, fault, request_id))
            return True
        if fault == "lose":
            writer.transport.abort()
            return False
        if fault == "truncate":
            writer.write(self._unfinished_head(request_id))
            writer.write(b"Content-Length: 100\r\n\r\nshort")
            return False
        if fault == "cut_head":
            writer.write(self._unfinished_head(request_id) + b"Content-Len")
            return False
        if fault == "unframed":
            writer.write(self._unfinished_head(request_id))
            writer.write(b"\r\n" + body)
            return False
        if fault == "fail":
            self._write(writer, 500, request_id, b"failed")
            return True
        if fault == "unsealed":
            self._write(writer, 200, request_id, body, seal=False)
            return True
        if fault == "encoded":
            self._write(writer, 200, request_id, body, extra="Content-Encoding: gzip\r\n")
            return True
        if fault == "late":
            self._write(writer, 200, "an-earlier-one", b"another body")
        self._write(writer, self.status, request_id, body)
        if fault == "extra":
            self._write(writer, 200, request_id, b"a second answer")
        return True

    def _refusal(self, request_id_line: str) -> bytes:
        head = f"HTTP/1.1 503 Status\r\n{request_id_line}{self.not_run_line}"
        return (head + "Content-Length: 0\r\n\r\n").encode("latin-1")

    def _unfinished_head(self, request_id: str) -> bytes:
        head = f"HTTP/1.1 200 OK\r\n{self.request_id_name}: {request_id}\r\n{self.seal_name}: s\r\n"
        return head.encode("latin-1")

    def _write(
        self,
        writer: StreamWriter,
        status: int | str,
        request_id: str,
        body: bytes,
        seal: bool = True,
        extra: str = "",
    ) -> None:
        head = f"HTTP/1.1 {status} Status\r\n{self.request_id_name}: {request_id}\r\n{extra}"
        if self.slowdown_percent:
            load = f"{self.running},0,{self.slots},{self.slowdown_percent}"
            head += f"{self.load_name}: {load}\r\n"
        if self.rate_limit:
            head += f"{self.rate_limit_name}: {self.rate_limit}\r\n"
        if self.leaving:
            head += self.leaving_line
        if seal:
            head += f"{self.seal_name}: seal-{request_id}\r\n"
        head += f"Keep-Alive: timeout=10\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode("latin-1") + body)

    def arrival_times(self) -> dict[str, float]:
        """Returns the time of the last arrival of each request."""
        times = {}
        for message, at in zip(self.received, self.arrivals, strict=True):
            times[message.headers[self.request_id_name]] = at
        return times

    async def restart(self) -> None:
        """Restarts at the same address after a crash."""
        self.started_ms += 1000
        self.number = 0
        await self.open(self.port)

    async def report(self, node: str, state: str = "ready", **changes: object) -> int:
        """Sends a heartbeat to a node; returns the status."""
        self.number += 1
        fields = {
            "service": self.service,
            "address": self.address,
            "zone": "east",
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "coldMs": 0,
            "seq": self.number,
            "born": self.started_ms,
        }
        fields.update(changes)
        return await self._post(node, "heartbeat", dumps(fields))

    async def deregister(self, node: str) -> int:
        """Announces its leave to a node; returns the status."""
        return await self._post(node, "deregister", b"")

    async def _post(self, node: str, action: str, body: bytes) -> int:
        return await post(node, f"/api/instances/{self.identifier}/{action}", body)


class LocalBackend(StandInBackend):
    """Backend server of a mesh without a platform."""

    def __init__(self, identifier: str, service: str, slots: int = 10) -> None:
        super().__init__(identifier, service, slots, LOCAL_HEADERS)

    async def report(self, node: str, state: str = "ready", **changes: object) -> int:
        """Sends a report to a node; returns the status."""
        self.number += 1
        fields = {
            "service": self.service,
            "address": self.address,
            "failure_domain": "east",
            "slots": self.slots,
            "draining": state != "ready",
            "cold_ms": 0,
            "number": self.number,
            "started_ms": self.started_ms,
        }
        fields.update(changes)
        return await self._post(node, "report", dumps(fields))

    async def deregister(self, node: str) -> int:
        """Announces its leave to a node; returns the status."""
        return await self._post(node, "leave", b"")

    async def _post(self, node: str, action: str, body: bytes) -> int:
        return await post(node, f"/backends/{self.identifier}/{action}", body)


async def post(node: str, path: str, body: bytes) -> int:
    """Posts to a port of a node; returns the status."""
    reader, writer = await open_connection(*split_address(node))
    head = f"POST {path} HTTP/1.1\r\nHost: node\r\nContent-Length: {len(body)}\r\n\r\n"
    writer.write(head.encode("ascii") + body)
    line = await reader.readline()
    writer.close()
    return int(line.split()[1])

"""Crowds of clients that send more than a node can hold, and the use of memory of its process."""

from asyncio import (
    IncompleteReadError,
    LimitOverrunError,
    StreamReader,
    StreamWriter,
    Task,
    create_subprocess_exec,
    create_task,
    gather,
    get_running_loop,
    open_connection,
    sleep,
    wait_for,
)
from asyncio.subprocess import Process
from collections import Counter
from collections.abc import AsyncIterator, Callable, Iterator
from pathlib import Path
from resource import RLIMIT_NOFILE, prlimit
from signal import SIGKILL
from socket import SHUT_WR
from subprocess import DEVNULL
from sys import executable

from coltsfoottrack._internal.experiment.process_usage import resident_bytes
from coltsfoottrack._internal.mesh.sockets import split_address
from tests.soak.shifted_node import PROGRAM
from tests.standins.backend import StandInBackend
from tests.standins.http import Message
from tests.standins.mesh import Answer, encode, free_address, read_answer
from tests.standins.store import StandInStore

MEGABYTE = 1024 * 1024
KILOBYTE = 1024
SAMPLE_SECONDS = 0.01
# A crowd has settled once none of its clients has sent or received anything for this long.
SETTLED_SECONDS = 1.5
# A process that takes this many times its memory is killed, for the sake of the machine.
RUNAWAY_FACTOR = 8
LARGE_ANSWER_PATH = "/read/large"


class LargeAnswerBackend(StandInBackend):
    """Backend server with large answers on one path."""

    answer_bytes = 0

    def _answer(self, writer: StreamWriter, message: Message, request_id: str) -> bool:
        if not message.path.startswith(LARGE_ANSWER_PATH):
            return super()._answer(writer, message, request_id)
        self._write(writer, 200, request_id, b"x" * self.answer_bytes)
        return True


class WatchedNode:
    """The process of a node with little memory and few descriptors, and what it used at most."""

    def __init__(
        self,
        directory: Path,
        service: str,
        store: StandInStore,
        memory_megabytes: int,
        max_descriptors: int,
        reserved_descriptors: int,
    ) -> None:
        self.service = service
        self.store = store
        self.backend = LargeAnswerBackend(f"i-{service}", service, 100)
        self.settings_path = directory / f"{service}.conf"
        self.log_path = directory / f"{service}.log"
        self.addresses = {
            key: free_address() for key in ("inbound", "outbound", "ready", "control")
        }
        self.metrics_port = split_address(free_address())[1]
        self.memory_megabytes = memory_megabytes
        self.max_descriptors = max_descriptors
        self.max_sockets = max_descriptors - reserved_descriptors
        self.process: Process | None = None
        self.watch: Task[None] | None = None
        # Highest sum of resident memory and received bytes that are not read yet.
        self.peak_bytes = 0
        self.peak_unread_bytes = 0
        self.peak_descriptors = 0

    @property
    def memory_bytes(self) -> int:
        """Memory that the process may use."""
        return self.memory_megabytes * MEGABYTE

    async def start(self) -> None:
        """Starts the process and its backend server."""
        await self.backend.open()
        lines = [f"node={self.service}", "zone=east", f"service={self.service}"]
        lines += [f"listen.{key}={value}" for key, value in self.addresses.items()]
        lines += ["ip=127.0.0.1", f"appAddr={self.backend.address}"]
        lines += [f"platform.address={self.store.address}", "bounds=graceS=6"]
        lines += [f"limits.memoryMb={self.memory_megabytes}"]
        lines += [f"limits.maxFds={self.max_descriptors}"]
        self.settings_path.write_text("\n".join(lines), encoding="utf-8")
        environment = {
            "COLTSFOOTTRACK_CONFIG": str(self.settings_path),
            "COLTSFOOTTRACK_METRICS_PORT": str(self.metrics_port),
        }
        with self.log_path.open("ab") as log:
            self.process = await create_subprocess_exec(
                executable, str(PROGRAM), env=environment, stdout=log, stderr=DEVNULL
            )
        prlimit(self.process.pid, RLIMIT_NOFILE, (self.max_sockets, self.max_sockets))
        self.watch = create_task(self._watch())

    async def _watch(self) -> None:
        """Records what the process uses; kills it if that gets out of hand."""
        while self.process.returncode is None:
            try:
                self._sample()
            except OSError:
                return
            if self.peak_bytes > RUNAWAY_FACTOR * self.memory_bytes:
                self.process.send_signal(SIGKILL)
                return
            await sleep(SAMPLE_SECONDS)

    def _sample(self) -> None:
        unread = self.unread_bytes()
        self.peak_unread_bytes = max(self.peak_unread_bytes, unread)
        self.peak_bytes = max(self.peak_bytes, self.resident_bytes() + unread)
        open_files = len(list(Path(f"/proc/{self.process.pid}/fd").iterdir()))
        self.peak_descriptors = max(self.peak_descriptors, open_files)

    def resident_bytes(self) -> int:
        """Returns the resident memory of the process."""
        return resident_bytes(self.process.pid)

    def peak_resident_bytes(self) -> int:
        """Returns the highest resident memory of the process, as counted by the kernel."""
        status = Path(f"/proc/{self.process.pid}/status").read_text(encoding="ascii")
        for line in status.splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * KILOBYTE
        return 0

    def unread_bytes(self) -> int:
        """Returns the received bytes that wait in the sockets of the process's ports."""
        ports = {split_address(address)[1] for address in self.addresses.values()}
        unread = 0
        with open("/proc/net/tcp", encoding="ascii") as table:
            next(table)
            for line in table:
                fields = line.split()
                is_listening = fields[3] == "0A"
                if not is_listening and int(fields[1].partition(":")[2], 16) in ports:
                    unread += int(fields[4].partition(":")[2], 16)
        return unread

    async def report(self) -> None:
        """Reports the backend server to the node once."""
        await self.backend.report(self.addresses["control"])

    async def ask(self, request: bytes, seconds: float = 30.0) -> Answer | None:
        """Sends a request on a new connection; returns the answer, None if there is none."""
        try:
            reader, writer = await wait_for(self.connect(), seconds)
        except (OSError, TimeoutError):
            return None
        try:
            writer.write(request)
            return await wait_for(read_answer(reader), seconds)
        except (OSError, TimeoutError, IncompleteReadError):
            return None
        finally:
            writer.close()

    async def connect(self) -> tuple[StreamReader, StreamWriter]:
        """Opens a connection as a caller."""
        return await open_connection(*split_address(self.addresses["outbound"]))

    def is_running(self) -> bool:
        """Returns whether the process is running."""
        return self.process is not None and self.process.returncode is None

    async def stop(self) -> None:
        """Ends the process and closes the backend server."""
        if self.watch is not None:
            self.watch.cancel()
        if self.is_running():
            self.process.send_signal(SIGKILL)
            await self.process.wait()
        self.backend.close()


class Sending:
    """What one client of a crowd sends: a head, and pieces as often as needed."""

    def __init__(self, head: bytes, pieces: Callable[[], Iterator[bytes]], ends: bool) -> None:
        self.head = head
        self.pieces = pieces
        # Whether the client closes its side afterwards; otherwise it stays.
        self.ends = ends


class CrowdClient:
    """One client of a crowd."""

    def __init__(self, node: WatchedNode, sending: Sending, reads: bool) -> None:
        self.node = node
        self.sending = sending
        self.reads = reads
        self.writer: StreamWriter | None = None
        # Status of the first answer, 0 if there is none, and whether the connection has ended.
        self.status = 0
        self.closed = False
        self.sent_all = False
        self.active_at = 0.0

    def _note_active(self) -> None:
        self.active_at = get_running_loop().time()

    async def run(self) -> None:
        """Sends until the node closes the connection."""
        self._note_active()
        try:
            reader, self.writer = await self.node.connect()
        except OSError:
            self.closed = True
            return
        self.writer.transport.set_write_buffer_limits(64 * KILOBYTE)
        reading = create_task(self._read(reader))
        try:
            await self._send()
            await reading
        finally:
            reading.cancel()
            self.writer.transport.abort()

    async def _send(self) -> None:
        try:
            self.writer.write(self.sending.head)
            for piece in self.sending.pieces():
                self.writer.write(piece)
                await self.writer.drain()
                self._note_active()
                if self.closed:
                    return
            self.sent_all = True
            if self.sending.ends:
                self.writer.get_extra_info("socket").shutdown(SHUT_WR)
        except OSError:
            self.closed = True

    async def _read(self, reader: StreamReader) -> None:
        if not self.reads:
            await sleep(3600.0)
        try:
            while not self.status or self.status == 100:
                head = await reader.readuntil(b"\r\n\r\n")
                self.status = int(head.split()[1])
                self._note_active()
            while await reader.read(KILOBYTE * 64):
                self._note_active()
        except (OSError, IncompleteReadError, LimitOverrunError):
            pass
        self.closed = True
        self._note_active()


class Crowd:
    """Clients of one node that all send the same kind of request at the same time."""

    def __init__(self, node: WatchedNode) -> None:
        self.node = node
        self.clients: list[CrowdClient] = []
        self.tasks: list[Task[None]] = []

    def add(self, sending: Sending, reads: bool = True) -> None:
        """Starts one more client."""
        client = CrowdClient(self.node, sending, reads)
        self.clients.append(client)
        self.tasks.append(create_task(client.run()))

    async def settle(self) -> None:
        """Waits until no client sends or receives any more."""
        while self.node.is_running():
            await sleep(0.05)
            now = get_running_loop().time()
            if all(client.active_at + SETTLED_SECONDS < now for client in self.clients):
                return

    async def leave(self) -> None:
        """Closes all connections of the crowd."""
        for task in self.tasks:
            task.cancel()
        await gather(*self.tasks, return_exceptions=True)

    def statuses(self) -> Counter[int]:
        """Returns how often each status was received; 0 stands for no answer."""
        return Counter(client.status for client in self.clients)


def post_head(request_id: str, *lines: str, path: str = "/order/") -> bytes:
    """Returns the head of a request with a body."""
    head = [f"POST {path} HTTP/1.1", "Host: shop.example", f"Request-Id: {request_id}", *lines]
    return "\r\n".join(head).encode("latin-1") + b"\r\n\r\n"


def by_length(request_id: str, announced: int, sent: int, path: str = "/order/") -> Sending:
    """Returns a body that is announced with one length and sent with another."""

    def pieces() -> Iterator[bytes]:
        piece = b"x" * (64 * KILOBYTE)
        for _ in range(sent // len(piece)):
            yield piece
        yield b"x" * (sent % len(piece))

    return Sending(post_head(request_id, f"Content-Length: {announced}", path=path), pieces, False)


def in_chunks(
    request_id: str, chunk_bytes: int, sent: int, end: bytes = b"", path: str = "/order/"
) -> Sending:
    """Returns a body in chunks of one size, followed by ``end``."""

    def pieces() -> Iterator[bytes]:
        chunk = b"%x\r\n%s\r\n" % (chunk_bytes, b"x" * chunk_bytes)
        together = max(1, 64 * KILOBYTE // len(chunk))
        chunks, rest = divmod(sent // chunk_bytes, together)
        for _ in range(chunks):
            yield chunk * together
        yield chunk * rest + end

    head = post_head(request_id, "Transfer-Encoding: chunked", path=path)
    return Sending(head, pieces, False)


def after_head(head: bytes, repeated: bytes, sent: int) -> Sending:
    """Returns a request whose head is followed by the same bytes again and again."""

    def pieces() -> Iterator[bytes]:
        piece = repeated * (64 * KILOBYTE // max(1, len(repeated)))
        for _ in range(sent // max(1, len(piece))):
            yield piece

    return Sending(head, pieces, False)


def sent_ahead(name: str, count: int, path: str, body_bytes: int = 0) -> Sending:
    """Returns requests without a body that are sent ahead, between two with a body if it has one.

    While the first body is read, the receive buffer of the connection may grow.
    """
    heads = b"".join(encode(path, f"{name}-{number}") for number in range(count))
    if not body_bytes:
        return Sending(heads, lambda: iter(()), False)
    first = by_length(f"{name}-first", body_bytes, body_bytes)
    last = by_length(f"{name}-last", body_bytes, body_bytes)

    def pieces() -> Iterator[bytes]:
        yield from first.pieces()
        yield heads + last.head
        yield from last.pieces()

    return Sending(first.head, pieces, False)


async def poll(seconds: float, pause: float = 0.05) -> AsyncIterator[None]:
    """Yields until a time has passed."""
    end = get_running_loop().time() + seconds
    while get_running_loop().time() < end:
        yield
        await sleep(pause)

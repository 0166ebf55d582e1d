"""A stopping node resets a connection whose answers the client is still reading."""

from asyncio import create_task, gather, get_running_loop, sleep
from pathlib import Path
from signal import SIGTERM
from socket import SO_RCVBUF, SOL_SOCKET, socket

from review.standins3.case import main
from review.standins3.client import Client, encode
from review.standins3.fleet import Fleet, configuration, route
from review.standins3.record import Record

# Sizes of the site's answers: wheel-ship has at most 36,000 bytes.
ANSWER_BYTES = 36_000
READ_BYTES = 1_000
READ_SECONDS = 0.02
DEADLINE_MS = 5000
IDS = ("order", "query", "behind")


class SlowReader:
    """A client that sends ahead and reads its answers slowly, with a small receive buffer."""

    def __init__(self, record: Record, address: str) -> None:
        self.record = record
        self.address = address
        self.socket = socket()
        self.socket.setsockopt(SOL_SOCKET, SO_RCVBUF, 4096)
        self.socket.setblocking(False)
        self.received = b""
        self.problem = ""

    async def connect(self) -> None:
        """Opens the connection."""
        host, _, port = self.address.rpartition(":")
        await get_running_loop().sock_connect(self.socket, (host, int(port)))

    async def send(self, method: str, path: str, request_id: str, body: bytes = b"") -> None:
        """Sends one request."""
        self.record.note("client-1", f"sends {request_id} ({method} {path})")
        request = encode(method, path, request_id, DEADLINE_MS, body)
        try:
            await get_running_loop().sock_sendall(self.socket, request)
        except OSError as error:
            self.record.note("client-1", f"cannot send {request_id}: {type(error).__name__}")

    def seen_close(self) -> bool:
        """Returns whether an answer that was read so far closes the connection."""
        return b"connection: close" in self.received.lower()

    async def read(self) -> None:
        """Reads slowly until the connection ends or all answers are there."""
        try:
            while len(self.answers()) < len(IDS):
                data = await get_running_loop().sock_recv(self.socket, READ_BYTES)
                if not data:
                    self.problem = "end of the connection"
                    return
                self.received += data
                await sleep(READ_SECONDS)
        except OSError as error:
            self.problem = type(error).__name__

    def answers(self) -> dict[str, int]:
        """Returns the status of each answer that was received whole, by request."""
        found = {}
        rest = self.received
        while b"\r\n\r\n" in rest:
            head, _, rest = rest.partition(b"\r\n\r\n")
            headers = {}
            for line in head.decode("latin-1").split("\r\n")[1:]:
                name, _, value = line.partition(":")
                headers[name.lower()] = value.strip()
            size = int(headers["content-length"])
            if len(rest) < size:
                break
            status = int(head.split()[1])
            found[headers.get("request-id", f"without id {len(found)}")] = status
            rest = rest[size:]
        return found


async def play(fleet: Fleet, record: Record, trouble: bool) -> list[str]:
    """Plays the case; returns what broke the rule."""
    orders = route("/puka111/", "shipping", "unsafe")
    queries = route("/leny950/", "shipping", "safe", priority=2)
    await fleet.open(configuration(7, ["casting", "shipping"], orders=orders, queries=queries))
    node, _ = await fleet.add("casting")
    _, upstream = await fleet.add("shipping")
    upstream.work = lambda message: 0.2
    upstream.answer_bytes = ANSWER_BYTES
    await gather(*[each.wait_ready() for each in fleet.nodes])
    await sleep(4.0)
    warm = await Client(record, "client-0", node.outbound).send(
        "POST", "/puka111/a", "warm", DEADLINE_MS, b"x"
    )
    if warm.status != 200:
        raise RuntimeError("the deployment does not serve")

    reader = SlowReader(record, node.outbound)
    await reader.connect()
    ending = None
    if trouble:
        node.signal(SIGTERM, "SIGTERM")
        ending = create_task(node.wait_end())
    await sleep(0.1)
    sent_at = record.now()
    await reader.send("POST", "/puka111/2f", "order", b"one pallet")
    await reader.send("GET", "/leny950/2f", "query")
    reading = create_task(reader.read())
    await sleep(0.5)
    if reader.seen_close():
        raise RuntimeError("the client has read that the connection closes")
    await reader.send("GET", "/leny950/3f", "behind")
    await reading
    ended_at = record.now()
    answers = reader.answers()
    record.note(
        "client-1",
        f"has read {len(reader.received)} bytes, whole answers: {answers}, {reader.problem}",
    )
    if ending is not None:
        await ending
    broken = []
    for request_id in ("order", "query"):
        ran = [run for run in upstream.runs if run.request_id == request_id]
        if ran and request_id not in answers:
            broken.append(
                f"LOST: {request_id} was read and run by {upstream.identifier}; its answer ends "
                f"early with {reader.problem}, {ended_at - sent_at:.2f} s after it was sent"
            )
    return broken


main(Path(__file__).resolve().parent, play)

"""Mesh in one process for tests: nodes, their backend servers and the store."""

from asyncio import StreamReader, StreamWriter, get_running_loop, open_connection, sleep, wait_for
from os import O_WRONLY, devnull
from os import open as open_file
from typing import Any, NamedTuple
from unittest import IsolatedAsyncioTestCase

from coltsfoottrack._internal.experiment.fleet import LOOPBACK, free_ports
from coltsfoottrack._internal.mesh.daemon import MeshNode
from coltsfoottrack._internal.mesh.decisions import DecisionLog, LineWriter
from coltsfoottrack._internal.mesh.model import MeshSettings, RetryBounds
from coltsfoottrack._internal.mesh.sockets import split_address
from coltsfoottrack.platform.adapter import ADAPTER
from tests.standins.backend import StandInBackend
from tests.standins.store import StandInStore

ROUTE = {
    "host": "shop.example",
    "type": "safe",
    "timeoutMs": 3000,
    "targetLatencyMs": 1000,
    "priority": 2,
    "maxAttempts": 2,
}


class Answer(NamedTuple):
    """An answer as received by a caller."""

    status: int
    headers: dict[str, str]
    body: bytes


def free_address() -> str:
    """Returns a loopback address with a free port."""
    return f"{LOOPBACK}:{free_ports(1)[0]}"


def configuration(version: int, **routes: dict[str, Any]) -> dict[str, Any]:
    """Returns a configuration; ``routes`` holds only the differences from the default route."""
    return {
        "version": version,
        "routes": {name: {**ROUTE, **route} for name, route in routes.items()},
        "services": {},
        "limits": {
            "maxHeaderBytes": 4096,
            "maxBodyBytes": 10_000,
            "headerTimeoutMs": 500,
            "idleTimeoutMs": 5000,
        },
    }


DEFAULT_CONFIGURATION = configuration(
    1,
    read={"pathPrefix": "/read/", "service": "stock"},
    order={"pathPrefix": "/order/", "service": "stock", "type": "unsafe", "priority": 0},
)


async def read_answer(reader: StreamReader) -> Answer:
    """Reads one answer with a Content-Length."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers["content-length"]))
    return Answer(int(lines[0].split()[1]), headers, body)


def encode(
    path: str, request_id: str, method: str = "GET", body: bytes = b"", **more: str
) -> bytes:
    """Returns the bytes of a request."""
    lines = [f"{method} {path} HTTP/1.1", "Host: shop.example"]
    if request_id:
        lines.append(f"Request-Id: {request_id}")
    if body:
        lines.append(f"Content-Length: {len(body)}")
    for name, value in more.items():
        lines.append(f"{name.replace('_', '-')}: {value}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class MeshTestCase(IsolatedAsyncioTestCase):
    """Base class of tests with complete nodes."""

    async def asyncSetUp(self) -> None:
        self.null = open_file(devnull, O_WRONLY)
        self.store = StandInStore()
        await self.store.open()
        self.store.put("config", "main", DEFAULT_CONFIGURATION)
        self.nodes: list[MeshNode] = []
        self.backends: list[StandInBackend] = []
        self.writers: list[StreamWriter] = []

    async def asyncTearDown(self) -> None:
        for writer in self.writers:
            writer.close()
        for node in self.nodes:
            node.close()
        for backend in self.backends:
            backend.close()
        self.store.close()
        await sleep(0.01)

    def settings(self, name: str, service: str, backend: StandInBackend) -> MeshSettings:
        """Returns the settings of a node."""
        link_address = free_address()
        return MeshSettings(
            node=name,
            failure_domain="east",
            service=service,
            caller_address=free_address(),
            link_address=link_address,
            advertised_address=link_address,
            ready_address=free_address(),
            report_address=free_address(),
            metrics_address="",
            backend_address=backend.address,
            store_address=self.store.address,
            grace_seconds=6.0,
            retries=RetryBounds(0.2, 48.0, 10.0),
            memory_bytes=300_000_000,
        )

    async def start(self, name: str, service: str = "stock", slots: int = 10) -> MeshNode:
        """Starts a node with its backend server and waits until the node is ready."""
        backend = StandInBackend(f"i-{name}", service, slots)
        await backend.open()
        self.backends.append(backend)
        node = await self.start_node(self.settings(name, service, backend))
        await backend.report(node.settings.report_address)
        return node

    async def start_node(self, settings: MeshSettings) -> MeshNode:
        """Starts a node without a backend server."""
        adapter = ADAPTER._replace(read_settings=lambda: settings)
        node = MeshNode(settings, adapter, DecisionLog(settings.node, LineWriter(self.null)))
        self.nodes.append(node)
        await node.start()
        return node

    async def wait_until(self, condition: Any, seconds: float = 5.0) -> None:
        """Waits until a condition is true; fails after a timeout."""
        end = get_running_loop().time() + seconds
        while not condition():
            self.assertLess(get_running_loop().time(), end, "condition not met in time")
            await sleep(0.01)

    async def wait_for_members(self, members: int) -> None:
        """Waits until each node has a configuration and this many members with a backend."""

        def all_known() -> bool:
            for node in self.nodes:
                peers = [peer for peer in node.directory.peers.values() if peer.member.backend]
                if len(peers) < members or node.active_configuration.table is None:
                    return False
            return True

        await self.wait_until(all_known)

    async def connect(self, node: MeshNode) -> tuple[StreamReader, StreamWriter]:
        """Opens a connection as a caller."""
        reader, writer = await open_connection(*split_address(node.settings.caller_address))
        self.writers.append(writer)
        return reader, writer

    async def send_request(self, node: MeshNode, request: bytes, seconds: float = 5.0) -> Answer:
        """Sends a request on a new connection and returns the answer."""
        reader, writer = await self.connect(node)
        writer.write(request)
        return await wait_for(read_answer(reader), seconds)

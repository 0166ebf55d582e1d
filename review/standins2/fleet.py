"""A small deployment: the store, nodes as processes of their own, upstreams and clients."""

import os
import sys
from asyncio import IncompleteReadError, open_connection, run, sleep, timeout
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import randrange
from shutil import rmtree
from signal import SIGCONT, SIGTERM
from socket import AF_INET, SOCK_STREAM, socket
from subprocess import STDOUT, Popen
from tempfile import mkdtemp
from time import monotonic
from uuid import uuid4

from review.standins2.backend import Backend
from review.standins2.http import Message, encode, read_message
from review.standins2.link_proxy import LinkProxy
from review.standins2.record import Record
from review.standins2.store import Store

REPOSITORY = Path(__file__).resolve().parent.parent.parent
HOST = "h.example"
BOUNDS = (
    "seedLagS=3,reuseAfterS=2,stableWindowMs=3000,ackMs=4000,catchUpS=4,drainMs=2000,graceS=6,"
    "lostMs=200,configMs=2000,backMs=250,outerMs=5000,retryBudgetRatio=0.2,budgetWindowS=10,"
    "retryBudgetSlack=48,recoveryS=15"
)
HELD, BROKEN, NOT_RUN = 0, 1, 2
# The addresses of the proxies lie this much above those of the machines.
PROXY_HOSTS = 100


class NotRunError(Exception):
    """The case could not run."""


class Answer:
    """What a client got; the status is 0 if the connection ended without a whole answer."""

    def __init__(self, status: int, sent_at: float, ended_at: float, reason: str = "") -> None:
        self.status = status
        self.sent_at = sent_at
        self.ended_at = ended_at
        self.reason = reason


class Node:
    """The node of one machine, a process of its own."""

    def __init__(
        self, fleet: "Fleet", number: int, service: str, zone: str, name: str = ""
    ) -> None:
        self.fleet = fleet
        self.number = number
        self.name = name or f"sidecar-{zone}-{number}"
        self.host = f"127.0.{fleet.network}.{number}"
        self.service = service
        self.zone = zone
        self.path = fleet.directory / self.name
        self.path.mkdir()
        self.process: Popen | None = None
        # Time of SIGTERM.
        self.stopped_at: float | None = None
        # Between the node and those that open links to it; None if there is no proxy.
        self.proxy: LinkProxy | None = None
        # Between the node and the store; None if there is no proxy.
        self.store_proxy: LinkProxy | None = None

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        settings = self.path / "settings.conf"
        settings.write_text("\n".join(self._settings()) + "\n", encoding="utf-8")
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": str(self.path),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(REPOSITORY / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "COLTSFOOTTRACK_CONFIG": str(settings),
            "COLTSFOOTTRACK_METRICS_PORT": str(self.fleet.ports["metrics"]),
        }
        if self.proxy is not None:
            address = f"{self.proxy_host}:{self.fleet.ports['inbound']}"
            environment["COLTSFOOTTRACK_ADVERTISED_ADDRESS"] = address
        with (self.path / "output.log").open("ab") as output:
            self.process = Popen(
                ["python3", "deploy/coltsfoottrack-node.py"],
                cwd=REPOSITORY,
                env=environment,
                stdout=output,
                stderr=STDOUT,
            )
        self.fleet.record.add(f"node    {self.name} started")

    @property
    def proxy_host(self) -> str:
        """Address of the proxy."""
        return f"127.0.{self.fleet.network}.{PROXY_HOSTS + self.number}"

    async def open_proxy(self) -> None:
        """Puts a proxy before the link port. Raises OSError."""
        port = self.fleet.ports["inbound"]
        self.proxy = LinkProxy(self.host, port)
        await self.proxy.open(self.proxy_host, port)

    async def open_store_proxy(self) -> None:
        """Puts a proxy between the node and the store. Raises OSError."""
        host, _, port = self.fleet.store_address.rpartition(":")
        self.store_proxy = LinkProxy(host, int(port))
        await self.store_proxy.open(self.proxy_host, self.fleet.ports["app"])

    @property
    def store_address(self) -> str:
        """Address of the store for this node."""
        if self.store_proxy is None:
            return self.fleet.store_address
        return f"{self.proxy_host}:{self.fleet.ports['app']}"

    def _settings(self) -> list[str]:
        lines = [f"node={self.name}", "role=node", "instanceClass=sidecar", "serves=sidecar"]
        lines += [f"ip={self.host}", f"zone={self.zone}", "region=ub-city"]
        for port in ("inbound", "outbound", "ready", "control"):
            lines.append(f"listen.{port}={self.host}:{self.fleet.ports[port]}")
        lines += ["internalPorts=7620,7635", "seeds=", "bootstrap=true", "inTolerance=false"]
        lines += ["limits.cpuShare=0.86", "limits.cores=2", "limits.memoryMb=300"]
        lines += ["limits.maxFds=4100", "limits.linkMbps=1000.0", "limits.diskMb=0"]
        lines += ["discovery=static", "entry=static", "heartbeatMs=1500", f"bounds={BOUNDS}"]
        lines += ["contracts=base,drain,config,cost,retry,recover,pressure,platform"]
        lines += [f"appAddr={self.host}:{self.fleet.ports['app']}", f"service={self.service}"]
        lines += [f"platform.address={self.store_address}", "platform.form=objects"]
        lines += ["platform.writesPerS=400", "platform.readsPerS=2000", "platform.historyS=20"]
        return [*lines, "platform.valueBytes=1048576", "platform.ttlMinMs=1000"]

    def stop(self) -> None:
        """Sends SIGTERM."""
        self.stopped_at = self.fleet.record.now()
        self.process.send_signal(SIGTERM)
        self.fleet.record.add(f"node    {self.name} gets SIGTERM")

    async def wait_until_ready(self, seconds: float) -> None:
        """Waits for a 200 at the ready address. Raises NotRunError."""
        end = monotonic() + seconds
        while monotonic() < end:
            try:
                async with timeout(1.0):
                    reader, writer = await open_connection(self.host, self.fleet.ports["ready"])
                    writer.write(encode("GET /api/ready HTTP/1.1", {"Host": self.host}))
                    answer = await read_message(reader)
                    writer.close()
                if answer.status == 200:
                    return
            except (OSError, TimeoutError, IncompleteReadError):
                pass
            await sleep(0.1)
        raise NotRunError(f"{self.name} was not ready in {seconds} s")


class Fleet:
    """All parts of one play."""

    def __init__(self) -> None:
        self.record = Record()
        self.directory = Path(mkdtemp(prefix="review-"))
        self.network = randrange(2, 250)
        self.ports = free_ports(self.network)
        self.store = Store()
        self.store_address = ""
        self.nodes: list[Node] = []
        self.backends: list[Backend] = []

    async def open_store(self, configuration: dict[str, object]) -> None:
        """Opens the store with the operator's first configuration."""
        await self.store.open("127.0.0.1", 0)
        port = self.store.server.sockets[0].getsockname()[1]
        self.store_address = f"127.0.0.1:{port}"
        self.store.put("config", "main", configuration)

    async def add_machine(
        self,
        service: str,
        zone: str,
        work: Callable[[Backend, Message], Awaitable[int]],
        drops_with_connection: bool = True,
        has_proxy: bool = False,
        has_store_proxy: bool = False,
        name: str = "",
    ) -> Node:
        """Starts a machine with its upstream."""
        node = Node(self, len(self.nodes) + 1, service, zone, name)
        self.nodes.append(node)
        if has_proxy:
            await node.open_proxy()
        if has_store_proxy:
            await node.open_store_proxy()
        backend = await self.add_backend(node, work, drops_with_connection)
        self.record.add(f"server  {backend.identifier} ({service}) on {node.name}")
        node.start()
        return node

    async def add_backend(
        self,
        node: Node,
        work: Callable[[Backend, Message], Awaitable[int]],
        drops_with_connection: bool = True,
    ) -> Backend:
        """Starts a new lifetime of the upstream on a machine."""
        backend = Backend(self.record, node.service, node.host, self.ports, work)
        backend.drops_with_connection = drops_with_connection
        self.backends.append(backend)
        await backend.start()
        return backend

    async def wait_until_ready(self, seconds: float = 20.0) -> None:
        """Waits until all nodes are ready and know each other."""
        for node in self.nodes:
            await node.wait_until_ready(seconds)
        await sleep(3.0)

    async def send(
        self,
        node: Node,
        path: str,
        method: str = "GET",
        body: bytes = b"",
        budget_ms: int = 5000,
        request_id: str = "",
        headers: dict[str, str] | None = None,
        leaves_after: float | None = None,
    ) -> Answer:
        """Sends a request to a node as a client on its machine, on a new connection.

        ``leaves_after`` is the time in seconds after which the client closes the connection.
        """
        request_id = request_id or uuid4().hex[:16]
        fields = {"Host": HOST, "Request-Id": request_id, "Deadline-Ms": budget_ms}
        request = encode(f"{method} {path} HTTP/1.1", {**fields, **(headers or {})}, body)
        sent_at = self.record.now()
        self.record.add(f"sent    {request_id} {method} {path} to {node.name}")
        status, reason = 0, ""
        try:
            limit = budget_ms / 1000.0 + 0.5 if leaves_after is None else leaves_after
            async with timeout(limit):
                reader, writer = await open_connection(node.host, self.ports["outbound"])
                try:
                    writer.write(request)
                    status = (await read_message(reader)).status
                finally:
                    writer.close()
        except TimeoutError:
            reason = "the client has left" if leaves_after else "no answer in time"
        except (OSError, IncompleteReadError) as error:
            reason = f"connection ended: {type(error).__name__}"
        self.record.add(f"answer  {request_id} {status or reason}")
        return Answer(status, sent_at, self.record.now(), reason)

    def node_at(self, host: str) -> Node:
        """Returns the node of the machine with an address."""
        return next(node for node in self.nodes if node.host == host)

    def close(self) -> None:
        """Ends all processes and removes the temporary folder."""
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(SIGCONT)
                node.process.kill()
                node.process.wait()
            for proxy in (node.proxy, node.store_proxy):
                if proxy is not None:
                    proxy.close()
        for backend in self.backends:
            backend.end()
        self.store.close()
        rmtree(self.directory, ignore_errors=True)


def free_ports(network: int) -> dict[str, int]:
    """Returns ports that are free on all addresses of a loopback network."""
    names = ("inbound", "app", "ready", "outbound", "control", "metrics")
    while True:
        first = randrange(10_000, 30_000)
        try:
            for offset in range(len(names)):
                with socket(AF_INET, SOCK_STREAM) as probe:
                    probe.bind(("0.0.0.0", first + offset))
        except OSError:
            continue
        return {name: first + offset for offset, name in enumerate(names)}


def route(prefix: str, service: str, kind: str, timeout_ms: int, aim_ms: int) -> dict[str, object]:
    """Returns a route of the operator's configuration."""
    return {
        "host": HOST,
        "pathPrefix": prefix,
        "type": kind,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": aim_ms,
        "priority": 0,
        "maxAttempts": 2,
        "service": service,
    }


def configuration(version: int = 7, **routes: dict[str, object]) -> dict[str, object]:
    """Returns a configuration with these routes."""
    services = {}
    for entry in routes.values():
        service = {"healthCheckPath": "/health", "maxConnections": 640}
        services[entry["service"]] = {**service, "protocol": "h1", "tls": False}
    limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864}
    limits |= {"headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
    return {"version": version, "routes": routes, "services": services, "limits": limits}


def play(case: Callable[[Fleet, bool], Awaitable[bool]], folder: Path, trouble: bool) -> None:
    """Plays a case, writes its record and exits: 1 if the rule was broken, 0 if it held, else 2.

    ``trouble`` states whether the disruption is played.
    """

    async def play_case() -> int:
        fleet = Fleet()
        try:
            held = await case(fleet, trouble)
        except (NotRunError, OSError) as error:
            fleet.record.add(f"not run: {error}")
            print(f"not run: {error}")
            return NOT_RUN
        finally:
            fleet.close()
            fleet.record.write(folder / "record.txt")
        print("held" if held else "broken")
        return HELD if held else BROKEN

    sys.exit(run(play_case()))

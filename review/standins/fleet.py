"""A small deployment on loopback addresses: the platform's store, and machines with a node each.

The nodes are the project's own program, started with the command of the deploy file. Each machine
has an address of its own in 127.0.0.0/8, so all machines use the same ports, as on the platform.
"""

import os
import sys
import tomllib
from asyncio import create_subprocess_exec, get_running_loop, sleep, wait_for
from asyncio.subprocess import Process
from pathlib import Path
from random import SystemRandom
from signal import SIGKILL
from socket import AF_INET, SOCK_STREAM, socket
from tempfile import TemporaryDirectory
from typing import Any

from standins.client import HOST, request_once
from standins.link_proxy import LinkProxy
from standins.record import Record
from standins.store import Store
from standins.upstream import Upstream

ROOT = Path(__file__).resolve().parent.parent.parent
ROLE = "node"
ZONES = ("east-depot", "west-depot", "south-depot")
BOUNDS = (
    "seedLagS=3,reuseAfterS=2,stableWindowMs=3000,ackMs=4000,catchUpS=4,drainMs=2000,graceS=6,"
    "lostMs=200,configMs=2000,backMs=250,outerMs=5000,retryBudgetRatio=0.2,budgetWindowS=10,"
    "retryBudgetSlack=48,recoveryS=15"
)
MEMORY_MB = 300
READY_SECONDS = 20.0
FIRST_PORT = 20_000
LAST_PORT = 30_000
PORTS = ("inbound", "app", "ready", "outbound", "control", "link")
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 67108864,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}


class CannotRunError(Exception):
    """The case could not run."""


class Machine:
    """One machine: its node's process and its upstream."""

    def __init__(
        self, name: str, zone: str, service: str, host: str, ports: dict[str, int], store: str
    ) -> None:
        self.name = name
        self.zone = zone
        self.service = service
        self.host = host
        self.ports = ports
        self.store = store
        self.upstream: Upstream | None = None
        self.process: Process | None = None
        # In front of the node's inbound address, if the case cuts machines off.
        self.proxy: LinkProxy | None = None

    def address(self, port: str) -> tuple[str, int]:
        """Returns host and port of one of the node's addresses."""
        return self.host, self.ports[port]

    def settings(self, bootstrap: bool) -> str:
        """Returns the settings file that the platform writes for the node."""
        lines = [
            f"node={self.name}",
            f"role={ROLE}",
            "instanceClass=sidecar",
            "serves=sidecar",
            f"ip={self.host}",
            f"zone={self.zone}",
            "region=ub-city",
            *(f"zones.{zone}=ub-city" for zone in ZONES),
            *(
                f"listen.{port}={self.host}:{self.ports[port]}"
                for port in ("inbound", "outbound", "ready", "control")
            ),
            "internalPorts=7620,7635",
            "seeds=",
            f"bootstrap={'true' if bootstrap else 'false'}",
            "inTolerance=false",
            "limits.cpuShare=0.86",
            "limits.cores=2",
            f"limits.memoryMb={MEMORY_MB}",
            "limits.maxFds=4100",
            "limits.linkMbps=1000.0",
            "limits.diskMb=0",
            "discovery=static",
            "entry=static",
            "heartbeatMs=1500",
            "contracts=base,drain,config,cost,retry,recover,pressure,platform",
            "faultTolerance.machines=2",
            "faultTolerance.zones=0",
            "faultTolerance.regions=0",
            f"bounds={BOUNDS}",
            f"appAddr={self.host}:{self.ports['app']}",
            f"service={self.service}",
            f"platform.address={self.store}",
            "platform.form=objects",
            "platform.writesPerS=400",
            "platform.readsPerS=2000",
            "platform.historyS=20",
            "platform.valueBytes=1048576",
            "platform.ttlMinMs=1000",
        ]
        return "\n".join(lines) + "\n"


class Fleet:
    """The store and the machines; ``services`` names the service of each machine.

    With ``proxied``, the nodes reach each other through a proxy in front of each.
    """

    def __init__(self, record: Record, services: list[str], proxied: bool = False) -> None:
        self.record = record
        self.store = Store()
        self.folder = TemporaryDirectory()
        self.machines: list[Machine] = []
        network = SystemRandom().randrange(1, 255)
        block = SystemRandom().randrange(1, 255)
        hosts = [f"127.{network}.{block}.{number + 10}" for number in range(len(services))]
        self.store_host = f"127.{network}.{block}.1"
        numbers = _free_ports([self.store_host, *hosts], len(PORTS) + 1)
        self.store_port = numbers[-1]
        ports = dict(zip(PORTS, numbers, strict=False))
        store = f"{self.store_host}:{self.store_port}"
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            self.role = tomllib.load(file)["roles"][ROLE]
        for number, service in enumerate(services):
            zone = ZONES[number % len(ZONES)]
            name = f"sidecar-{zone}-{number // len(ZONES) + 1}"
            machine = Machine(name, zone, service, hosts[number], ports, store)
            if proxied:
                machine.proxy = LinkProxy()
            self.machines.append(machine)

    def of_service(self, service: str) -> list[Machine]:
        """Returns the machines of a service."""
        return [machine for machine in self.machines if machine.service == service]

    async def start(self, routes: dict[str, Any], upstream_type: type[Upstream] = Upstream) -> None:
        """Starts everything and waits until each service answers at each machine."""
        await self.store.open(self.store_host, self.store_port)
        self.store.put("config", "main", configuration(7, routes))
        for machine in self.machines:
            if machine.proxy is not None:
                await machine.proxy.open(*machine.address("link"), machine.address("inbound"))
            await self.start_node(machine, bootstrap=True)
        for number, machine in enumerate(self.machines):
            host, port = machine.address("app")
            upstream = upstream_type(
                f"i-{number:04x}", machine.service, machine.zone, host, port, self.record
            )
            machine.upstream = upstream
            await upstream.open(machine.address("control"))
        for machine in self.machines:
            await self.wait_ready(machine)

    async def start_node(self, machine: Machine, bootstrap: bool = False) -> None:
        """Starts the node of a machine, as the platform does."""
        path = Path(self.folder.name) / f"{machine.name}.conf"
        path.write_text(machine.settings(bootstrap), encoding="utf-8")
        program, *arguments = self.role["run"].split(" ")
        if program == "python3":
            program = sys.executable
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "COLTSFOOTTRACK_CONFIG": str(path),
            **self.role.get("env", {}),
        }
        if machine.proxy is not None:
            # The node's own setting for the address at which other nodes reach it.
            host, port = machine.address("link")
            environment["COLTSFOOTTRACK_ADVERTISED_ADDRESS"] = f"{host}:{port}"
        with (Path(self.folder.name) / f"{machine.name}.log").open("ab") as log:
            machine.process = await create_subprocess_exec(
                program, *arguments, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.write(f"node of {machine.name} ({machine.service}) starts")

    async def is_ready(self, machine: Machine) -> bool:
        """Returns whether a node says that it is ready."""
        request = b"GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n"
        answer = await request_once(machine.address("ready"), request, 1.0)
        return answer.status == 200

    async def wait_ready(self, machine: Machine, seconds: float = READY_SECONDS) -> None:
        """Waits until a node says that it is ready. Raises CannotRunError."""
        loop = get_running_loop()
        end = loop.time() + seconds
        while not await self.is_ready(machine):
            if loop.time() > end or machine.process.returncode is not None:
                raise CannotRunError(f"{machine.name} is not ready: {self.last_log(machine)}")
            await sleep(0.1)

    async def wait_routes(self, paths: list[str], seconds: float = READY_SECONDS) -> None:
        """Waits until each machine serves a request on each path. Raises CannotRunError."""
        loop = get_running_loop()
        end = loop.time() + seconds
        for number, machine in enumerate(self.machines):
            for path in paths:
                attempt = 0
                while True:
                    attempt += 1
                    request_id = f"warm-up-{number}-{path.strip('/')}-{attempt}"
                    request = (
                        f"GET {path}x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request_id}\r\n"
                        "Deadline-Ms: 2000\r\n\r\n"
                    ).encode()
                    answer = await request_once(machine.address("outbound"), request, 3.0)
                    if answer.status == 200:
                        break
                    if loop.time() > end:
                        raise CannotRunError(f"{machine.name} does not serve {path}")
                    await sleep(0.2)

    def last_log(self, machine: Machine) -> str:
        """Returns the end of a node's log."""
        path = Path(self.folder.name) / f"{machine.name}.log"
        return path.read_text(encoding="utf-8", errors="replace")[-500:] if path.exists() else ""

    async def stop(self) -> None:
        """Ends all processes and closes all ports."""
        for machine in self.machines:
            if machine.upstream is not None:
                machine.upstream.close()
            process = machine.process
            if process is not None and process.returncode is None:
                process.send_signal(SIGKILL)
                await wait_for(process.wait(), 5.0)
            if machine.proxy is not None:
                await machine.proxy.close()
        self.store.close()
        self.folder.cleanup()


def route(prefix: str, service: str, **changes: Any) -> dict[str, Any]:
    """Returns a route of the operator's configuration."""
    return {
        "host": HOST,
        "pathPrefix": prefix,
        "type": "safe",
        "timeoutMs": 5000,
        "targetLatencyMs": 1200,
        "priority": 2,
        "service": service,
        "maxAttempts": 2,
        **changes,
    }


def configuration(version: int, routes: dict[str, Any]) -> dict[str, Any]:
    """Returns a configuration as the operator stores it."""
    services = {}
    for entry in routes.values():
        services[entry["service"]] = {
            "healthCheckPath": "/health",
            "maxConnections": 640,
            "protocol": "h1",
            "tls": False,
        }
    return {"version": version, "routes": routes, "services": services, "limits": LIMITS}


def _free_ports(hosts: list[str], count: int) -> list[int]:
    """Returns ports that are free at all hosts. Raises CannotRunError."""
    candidates = SystemRandom().sample(range(FIRST_PORT, LAST_PORT), 50 * count)
    ports = []
    for port in candidates:
        if _is_free(hosts, port):
            ports.append(port)
        if len(ports) == count:
            return ports
    raise CannotRunError("too few free ports")


def _is_free(hosts: list[str], port: int) -> bool:
    for host in hosts:
        with socket(AF_INET, SOCK_STREAM) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True


def resident_bytes(process: Process) -> int:
    """Returns the resident memory of a process, 0 if it has ended."""
    try:
        fields = Path(f"/proc/{process.pid}/statm").read_text(encoding="ascii").split()
    except OSError:
        return 0
    return int(fields[1]) * os.sysconf("SC_PAGE_SIZE")

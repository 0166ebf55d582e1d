"""A small deployment: node processes, started with the command of the deploy file."""

import os
import sys
from asyncio import create_subprocess_exec, open_connection, sleep, wait_for
from asyncio.subprocess import Process
from pathlib import Path
from re import sub
from signal import SIGCONT, SIGKILL, SIGTERM
from socket import socket
from tomllib import loads

from review.standins3.http import read_message
from review.standins3.record import Record
from review.standins3.store import Store
from review.standins3.upstream import Upstream

ROOT = Path(__file__).resolve().parents[2]
BOUNDS = (
    "seedLagS=3,reuseAfterS=2,stableWindowMs=3000,ackMs=4000,catchUpS=4,drainMs=2000,graceS=6,"
    "lostMs=200,configMs=2000,backMs=250,outerMs=5000,retryBudgetRatio=0.2,budgetWindowS=10,"
    "retryBudgetSlack=48,recoveryS=15"
)
ZONE = "east-depot"


def free_port(host: str) -> int:
    """Returns a port that is free on an address."""
    with socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class NodeProcess:
    """The node process of one machine, which has a loopback address of its own."""

    def __init__(
        self, record: Record, directory: Path, number: int, service: str, app: str, store: str
    ) -> None:
        self.record = record
        self.name = f"sidecar-{ZONE}-{number}"
        self.host = f"127.31.0.{number}"
        self.process: Process | None = None
        self.started_at = 0.0
        ports = {}
        while len(set(ports.values())) < 4:
            ports = {key: free_port(self.host) for key in ("in", "out", "ready", "control")}
        self.outbound = f"{self.host}:{ports['out']}"
        self.ready = f"{self.host}:{ports['ready']}"
        self.control = f"{self.host}:{ports['control']}"
        self.log_path = directory / f"{self.name}.log"
        self.settings_path = directory / f"{self.name}.conf"
        self.fields = {
            "node": self.name,
            "role": "node",
            "instanceClass": "sidecar",
            "serves": "sidecar",
            "ip": self.host,
            "zone": ZONE,
            "region": "ub-city",
            f"zones.{ZONE}": "ub-city",
            "listen.inbound": f"{self.host}:{ports['in']}",
            "listen.outbound": self.outbound,
            "listen.ready": self.ready,
            "listen.control": self.control,
            "internalPorts": "7620,7635",
            "seeds": "",
            "bootstrap": "true",
            "inTolerance": "false",
            "limits.cpuShare": "0.86",
            "limits.cores": "2",
            "limits.memoryMb": "300",
            "limits.maxFds": "4100",
            "limits.linkMbps": "1000.0",
            "limits.diskMb": "0",
            "discovery": "static",
            "entry": "static",
            "heartbeatMs": "1500",
            "contracts": "base,drain,config,cost,retry,recover,pressure,platform",
            "faultTolerance.machines": "2",
            "faultTolerance.zones": "0",
            "faultTolerance.regions": "0",
            "bounds": BOUNDS,
            "appAddr": app,
            "service": service,
            "platform.address": store,
            "platform.form": "objects",
            "platform.writesPerS": "400",
            "platform.readsPerS": "2000",
            "platform.historyS": "20",
            "platform.valueBytes": "1048576",
            "platform.ttlMinMs": "1000",
        }
        self.write_settings()

    def write_settings(self) -> None:
        """Writes the settings file."""
        lines = [f"{key}={value}\n" for key, value in self.fields.items()]
        self.settings_path.write_text("".join(lines), encoding="utf-8")

    async def start(self) -> None:
        """Starts the process with the command and the environment of the deploy file."""
        role = loads((ROOT / "deploy" / "system.toml").read_text())["roles"]["node"]
        words = role["run"].split(" ")
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment |= role.get("env", {})
        environment["COLTSFOOTTRACK_CONFIG"] = str(self.settings_path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self.log_path.open("ab") as log:
            self.process = await create_subprocess_exec(
                *words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.started_at = self.record.note(self.name, "process starts")
        self.fields["bootstrap"] = "false"
        self.write_settings()

    async def is_ready(self) -> bool:
        """Asks once whether the node is ready, as the platform does."""
        host, _, port = self.ready.rpartition(":")
        try:
            reader, writer = await wait_for(open_connection(host, int(port)), 0.5)
            writer.write(b"GET /api/ready HTTP/1.1\r\nHost: node\r\n\r\n")
            answer = await wait_for(read_message(reader), 0.5)
            writer.close()
            return answer.first[1] == "200"
        except (OSError, EOFError, TimeoutError):
            return False

    async def wait_ready(self, seconds: float = 15.0) -> None:
        """Waits until the node is ready. Raises TimeoutError."""
        end = self.record.now() + seconds
        while not await self.is_ready():
            if self.record.now() > end:
                raise TimeoutError(f"{self.name} is not ready")
            await sleep(0.1)
        self.record.note(self.name, "is ready")

    def signal(self, number: int, name: str) -> None:
        """Sends a signal to the process."""
        self.record.note(self.name, f"gets {name}")
        self.process.send_signal(number)

    async def wait_end(self, grace_seconds: float = 6.0) -> None:
        """Waits until the process ends; kills it after the grace period, as the platform does."""
        try:
            code = await wait_for(self.process.wait(), grace_seconds)
            self.record.note(self.name, f"process ends with {code}")
        except TimeoutError:
            self.record.note(self.name, "still runs after the grace period, gets SIGKILL")
            self.process.send_signal(SIGKILL)
            await self.process.wait()

    async def restart(self, pause_seconds: float = 0.3) -> None:
        """Stops the process with SIGTERM, waits for its end and starts it again."""
        self.signal(SIGTERM, "SIGTERM")
        await self.wait_end()
        await sleep(pause_seconds)
        await self.start()

    async def kill(self) -> None:
        """Ends the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(SIGCONT)
            self.process.send_signal(SIGKILL)
            await self.process.wait()


class Fleet:
    """A store, and machines with an upstream and a node each."""

    def __init__(self, record: Record, directory: Path) -> None:
        self.record = record
        self.directory = directory
        self.store = Store(record)
        # Bounds and other fields of the settings that differ from those of the site ubtww-mesh.
        self.bounds: dict[str, str] = {}
        self.fields: dict[str, str] = {}
        self.nodes: list[NodeProcess] = []
        self.upstreams: list[Upstream] = []

    async def open(self, configuration: dict) -> None:
        """Opens the store with a configuration."""
        await self.store.open("127.31.0.250")
        self.store.put("config", "main", configuration)

    async def add(
        self, service: str, slots: int = 20, store: str = ""
    ) -> tuple[NodeProcess, Upstream]:
        """Starts a machine; ``store`` is its own address of the store, if it has one."""
        number = len(self.nodes) + 1
        upstream = Upstream(self.record, f"i-{number}f3a91c2", service, ZONE, slots)
        await upstream.open(f"127.31.0.{number}")
        store = store or self.store.address
        node = NodeProcess(
            self.record, self.directory, number, service, upstream.address, store
        )
        self.nodes.append(node)
        self.upstreams.append(upstream)
        await node.start()
        upstream.report_to(node.control)
        return node, upstream

    async def close(self) -> None:
        """Ends all processes."""
        for upstream in self.upstreams:
            upstream.stop_reporting()
        for node in self.nodes:
            await node.kill()


def route(prefix: str, service: str, kind: str, **more: object) -> dict:
    """Returns a route of the configuration."""
    return {
        "host": "hulo84.example",
        "pathPrefix": prefix,
        "type": kind,
        "timeoutMs": 5000,
        "targetLatencyMs": 1500,
        "priority": 0,
        "service": service,
        "maxAttempts": 2,
        **more,
    }


def configuration(version: int, services: list[str], **routes: dict) -> dict:
    """Returns a configuration as the operator writes it."""
    return {
        "version": version,
        "routes": routes,
        "services": {
            name: {
                "healthCheckPath": "/health",
                "maxConnections": 640,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        },
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


if sys.version_info < (3, 11):
    sys.exit(2)

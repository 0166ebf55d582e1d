"""Starts and stops a fleet of real processes on the loopback interface.

This is a tool for experiments; the processes of the product start no other process.
"""

import sys
from collections import deque
from collections.abc import Collection
from os import environ
from pathlib import Path
from random import SystemRandom
from signal import SIGCONT, SIGKILL, SIGSTOP, SIGTERM
from socket import AF_INET, SOCK_DGRAM, SOCK_STREAM, socket
from subprocess import Popen, TimeoutExpired
from time import monotonic, sleep, time
from typing import NamedTuple

from urllib3 import PoolManager
from urllib3.exceptions import HTTPError
from yaml import safe_dump

from coltsfoottrack._internal.configuration.codec import CURRENT_PATH, encode_record
from coltsfoottrack._internal.experiment.exceptions import ExperimentError
from coltsfoottrack._internal.experiment.shapes import FleetShape, ServiceShape
from coltsfoottrack._internal.object_store.client import PlatformClient
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import ConfigurationRecord

LOOPBACK = "127.0.0.1"
LOWEST_PORT = 10_000
# Start of the default ephemeral port range on Linux.
LOWEST_EPHEMERAL_PORT = 32_768
STOP_SECONDS = 12.0
READY_SECONDS = 30.0
POLL_SECONDS = 0.1
# Ports given out lately, whose servers may not listen yet. More than one test or fleet uses.
recent_ports: deque[int] = deque(maxlen=2_000)


class FleetVariant(NamedTuple):
    """What a trial runs: this source tree or another one, with or without ``decisions_off``."""

    name: str = "product"
    source: Path | None = None
    decisions_off: bool = False


class NodePair(NamedTuple):
    """A node and its backend server, with their ports."""

    service: str
    name: str
    failure_domain: str
    call_port: int
    peer_port: int
    admin_port: int
    backend_port: int

    @property
    def call_address(self) -> str:
        """Address for calls, HOST:PORT."""
        return f"{LOOPBACK}:{self.call_port}"

    @property
    def peer_address(self) -> str:
        """Address for peers and operators, HOST:PORT."""
        return f"{LOOPBACK}:{self.peer_port}"

    @property
    def node_process(self) -> str:
        """Name of the node's process in the fleet."""
        return f"node/{self.service}/{self.name}"

    @property
    def backend_process(self) -> str:
        """Name of the backend server's process in the fleet."""
        return f"backend/{self.service}/{self.name}"


def free_ports(count: int, taken: Collection[int] = ()) -> list[int]:
    """Returns loopback ports that are free for TCP and UDP and not in ``taken``.

    A port that this process was given lately is not returned again. They lie below the ephemeral
    port range, so that no outgoing connection takes one of them before its process has started.
    """
    ports: list[int] = []
    sockets = []
    # Not from the shared generator: a test that seeds it would give parallel runs the same ports.
    candidates = SystemRandom().sample(range(LOWEST_PORT, LOWEST_EPHEMERAL_PORT), 20 * count)
    while len(ports) < count:
        if not candidates:
            raise ExperimentError(f"fewer than {count} ports are free")
        port = candidates.pop()
        if port in taken or port in recent_ports:
            continue
        for kind in (SOCK_STREAM, SOCK_DGRAM):
            probe = socket(AF_INET, kind)
            sockets.append(probe)
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                break
        else:
            ports.append(port)
    for probe in sockets:
        probe.close()
    recent_ports.extend(ports)
    return ports


class Fleet:
    """The processes of one experiment: platform stand-in, nodes and backend servers."""

    def __init__(
        self, shape: FleetShape, directory: Path, variant: FleetVariant | None = None
    ) -> None:
        self.shape = shape
        self.directory = directory
        self.cluster = "demo"
        self.variant = FleetVariant() if variant is None else variant
        # File of the cluster secret for all nodes and backend servers; empty for none.
        self.secret_file = ""
        # Additional settings of the backend servers, by service.
        self.backend_settings: dict[str, dict[str, int | float]] = {}
        # Ports of links in front of the nodes' call ports, by service and node name.
        self.advertised_ports: dict[str, dict[str, int]] = {}
        # Ports of links in front of the nodes' peer ports and of the backend servers, by the name
        # of the node's process.
        self.advertised_peer_ports: dict[str, int] = {}
        self.announced_ports: dict[str, int] = {}
        self.processes: dict[str, Popen] = {}
        self.arguments: dict[str, list[str]] = {}
        self.pairs: list[NodePair] = []
        self.platform_port = 0
        self.http = PoolManager(retries=False)
        self._place_all()

    @classmethod
    def from_config(
        cls, shape: FleetShape, directory: Path, variant: FleetVariant | None = None
    ) -> "Fleet":
        """Builds a fleet; settings, logs and run logs go to the directory."""
        return cls(shape, directory, variant)

    @property
    def platform_address(self) -> str:
        """Address of the platform stand-in, HOST:PORT."""
        return f"{LOOPBACK}:{self.platform_port}"

    @property
    def run_log(self) -> Path:
        """File to which each backend server appends a line for each run."""
        return self.directory / "runs.jsonl"

    def ports(self) -> set[int]:
        """Returns the ports of all processes, whether or not they listen yet."""
        found = {self.platform_port}
        for pair in self.pairs:
            found.update((pair.call_port, pair.peer_port, pair.admin_port, pair.backend_port))
        return found

    def _place_all(self) -> None:
        total = sum(service.backend_servers for service in self.shape.services)
        ports = free_ports(1 + 4 * total)
        self.platform_port = ports.pop()
        domains = self.shape.failure_domains
        for service in self.shape.services:
            for index in range(service.backend_servers):
                four = [ports.pop() for _ in range(4)]
                domain = domains[index % len(domains)]
                self.pairs.append(NodePair(service.name, f"{domain}-{index}", domain, *four))

    def start(self) -> None:
        """Starts all processes and waits until each node serves its service."""
        self.directory.mkdir(parents=True, exist_ok=True)
        self.start_platform()
        self.write_configuration()
        for pair in self.pairs:
            self.start_node(pair)
            self.start_backend(pair)
        self.wait_until_ready()

    def start_platform(self) -> None:
        """Starts the platform stand-in and waits until it answers."""
        settings = {"address": LOOPBACK, "port": self.platform_port}
        self._spawn("platform", ["standin", "platform"], settings)
        expiry = monotonic() + READY_SECONDS
        while monotonic() < expiry:
            try:
                self.http.request("GET", f"http://{self.platform_address}/counts")
                return
            except HTTPError:
                sleep(POLL_SECONDS)
        raise ExperimentError("platform stand-in did not start")

    def write_configuration(self) -> None:
        """Writes the first configuration to the platform stand-in."""
        record = ConfigurationRecord(
            generation=1,
            change_id="first",
            author="experiment",
            written_at_ms=int(time() * 1000),
            configuration=self.shape.configuration(),
        )
        client = PlatformClient.from_config([self.platform_address])
        client.put(CURRENT_PATH, encode_record(record), 0)

    def start_node(self, pair: NodePair) -> None:
        """Starts one node."""
        settings = {
            "cluster": self.cluster,
            "name": pair.name,
            "service": pair.service,
            "failure_domain": pair.failure_domain,
            "region": "one",
            "address": LOOPBACK,
            "call_port": pair.call_port,
            "peer_port": pair.peer_port,
            "admin_port": pair.admin_port,
            "platform_addresses": [self.platform_address],
        }
        if self.secret_file:
            settings["cluster_secret_file"] = self.secret_file
        if self.variant.decisions_off:
            settings["decisions_off"] = True
        if pair.node_process in self.advertised_peer_ports:
            settings["advertised_peer_port"] = self.advertised_peer_ports[pair.node_process]
        if pair.name in self.advertised_ports.get(pair.service, {}):
            settings["advertised_call_port"] = self.advertised_ports[pair.service][pair.name]
        self._spawn(pair.node_process, ["node"], settings)

    def start_backend(self, pair: NodePair) -> None:
        """Starts one backend server."""
        service = self.service_shape(pair.service)
        operations = []
        for operation in service.operations:
            operations.append({"name": operation.name, "calls": list(operation.calls)})
        settings = {
            "cluster": self.cluster,
            "service": pair.service,
            "name": pair.name,
            "address": LOOPBACK,
            "port": pair.backend_port,
            "node_peer_address": pair.peer_address,
            "slots": service.slots,
            "service_time_ms": service.service_time_ms,
            "operations": operations,
            "seed": pair.backend_port,
            "run_log": str(self.run_log),
        }
        if pair.node_process in self.advertised_peer_ports:
            peer_port = self.advertised_peer_ports[pair.node_process]
            settings["node_peer_address"] = f"{LOOPBACK}:{peer_port}"
            settings["announced_port"] = self.announced_ports[pair.node_process]
        if self.secret_file:
            settings["cluster_secret_file"] = self.secret_file
        settings.update(self.backend_settings.get(pair.service, {}))
        if self.variant.decisions_off:
            settings["decisions_off"] = True
        self._spawn(pair.backend_process, ["standin", "backend"], settings)

    def service_shape(self, name: str) -> ServiceShape:
        """Returns the shape of a service."""
        for service in self.shape.services:
            if service.name == name:
                return service
        raise ExperimentError(f"shape {self.shape.name!r} has no service {name!r}")

    def pairs_of(self, service: str) -> list[NodePair]:
        """Returns the node pairs of a service."""
        return [pair for pair in self.pairs if pair.service == service]

    def wait_until_ready(self) -> None:
        """Waits until every node is ready and every service answers through it."""
        expiry = monotonic() + READY_SECONDS
        for pair in self.pairs:
            self._wait_for_node(pair, expiry)
        for pair in self.pairs:
            for service in self.shape.services:
                self._wait_for_service(pair, service, expiry)

    def _wait_for_node(self, pair: NodePair, expiry: float) -> None:
        """Waits for a node and its backend server, since a node issues keys without the latter."""
        url = f"http://{LOOPBACK}:{pair.admin_port}/ready"
        problem = "no answer"
        while monotonic() < expiry:
            for name in (pair.node_process, pair.backend_process):
                if self.processes[name].poll() is not None:
                    raise ExperimentError(f"{name} ended at its start: {self._last_log_line(name)}")
            try:
                reply = self.http.request("GET", url, timeout=5.0)
                if reply.status == 200:
                    return
                problem = reply.data.decode("utf-8", "replace")
            except HTTPError as error:
                problem = str(error)
            sleep(POLL_SECONDS)
        raise ExperimentError(f"{pair.node_process} is not ready: {problem}")

    def _last_log_line(self, name: str) -> str:
        lines = self._log_file(name).read_text(encoding="utf-8", errors="replace").splitlines()
        return lines[-1] if lines else "no log"

    def _log_file(self, name: str) -> Path:
        return self.directory / f"{name.replace('/', '-')}.log"

    def _wait_for_service(self, pair: NodePair, service: ServiceShape, expiry: float) -> None:
        url = f"http://{pair.call_address}/v1/services/{service.name}/readiness"
        while monotonic() < expiry:
            try:
                reply = self.http.request("POST", url, body=b"", timeout=5.0)
                # The operation is not in the configuration, so a ready node requires a key.
                if reply.status == 428:
                    return
            except HTTPError:
                pass
            sleep(POLL_SECONDS)
        raise ExperimentError(f"{pair.node_process} does not reach {service.name}")

    def set_faults(self, **faults: bool | float) -> None:
        """Sets the faults of the platform stand-in, replacing those in force."""
        self.http.request("POST", f"http://{self.platform_address}/faults", json=faults)

    def slow_backend(self, pair: NodePair, factor: float) -> None:
        """Makes one backend server slower by a factor, 1 for its normal speed."""
        url = f"http://{LOOPBACK}:{pair.backend_port}/slow"
        self.http.request("POST", url, body=str(factor).encode(), timeout=5.0)

    def terminate(self, name: str) -> None:
        """Asks a process to stop."""
        self.processes[name].send_signal(SIGTERM)

    def kill(self, name: str) -> None:
        """Kills a process and waits for its exit."""
        self.processes[name].send_signal(SIGKILL)
        self.processes[name].wait()

    def pause(self, name: str) -> None:
        """Suspends a process."""
        self.processes[name].send_signal(SIGSTOP)

    def resume(self, name: str) -> None:
        """Resumes a paused process."""
        self.processes[name].send_signal(SIGCONT)

    def restart(self, name: str) -> None:
        """Restarts a process that has exited, with the same settings."""
        self._start(name)

    def kill_all(self) -> None:
        """Kills all processes, once a measurement is complete."""
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()

    def stop(self) -> list[str]:
        """Stops all processes; returns those that had to be killed."""
        killed = []
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(SIGCONT)
                process.send_signal(SIGTERM)
        expiry = monotonic() + STOP_SECONDS
        for name, process in self.processes.items():
            try:
                process.wait(max(0.1, expiry - monotonic()))
            except TimeoutExpired:
                process.kill()
                process.wait()
                killed.append(name)
        return killed

    def _spawn(self, name: str, command: list[str], settings: dict) -> None:
        file = self.directory / f"{name.replace('/', '-')}.yaml"
        file.write_text(safe_dump(settings), encoding="utf-8")
        self.arguments[name] = [*command, "--settings", str(file)]
        self._start(name)

    def _start(self, name: str) -> None:
        log = self._log_file(name).open("ab")
        command = [sys.executable, "-m", "coltsfoottrack", *self.arguments[name]]
        environment = dict(environ)
        if self.variant.source is not None:
            environment["PYTHONPATH"] = str(self.variant.source / "src")
        self.processes[name] = Popen(command, stdout=log, stderr=log, env=environment)
        log.close()

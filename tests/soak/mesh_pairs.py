"""Node processes of the soak, each with a backend server and fault-injecting links."""

import sys
from asyncio import Lock, create_subprocess_exec, get_running_loop, sleep, wait_for
from asyncio.subprocess import Process
from pathlib import Path

from coltsfoottrack._internal.experiment.faults import FaultyLink
from coltsfoottrack._internal.experiment.fleet import free_ports
from coltsfoottrack._internal.mesh.clock import unix_time_ms
from coltsfoottrack._internal.mesh.sockets import split_address
from tests.standins.backend import StandInBackend
from tests.standins.mesh import free_address
from tests.standins.store import StandInStore

SHIFTED_NODE = Path(__file__).resolve().parent / "shifted_node.py"
REPORT_SECONDS = 0.5
# Servers have run for this long when the soak begins.
SERVER_AGE_MS = 60_000
REPORT_ANSWER_SECONDS = 1.0
GRACE_SECONDS = 6.0
# Callers may still see the effects of a disruption for this long after its end.
DISRUPTION_GRACE_SECONDS = 1.0


class MeshPair:
    """A node with its settings, its backend server and its links."""

    def __init__(self, directory: Path, name: str, service: str, store: StandInStore) -> None:
        self.name = name
        self.backend = StandInBackend(f"i-{name}", service, 20)
        self.backend.started_ms = unix_time_ms() - SERVER_AGE_MS
        self.settings_path = directory / f"{name}.conf"
        self.clock_path = directory / f"{name}.clock"
        self.log_path = directory / f"{name}.log"
        self.addresses = {
            key: free_address() for key in ("inbound", "outbound", "ready", "control")
        }
        self.store = store
        # From other nodes to the node, from it to its backend server, and to the store.
        self.links: dict[str, FaultyLink] = {}
        self.process: Process | None = None
        self.starting = Lock()
        self.started_at = 0.0
        self.out_of_service_since: float | None = None
        # Held while the server is restarted.
        self.restarting = Lock()
        self.paused = False
        # The server sends no periodic reports.
        self.reports_paused = False
        # Periods in which the process was killed or suspended: start, end.
        self.disruptions: list[tuple[float, float]] = []
        # Times at which its process was started.
        self.starts: list[float] = []

    async def open(self) -> None:
        """Opens the backend server and the links, and writes the settings file."""
        await self.backend.open()
        targets = {
            "nodes": split_address(self.addresses["inbound"])[1],
            "server": self.backend.port,
            "store": self.store.port,
        }
        for name, target in targets.items():
            self.links[name] = FaultyLink(free_ports(1)[0], target)
            await self.links[name].start()
        self.set_clock(0.0)
        lines = [f"node={self.name}", "zone=east", f"service={self.backend.service}"]
        lines += [f"listen.{key}={value}" for key, value in self.addresses.items()]
        lines += ["ip=127.0.0.1", f"appAddr={self.address_of('server')}"]
        lines += [f"platform.address={self.address_of('store')}", f"bounds=graceS={GRACE_SECONDS}"]
        self.settings_path.write_text("\n".join(lines), encoding="utf-8")

    def address_of(self, link: str) -> str:
        """Returns the address of a link."""
        return f"127.0.0.1:{self.links[link].port}"

    async def start(self) -> None:
        """Starts the node unless it is running; its log goes to a file."""
        # Two faults may end at the same time, and each of them restarts the node.
        async with self.starting:
            if not self.is_running():
                await self._start()

    async def _start(self) -> None:
        environment = {
            "COLTSFOOTTRACK_CONFIG": str(self.settings_path),
            "COLTSFOOTTRACK_ADVERTISED_ADDRESS": self.address_of("nodes"),
        }
        self.started_at = get_running_loop().time()
        self.starts.append(self.started_at)
        with self.log_path.open("ab") as log:
            self.process = await create_subprocess_exec(
                sys.executable,
                str(SHIFTED_NODE),
                str(self.clock_path),
                env=environment,
                stdout=log,
                stderr=log,
            )

    def set_clock(self, step_seconds: float) -> None:
        """Shifts the time of day of the node's process."""
        changed = self.clock_path.with_suffix(".new")
        changed.write_text(str(step_seconds), encoding="ascii")
        changed.replace(self.clock_path)

    def is_running(self) -> bool:
        """Returns whether the node's process is running."""
        return self.process is not None and self.process.returncode is None

    def record_disruption(self, began: float) -> None:
        """Records that callers may have been disconnected between ``began`` and now."""
        self.disruptions.append((began, get_running_loop().time() + DISRUPTION_GRACE_SECONDS))

    def was_disrupted(self, began: float, ended: float) -> bool:
        """Returns whether callers may have been disconnected at any time in a period."""
        return any(since <= ended and until >= began for since, until in self.disruptions)

    def was_interrupted(self, began: float, ended: float) -> bool:
        """Returns whether the process was started, killed or suspended in a period."""
        if self.was_disrupted(began, ended):
            return True
        return any(began <= started <= ended for started in self.starts)

    async def send_report(self, state: str, number: int | None = None) -> int:
        """Sends one report of the server, or an earlier one again; returns the status.

        Raises OSError, TimeoutError, and ValueError or IndexError for a truncated answer.
        """
        changes: dict[str, object] = {"address": self.address_of("server")}
        if number is not None:
            changes["seq"] = number
        report = self.backend.report(self.addresses["control"], state, **changes)
        return await wait_for(report, REPORT_ANSWER_SECONDS)

    async def report(self) -> None:
        """Reports to the node periodically while the server is running."""
        while True:
            await sleep(REPORT_SECONDS)
            if self.backend.server is None or not self.backend.server.is_serving():
                continue
            if self.reports_paused:
                continue
            state = "ready" if self.out_of_service_since is None else "draining"
            try:
                await self.send_report(state)
            except (OSError, TimeoutError, ValueError, IndexError):
                continue

    async def close(self) -> None:
        """Stops the links and the backend server."""
        for link in self.links.values():
            await link.stop()
        self.backend.close()

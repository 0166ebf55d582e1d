"""Measures the cost of a node: time to the first answer, idle memory and CPU, CPU per request.

``python -m tests.soak.mesh_cost --seconds=10 --connections=8`` starts two node processes, one for
the caller and one for a backend server, and sends requests over persistent connections, one at a
time on each. ``--profile=FILE`` runs both nodes under cProfile and writes
FILE.portal and FILE.stock.
"""

import sys
from asyncio import (
    create_subprocess_exec,
    create_task,
    gather,
    get_running_loop,
    open_connection,
    run,
    sleep,
)
from asyncio.subprocess import DEVNULL
from pathlib import Path
from signal import SIGTERM
from tempfile import TemporaryDirectory

from coltsfoottrack._internal.experiment.process_usage import resident_bytes, run_seconds
from coltsfoottrack._internal.mesh.sockets import split_address
from tests.soak.mesh_pairs import MeshPair
from tests.soak.shifted_node import PROGRAM
from tests.standins.mesh import DEFAULT_CONFIGURATION, encode, read_answer
from tests.standins.store import StandInStore

MEGABYTE = 1024 * 1024
SETTLE_SECONDS = 3.0
IDLE_SECONDS = 5.0
WARM_UP_SECONDS = 1.0
START_SECONDS = 10.0
PAUSE_SECONDS = 0.02
NAMES = ("caller's node", "server's node")


class CostMeasurement:
    """One measurement."""

    def __init__(self, directory: Path, profile: str) -> None:
        self.store = StandInStore()
        self.directory = directory
        self.profile = profile
        self.pairs: list[MeshPair] = []
        self.answered = 0
        self.failed = 0
        self.end = 0.0

    async def start(self, service: str) -> MeshPair:
        """Starts a node and its backend server."""
        pair = MeshPair(self.directory, service, service, self.store)
        pair.backend.slots = 200
        pair.backend.work_seconds = 0.0
        await pair.open()
        self.pairs.append(pair)
        command = [sys.executable]
        if self.profile:
            command += ["-m", "cProfile", "-o", f"{self.profile}.{service}"]
        pair.process = await create_subprocess_exec(
            *command,
            str(PROGRAM),
            env={"COLTSFOOTTRACK_CONFIG": str(pair.settings_path)},
            stdout=DEVNULL,
        )
        return pair

    async def time_to_first_answer(self, pair: MeshPair) -> float:
        """Returns the seconds from now until a node answers its caller's first request."""
        began = get_running_loop().time()
        while get_running_loop().time() - began < START_SECONDS:
            try:
                reader, writer = await open_connection(*split_address(pair.addresses["outbound"]))
                writer.write(encode("/read/first", "first"))
                await read_answer(reader)
                writer.close()
                break
            except OSError:
                await sleep(PAUSE_SECONDS)
        return get_running_loop().time() - began

    async def send(self, pair: MeshPair, number: int) -> None:
        """Sends requests on one connection until the load ends."""
        reader, writer = await open_connection(*split_address(pair.addresses["outbound"]))
        count = 0
        while get_running_loop().time() < self.end:
            count += 1
            request_id = f"q{number}-{count}"
            if count % 3:
                writer.write(encode(f"/read/{count}", request_id))
            else:
                writer.write(encode(f"/order/{count}", request_id, "POST", b"x" * 50))
            answer = await read_answer(reader)
            if answer.status == 200:
                self.answered += 1
            else:
                self.failed += 1
            await sleep(PAUSE_SECONDS)
        writer.close()

    async def load(self, pair: MeshPair, seconds: float, connections: int) -> None:
        """Sends requests on several connections for a number of seconds."""
        self.end = get_running_loop().time() + seconds
        await gather(*[self.send(pair, number) for number in range(connections)])

    async def measure(self, seconds: float, connections: int) -> None:
        """Measures and prints the results."""
        await self.store.open()
        self.store.put("config", "main", DEFAULT_CONFIGURATION)
        portal = await self.start("portal")
        first = await self.time_to_first_answer(portal)
        await self.start("stock")
        tasks = [create_task(pair.report()) for pair in self.pairs]
        await sleep(SETTLE_SECONDS)
        before = [run_seconds(pair.process.pid) for pair in self.pairs]
        await sleep(IDLE_SECONDS)
        idle = [run_seconds(pair.process.pid) for pair in self.pairs]
        idle_ms = [
            (stop - start) / IDLE_SECONDS * 1000.0 for start, stop in zip(before, idle, strict=True)
        ]
        idle_mb = [resident_bytes(pair.process.pid) / MEGABYTE for pair in self.pairs]
        await self.load(portal, WARM_UP_SECONDS, connections)
        self.answered = 0
        before = [run_seconds(pair.process.pid) for pair in self.pairs]
        await self.load(portal, seconds, connections)
        after = [run_seconds(pair.process.pid) for pair in self.pairs]
        for task in tasks:
            task.cancel()
        for pair in self.pairs:
            pair.process.send_signal(SIGTERM)
        await gather(*[pair.process.wait() for pair in self.pairs])
        for pair in self.pairs:
            await pair.close()
        self.store.close()
        print(f"start to first answer {first:.2f} s; memory at rest {max(idle_mb):.0f} MB")
        print(f"at rest: {max(idle_ms):.2f} ms of processor time a second")
        print(f"answered {self.answered}, {self.answered / seconds:.0f}/s, failed {self.failed}")
        for name, start, stop in zip(NAMES, before, after, strict=True):
            each = (stop - start) / max(1, self.answered) * 1000.0
            print(f"{name}: {each:.3f} ms of processor time a request")


async def measure(options: dict[str, str]) -> None:
    """Runs the measurement with the given options."""
    with TemporaryDirectory(prefix="coltsfoottrack-") as directory:
        measurement = CostMeasurement(Path(directory), options.get("profile", ""))
        await measurement.measure(
            float(options.get("seconds", "10")), int(options.get("connections", "8"))
        )


if __name__ == "__main__":
    run(measure(dict(argument.removeprefix("--").split("=", 1) for argument in sys.argv[1:])))

"""Random faults over real nodes of the mesh, from a seed; checks what callers and servers see.

``python -m tests.soak.mesh_soak --seconds=20 --seeds=1-10`` plays one seed after the other. The
nodes are processes of their own; the store and the backend servers are the stand-ins, in this
process. A seed gives the same faults at the same times; what the processes make of them depends on
their timing.
"""

import sys
from asyncio import (
    IncompleteReadError,
    create_subprocess_exec,
    create_task,
    gather,
    get_running_loop,
    open_connection,
    run,
    sleep,
    wait_for,
)
from asyncio.subprocess import DEVNULL, Process
from collections import Counter
from pathlib import Path
from random import Random
from signal import SIGCONT, SIGHUP, SIGKILL, SIGSTOP, SIGTERM
from tempfile import TemporaryDirectory
from typing import NamedTuple

from tests.standins.backend import StandInBackend
from tests.standins.mesh import configuration, encode, free_address, read_answer
from tests.standins.store import StandInStore

PROGRAM = Path(__file__).resolve().parents[2] / "deploy" / "coltsfoottrack-node.py"
SERVICES = ("portal", "portal", "stock", "stock", "stock")
REPORT_SECONDS = 0.5
REQUEST_SECONDS = 0.02
ANSWER_SECONDS = 4.0
GRACE_SECONDS = 6.0
START_SECONDS = 4.0
CALM_SECONDS = 4.0
# After the last fault all nodes know all others again within this time.
HEAL_SECONDS = 6.0
# Work may reach a leaving server for this long after its leave was acknowledged.
DRAIN_SECONDS = 2.0
MIN_CALM_SHARE = 0.95
KINDS = (
    "kill_node",
    "terminate_node",
    "pause_node",
    "reload_node",
    "drain_server",
    "crash_server",
    "faulty_server",
    "slow_server",
    "store_down",
    "store_loses_answers",
    "store_forgets",
    "change_configuration",
    "callers_leave",
)
FAULTS = ("lose", "truncate", "extra", "late", "unsealed", "fail", "shed", "unframed")


class PlannedFault(NamedTuple):
    """One fault: when it begins and how long it lasts, in seconds, and what it strikes."""

    at: float
    kind: str
    target: int
    seconds: float


class Outcome(NamedTuple):
    """What a caller saw; status 0 is a connection that ended without an answer."""

    request_id: str
    is_order: bool
    status: int
    sent_at: float
    problem: str


class Verdict(NamedTuple):
    """What a run showed."""

    violations: list[str]
    statuses: dict[int, int]
    calm_share: float

    @property
    def holds(self) -> bool:
        """Tells whether nothing was broken."""
        return not self.violations and self.calm_share >= MIN_CALM_SHARE


def plan_faults(seed: int, seconds: float) -> list[PlannedFault]:
    """Returns faults that come in series and overlap."""
    random = Random(seed)
    faults = []
    at = 0.0
    while at < seconds:
        faults.append(
            PlannedFault(at, random.choice(KINDS), random.randrange(100), random.uniform(0.3, 2.5))
        )
        at += random.choice((0.05, 0.4, 0.8, 1.5))
    return faults


class Place:
    """A node, its settings and the backend server beside it."""

    def __init__(self, directory: Path, name: str, service: str, store: StandInStore) -> None:
        self.name = name
        self.backend = StandInBackend(f"i-{name}", service, 20)
        self.path = directory / f"{name}.conf"
        self.addresses = {
            key: free_address() for key in ("inbound", "outbound", "ready", "control")
        }
        self.store = store
        self.process: Process | None = None
        self.left_at: float | None = None
        self.stopped = False

    def write_settings(self) -> None:
        """Writes the settings file of the platform."""
        lines = [f"node={self.name}", "zone=east", f"service={self.backend.service}"]
        lines += [f"listen.{key}={value}" for key, value in self.addresses.items()]
        lines += ["ip=127.0.0.1", f"appAddr={self.backend.address}"]
        lines += [f"platform.address={self.store.address}", f"bounds=graceS={GRACE_SECONDS}"]
        self.path.write_text("\n".join(lines), encoding="utf-8")

    async def start(self) -> None:
        """Starts the node."""
        environment = {"COLTSFOOTTRACK_CONFIG": str(self.path)}
        self.process = await create_subprocess_exec(
            sys.executable, str(PROGRAM), env=environment, stdout=DEVNULL
        )

    async def report(self) -> None:
        """Reports to the node as long as the server runs."""
        while True:
            await sleep(REPORT_SECONDS)
            if self.backend.server is None or not self.backend.server.is_serving():
                continue
            state = "ready" if self.left_at is None else "draining"
            try:
                await wait_for(self.backend.report(self.addresses["control"], state), 1.0)
            except (OSError, TimeoutError, ValueError, IndexError):
                continue


class Soak:
    """One run."""

    def __init__(self, directory: Path, seed: int, seconds: float) -> None:
        self.random = Random(seed)
        self.seed = seed
        self.seconds = seconds
        self.store = StandInStore()
        self.directory = directory
        self.places: list[Place] = []
        self.outcomes: list[Outcome] = []
        self.violations: list[str] = []
        self.version = 1
        self.numbers = 0
        self.patience = ANSWER_SECONDS

    def configure(self) -> None:
        """Stores the next version."""
        self.version += 1
        self.store.put(
            "config",
            "main",
            configuration(
                self.version,
                read={"pathPrefix": "/read/", "service": "stock"},
                order={
                    "pathPrefix": "/order/",
                    "service": "stock",
                    "type": "unsafe",
                    "priority": 0,
                },
            ),
        )

    async def play(self) -> Verdict:
        """Plays the faults of the seed and returns what was seen."""
        await self.store.open()
        self.configure()
        tasks = []
        for number, service in enumerate(SERVICES):
            place = Place(self.directory, f"{service}{number}", service, self.store)
            await place.backend.open()
            place.write_settings()
            self.places.append(place)
            await place.start()
            tasks.append(create_task(place.report()))
        try:
            await sleep(START_SECONDS)
            load = create_task(self.send_load(self.seconds + CALM_SECONDS + HEAL_SECONDS))
            strikes = [
                create_task(self.strike(fault)) for fault in plan_faults(self.seed, self.seconds)
            ]
            await gather(*strikes)
            await sleep(HEAL_SECONDS)
            calm_from = get_running_loop().time()
            await load
        finally:
            for task in tasks:
                task.cancel()
            await self.end()
        self.check()
        calm = [outcome for outcome in self.outcomes if outcome.sent_at >= calm_from]
        served = sum(outcome.status == 200 for outcome in calm)
        statuses = Counter(outcome.status for outcome in self.outcomes)
        return Verdict(self.violations, dict(statuses), served / max(1, len(calm)))

    async def end(self) -> None:
        """Ends all processes that were started."""
        for place in self.places:
            if place.process.returncode is None:
                place.process.send_signal(SIGCONT)
                place.process.kill()
                await place.process.wait()
            place.backend.close()
        self.store.close()

    async def strike(self, fault: PlannedFault) -> None:
        """Brings about one fault and ends it."""
        await sleep(fault.at)
        place = self.places[fault.target % len(self.places)]
        server = self.places[2 + fault.target % 3]
        await getattr(self, fault.kind)(place, server, fault)

    async def kill_node(self, place: Place, server: Place, fault: PlannedFault) -> None:
        if place.process.returncode is not None:
            return
        place.process.send_signal(SIGKILL)
        await place.process.wait()
        await sleep(fault.seconds / 3.0)
        await self.start_again(place)

    async def start_again(self, place: Place) -> None:
        """Starts a node that has ended, unless that was done meanwhile."""
        if place.process.returncode is not None:
            await place.start()

    async def terminate_node(self, place: Place, server: Place, fault: PlannedFault) -> None:
        if place.process.returncode is not None:
            return
        process = place.process
        process.send_signal(SIGTERM)
        try:
            await wait_for(process.wait(), GRACE_SECONDS + 1.0)
        except TimeoutError:
            if not place.stopped:
                self.violations.append(f"{place.name} still runs after the grace time")
            process.kill()
            await process.wait()
        await self.start_again(place)

    async def pause_node(self, place: Place, server: Place, fault: PlannedFault) -> None:
        if place.process.returncode is not None:
            return
        process = place.process
        place.stopped = True
        process.send_signal(SIGSTOP)
        await sleep(fault.seconds)
        if process.returncode is None:
            process.send_signal(SIGCONT)

    async def reload_node(self, place: Place, server: Place, fault: PlannedFault) -> None:
        if place.process.returncode is None:
            place.process.send_signal(SIGHUP)

    async def drain_server(self, place: Place, server: Place, fault: PlannedFault) -> None:
        if server.left_at is not None or not server.backend.server.is_serving():
            return
        backend = server.backend
        try:
            status = await wait_for(backend.report(server.addresses["control"], "draining"), 1.0)
        except (OSError, TimeoutError, ValueError, IndexError):
            return
        if status != 200:
            return
        server.left_at = get_running_loop().time()
        await sleep(DRAIN_SECONDS)
        before = len(backend.seen)
        await sleep(fault.seconds)
        late = len(backend.seen) - before
        if late:
            self.violations.append(f"{late} requests reached {server.name} after it had left")
        await self.renew(server)

    async def renew(self, server: Place) -> None:
        """Starts a server again as a new process at the same address."""
        server.backend.close()
        await sleep(0.1)
        server.backend.fault = ""
        await server.backend.restart()
        server.left_at = None

    async def crash_server(self, place: Place, server: Place, fault: PlannedFault) -> None:
        if server.left_at is not None or not server.backend.server.is_serving():
            return
        server.left_at = get_running_loop().time()
        server.backend.close()
        await sleep(fault.seconds)
        await self.renew(server)

    async def faulty_server(self, place: Place, server: Place, fault: PlannedFault) -> None:
        server.backend.fault = FAULTS[fault.target % len(FAULTS)]
        await sleep(fault.seconds)
        server.backend.fault = ""

    async def slow_server(self, place: Place, server: Place, fault: PlannedFault) -> None:
        server.backend.work_seconds = 0.3
        await sleep(fault.seconds)
        server.backend.work_seconds = 0.01

    async def store_down(self, place: Place, server: Place, fault: PlannedFault) -> None:
        self.store.status = 503
        await sleep(fault.seconds)
        self.store.status = None

    async def store_loses_answers(self, place: Place, server: Place, fault: PlannedFault) -> None:
        self.store.lose_answers = True
        await sleep(fault.seconds)
        self.store.lose_answers = False

    async def store_forgets(self, place: Place, server: Place, fault: PlannedFault) -> None:
        self.store.forget_history()

    async def change_configuration(self, place: Place, server: Place, fault: PlannedFault) -> None:
        self.configure()

    async def callers_leave(self, place: Place, server: Place, fault: PlannedFault) -> None:
        self.patience = 0.05
        await sleep(fault.seconds)
        self.patience = ANSWER_SECONDS

    async def send_load(self, seconds: float) -> None:
        """Sends requests to the portal nodes until the time is over."""
        end = get_running_loop().time() + seconds
        sending = set()
        while get_running_loop().time() < end:
            task = create_task(self.send_one(self.places[self.numbers % 2]))
            sending.add(task)
            task.add_done_callback(sending.discard)
            await sleep(REQUEST_SECONDS)
        await gather(*list(sending))

    async def send_one(self, place: Place) -> None:
        """Sends one request and records what its caller sees."""
        self.numbers += 1
        is_order = self.numbers % 3 == 0
        request_id = f"q{self.numbers}"
        path = f"/{'order' if is_order else 'read'}/{self.numbers}"
        method = "POST" if is_order else "GET"
        began = get_running_loop().time()
        status = 0
        problem = ""
        writer = None
        try:
            host, _, port = place.addresses["outbound"].rpartition(":")
            reader, writer = await open_connection(host, int(port))
            writer.write(encode(path, request_id, method, b"x" * 50 if is_order else b""))
            answer = await wait_for(read_answer(reader), self.patience)
            status = answer.status
            if status == 200:
                problem = self.compare(answer, request_id, method, path)
        except (OSError, TimeoutError, IncompleteReadError):
            pass
        finally:
            if writer is not None:
                writer.transport.abort()
        self.outcomes.append(Outcome(request_id, is_order, status, began, problem))

    def compare(self, answer: object, request_id: str, method: str, path: str) -> str:
        """Returns what is wrong with a success, or an empty string."""
        if answer.headers.get("request-id") != request_id:
            return "answer of another request"
        if answer.headers.get("response-seal") != f"seal-{request_id}" and (
            answer.headers.get("response-seal") != "s"
        ):
            return "success without its seal"
        if not answer.body.endswith(f" {method} {path}".encode()):
            return "body of another request"
        return ""

    def check(self) -> None:
        """Compares what callers were told with what ran."""
        runs: Counter[str] = Counter()
        for place in self.places:
            runs.update(place.backend.runs)
        for outcome in self.outcomes:
            if outcome.problem:
                self.violations.append(f"{outcome.request_id}: {outcome.problem}")
            count = runs[outcome.request_id]
            if outcome.is_order and count > 1:
                self.violations.append(f"order {outcome.request_id} ran {count} times")
            if outcome.is_order and outcome.status in (429, 503) and count:
                self.violations.append(f"order {outcome.request_id} ran though refused")
            if outcome.status in (401, 403, 404):
                self.violations.append(f"{outcome.request_id} was denied: {outcome.status}")


async def play_seed(seed: int, seconds: float) -> Verdict:
    """Plays one seed."""
    with TemporaryDirectory(prefix="coltsfoottrack-") as directory:
        return await Soak(Path(directory), seed, seconds).play()


def main() -> int:
    """Plays the seeds that the arguments name; returns the exit status."""
    options = dict(argument.removeprefix("--").split("=", 1) for argument in sys.argv[1:])
    seconds = float(options.get("seconds", "20"))
    first, _, last = options.get("seeds", "1").partition("-")
    failed = 0
    for seed in range(int(first), int(last or first) + 1):
        verdict = run(play_seed(seed, seconds))
        failed += not verdict.holds
        print(
            f"seed {seed}: {'held' if verdict.holds else 'BROKEN'}; answers {verdict.statuses}, "
            f"served after the faults {verdict.calm_share:.3f} {verdict.violations[:5]}",
            flush=True,
        )
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

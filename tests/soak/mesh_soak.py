"""Injects random faults into a mesh of real nodes, from a seed, and checks for violations.

``python -m tests.soak.mesh_soak --seconds=20 --seeds=1-10`` runs the seeds in sequence,
``--seeds=regressions`` those that have failed before; ``--nodes=24`` starts 24 nodes instead of 5;
``--keep=DIRECTORY`` keeps the nodes' logs of failed runs. Each node is a process; the store and the
backend servers are stand-ins in this process, behind fault-injecting links. A seed gives the same
faults at the same times; the results depend on the timing of the processes.

Customers: the configuration has four, two of them with small quotas. Besides the general load,
callers send the keys of all, keys that were removed, wrong ones and none, and some a ``Tenant``
header of their own. A key is removed while it is in use, also while the store refuses some nodes; a
customer sends many times its quota; a quota is lowered. ``mesh_customers`` has the checks: a
request without a key of any version never runs; one whose key was removed 2.5 s earlier does not
run at a node that was not disturbed; a valid key is never answered 401; a backend server sees the
right ``Tenant`` and no key, nor does a log; in 5 s, at most (rate x 5 + burst) x 1.1 + 20 requests
of a customer reach backend servers. A node was not disturbed if for 2.5 s before the request it was
neither started, killed nor suspended, its links had no fault and the store answered. A request that
is retried counts once.
"""

import sys
from asyncio import (
    IncompleteReadError,
    StreamReader,
    StreamWriter,
    create_task,
    gather,
    get_running_loop,
    open_connection,
    run,
    sleep,
    wait_for,
)
from collections import Counter
from pathlib import Path
from shutil import copytree
from signal import SIGCONT, SIGTERM, default_int_handler, signal
from tempfile import TemporaryDirectory
from typing import NamedTuple

from coltsfoottrack._internal.mesh.sockets import split_address
from coltsfoottrack.platform.names import MEMBER_KIND
from tests.soak.mesh_announcements import SentRequest
from tests.soak.mesh_customers import (
    GENERAL,
    Credentials,
    Customers,
    KeyedRequest,
    forwarding_violations,
    key_violations,
    log_violations,
    quota_violations,
)
from tests.soak.mesh_faults import (
    FaultPlayer,
    plan_customer_faults,
    plan_faults,
    plan_later_faults,
    plan_leaves,
)
from tests.soak.mesh_pairs import MeshPair
from tests.standins.mesh import Answer, encode, read_answer
from tests.standins.store import StandInStore

NODES = 5
# Two of five nodes serve callers, the others are nodes of backend servers.
SERVICES = ("portal", "portal", "stock", "stock", "stock")
REQUEST_SECONDS = 0.02
CUSTOMER_STEP_SECONDS = 0.05
# Callers wait for longer than the routes' timeout of 3 s and the 0.5 s after it.
ANSWER_SECONDS = 4.0
SHORT_ANSWER_SECONDS = 0.05
START_SECONDS = 4.0
CALM_SECONDS = 4.0
# All nodes know each other again within this time after the last fault.
HEAL_SECONDS = 6.0
MIN_CALM_SHARE = 0.95
# Blocks of this many requests alternate between new and persistent connections, so that both kinds
# of connection carry orders and lookups.
KEPT_CONNECTION_RUN = 5
ORDER_EVERY = 3

# Seeds that have failed in runs of 15 s, and the cause.
REGRESSION_SECONDS = 15.0
REGRESSIONS = {
    32: "an order ran again, as its node was restarted before it answered",
    36: "a stopping node gave no answer to a request that outlasted its grace period",
    46: "an order that had run was refused, as its node was restarted before it answered",
}

Connection = tuple[StreamReader, StreamWriter]


class Outcome(NamedTuple):
    """The outcome of a request as its caller saw it; status 0 if there was no answer."""

    request_id: str
    is_order: bool
    status: int
    sent_at: float
    # When the answer arrived or the caller gave up.
    ended_at: float
    pair_name: str
    # The caller waited for ANSWER_SECONDS rather than SHORT_ANSWER_SECONDS.
    waited_in_full: bool
    # The request was written on an open connection.
    written: bool
    problem: str


class Verdict(NamedTuple):
    """Result of a run."""

    violations: list[str]
    statuses: dict[int, int]
    calm_share: float

    @property
    def passed(self) -> bool:
        """Whether there was no violation and enough requests succeeded in the calm phase."""
        return not self.violations and self.calm_share >= MIN_CALM_SHARE


class Soak:
    """One run."""

    def __init__(
        self,
        directory: Path,
        seed: int,
        seconds: float,
        nodes: int = NODES,
        later_faults: bool = True,
    ) -> None:
        self.nodes = nodes
        # Whether faults of the kinds are injected that were added later.
        self.later_faults = later_faults
        self.seed = seed
        self.seconds = seconds
        self.store = StandInStore()
        self.directory = directory
        self.pairs: list[MeshPair] = []
        self.outcomes: list[Outcome] = []
        self.violations: list[str] = []
        self.customers = Customers(seed)
        self.faults = FaultPlayer(self.pairs, self.store, self.violations, self.customers)
        # Key of each request; empty if no version held it.
        self.keys: dict[str, str] = {}
        self.request_count = 0
        self.ending = False
        # Idle persistent connections by name of the pair.
        self.kept: dict[str, list[Connection]] = {}

    async def play(self) -> Verdict:
        """Injects the faults of the seed under load and returns the verdict."""
        await self.store.open()
        await self.faults.refusing_store.open()
        self.faults.configure()
        reports = [create_task(self.faults.copy_store())]
        for number in range(self.nodes):
            service = SERVICES[number % len(SERVICES)]
            pair = MeshPair(self.directory, f"{service}{number}", service, self.store)
            await pair.open()
            self.pairs.append(pair)
            await pair.start()
            reports.append(create_task(pair.report()))
        try:
            await sleep(START_SECONDS)
            load = gather(self.send_load(), self.send_customer_load())
            faults = plan_faults(self.seed, self.seconds)
            if self.later_faults:
                faults += plan_later_faults(self.seed, self.seconds)
                faults += plan_customer_faults(self.seed, self.seconds)
                faults += plan_leaves(self.seed, self.seconds)
            await self.faults.play(faults)
            await sleep(HEAL_SECONDS)
            calm_from = get_running_loop().time()
            await sleep(CALM_SECONDS)
            self.ending = True
            await load
            self.check_records()
        finally:
            for task in reports:
                task.cancel()
            await self.stop_processes()
        self.check_outcomes()
        self.check_announcements()
        self.check_customers()
        calm = []
        for outcome in self.outcomes:
            if outcome.sent_at >= calm_from and self.customers.is_kept(
                self.keys[outcome.request_id]
            ):
                calm.append(outcome)
        served = sum(outcome.status == 200 for outcome in calm)
        statuses = Counter(outcome.status for outcome in self.outcomes)
        return Verdict(self.violations, dict(statuses), served / max(1, len(calm)))

    async def stop_processes(self) -> None:
        """Kills all node processes and closes the stand-ins."""
        for pair in self.pairs:
            if pair.is_running():
                pair.process.send_signal(SIGCONT)
                pair.process.kill()
                await pair.process.wait()
            await pair.close()
        self.store.close()
        self.faults.refusing_store.close()

    async def send_load(self) -> None:
        """Sends requests to the portal nodes until the run is ending."""
        tasks = set()
        portals = [pair for pair in self.pairs if pair.backend.service == "portal"]
        while not self.ending:
            pair = portals[self.request_count % len(portals)]
            task = create_task(self.send_one(pair, self.customers.credentials(GENERAL)))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await sleep(REQUEST_SECONDS)
        await gather(*list(tasks))

    async def send_customer_load(self) -> None:
        """Sends requests of all customers to the portal nodes until the run is ending."""
        tasks = set()
        portals = [pair for pair in self.pairs if pair.backend.service == "portal"]
        while not self.ending:
            carried = [self.customers.choose()]
            for name, count in self.customers.hot.items():
                carried += [self.customers.credentials(name) for _ in range(count)]
            for credentials in carried:
                pair = self.customers.random.choice(portals)
                task = create_task(self.send_one(pair, credentials))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
            await sleep(CUSTOMER_STEP_SECONDS)
        await gather(*list(tasks))

    async def send_one(self, pair: MeshPair, credentials: Credentials) -> None:
        """Sends one request and records its outcome."""
        self.request_count += 1
        is_order = self.request_count % ORDER_EVERY == 0
        request_id = f"q{self.request_count}"
        self.keys[request_id] = credentials.key
        path = f"/{'order' if is_order else 'read'}/{self.request_count}"
        method = "POST" if is_order else "GET"
        keeps = self.request_count // KEPT_CONNECTION_RUN % 2 == 0
        answer_timeout = SHORT_ANSWER_SECONDS if self.faults.callers_leave_now else ANSWER_SECONDS
        began = get_running_loop().time()
        answer: Answer | None = None
        connection: Connection | None = None
        written = False
        try:
            connection = await self.connect(pair, keeps)
            reader, writer = connection
            body = b"x" * 50 if is_order else b""
            writer.write(encode(path, request_id, method, body, **credentials.headers))
            written = True
            answer = await wait_for(read_answer(reader), answer_timeout)
        except (OSError, TimeoutError, IncompleteReadError):
            pass
        finally:
            if connection is not None:
                self.release(pair, connection, answer, keeps)
        problem = ""
        if answer is not None:
            self.record_announcement(pair, answer)
        if answer is not None and answer.status == 200:
            problem = self.find_answer_problem(answer, request_id, method, path)
        self.outcomes.append(
            Outcome(
                request_id,
                is_order,
                answer.status if answer is not None else 0,
                began,
                get_running_loop().time(),
                pair.name,
                answer_timeout == ANSWER_SECONDS,
                written,
                problem,
            )
        )

    def record_announcement(self, pair: MeshPair, answer: Answer) -> None:
        """Records what a server announced in an answer that a node has passed on."""
        names_limit = "server-limit" in answer.headers
        if not names_limit and "server-leaving" not in answer.headers:
            return
        now = get_running_loop().time()
        for announcement in self.faults.announcements:
            is_of_server = answer.body.startswith(announcement.server.backend.identifier.encode())
            if (
                is_of_server
                and now <= announcement.ended
                and (announcement.limit is None) != names_limit
            ):
                announcement.record_passed_on(pair, now)

    async def connect(self, pair: MeshPair, keeps: bool) -> Connection:
        """Returns an idle connection that is still open, or a new one."""
        kept = self.kept.setdefault(pair.name, [])
        while keeps and kept:
            reader, writer = kept.pop()
            if not reader.at_eof() and not writer.is_closing():
                return reader, writer
            writer.transport.abort()
        return await open_connection(*split_address(pair.addresses["outbound"]))

    def release(
        self, pair: MeshPair, connection: Connection, answer: Answer | None, keeps: bool
    ) -> None:
        """Keeps a connection for the next request, or closes it."""
        if answer is None or not keeps or answer.headers.get("connection") == "close":
            connection[1].transport.abort()
        else:
            self.kept[pair.name].append(connection)

    def find_answer_problem(self, answer: Answer, request_id: str, method: str, path: str) -> str:
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

    def check_outcomes(self) -> None:
        """Checks the reported outcomes against the runs at the backend servers."""
        runs: Counter[str] = Counter()
        for pair in self.pairs:
            runs.update(pair.backend.runs)
        pairs = {pair.name: pair for pair in self.pairs}
        for outcome in self.outcomes:
            if outcome.problem:
                self.violations.append(f"{outcome.request_id}: {outcome.problem}")
            count = runs[outcome.request_id]
            if outcome.is_order and count > 1:
                self.violations.append(f"order {outcome.request_id} ran {count} times")
            if outcome.is_order and outcome.status in (429, 503) and count:
                self.violations.append(f"order {outcome.request_id} ran though refused")
            if outcome.status in (403, 404):
                self.violations.append(f"{outcome.request_id} was denied: {outcome.status}")
            if outcome.status == 0:
                self.check_unanswered(outcome, pairs[outcome.pair_name], count)

    def check_records(self) -> None:
        """Checks that the store holds the record of each node again."""
        for pair in self.pairs:
            if (MEMBER_KIND, pair.name) not in self.store.objects:
                self.violations.append(f"the store lacks the record of {pair.name}")

    def check_customers(self) -> None:
        """Checks who ran, what reached backend servers of whom, and that no key was passed on."""
        requests = []
        for outcome in self.outcomes:
            requests.append(
                KeyedRequest(
                    outcome.request_id,
                    self.keys[outcome.request_id],
                    outcome.status,
                    outcome.pair_name,
                    outcome.sent_at,
                    outcome.ended_at,
                )
            )
        runs: Counter[str] = Counter()
        first_arrivals: dict[str, float] = {}
        for pair in self.pairs:
            backend = pair.backend
            runs.update(backend.runs)
            for message, at in zip(backend.received, backend.arrivals, strict=True):
                request_id = message.headers[backend.request_id_name]
                first_arrivals[request_id] = min(at, first_arrivals.get(request_id, at))
            self.violations += forwarding_violations(
                self.customers, backend.received, self.keys, backend.request_id_name
            )
        arrivals: dict[str, list[float]] = {}
        for request_id, at in first_arrivals.items():
            period = self.customers.keys.get(self.keys[request_id])
            if period is not None:
                arrivals.setdefault(period.customer, []).append(at)
        was_disturbed = self.faults.was_disturbed
        self.violations += key_violations(
            self.customers, requests, lambda request_id: runs[request_id], was_disturbed
        )
        portals = [pair.name for pair in self.pairs if pair.backend.service == "portal"]
        self.violations += quota_violations(self.customers, arrivals, portals, was_disturbed)
        self.violations += log_violations(self.customers, self.pairs)

    def check_announcements(self) -> None:
        """Checks what reached the servers that named a limit or left by their answers."""
        sent = []
        for outcome in self.outcomes:
            sent.append(SentRequest(outcome.request_id, outcome.pair_name, outcome.sent_at))
        pairs = {pair.name: pair for pair in self.pairs}

        def was_disrupted(portal: str, began: float, ended: float) -> bool:
            return pairs[portal].was_interrupted(began, ended)

        for announcement in self.faults.announcements:
            self.violations.extend(announcement.violations(sent, was_disrupted))

    def check_unanswered(self, outcome: Outcome, pair: MeshPair, count: int) -> None:
        """Records a violation if a node accepted a request but did not answer it.

        A connection may be closed before the request was read, as its caller can resend it. A run
        proves that the request was read.
        """
        if not outcome.waited_in_full or not outcome.written:
            return
        if pair.was_disrupted(outcome.sent_at, outcome.ended_at):
            return
        if outcome.ended_at - outcome.sent_at >= ANSWER_SECONDS:
            self.violations.append(f"{outcome.request_id} got no answer in {ANSWER_SECONDS} s")
        elif count:
            self.violations.append(f"{outcome.request_id} ran and was cut off")


async def play_seed(
    seed: int, seconds: float, keep: str = "", nodes: int = NODES, later_faults: bool = True
) -> Verdict:
    """Runs one seed; keeps the nodes' logs of a failed run in ``keep``, if it is not empty."""
    with TemporaryDirectory(prefix="coltsfoottrack-") as directory:
        verdict = await Soak(Path(directory), seed, seconds, nodes, later_faults).play()
        if keep and not verdict.passed:
            copytree(directory, Path(keep) / f"seed-{seed}", dirs_exist_ok=True)
        return verdict


def main() -> int:
    """Runs the seeds that the arguments select; returns the exit status."""
    # A run that is terminated by hand stops its nodes as well.
    signal(SIGTERM, default_int_handler)
    options = dict(argument.removeprefix("--").split("=", 1) for argument in sys.argv[1:])
    nodes = int(options.get("nodes", NODES))
    failed = 0
    for seed, seconds in chosen_seeds(options):
        later_faults = options.get("seeds") != "regressions"
        verdict = run(play_seed(seed, seconds, options.get("keep", ""), nodes, later_faults))
        failed += not verdict.passed
        print(
            f"seed {seed}: {'held' if verdict.passed else 'BROKEN'}; answers {verdict.statuses}, "
            f"served after the faults {verdict.calm_share:.3f} {verdict.violations[:5]}",
            flush=True,
        )
    return 1 if failed else 0


def chosen_seeds(options: dict[str, str]) -> list[tuple[int, float]]:
    """Returns the seeds that the options select, each with its duration in seconds."""
    named = options.get("seeds", "1")
    if named == "regressions":
        return [(seed, REGRESSION_SECONDS) for seed in REGRESSIONS]
    seconds = float(options.get("seconds", "20"))
    first, _, last = named.partition("-")
    return [(seed, seconds) for seed in range(int(first), int(last or first) + 1)]


if __name__ == "__main__":
    sys.exit(main())

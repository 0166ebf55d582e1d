"""Injects random faults into a small fleet under a mixed load, from a seed that is printed.

``make soak SECONDS=60 SEED=1`` plays the same faults at the same times for the same seed. The
results depend on the timing of the processes and may differ from run to run.
"""

import sys
from asyncio import create_task, gather, run, sleep, to_thread
from collections import Counter
from json import loads
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from time import perf_counter
from typing import NamedTuple

from fire import Fire
from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError

from coltsfoottrack._internal.calls.context import PROTOCOL_VERSION
from coltsfoottrack._internal.experiment.faults import FaultInjector, start_links
from coltsfoottrack._internal.experiment.fleet import LOOPBACK, Fleet, NodePair, free_ports
from coltsfoottrack._internal.experiment.inner_links import InnerLinks
from coltsfoottrack._internal.experiment.load import (
    LoadGenerator,
    Phase,
    RequestKind,
    RequestResult,
)
from coltsfoottrack._internal.experiment.report import check_runs, is_good, outcome_rows
from coltsfoottrack._internal.experiment.shapes import FleetShape, wheel_works
from coltsfoottrack._internal.routing.exceptions import RoutingError
from coltsfoottrack._internal.routing.transport import Transport
from coltsfoottrack._internal.schema.coltsfoottrack_grpc import OperatorStub
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import Envelope, StatusRequest
from coltsfoottrack._internal.settings.rules import number_or_default

DEADLINE_MS = 1500
RATE_PER_SECOND = 60.0
CALM_SHARE = 0.25
FAULT_INTERVAL_SECONDS = 0.7
LONGEST_FAULT_SECONDS = 3.0
CRASH_SENDS = 4
MAX_CRASHES_OF_ONE_REQUEST = 2
STATUS_TIMEOUT_SECONDS = 2.0
VIOLATION_EVENT = "invariant_violated"
MIX = [
    RequestKind("stores", "lookup", "sheddable", True, 0.5),
    RequestKind("casting", "order", "critical", False, 0.25),
    RequestKind("shipping", "dispatch", "critical", False, 0.25),
]
KINDS = (
    "kill_backend",
    "pause_backend",
    "terminate_backend",
    "slow_backend",
    "kill_node",
    "pause_node",
    "terminate_node",
    "cut",
    "delay",
    "truncate",
    "silence_open",
    "crashing_request",
    "platform_down",
    "platform_slow",
    "platform_loses_answers",
    "platform_restored",
    "inner_cut_peers",
    "inner_silence_peers",
    "inner_lose_datagrams",
    "inner_cut_backend",
    "inner_delay_backend",
    "inner_partition",
)


class PlannedFault(NamedTuple):
    """One fault: its start and duration in seconds, its kind and the pair it affects."""

    at: float
    kind: str
    pair_index: int
    seconds: float
    amount: int


class SoakVerdict(NamedTuple):
    """Violations found in the run log and in the nodes' logs and status."""

    run_twice: int
    run_though_refused: int
    wrong_answers: int
    over_the_bound: int
    # From the logs, which include those of exited processes and embedded clients.
    violations: Counter[str]
    # From the status of the nodes that are running at the end.
    counted_by_nodes: int
    crashed_by_one_request: int

    @property
    def passed(self) -> bool:
        """Whether no invariant was violated."""
        broken = self.run_twice + self.run_though_refused + self.wrong_answers
        counted = self.violations.total() + self.counted_by_nodes
        if self.crashed_by_one_request > MAX_CRASHES_OF_ONE_REQUEST:
            return False
        return not broken and not self.over_the_bound and not counted


def plan_faults(seed: int, seconds: float, pair_count: int) -> list[PlannedFault]:
    """Returns the faults of a run; none of them starts in its last quarter."""
    random = Random(seed)
    faults = []
    at = 1.0
    while at < seconds * (1.0 - CALM_SHARE):
        fault = PlannedFault(
            at=round(at, 2),
            kind=random.choice(KINDS),
            pair_index=random.randrange(pair_count),
            seconds=round(random.uniform(0.2, LONGEST_FAULT_SECONDS), 2),
            amount=random.randrange(1, 400),
        )
        faults.append(fault)
        at += random.uniform(0.3, 2.0) * FAULT_INTERVAL_SECONDS
    return faults


class Soak:
    """One run against a started fleet."""

    def __init__(self, fleet: Fleet, injector: FaultInjector, inner: InnerLinks, seed: int) -> None:
        self.fleet = fleet
        self.inner = inner
        self.injector = injector
        self.seed = seed
        self.transport = Transport()
        self.crash_bodies: Counter[str] = Counter()

    async def play(self, faults: list[PlannedFault], seconds: float) -> list[RequestResult]:
        """Runs load and faults concurrently and returns the results of the load."""
        entries = []
        for pair in self.fleet.pairs:
            entries.append(f"{LOOPBACK}:{self.injector.link(pair).port}")
        load = LoadGenerator(MIX, entries, DEADLINE_MS, self.seed)
        phases = [
            Phase("faults", seconds * (1.0 - CALM_SHARE), RATE_PER_SECOND),
            Phase("calm", seconds * CALM_SHARE, RATE_PER_SECOND),
        ]
        self.injector.platform_snapshot()
        loading = create_task(load.play(phases))
        started = perf_counter()
        playing = []
        for fault in faults:
            await sleep(max(0.0, started + fault.at - perf_counter()))
            playing.append(create_task(self._play_fault(fault)))
        await gather(*playing)
        results = await loading
        await self.transport.close()
        return results

    async def _play_fault(self, fault: PlannedFault) -> None:
        pair = self.fleet.pairs[fault.pair_index]
        kind, _, what = fault.kind.partition("_")
        injector = self.injector
        process = pair.node_process if what == "node" else pair.backend_process
        if kind == "inner":
            await self._play_inner_fault(fault, pair)
        elif kind == "platform":
            await self._play_platform_fault(fault)
        elif kind in ("kill", "terminate"):
            (injector.kill if kind == "kill" else injector.terminate)(process)
            await sleep(fault.seconds)
            # A process that drains takes a while to exit.
            for _ in range(20):
                if not injector.is_running(process):
                    break
                await sleep(0.25)
            injector.restart_ended()
        elif kind == "pause":
            injector.pause(process)
            await sleep(fault.seconds)
            injector.resume(process)
        elif kind == "slow":
            await self._slow(pair, 5.0)
            await sleep(fault.seconds)
            await self._slow(pair, 1.0)
        elif kind == "crashing":
            await self._send_crashing_request(pair, fault)
            injector.restart_ended()
        elif kind == "delay":
            injector.link(pair).delay(fault.amount)
            await sleep(fault.seconds)
            injector.link(pair).delay(0.0)
        elif kind == "cut":
            injector.link(pair).cut()
        elif kind == "truncate":
            injector.link(pair).truncate(fault.amount)
        else:
            injector.link(pair).silence_open()

    async def _play_inner_fault(self, fault: PlannedFault, pair: NodePair) -> None:
        inner, node = self.inner, pair.node_process
        if fault.kind == "inner_cut_peers":
            inner.peers[node].cut()
        elif fault.kind == "inner_silence_peers":
            inner.peers[node].silence_open()
        elif fault.kind == "inner_cut_backend":
            inner.backends[node].cut()
        elif fault.kind == "inner_lose_datagrams":
            inner.datagrams[node].loses_all = True
            await sleep(fault.seconds)
            inner.datagrams[node].loses_all = False
        elif fault.kind == "inner_delay_backend":
            inner.backends[node].delay(fault.amount)
            await sleep(fault.seconds)
            inner.backends[node].delay(0.0)
        elif not inner.side:
            # One partition at a time; a node's failure domain is cut off from the others.
            domain = pair.failure_domain
            inner.begin_partition(
                [other for other in self.fleet.pairs if other.failure_domain == domain]
            )
            await sleep(fault.seconds)
            inner.end_partition()

    async def _play_platform_fault(self, fault: PlannedFault) -> None:
        injector = self.injector
        if fault.kind == "platform_down":
            await to_thread(injector.platform_down)
        elif fault.kind == "platform_slow":
            await to_thread(injector.platform_slow, float(fault.amount))
        elif fault.kind == "platform_loses_answers":
            await to_thread(injector.platform_loses_answers)
        else:
            await to_thread(injector.platform_restored)
            return
        await sleep(fault.seconds)
        await to_thread(injector.platform_healthy)

    async def _slow(self, pair: NodePair, factor: float) -> None:
        address = f"{LOOPBACK}:{pair.backend_port}"
        try:
            await self.transport.send("POST", address, "/slow", {}, str(factor).encode(), 2.0)
        except RoutingError:
            # The backend server is down, so its speed does not matter.
            pass

    async def _send_crashing_request(self, pair: NodePair, fault: PlannedFault) -> None:
        """Sends the same crashing request several times, to one entry node after another."""
        body = f"crash {self.seed} {fault.at}"
        self.crash_bodies[body] += 1
        pairs = self.fleet.pairs_of("stores")
        for number in range(CRASH_SENDS):
            entry = pairs[(fault.pair_index + number) % len(pairs)]
            address = f"{LOOPBACK}:{entry.call_port}"
            headers = {"Request-Id": body.replace(" ", "-"), "Deadline-Ms": "2000"}
            path = "/v1/services/stores/lookup"
            try:
                await self.transport.send("POST", address, path, headers, body.encode(), 3.0)
            except RoutingError:
                continue


def allowed_runs(shape: FleetShape) -> dict[str, int]:
    """Returns the maximum number of runs of one request by SERVICE/OPERATION.

    That is the number of first attempts in the call graph, the maximum over all kinds of the mix,
    plus the attempt budget.
    """
    calls = {}
    for service in shape.services:
        for operation in service.operations:
            calls[f"{service.name}/{operation.name}"] = operation.calls
    budget = int(number_or_default(shape.configuration().defaults, "attempt_budget"))
    allowed: dict[str, int] = {}
    for kind in MIX:
        first_attempts: Counter[str] = Counter()
        pending = [f"{kind.service}/{kind.operation}"]
        while pending:
            name = pending.pop()
            first_attempts[name] += 1
            pending.extend(calls[name])
        for name, count in first_attempts.items():
            allowed[name] = max(allowed.get(name, 0), count + budget)
    return allowed


async def count_node_violations(fleet: Fleet) -> int:
    """Returns the sum of the nodes' violation counters; a node that does not answer counts as 0."""
    total = 0
    for pair in fleet.pairs:
        channel = Channel(LOOPBACK, pair.peer_port)
        envelope = Envelope(
            cluster=fleet.cluster, protocol_version=PROTOCOL_VERSION, sender="experiment"
        )
        try:
            request = StatusRequest(envelope=envelope)
            reply = await OperatorStub(channel).Status(request, timeout=STATUS_TIMEOUT_SECONDS)
            total += reply.violations
        except (OSError, GRPCError, StreamTerminatedError, TimeoutError) as error:
            print(f"{pair.node_process} gives no status: {error!r}")
        finally:
            channel.close()
    return total


def check_results(fleet: Fleet, results: list[RequestResult], counted_by_nodes: int) -> SoakVerdict:
    """Checks the reported outcomes against the run log and collects the violations."""
    check = check_runs(results, fleet.run_log)
    allowed = allowed_runs(fleet.shape)
    runs: Counter[tuple[str, str]] = Counter()
    crashes: Counter[str] = Counter()
    for line in fleet.run_log.read_text(encoding="utf-8").splitlines():
        entry = loads(line)
        name = f"{entry['service']}/{entry['operation']}"
        if entry["request_id"].startswith("crash"):
            crashes[f"{entry['request_id']} {entry['service']}"] += 1
            continue
        runs[(entry["request_id"], name)] += 1
    over = [key for key, count in runs.items() if count > allowed.get(key[1], 0)]
    violations: Counter[str] = Counter()
    for log in sorted(fleet.directory.glob("*.log")):
        for line in log.read_text(encoding="utf-8", errors="replace").splitlines():
            if VIOLATION_EVENT in line:
                violations[f"{log.stem}: {line}"] += 1
    return SoakVerdict(
        run_twice=check.run_twice,
        run_though_refused=check.run_though_refused,
        wrong_answers=check.wrong_answers,
        over_the_bound=len(over),
        violations=violations,
        counted_by_nodes=counted_by_nodes,
        crashed_by_one_request=max(crashes.values(), default=0),
    )


async def soak_in(
    directory: Path, shape: FleetShape, seconds: float, seed: int
) -> tuple[SoakVerdict, list[RequestResult], list[str]]:
    """Runs a soak with its files in a directory; also returns the processes killed at the end."""
    fleet = Fleet.from_config(shape, directory)
    links = await start_links(fleet, free_ports(len(fleet.pairs), fleet.ports()))
    injector = FaultInjector(fleet, links)
    inner = InnerLinks(fleet, links)
    try:
        await inner.start()
        await to_thread(fleet.start)
        faults = plan_faults(seed, seconds, len(fleet.pairs))
        results = await Soak(fleet, injector, inner, seed).play(faults, seconds)
        counted = await count_node_violations(fleet)
    finally:
        killed = await to_thread(fleet.stop)
        await inner.stop()
        for link in links.values():
            await link.stop()
    return check_results(fleet, results, counted), results, killed


def soak(seconds: float = 60.0, seed: int = 1, keep: str = "") -> None:
    """Runs a soak and prints its schedule, outcomes and verdict.

    Args:
        seconds: Length of the load, the last quarter of it without new faults.
        seed: Seed of the faults and of the load.
        keep: Directory for settings, logs and the run log; a temporary one by default.
    """
    shape = wheel_works()
    pair_count = sum(service.backend_servers for service in shape.services)
    print(f"seed {seed}, {seconds} s, {2 * pair_count + 1} processes")
    for fault in plan_faults(seed, seconds, pair_count):
        print(f"  {fault.at:6.2f} s {fault.kind} place {fault.pair_index} for {fault.seconds} s")
    with TemporaryDirectory(prefix="coltsfoottrack-") as directory:
        verdict, results, killed = run(soak_in(Path(keep or directory), shape, seconds, seed))
    for row in outcome_rows(results):
        print(
            f"{row.phase:7} {row.priority:10} sent {row.sent} done {row.done} refused "
            f"{row.refused} failed {row.failed} unknown {row.unknown}"
        )
    calm = [result for result in results if result.phase == "calm"]
    good = sum(is_good(result) for result in calm)
    print(f"calm: {good} of {len(calm)} good; processes that had to be killed: {len(killed)}")
    print(
        f"run twice: {verdict.run_twice}, run though refused: {verdict.run_though_refused}, "
        f"wrong answers: {verdict.wrong_answers}, over the retry bound: {verdict.over_the_bound}, "
        f"violations logged: {verdict.violations.total()}, counted by nodes: "
        f"{verdict.counted_by_nodes}, most backend servers taken down by "
        f"one request: {verdict.crashed_by_one_request}"
    )
    for violation, count in verdict.violations.items():
        print(f"  {count} x {violation}")
    sys.exit(0 if verdict.passed else 1)


if __name__ == "__main__":
    Fire(soak)

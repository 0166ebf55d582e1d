"""Measures the latency that a node adds to a call, against direct calls in the same run."""

from asyncio import TaskGroup, run
from asyncio import sleep as pause
from collections.abc import Callable
from pathlib import Path
from queue import SimpleQueue
from tempfile import TemporaryDirectory
from threading import Thread
from time import perf_counter, sleep
from typing import NamedTuple

from coltsfoottrack._internal.experiment.exceptions import ExperimentError
from coltsfoottrack._internal.experiment.fleet import LOOPBACK, Fleet, FleetVariant
from coltsfoottrack._internal.experiment.process_usage import cpu_seconds, resident_bytes
from coltsfoottrack._internal.experiment.report import percentile
from coltsfoottrack._internal.experiment.shapes import FleetShape, OperationShape, ServiceShape
from coltsfoottrack._internal.experiment.stage_metrics import (
    StageCounts,
    print_stages,
    read_stages,
)
from coltsfoottrack._internal.observability.stages import Stage
from coltsfoottrack._internal.routing.http_connection import ConnectionPool, encode_request
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import PRIORITY_NORMAL

CALLS_PER_SECOND = 150
CLIENT_THREADS = 16
WARM_UP_SECONDS = 2.0
# 1,500 calls on each path, 15 of them beyond the 99th percentile.
ROUND_SECONDS = 10.0
ROUNDS = 4
BODY = b"x" * 200
OK_STATUS = 200
MEGABYTE = 1024 * 1024
CALL_SECONDS = 5.0


class Destination(NamedTuple):
    """The target of the calls of one path."""

    address: str
    path: str


class PathLatency(NamedTuple):
    """Latency of one path in one round, in ms."""

    path: str
    calls: int
    p50_ms: float
    p99_ms: float


class AddedCost(NamedTuple):
    """Latency that a node added in one round or overall, in ms."""

    p50_ms: float
    p99_ms: float


class TreeCost(NamedTuple):
    """Cost of the node of one source tree over all rounds of a measurement."""

    tree: str
    rounds: list[AddedCost]
    overall: AddedCost
    # CPU time of the node per call, idle use included.
    cpu_ms: float
    resident_mb: float
    # Stage metrics of the node at the start of the first round and at the end of the last.
    stages_before: dict[Stage, StageCounts]
    stages_after: dict[Stage, StageCounts]


class PathMeasurement(NamedTuple):
    """All rounds of a measurement; the last entry is that of all calls together."""

    latencies: list[list[PathLatency]]
    trees: list[TreeCost]


def single_service() -> FleetShape:
    """Returns a shape with one service on one backend server that answers without delay."""
    lookup = OperationShape("lookup", PRIORITY_NORMAL, True)
    order = OperationShape("order", PRIORITY_NORMAL, False)
    service = ServiceShape("stores", 1, 80, 0, (lookup, order))
    return FleetShape("single", ("east",), (service,), 1)


def open_loop(
    call: Callable[[], object], seconds: float, calls_per_second: int = CALLS_PER_SECOND
) -> list[float]:
    """Makes calls on schedule from 16 threads; returns the latency of each, in ms."""
    latencies: list[float] = []
    due_times: SimpleQueue[float | None] = SimpleQueue()

    def work() -> None:
        while (due := due_times.get()) is not None:
            call()
            latencies.append((perf_counter() - due) * 1000.0)

    threads = [Thread(target=work) for _ in range(CLIENT_THREADS)]
    for thread in threads:
        thread.start()
    start = perf_counter()
    for index in range(int(calls_per_second * seconds)):
        delay = start + index / calls_per_second - perf_counter()
        if delay > 0:
            sleep(delay)
        due_times.put(perf_counter())
    for _ in threads:
        due_times.put(None)
    for thread in threads:
        thread.join()
    return latencies


def measure_path(rounds: int = ROUNDS, earlier: Path | None = None) -> PathMeasurement:
    """Measures direct calls and calls through a node, in turn, in the same run.

    ``earlier`` is the source tree of another commit, which is measured in the same run: results
    of separate runs differ more by the other load on the machine than by most changes.
    """
    sources: dict[str, Path | None] = {"this": None}
    if earlier is not None:
        sources["earlier"] = earlier
    with TemporaryDirectory(prefix="coltsfoottrack-") as directory:
        fleets = {}
        for tree, source in sources.items():
            variant = FleetVariant(source=source)
            fleets[tree] = Fleet.from_config(single_service(), Path(directory) / tree, variant)
        try:
            for fleet in fleets.values():
                fleet.start()
            return run(_measure(fleets, rounds))
        finally:
            for fleet in fleets.values():
                fleet.stop()


async def _measure(fleets: dict[str, Fleet], rounds: int) -> PathMeasurement:
    paths = {}
    for tree, fleet in fleets.items():
        pair = fleet.pairs[0]
        paths[f"direct {tree}"] = Destination(f"{LOOPBACK}:{pair.backend_port}", "/lookup")
        node = Destination(f"{LOOPBACK}:{pair.call_port}", "/v1/services/stores/lookup")
        paths[f"node {tree}"] = node
    await interleaved(paths, WARM_UP_SECONDS)
    stages = {tree: read_stages(fleet, fleet.pairs[0]) for tree, fleet in fleets.items()}
    cpu = {tree: cpu_seconds(_node_pid(fleet)) for tree, fleet in fleets.items()}
    of_rounds = []
    pooled: dict[str, list[float]] = {name: [] for name in paths}
    for _ in range(rounds):
        latencies = await interleaved(paths, ROUND_SECONDS)
        of_rounds.append({name: _latency(name, found) for name, found in latencies.items()})
        for name, found in latencies.items():
            pooled[name].extend(found)
    overall = {name: _latency(name, found) for name, found in pooled.items()}
    trees = []
    for tree, fleet in fleets.items():
        used_seconds = cpu_seconds(_node_pid(fleet)) - cpu[tree]
        trees.append(
            TreeCost(
                tree=tree,
                rounds=[_added(by_path, tree) for by_path in of_rounds],
                overall=_added(overall, tree),
                cpu_ms=1000.0 * used_seconds / len(pooled[f"node {tree}"]),
                resident_mb=resident_bytes(_node_pid(fleet)) / MEGABYTE,
                stages_before=stages[tree],
                stages_after=read_stages(fleet, fleet.pairs[0]),
            )
        )
    by_round = [list(of_round.values()) for of_round in (*of_rounds, overall)]
    return PathMeasurement(by_round, trees)


def _node_pid(fleet: Fleet) -> int:
    return fleet.processes[fleet.pairs[0].node_process].pid


async def interleaved(
    paths: dict[str, Destination], seconds: float, calls_per_second: int = CALLS_PER_SECOND
) -> dict[str, list[float]]:
    """Makes calls on schedule, the paths in turn; returns the latencies of each path, in ms.

    Each path gets the given rate. Interleaving exposes all paths to the same other load on
    the machine, which measuring one path after the other did not. Raises ExperimentError if a call
    fails.
    """
    pool = ConnectionPool()
    latencies: dict[str, list[float]] = {name: [] for name in paths}
    spacing_seconds = 1.0 / (calls_per_second * len(paths))
    start = perf_counter()
    try:
        async with TaskGroup() as calls:
            for index in range(int(calls_per_second * seconds)):
                for offset, (name, destination) in enumerate(paths.items()):
                    due = start + (index * len(paths) + offset) * spacing_seconds
                    await pause(max(0.0, due - perf_counter()))
                    calls.create_task(_call(pool, destination, latencies[name]))
    finally:
        pool.close()
    return latencies


async def _call(pool: ConnectionPool, destination: Destination, latencies: list[float]) -> None:
    started = perf_counter()
    request = encode_request("POST", destination.address, destination.path, {}, BODY)
    reply = await pool.exchange(destination.address, request, True, CALL_SECONDS)
    latencies.append((perf_counter() - started) * 1000.0)
    if reply.status != OK_STATUS:
        raise ExperimentError(f"{destination.address} answered {reply.status}")


def _latency(path: str, latencies: list[float]) -> PathLatency:
    return PathLatency(
        path, len(latencies), percentile(latencies, 0.5), percentile(latencies, 0.99)
    )


def _added(latencies: dict[str, PathLatency], tree: str) -> AddedCost:
    node, direct = latencies[f"node {tree}"], latencies[f"direct {tree}"]
    return AddedCost(node.p50_ms - direct.p50_ms, node.p99_ms - direct.p99_ms)


def print_path_cost(rounds: int, earlier: str = "") -> None:
    """Prints the latencies of every round and the spread of what the node added."""
    cost = measure_path(rounds, Path(earlier) if earlier else None)
    print(f"{CALLS_PER_SECOND} calls/s on each path, in turn, ms; the last lines are all rounds")
    for of_round in cost.latencies:
        for row in of_round:
            print(
                f"{row.path:15} {row.calls:6} calls  p50 {row.p50_ms:6.2f}  "
                f"p99 {row.p99_ms:6.2f}"
            )
    for tree in cost.trees:
        print(f"node of {tree.tree} source tree")
        medians = [added.p50_ms for added in tree.rounds]
        tails = [added.p99_ms for added in tree.rounds]
        overall = tree.overall
        print(f"added at p50: {overall.p50_ms:.2f} ({min(medians):.2f} to {max(medians):.2f})")
        print(f"added at p99: {overall.p99_ms:.2f} ({min(tails):.2f} to {max(tails):.2f})")
        print(f"processor time: {tree.cpu_ms:.3f} ms per call, idle use included")
        print(f"memory at the end: {tree.resident_mb:.1f} MB resident")
        print_stages(tree.stages_before, tree.stages_after)

"""Cost that the node adds to a call, against a direct call in the same run."""

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
from coltsfoottrack._internal.experiment.report import percentile
from coltsfoottrack._internal.experiment.shapes import FleetShape, OperationShape, ServiceShape
from coltsfoottrack._internal.experiment.stage_figures import (
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
CALL_SECONDS = 5.0


class Destination(NamedTuple):
    """Where the calls of one path go."""

    address: str
    path: str


class PathFigures(NamedTuple):
    """Latency of one path in one round, in ms."""

    path: str
    calls: int
    p50_ms: float
    p99_ms: float


class AddedCost(NamedTuple):
    """What the node added in one round, in ms."""

    p50_ms: float
    p99_ms: float


class PathCost(NamedTuple):
    """All rounds of a measurement."""

    figures: list[PathFigures]
    added: list[AddedCost]
    # Over the calls of all rounds together.
    overall: list[PathFigures]
    added_overall: AddedCost
    # What the node had counted at the start of the first round and at the end of the last.
    stages_before: dict[Stage, StageCounts]
    stages_after: dict[Stage, StageCounts]


def single_service() -> FleetShape:
    """One service with one backend server that answers at once."""
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


def measure_path(rounds: int = ROUNDS, source: Path | None = None) -> PathCost:
    """Measures direct calls and calls through a node, one after the other in the same run.

    ``source`` is the source tree that the fleet runs, None for this one.
    """
    with TemporaryDirectory(prefix="coltsfoottrack-") as directory:
        variant = FleetVariant(source=source)
        fleet = Fleet.from_config(single_service(), Path(directory), variant)
        try:
            fleet.start()
            return run(_measure(fleet, rounds))
        finally:
            fleet.stop()


async def _measure(fleet: Fleet, rounds: int) -> PathCost:
    place = fleet.places[0]
    paths = {
        "direct": Destination(f"{LOOPBACK}:{place.backend_port}", "/lookup"),
        "node": Destination(f"{LOOPBACK}:{place.call_port}", "/v1/services/stores/lookup"),
    }
    await interleaved(paths, WARM_UP_SECONDS)
    stages_before = read_stages(fleet, place)
    figures: list[PathFigures] = []
    added: list[AddedCost] = []
    pooled: dict[str, list[float]] = {name: [] for name in paths}
    for _ in range(rounds):
        latencies = await interleaved(paths, ROUND_SECONDS)
        of_round = {}
        for name, found in latencies.items():
            of_round[name] = _figures(name, found)
            pooled[name].extend(found)
        figures.extend(of_round.values())
        added.append(_added(of_round))
    overall = {name: _figures(name, found) for name, found in pooled.items()}
    return PathCost(
        figures,
        added,
        list(overall.values()),
        _added(overall),
        stages_before,
        read_stages(fleet, place),
    )


async def interleaved(
    paths: dict[str, Destination], seconds: float, calls_per_second: int = CALLS_PER_SECOND
) -> dict[str, list[float]]:
    """Makes calls on schedule, the paths in turn; returns the latencies of each path, in ms.

    Each path gets the given rate. Whatever else the machine does meets all paths alike, which
    blocks of one path after the other did not ensure. Raises ExperimentError if a call fails.
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


def _figures(path: str, latencies: list[float]) -> PathFigures:
    return PathFigures(
        path, len(latencies), percentile(latencies, 0.5), percentile(latencies, 0.99)
    )


def _added(figures: dict[str, PathFigures]) -> AddedCost:
    node, direct = figures["node"], figures["direct"]
    return AddedCost(node.p50_ms - direct.p50_ms, node.p99_ms - direct.p99_ms)


def print_path_cost(rounds: int, source: str = "") -> None:
    """Prints the figures of every round and the spread of what the node added."""
    cost = measure_path(rounds, Path(source) if source else None)
    print(f"{CALLS_PER_SECOND} calls/s on each path, in turn, ms")
    for figures in cost.figures:
        _print_figures(figures)
    print("all rounds")
    for figures in cost.overall:
        _print_figures(figures)
    medians = [added.p50_ms for added in cost.added]
    tails = [added.p99_ms for added in cost.added]
    print(
        f"added at p50: {cost.added_overall.p50_ms:.2f} ({min(medians):.2f} to {max(medians):.2f})"
    )
    print(f"added at p99: {cost.added_overall.p99_ms:.2f} ({min(tails):.2f} to {max(tails):.2f})")

    print_stages(cost.stages_before, cost.stages_after)


def _print_figures(figures: PathFigures) -> None:
    print(
        f"{figures.path:8} {figures.calls:6} calls  p50 {figures.p50_ms:6.2f}  "
        f"p99 {figures.p99_ms:6.2f}"
    )

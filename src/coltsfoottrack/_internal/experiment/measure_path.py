"""Cost that the node adds to a call, against a direct call in the same run."""

from collections.abc import Callable
from pathlib import Path
from queue import SimpleQueue
from tempfile import TemporaryDirectory
from threading import Thread
from time import perf_counter, sleep
from typing import NamedTuple

from urllib3 import HTTPConnectionPool

from coltsfoottrack._internal.experiment.fleet import LOOPBACK, Fleet
from coltsfoottrack._internal.experiment.report import percentile
from coltsfoottrack._internal.experiment.shapes import FleetShape, OperationShape, ServiceShape
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import PRIORITY_NORMAL

CALLS_PER_SECOND = 150
CLIENT_THREADS = 16
BLOCK_SECONDS = 5.0
ROUNDS = 4
BODY = b"x" * 200


class PathFigures(NamedTuple):
    """Latency of one path in one round, in ms."""

    path: str
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


def measure_path(rounds: int = ROUNDS) -> PathCost:
    """Measures direct calls and calls through a node in alternating blocks."""
    with TemporaryDirectory(prefix="coltsfoottrack-") as directory:
        fleet = Fleet.from_config(single_service(), Path(directory))
        try:
            fleet.start()
            return _measure(fleet, rounds)
        finally:
            fleet.stop()


def _measure(fleet: Fleet, rounds: int) -> PathCost:
    place = fleet.places[0]
    direct = HTTPConnectionPool(LOOPBACK, place.backend_port, maxsize=CLIENT_THREADS)
    through = HTTPConnectionPool(LOOPBACK, place.call_port, maxsize=CLIENT_THREADS)
    # Alternating blocks, so that other work on the machine meets both paths.
    calls = {
        "direct": lambda: direct.request("POST", "/lookup", body=BODY),
        "node": lambda: through.request("POST", "/v1/services/stores/lookup", body=BODY),
    }
    for call in calls.values():
        open_loop(call, 1.0)
    figures = []
    added = []
    for _ in range(rounds):
        of_round = {}
        for path, call in calls.items():
            latencies = open_loop(call, BLOCK_SECONDS)
            of_round[path] = PathFigures(
                path, percentile(latencies, 0.5), percentile(latencies, 0.99)
            )
        figures.extend(of_round.values())
        node, plain = of_round["node"], of_round["direct"]
        added.append(AddedCost(node.p50_ms - plain.p50_ms, node.p99_ms - plain.p99_ms))
    return PathCost(figures, added)


def print_path_cost(rounds: int) -> None:
    """Prints the figures of every round and the spread of what the node added."""
    cost = measure_path(rounds)
    print(f"{CALLS_PER_SECOND} calls/s, {CLIENT_THREADS} client threads, ms")
    for figures in cost.figures:
        print(f"{figures.path:8} p50 {figures.p50_ms:6.2f}  p99 {figures.p99_ms:6.2f}")
    medians = [added.p50_ms for added in cost.added]
    tails = [added.p99_ms for added in cost.added]
    print(f"added at p50: {min(medians):.2f} to {max(medians):.2f}")
    print(f"added at p99: {min(tails):.2f} to {max(tails):.2f}")

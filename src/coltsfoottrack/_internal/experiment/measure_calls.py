"""Measures CPU time and memory of a node per call and per idempotency key, with linear fits."""

from pathlib import Path
from statistics import linear_regression
from tempfile import TemporaryDirectory
from time import sleep
from typing import NamedTuple

from urllib3 import HTTPConnectionPool

from coltsfoottrack._internal.calls.budget import RETENTION_SECONDS
from coltsfoottrack._internal.calls.context import IDEMPOTENCY_KEY
from coltsfoottrack._internal.experiment.fleet import LOOPBACK, Fleet, FleetVariant
from coltsfoottrack._internal.experiment.measure_path import (
    BODY,
    CLIENT_THREADS,
    open_loop,
    single_service,
)
from coltsfoottrack._internal.experiment.process_usage import cpu_seconds, resident_bytes

RATES = (40, 80, 160, 240)
BLOCK_SECONDS = 6.0
STEADY_KEYS = 4000
KEY_STEPS = (500, 1000, 2000, 4000)
MEGABYTE = 1024 * 1024


class RateCost(NamedTuple):
    """Cost of a node at one rate of calls."""

    calls_per_second: int
    cpu_percent: float
    resident_mb: float


class KeyMemory(NamedTuple):
    """Memory of a node after a number of finished idempotency keys."""

    keys: int
    resident_mb: float


class Fit(NamedTuple):
    """A straight line through measured points, and its largest error at one of them."""

    slope: float
    intercept: float
    largest_error: float


def fit(points: list[tuple[float, float]]) -> Fit:
    """Returns the least squares line through the points."""
    line = linear_regression([x for x, _ in points], [y for _, y in points])
    errors = [abs(y - line.slope * x - line.intercept) for x, y in points]
    return Fit(line.slope, line.intercept, max(errors))


def print_call_costs(source: str = "") -> None:
    """Measures one node with one backend server and prints the slopes.

    ``source`` is the source tree that the fleet runs, this one if empty.
    """
    variant = FleetVariant(source=Path(source) if source else None)
    with TemporaryDirectory(prefix="coltsfoottrack-") as directory:
        fleet = Fleet.from_config(single_service(), Path(directory), variant)
        try:
            fleet.start()
            _print_rates(fleet)
            _print_keys(fleet)
        finally:
            fleet.stop()


def _print_rates(fleet: Fleet) -> None:
    pair = fleet.pairs[0]
    pid = fleet.processes[pair.node_process].pid
    before = cpu_seconds(pid)
    sleep(BLOCK_SECONDS)
    idle_percent = 100.0 * (cpu_seconds(pid) - before) / BLOCK_SECONDS
    print(f"idle: {idle_percent:.2f}% of a core, {resident_bytes(pid) / MEGABYTE:.1f} MB resident")
    pool = HTTPConnectionPool(LOOPBACK, pair.call_port, maxsize=CLIENT_THREADS)
    found = []
    for rate in RATES:
        before = cpu_seconds(pid)
        open_loop(
            lambda: pool.request("POST", "/v1/services/stores/lookup", body=BODY),
            BLOCK_SECONDS,
            rate,
        )
        percent = 100.0 * (cpu_seconds(pid) - before) / BLOCK_SECONDS
        cost = RateCost(rate, percent, resident_bytes(pid) / MEGABYTE)
        found.append(cost)
        print(f"{rate:5} calls/s: {percent:6.2f}% of a core, {cost.resident_mb:6.1f} MB")
    line = fit([(cost.calls_per_second, cost.cpu_percent) for cost in found])
    print(
        f"processor time: {line.slope * 10:.3f} ms per call, intercept {line.intercept:.2f}%, "
        f"largest error {line.largest_error:.2f}%"
    )


def _print_keys(fleet: Fleet) -> None:
    pair = fleet.pairs[0]
    pid = fleet.processes[pair.node_process].pid
    pool = HTTPConnectionPool(LOOPBACK, pair.call_port, maxsize=CLIENT_THREADS)
    found = [KeyMemory(0, resident_bytes(pid) / MEGABYTE)]
    total = 0
    for step in KEY_STEPS:
        _use_keys(pool, step - total)
        total = step
        found.append(KeyMemory(total, resident_bytes(pid) / MEGABYTE))
        print(f"{total:5} finished keys: {found[-1].resident_mb:6.1f} MB resident")
    line = fit([(cost.keys, cost.resident_mb) for cost in found])
    print(
        f"memory: {line.slope * MEGABYTE:.0f} bytes per finished key with an answer of "
        f"{len(BODY) + 32} bytes, largest error {line.largest_error:.2f} MB"
    )


def print_steady_keys() -> None:
    """Prints the memory of finished keys separately from that of recent requests.

    A node also retains each request for RETENTION_SECONDS. The second block of keys reuses that
    memory, so its growth is that of the key records alone.
    """
    with TemporaryDirectory(prefix="coltsfoottrack-") as directory:
        fleet = Fleet.from_config(single_service(), Path(directory))
        try:
            fleet.start()
            pair = fleet.pairs[0]
            pid = fleet.processes[pair.node_process].pid
            pool = HTTPConnectionPool(LOOPBACK, pair.call_port, maxsize=CLIENT_THREADS)
            resident = [resident_bytes(pid)]
            for pause in (0.0, RETENTION_SECONDS + 2.0):
                sleep(pause)
                _use_keys(pool, STEADY_KEYS)
                resident.append(resident_bytes(pid))
        finally:
            fleet.stop()
    for name, before, after in zip(
        ("records of keys and recent requests", "records of keys"),
        resident,
        resident[1:],
        strict=False,
    ):
        print(f"{name}: {(after - before) / STEADY_KEYS:.0f} bytes per finished key")


def _use_keys(pool: HTTPConnectionPool, count: int) -> None:
    """Runs one non-idempotent request under each of a number of new keys."""
    while count > 0:
        batch = min(count, 500)
        reply = pool.request("POST", f"/v1/services/stores/keys?count={batch}")
        for key in reply.data.decode("ascii").split():
            headers = {IDEMPOTENCY_KEY: key}
            pool.request("POST", "/v1/services/stores/order", body=BODY, headers=headers)
        count -= batch

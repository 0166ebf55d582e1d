"""Measures the platform calls of a fleet whose nodes all start at once on an empty platform.

Large fleets run the real registration of every node in this process with simulated time; small
fleets run real node processes against the platform stand-in.
"""

from asyncio import AbstractEventLoop, gather, get_running_loop, sleep
from collections import Counter
from collections.abc import Callable
from json import loads
from pathlib import Path
from random import Random
from statistics import linear_regression
from tempfile import TemporaryDirectory
from time import monotonic
from time import sleep as pause
from typing import NamedTuple

from coltsfoottrack._internal.configuration.codec import CURRENT_PATH
from coltsfoottrack._internal.experiment.exceptions import ExperimentError
from coltsfoottrack._internal.experiment.fleet import Fleet, FleetVariant
from coltsfoottrack._internal.experiment.shapes import FleetShape, OperationShape, ServiceShape
from coltsfoottrack._internal.experiment.simulated_fleet import simulated_member
from coltsfoottrack._internal.experiment.virtual_time import VirtualLoop
from coltsfoottrack._internal.membership.cluster import JOIN_PEERS
from coltsfoottrack._internal.membership.local import LocalMember
from coltsfoottrack._internal.membership.registration import Registration
from coltsfoottrack._internal.object_store.client import ObjectList, StoredObject
from coltsfoottrack._internal.object_store.exceptions import (
    ObjectNotFoundError,
    VersionConflictError,
)
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import PRIORITY_NORMAL

SEED = 20261204
SAMPLE_SECONDS = 0.25
LIMIT_SECONDS = 60.0


class StartCost(NamedTuple):
    """Platform calls of a fleet start; ``seconds`` until all nodes were registered."""

    nodes: int
    writes_in_busiest_second: int
    reads_in_busiest_second: int
    seconds: float
    refused: int


class CountingPlatform:
    """An in-memory platform that counts the calls in each second of simulated time."""

    def __init__(self, loop: AbstractEventLoop) -> None:
        self.loop = loop
        self.began = loop.time()
        self.objects: dict[str, StoredObject] = {}
        self.revision = 0
        self.reads: Counter[int] = Counter()
        self.writes: Counter[int] = Counter()

    def _second(self) -> int:
        return int(self.loop.time() - self.began)

    def get(self, path: str) -> StoredObject:
        """Returns an object. Raises ObjectNotFoundError."""
        self.reads[self._second()] += 1
        if path not in self.objects:
            raise ObjectNotFoundError(path)
        return self.objects[path]

    def list(self, prefix: str) -> ObjectList:
        """Returns the objects under a prefix."""
        self.reads[self._second()] += 1
        found = [stored for path, stored in self.objects.items() if path.startswith(prefix)]
        return ObjectList(found, self.revision)

    def put(self, path: str, content: bytes, version: int) -> int:
        """Stores an object. Raises VersionConflictError."""
        self.writes[self._second()] += 1
        known = self.objects.get(path)
        if version != (known.version if known else 0):
            raise VersionConflictError(path)
        self.revision += 1
        self.objects[path] = StoredObject(path, self.revision, content)
        return self.revision


def simulate_start(nodes: int, seed: int = SEED) -> StartCost:
    """Counts the platform calls of simulated nodes that all start at the same time."""
    loop = VirtualLoop()
    try:
        platform = CountingPlatform(loop)
        loop.run_until_complete(_start_all(platform, nodes, seed))
        return StartCost(
            nodes=nodes,
            writes_in_busiest_second=max(platform.writes.values()),
            reads_in_busiest_second=max(platform.reads.values()),
            seconds=loop.time() - platform.began,
            refused=0,
        )
    finally:
        loop.close()


async def _call(function: Callable[..., object], *arguments: object) -> object:
    return function(*arguments)


async def _start_all(platform: CountingPlatform, nodes: int, seed: int) -> None:
    async def start(index: int) -> None:
        random = Random(f"{seed}/{index}")
        local = LocalMember(simulated_member(index))
        registration = Registration(platform, local, random, _call)
        # Each node reads the configuration as soon as it starts.
        platform.list(CURRENT_PATH)
        await registration.wait_to_read()
        listed = await registration.list_members()
        plan = await registration.plan(len(listed))
        await sleep(plan.wait_seconds)
        await registration.register(plan.nodes)
        if len(listed) < JOIN_PEERS:
            await registration.list_members()
        # A node that watches the configuration first lists and reads it.
        platform.list(CURRENT_PATH)
        platform.list(CURRENT_PATH)

    await gather(*(get_running_loop().create_task(start(index)) for index in range(nodes)))


def measure_start(nodes: int, variant: FleetVariant | None = None) -> StartCost:
    """Counts the platform calls of real node processes, without backend servers."""
    operation = OperationShape("read", PRIORITY_NORMAL, True)
    service = ServiceShape("store", nodes, 1, 1, (operation,))
    shape = FleetShape("start", tuple(f"domain-{n}" for n in range(6)), (service,), 1)
    with TemporaryDirectory(prefix="coltsfoottrack-") as directory:
        fleet = Fleet.from_config(shape, Path(directory), variant)
        try:
            fleet.start_platform()
            fleet.write_configuration()
            began = monotonic()
            for pair in fleet.pairs:
                fleet.start_node(pair)
            return _sample(fleet, nodes, began)
        finally:
            fleet.stop()


def _sample(fleet: Fleet, nodes: int, began: float) -> StartCost:
    samples = [(0, 0)]
    wanted = nodes + 1
    finished = 0.0
    while True:
        counts = loads(fleet.http.request("GET", f"http://{fleet.platform_address}/counts").data)
        samples.append((counts["reads"], counts["writes"]))
        if counts["writes"] >= wanted and not finished:
            finished = monotonic() - began
        if finished and monotonic() - began > finished + 2.0:
            break
        if monotonic() - began > LIMIT_SECONDS:
            raise ExperimentError(f"{nodes} nodes were not registered after {LIMIT_SECONDS} s")
        pause(SAMPLE_SECONDS)
    per_second = round(1.0 / SAMPLE_SECONDS)
    pairs = list(zip(samples, samples[per_second:], strict=False))
    return StartCost(
        nodes=nodes,
        writes_in_busiest_second=max(late[1] - early[1] for early, late in pairs),
        reads_in_busiest_second=max(late[0] - early[0] for early, late in pairs),
        seconds=finished,
        refused=counts["refused"],
    )


def print_starts(simulated: list[int], processes: list[int], source: str) -> None:
    """Prints the busiest second of each start, and its slope over the number of processes."""
    variant = FleetVariant("other", Path(source)) if source else None
    print(f"{'nodes':>6} {'how':10}{'writes/s':>9}{'reads/s':>9}{'registered s':>14}{'429':>5}")
    for size in simulated:
        _print_row("simulated", simulate_start(size))
    rows = []
    for size in processes:
        row = measure_start(size, variant)
        rows.append(row)
        _print_row("processes", row)
    if len(rows) > 1:
        writes = linear_regression(processes, [row.writes_in_busiest_second for row in rows])
        reads = linear_regression(processes, [row.reads_in_busiest_second for row in rows])
        print(f"busiest second per node: {writes.slope:+.3f} writes, {reads.slope:+.3f} reads")


def _print_row(how: str, row: StartCost) -> None:
    print(
        f"{row.nodes:6} {how:10}{row.writes_in_busiest_second:9}{row.reads_in_busiest_second:9}"
        f"{row.seconds:14.1f}{row.refused:5}",
        flush=True,
    )

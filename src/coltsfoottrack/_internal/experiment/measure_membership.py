"""Measures what membership and configuration cost a node at several fleet sizes.

The simulated part runs the real detector of every node in one process with simulated time: bytes,
messages, CPU of the detector without sockets, and how fast changes spread. The part with processes
runs real nodes without backend servers: CPU and memory of the whole process, platform calls, and
the time until a change is in force at every node.
"""

from asyncio import gather, run, sleep
from json import loads
from math import log10
from os import getpid
from pathlib import Path
from statistics import linear_regression
from tempfile import TemporaryDirectory
from time import monotonic
from typing import NamedTuple

from structlog import configure
from structlog.processors import JSONRenderer
from structlog.testing import LogCapture

from coltsfoottrack._internal.configuration.codec import encode_record
from coltsfoottrack._internal.configuration.distribution import WATCH_TIMEOUT_SECONDS
from coltsfoottrack._internal.configuration.exceptions import PeerUnavailableError
from coltsfoottrack._internal.configuration.peers import operator_store
from coltsfoottrack._internal.experiment.exceptions import ExperimentError
from coltsfoottrack._internal.experiment.fleet import Fleet
from coltsfoottrack._internal.experiment.process_usage import cpu_seconds, resident_bytes
from coltsfoottrack._internal.experiment.shapes import FleetShape, OperationShape, ServiceShape
from coltsfoottrack._internal.experiment.simulated_fleet import SimulatedFleet, simulated_member
from coltsfoottrack._internal.membership.sync import BUCKETS
from coltsfoottrack._internal.membership.table import MembershipTable
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import (
    MEMBER_STATUS_DEAD,
    MEMBER_STATUS_LEAVING,
    PRIORITY_NORMAL,
    ConfigurationRecord,
    Member,
)

SEED = 20261204
# IPv4 and UDP headers.
HEADER_BYTES = 28
IDLE_SECONDS = 20.0
SYNC_SECONDS = 60.0
SPREAD_LIMIT_SECONDS = 30.0
READY_LIMIT_SECONDS = 60.0
CHANGES_PER_DAY = 1200
FIRST_HOLDERS = 4
DAY_SECONDS = 86_400.0


class SimulatedCost(NamedTuple):
    """Cost and speed at one size of the fleet, with simulated time."""

    nodes: int
    messages_per_second: float
    bytes_per_second: float
    cpu_percent: float
    leaving_seconds: float
    dead_seconds: float
    in_force_seconds: float


class ProcessCost(NamedTuple):
    """Cost and speed with real node processes."""

    nodes: int
    cpu_percent: float
    resident_mb: float
    in_force_seconds: float
    platform_reads_per_second: float
    platform_writes: int


def simulate(size: int) -> SimulatedCost:
    """Measures a fleet of the given size in this process."""
    fleet = SimulatedFleet(size, SEED)
    fleet.run(2.0)
    sent, content, cpu = fleet.total("sent"), fleet.total("sent_bytes"), fleet.cpu_seconds
    fleet.run(IDLE_SECONDS)
    messages = (fleet.total("sent") - sent) / size / IDLE_SECONDS
    volume = (fleet.total("sent_bytes") - content) / size / IDLE_SECONDS
    cpu = (fleet.cpu_seconds - cpu) / size / IDLE_SECONDS
    # Digests sent and received, once as client and once as server in each interval.
    volume += messages * HEADER_BYTES + 2 * 8 * BUCKETS / SYNC_SECONDS
    nodes = list(fleet.nodes.values())
    leaver, victim = nodes[0], nodes[1]
    leaver.local.mark_leaving()
    leaver.detector.publish_own_entry(leaver.local.member)
    leaver.detector.gossip_now()
    leaving = _until_known(fleet, leaver.name, MEMBER_STATUS_LEAVING)
    del fleet.nodes[victim.address]
    dead = _until_known(fleet, victim.name, MEMBER_STATUS_DEAD)
    record = ConfigurationRecord(generation=1, change_id="measured")
    began = fleet.now
    for node in nodes[2 : 2 + FIRST_HOLDERS]:
        node.holder.offer(record, "command")
        node.detector.gossip_now()
    while any(node.holder.generation < 1 for node in fleet.nodes.values()):
        fleet.step()
        if fleet.now - began > SPREAD_LIMIT_SECONDS:
            raise ExperimentError(f"configuration not in force after {SPREAD_LIMIT_SECONDS} s")
    in_force = fleet.now - began
    return SimulatedCost(size, messages, volume, 100 * cpu, leaving, dead, in_force)


def _until_known(fleet: SimulatedFleet, name: str, status: int) -> float:
    began = fleet.now
    while any(node.table.members[name].status != status for node in fleet.nodes.values()):
        fleet.step()
        if fleet.now - began > SPREAD_LIMIT_SECONDS:
            raise ExperimentError(f"change of {name} not known after {SPREAD_LIMIT_SECONDS} s")
    return fleet.now - began


def bytes_per_member(size: int = 1000, tables: int = 50) -> float:
    """Returns the resident memory of one member in a membership table, in bytes.

    Protobuf messages allocate outside of the Python heap, so the process is measured.
    """
    entries = [simulated_member(index).SerializeToString() for index in range(size)]
    kept = []
    before = resident_bytes(getpid())
    for _ in range(tables):
        table = MembershipTable()
        for entry in entries:
            table.merge(Member.FromString(entry))
        kept.append(table)
    return (resident_bytes(getpid()) - before) / size / len(kept)


def measure_processes(size: int, seconds: float = 2 * WATCH_TIMEOUT_SECONDS) -> ProcessCost:
    """Measures real node processes without backend servers."""
    operation = OperationShape("read", PRIORITY_NORMAL, True)
    service = ServiceShape("store", size, 1, 1, (operation,))
    shape = FleetShape("measure", tuple(f"domain-{n}" for n in range(6)), (service,), 1)
    with TemporaryDirectory(prefix="coltsfoottrack-") as directory:
        fleet = Fleet.from_config(shape, Path(directory))
        try:
            fleet.directory.mkdir(exist_ok=True)
            fleet.start_platform()
            fleet.write_configuration()
            for pair in fleet.pairs:
                fleet.start_node(pair)
            return run(_measure_running(fleet, size, seconds))
        finally:
            fleet.stop()


async def _measure_running(fleet: Fleet, size: int, seconds: float) -> ProcessCost:
    store = operator_store([fleet.platform_address], fleet.cluster)
    addresses = [pair.peer_address for pair in fleet.pairs]
    expiry = monotonic() + READY_LIMIT_SECONDS

    async def generations() -> set[int]:
        try:
            records = await gather(*(store.peers.fetch(address) for address in addresses))
        except PeerUnavailableError:
            return {0}
        return {record.generation for record in records}

    while await generations() != {1} or len(await store.members()) < size:
        if monotonic() > expiry:
            raise ExperimentError(f"{size} nodes were not ready after {READY_LIMIT_SECONDS} s")
        await sleep(0.2)
    # Before the nodes know each other, each of them watches the platform for one period.
    await sleep(WATCH_TIMEOUT_SECONDS + 2.0)
    nodes = [fleet.processes[pair.node_process].pid for pair in fleet.pairs]
    used = sum(cpu_seconds(pid) for pid in nodes)
    counts = _platform_counts(fleet)
    await sleep(seconds)
    cpu = sum(cpu_seconds(pid) for pid in nodes) - used
    after = _platform_counts(fleet)
    resident = sum(resident_bytes(pid) for pid in nodes) / size / 1e6
    base = await store.read()
    configuration = base.record.configuration
    configuration.defaults.attempt_budget = 2
    began = monotonic()
    await store.set(configuration, "measure", base)
    while await generations() != {2}:
        if monotonic() - began > SPREAD_LIMIT_SECONDS:
            raise ExperimentError(f"configuration not in force after {SPREAD_LIMIT_SECONDS} s")
        await sleep(0.01)
    in_force = monotonic() - began
    store.peers.close()
    return ProcessCost(
        nodes=size,
        cpu_percent=100 * cpu / size / seconds,
        resident_mb=resident,
        in_force_seconds=in_force,
        platform_reads_per_second=(after["reads"] - counts["reads"]) / seconds,
        platform_writes=after["writes"],
    )


def _platform_counts(fleet: Fleet) -> dict[str, int]:
    reply = fleet.http.request("GET", f"http://{fleet.platform_address}/counts")
    return loads(reply.data)


def configuration_bytes_per_second() -> float:
    """Returns the bytes/s that a node uses for CHANGES_PER_DAY of a large configuration."""
    record = ConfigurationRecord(generation=1, change_id="0" * 16, author="operator")
    for index in range(700):
        record.configuration.operations.add(
            service=f"service-{index % 140}", operation=f"operation-{index}", idempotent=True
        )
    for index in range(20):
        record.configuration.exceptions.add(
            name=f"exception-{index}", service=f"service-{index}", reason="a written reason" * 5
        )
    print(
        f"configuration of 700 operations and 20 exceptions: {record.ByteSize()} bytes on the "
        f"wire, {len(encode_record(record))} bytes stored"
    )
    return 2 * record.ByteSize() * CHANGES_PER_DAY / DAY_SECONDS


def print_slope(name: str, sizes: list[int], values: list[float], unit: str) -> None:
    """Prints a least squares fit over the number of nodes and over its logarithm."""
    linear = linear_regression(sizes, values)
    steps = linear_regression([log10(size) for size in sizes], values)
    print(f"  {name}: {linear.slope:+.3g} {unit} per node, {steps.slope:+.3g} {unit} per tenfold")


def measure_membership(simulated: list[int], processes: list[int]) -> None:
    """Prints the costs and their slopes."""
    configure(processors=[LogCapture(), JSONRenderer()])
    print("simulated time, real code of every node in this process")
    print(
        f"{'nodes':>6}{'msg/s':>8}{'bytes/s':>9}{'cpu %':>8}{'leaving s':>11}{'dead s':>8}"
        f"{'in force s':>12}"
    )
    rows = []
    for size in simulated:
        row = simulate(size)
        rows.append(row)
        print(
            f"{row.nodes:6}{row.messages_per_second:8.2f}{row.bytes_per_second:9.0f}"
            f"{row.cpu_percent:8.3f}{row.leaving_seconds:11.2f}{row.dead_seconds:8.2f}"
            f"{row.in_force_seconds:12.2f}"
        )
    if len(rows) > 1:
        print_slope("bytes/s", simulated, [row.bytes_per_second for row in rows], "bytes/s")
        print_slope("cpu", simulated, [row.cpu_percent for row in rows], "%")
        print_slope("leaving", simulated, [row.leaving_seconds for row in rows], "s")
        print_slope("in force", simulated, [row.in_force_seconds for row in rows], "s")
    print(f"memory per known member: {bytes_per_member():.0f} bytes resident")
    print(f"configuration: {configuration_bytes_per_second():.0f} bytes/s per node")
    if not processes:
        return
    print("node processes without backend servers")
    print(f"{'nodes':>6}{'cpu %':>8}{'rss MB':>8}{'in force s':>12}{'reads/s':>9}{'writes':>8}")
    found = []
    for size in processes:
        cost = measure_processes(size)
        found.append(cost)
        print(
            f"{cost.nodes:6}{cost.cpu_percent:8.2f}{cost.resident_mb:8.1f}"
            f"{cost.in_force_seconds:12.2f}{cost.platform_reads_per_second:9.2f}"
            f"{cost.platform_writes:8}"
        )
    if len(found) > 1:
        print_slope("cpu", processes, [cost.cpu_percent for cost in found], "%")
        print_slope("memory", processes, [cost.resident_mb for cost in found], "MB")
        reads = [cost.platform_reads_per_second for cost in found]
        print_slope("platform reads", processes, reads, "reads/s")

"""Measures control traffic and convergence when two regions are partitioned and reconnect.

Every node runs its real detector and syncs with other nodes, in simulated time. For each side the
partition is the loss of half of the nodes at once.
"""

from collections.abc import Callable
from random import Random
from typing import NamedTuple

from structlog import configure
from structlog.processors import JSONRenderer
from structlog.testing import LogCapture

from coltsfoottrack._internal.experiment.simulated_fleet import SimulatedFleet, SimulatedNode
from coltsfoottrack._internal.membership.cluster import (
    RECONNECT_BUCKETS,
    RECONNECT_SYNC_SECONDS,
    SYNC_BUCKETS,
    SYNC_INTERVAL_SECONDS,
)
from coltsfoottrack._internal.membership.sync import (
    BUCKETS,
    bucket_digests,
    exchanged_buckets,
    members_of,
)
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import (
    MEMBER_STATUS_ALIVE,
    MEMBER_STATUS_DEAD,
    Member,
)

SEED = 20261204
# IPv4 and UDP headers.
HEADER_BYTES = 28
# HTTP/2 and TCP/IP overhead of one gRPC message, an estimate; the members are much larger.
RPC_BYTES = 300
WARM_UP_SECONDS = 5
PARTITION_SECONDS = 120
RECONNECTED_SECONDS = 60
MAX_PHASE_SECONDS = 400
# Length of the long traffic window, in seconds.
LONG_WINDOW = 10


class PhaseTraffic(NamedTuple):
    """Bytes per second sent by a node in a phase, and the time until all nodes agreed."""

    agreed_seconds: float | None
    mean: float
    busiest_second: float
    worst_second: float
    worst_window: float


class PartitionFleet(SimulatedFleet):
    """A fleet whose nodes also sync; records the bytes that each node sends in each second."""

    def __init__(self, size: int, seed: int) -> None:
        super().__init__(size, seed)
        self.random = Random(seed)
        self.sync_bytes = {node.name: 0 for node in self.nodes.values()}
        self.reconnected: dict[str, str] = {}
        self.reconnect_count = dict.fromkeys(self.sync_bytes, 0)
        self.next_reconnect_sync = dict.fromkeys(self.sync_bytes, 0.0)
        self.next_sync = {}
        for node in self.nodes.values():
            self.next_sync[node.name] = self.random.uniform(0.0, SYNC_INTERVAL_SECONDS)
            node.detector.on_reconnect = self._on_reconnect(node)
        self.seconds: list[list[int]] = []
        self.previous_totals = [0] * size

    def _on_reconnect(self, node: SimulatedNode) -> Callable[[Member], None]:
        def record(member: Member) -> None:
            count = self.reconnect_count[node.name] = self.reconnect_count[node.name] + 1
            if count == 1:
                wait = RECONNECT_SYNC_SECONDS * self.random.uniform(0.5, 1.5)
                self.next_reconnect_sync[node.name] = self.now + wait
            if self.random.random() * count < 1.0:
                self.reconnected[node.name] = f"{member.service}/{member.name}"

        return record

    def step(self) -> None:
        """Advances by one step and runs the syncs that are due."""
        super().step()
        for node in self.nodes.values():
            if node.name in self.reconnected and self.now >= self.next_reconnect_sync[node.name]:
                self.reconnect_count[node.name] = 0
                other = self.by_name[self.reconnected.pop(node.name)]
                self._synchronise(node, other, RECONNECT_BUCKETS)
            if self.now >= self.next_sync[node.name]:
                wait = SYNC_INTERVAL_SECONDS * self.random.uniform(0.8, 1.2)
                self.next_sync[node.name] = self.now + wait
                others = []
                for key, member in node.table.members.items():
                    if member.status != MEMBER_STATUS_DEAD and key != node.name:
                        others.append(key)
                if others:
                    other = self.by_name[self.random.choice(others)]
                    self._synchronise(node, other, SYNC_BUCKETS)

    def _synchronise(self, one: SimulatedNode, other: SimulatedNode, most: int) -> None:
        """Simulates a MembershipPeer.Sync exchange."""
        if not self.can_reach(one.address, other):
            return
        buckets = []
        if other.detector.disseminator.available_bytes() > 0:
            digests = bucket_digests(one.table)
            buckets = exchanged_buckets(other.table, digests, most, self.random)
        reply = [Member.FromString(m.SerializeToString()) for m in members_of(other.table, buckets)]
        own = members_of(one.table, buckets)
        # The second call is made only to send members.
        calls = 2 if own else 1
        asked = calls * RPC_BYTES + 8 * BUCKETS + _size(own)
        answered = calls * RPC_BYTES + _size(reply)
        self.sync_bytes[one.name] += asked
        self.sync_bytes[other.name] += answered
        one.detector.disseminator.charge(asked)
        other.detector.disseminator.charge(answered)
        other.detector.apply_all([one.local.member, *own])
        one.detector.apply_all(reply)

    def run_phase(self, seconds: int, is_agreed: Callable[[], bool]) -> PhaseTraffic:
        """Runs for the given time and until the nodes agree, at most MAX_PHASE_SECONDS."""
        self._record_second()
        self.seconds.clear()
        agreed = None
        while len(self.seconds) < seconds or (
            agreed is None and len(self.seconds) < MAX_PHASE_SECONDS
        ):
            self.run(1.0)
            self._record_second()
            if agreed is None and is_agreed():
                agreed = float(len(self.seconds))
        sent = self.seconds
        nodes = range(len(sent[0]))
        windows = []
        for end in range(LONG_WINDOW, len(sent) + 1):
            rows = sent[end - LONG_WINDOW : end]
            windows.append(max(sum(row[node] for row in rows) for node in nodes) / LONG_WINDOW)
        return PhaseTraffic(
            agreed_seconds=agreed,
            mean=sum(map(sum, sent)) / len(sent) / len(nodes),
            busiest_second=max(sum(row) / len(nodes) for row in sent),
            worst_second=max(max(row) for row in sent),
            worst_window=max(windows),
        )

    def _record_second(self) -> None:
        totals = []
        for node in self.nodes.values():
            counts = node.detector.counts
            datagrams = counts["sent_bytes"] + HEADER_BYTES * counts["sent"]
            totals.append(datagrams + self.sync_bytes[node.name])
        self.seconds.append(
            [now - old for now, old in zip(totals, self.previous_totals, strict=True)]
        )
        self.previous_totals = totals

    def partition_detected(self) -> bool:
        """Returns whether each node lists the other region as dead and its own as alive."""
        for node in self.nodes.values():
            for key, member in node.table.members.items():
                status = MEMBER_STATUS_ALIVE
                if self.by_name[key].region != node.region:
                    status = MEMBER_STATUS_DEAD
                if member.status != status:
                    return False
        return True

    def all_alive(self) -> bool:
        """Returns whether each node lists all others as alive."""
        for node in self.nodes.values():
            for member in node.table.members.values():
                if member.status != MEMBER_STATUS_ALIVE:
                    return False
        return True


def _size(members: list[Member]) -> int:
    return sum(member.ByteSize() + 3 for member in members)


def simulate_partition(size: int, seed: int = SEED) -> tuple[PhaseTraffic, PhaseTraffic]:
    """Measures the partition of two regions and their reconnection at one fleet size."""
    fleet = PartitionFleet(size, seed)
    fleet.run(WARM_UP_SECONDS)
    fleet.partitioned = True
    lost = fleet.run_phase(PARTITION_SECONDS, fleet.partition_detected)
    fleet.partitioned = False
    return lost, fleet.run_phase(RECONNECTED_SECONDS, fleet.all_alive)


def print_partition(sizes: list[int]) -> None:
    """Prints the traffic of both phases at each fleet size."""
    configure(processors=[LogCapture(), JSONRenderer()])
    print("bytes per second sent by a node, simulated time; windows of 1 s and 10 s")
    print(
        f"{'nodes':>6} {'phase':10}{'agreed s':>10}{'mean':>8}{'mean, busiest s':>17}"
        f"{'worst node, 1 s':>17}{'worst node, 10 s':>18}"
    )
    for size in sizes:
        for phase, row in zip(("lost", "met again"), simulate_partition(size), strict=True):
            agreed = "never" if row.agreed_seconds is None else f"{row.agreed_seconds:.0f}"
            print(
                f"{size:6} {phase:10}{agreed:>10}{row.mean:8.0f}{row.busiest_second:17.0f}"
                f"{row.worst_second:17.0f}{row.worst_window:18.0f}",
                flush=True,
            )

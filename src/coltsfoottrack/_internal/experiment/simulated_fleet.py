"""Runs the real membership code of many nodes in one process, with simulated time and network."""

from collections.abc import Callable
from random import Random
from time import process_time

from coltsfoottrack._internal.configuration.holder import ConfigurationHolder
from coltsfoottrack._internal.events.clock import HybridClock
from coltsfoottrack._internal.membership.detector import FailureDetector
from coltsfoottrack._internal.membership.local import LocalMember
from coltsfoottrack._internal.membership.messages import Address, DatagramCodec
from coltsfoottrack._internal.membership.table import MembershipTable, member_id
from coltsfoottrack._internal.observability.invariants import InvariantChecker
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import MEMBER_STATUS_ALIVE, Member

STEP_SECONDS = 0.05
SERVICES = 140
FAILURE_DOMAINS = 6


def simulated_member(index: int) -> Member:
    """Returns the entry of a node in a fleet with the target number of services and domains."""
    return Member(
        name=f"domain-{index % FAILURE_DOMAINS}-{index}",
        service=f"service-{index % SERVICES}",
        failure_domain=f"domain-{index % FAILURE_DOMAINS}",
        region=f"region-{index % 2}",
        address=f"10.{index // 65536}.{index // 256 % 256}.{index % 256}",
        call_port=8080,
        peer_port=8081,
        incarnation=2**62 + index,
        revision=3,
        status=MEMBER_STATUS_ALIVE,
        backend_ready=True,
        start_order=1_796_000_000_000 + index,
    )


class SimulatedNode:
    """One node's table, detector and configuration."""

    def __init__(self, fleet: "SimulatedFleet", member: Member, random: Random) -> None:
        self.local = LocalMember(member)
        self.local.joined = True
        self.name = member_id(member)
        self.address: Address = (member.address, member.peer_port)
        self.region = member.region
        self.holder = ConfigurationHolder(InvariantChecker())
        self.table = MembershipTable()
        self.announced = ("", 0)
        codec = DatagramCodec(
            "measure",
            self.name,
            HybridClock(),
            lambda: (self.holder.generation, self.holder.record.change_id),
        )
        self.detector = FailureDetector(
            self.local, self.table, codec, random, self._send_through(fleet), fleet.now
        )
        self.detector.on_generation = self._record_announcement

    def _send_through(self, fleet: "SimulatedFleet") -> Callable[[Address, bytes], None]:
        def send(address: Address, content: bytes) -> None:
            fleet.in_transit.append((self.address, address, content))

        return send

    def _record_announcement(self, sender: str, generation: int, change_id: str) -> None:
        if generation > self.holder.generation:
            self.announced = (sender, generation)


class SimulatedFleet:
    """Nodes that know each other; datagrams arrive after one step of 50 ms."""

    def __init__(self, size: int, seed: int) -> None:
        self.now = 0.0
        self.cpu_seconds = 0.0
        self.fetches = 0
        self.in_transit: list[tuple[Address, Address, bytes]] = []
        self.nodes: dict[Address, SimulatedNode] = {}
        # True while the regions cannot reach each other.
        self.partitioned = False
        self.by_name: dict[str, SimulatedNode] = {}
        entries = [simulated_member(index) for index in range(size)]
        known = MembershipTable()
        for entry in entries:
            known.merge(entry)
        for index, entry in enumerate(entries):
            own = Member.FromString(entry.SerializeToString())
            node = SimulatedNode(self, own, Random(f"{seed}/{index}"))
            node.table.members = dict(known.members)
            node.table.processes = dict(known.processes)
            node.detector.updates.pending.clear()
            self.nodes[node.address] = node
            self.by_name[node.name] = node

    def run(self, seconds: float) -> None:
        """Advances the simulated time."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.step()

    def step(self) -> None:
        """Delivers datagrams, advances the detectors and fetches announced configurations."""
        self.now += STEP_SECONDS
        arriving, self.in_transit = self.in_transit, []
        began = process_time()
        for source, target, content in arriving:
            node = self.nodes.get(target)
            if node is not None and self.can_reach(source, node):
                node.detector.receive(content, source)
        for node in self.nodes.values():
            node.detector.advance(self.now)
        self.cpu_seconds += process_time() - began
        for node in self.nodes.values():
            sender, generation = node.announced
            holder = self.by_name.get(sender)
            if generation <= node.holder.generation or holder is None:
                continue
            self.fetches += 1
            node.holder.offer(holder.holder.record, sender)
            node.detector.gossip_now()

    def can_reach(self, source: Address, target: SimulatedNode) -> bool:
        """Returns whether datagrams from an address reach a node."""
        sender = self.nodes.get(source)
        return not self.partitioned or sender is None or sender.region == target.region

    def total(self, counter: str) -> int:
        """Returns the sum of a counter over all nodes."""
        return sum(node.detector.counts[counter] for node in self.nodes.values())

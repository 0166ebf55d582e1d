"""In-memory platform and nodes for tests of membership and configuration."""

from collections.abc import Callable
from random import Random

from coltsfoottrack._internal.configuration.distribution import ConfigurationDistribution
from coltsfoottrack._internal.configuration.exceptions import PeerUnavailableError
from coltsfoottrack._internal.configuration.holder import ConfigurationHolder
from coltsfoottrack._internal.events.clock import HybridClock
from coltsfoottrack._internal.membership.detector import FailureDetector
from coltsfoottrack._internal.membership.local import LocalMember
from coltsfoottrack._internal.membership.messages import Address, DatagramCodec
from coltsfoottrack._internal.membership.sync import (
    bucket_digests,
    differing_buckets,
    members_of,
)
from coltsfoottrack._internal.membership.table import MembershipTable, member_id
from coltsfoottrack._internal.object_store.client import ObjectList, StoredObject
from coltsfoottrack._internal.object_store.exceptions import (
    ObjectNotFoundError,
    PlatformUnavailableError,
    VersionConflictError,
    WriteUncertainError,
)
from coltsfoottrack._internal.observability.invariants import InvariantChecker
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import (
    MEMBER_STATUS_ALIVE,
    MEMBER_STATUS_DEAD,
    ConfigurationRecord,
    Member,
)

STEP_SECONDS = 0.1


class FakePlatform:
    """Versioned objects with faults: unavailable, writes lost, and answers to writes lost."""

    def __init__(self) -> None:
        self.objects: dict[str, StoredObject] = {}
        self.revision = 0
        self.down = False
        self.lose_answers = 0
        self.lose_writes = 0
        self.writes = 0
        self.before_write: Callable[[str], None] = lambda path: None

    def get(self, path: str) -> StoredObject:
        self._check()
        if path not in self.objects:
            raise ObjectNotFoundError(path)
        return self.objects[path]

    def list(self, prefix: str) -> ObjectList:
        self._check()
        found = [stored for path, stored in self.objects.items() if path.startswith(prefix)]
        return ObjectList(found, self.revision)

    def put(self, path: str, content: bytes, version: int | None = None) -> int:
        self._check()
        self.before_write(path)
        if self.lose_writes:
            self.lose_writes -= 1
            raise WriteUncertainError(path)
        known = self.objects.get(path)
        if version is not None and version != (known.version if known else 0):
            raise VersionConflictError(path)
        self.revision += 1
        self.writes += 1
        self.objects[path] = StoredObject(path, self.revision, content)
        if self.lose_answers:
            self.lose_answers -= 1
            raise WriteUncertainError(path)
        return self.revision

    def delete(self, path: str, version: int | None = None) -> None:
        self._check()
        known = self.objects.get(path)
        if known is None:
            raise ObjectNotFoundError(path)
        if version is not None and version != known.version:
            raise VersionConflictError(path)
        self.revision += 1
        del self.objects[path]

    def _check(self) -> None:
        if self.down:
            raise PlatformUnavailableError("down")


def make_member(index: int, start_order: int = 1, domains: int = 3) -> Member:
    return Member(
        name=f"n{index}",
        service=f"s{index % 4}",
        failure_domain=f"d{index % domains}",
        region="r",
        address="127.0.0.1",
        call_port=10_000 + index,
        peer_port=20_000 + index,
        incarnation=start_order * 1000 + index + 1,
        revision=1,
        status=MEMBER_STATUS_ALIVE,
        backend_ready=True,
        start_order=start_order,
    )


class FakeNode:
    """The real detector, holder and distribution of one node, without sockets."""

    def __init__(self, network: "FakeNetwork", index: int, start_order: int) -> None:
        self.network = network
        self.index = index
        self.checker = InvariantChecker()
        self.holder = ConfigurationHolder(self.checker)
        self.local = LocalMember(make_member(index, start_order))
        self.name = member_id(self.local.member)
        self.table = MembershipTable()
        self.address: Address = ("127.0.0.1", 20_000 + index)
        codec = DatagramCodec(
            "test",
            self.name,
            HybridClock(),
            lambda: (self.holder.generation, self.holder.record.change_id),
        )
        self.detector = FailureDetector(
            self.local,
            self.table,
            codec,
            Random(f"{network.seed}/{index}/{start_order}"),
            lambda address, content: network.send(self.address, address, content),
            network.now,
        )
        self.distribution = ConfigurationDistribution(
            holder=self.holder,
            objects=network.platform,
            peers=FakePeers(network, self.address),
            table=self.table,
            own_member=self.local.member,
            random=Random(f"{network.seed}/configuration/{index}"),
            notify=self.detector.gossip_now,
        )
        self.detector.on_generation = self.distribution.record_announcement
        self.detector.on_reconnect = self._sync_with_reconnected

    def _sync_with_reconnected(self, member: Member) -> None:
        node = self.network.nodes.get(("127.0.0.1", member.peer_port))
        if node is not None:
            self.network.sync(self, node)


class FakePeers:
    """Peer access of one node, or of a command, which partitions do not affect."""

    def __init__(self, network: "FakeNetwork", source: Address | None) -> None:
        self.network = network
        self.source = source

    async def fetch(self, address: str) -> ConfigurationRecord:
        return self._node(address).holder.record

    async def push(self, address: str, record: ConfigurationRecord) -> ConfigurationRecord:
        node = self._node(address)
        if node.holder.offer(record, "push"):
            node.detector.gossip_now()
        return node.holder.record

    def _node(self, address: str) -> FakeNode:
        host, _, port = address.rpartition(":")
        target = (host, int(port))
        node = self.network.nodes.get(target)
        if node is None or not self.network.passes(self.source, target):
            raise PeerUnavailableError(address)
        return node


class FakeNetwork:
    """Nodes connected by datagrams that arrive after one step, are lost or are blocked."""

    def __init__(self, seed: int, loss: float = 0.0) -> None:
        self.seed = seed
        self.random = Random(seed)
        self.loss = loss
        self.now = 0.0
        self.platform = FakePlatform()
        self.nodes: dict[Address, FakeNode] = {}
        self.sides: dict[Address, int] = {}
        self.inbound_blocked: set[Address] = set()
        self.cut_links: set[tuple[Address, Address]] = set()
        self.paused: set[Address] = set()
        self.in_transit: list[tuple[Address, Address, bytes]] = []
        self.starts = 0

    def add(self, index: int) -> FakeNode:
        """Starts a node, replacing its previous process if there is one, and lets it join."""
        self.starts += 1
        node = FakeNode(self, index, self.starts)
        self.nodes[node.address] = node
        for other in list(self.nodes.values()):
            if other is not node and self.passes(node.address, other.address):
                self.sync(node, other)
                break
        node.local.joined = True
        return node

    def remove(self, node: FakeNode) -> None:
        self.nodes.pop(node.address, None)

    def sync(self, one: FakeNode, other: FakeNode) -> None:
        """Runs a MembershipPeer.Sync exchange."""
        if not self.passes(one.address, other.address):
            return
        buckets = differing_buckets(other.table, bucket_digests(one.table))
        reply = [Member.FromString(m.SerializeToString()) for m in members_of(other.table, buckets)]
        other.detector.apply_all([one.local.member, *members_of(one.table, buckets)])
        one.detector.apply_all(reply)

    def passes(self, source: Address | None, target: Address) -> bool:
        if target in self.paused or source in self.paused:
            return False
        return source is None or self.sides.get(source, 0) == self.sides.get(target, 0)

    def send(self, source: Address, target: Address, content: bytes) -> None:
        if self.random.random() >= self.loss:
            self.in_transit.append((source, target, content))

    async def run(self, seconds: float) -> None:
        """Advances the simulated time."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.now += STEP_SECONDS
            arriving, self.in_transit = self.in_transit, []
            for source, target, content in arriving:
                node = self.nodes.get(target)
                if (
                    node is None
                    or target in self.inbound_blocked
                    or (source, target) in self.cut_links
                ):
                    continue
                if not self.passes(source, target):
                    continue
                node.detector.receive(content, source)
            for node in list(self.nodes.values()):
                if node.address not in self.paused:
                    node.detector.advance(self.now)
                    before = node.holder.generation
                    await node.distribution.fetch_newest()
                    if node.holder.generation != before:
                        node.detector.gossip_now()

    def status(self, viewer: FakeNode, node: FakeNode) -> int:
        known = viewer.table.members.get(node.name)
        return MEMBER_STATUS_DEAD if known is None else known.status

    def all_alive(self) -> bool:
        """Returns whether every node's local view has all running nodes in their current state."""
        for viewer in self.nodes.values():
            for node in self.nodes.values():
                known = viewer.table.members.get(node.name)
                if known is None or known.incarnation != node.local.member.incarnation:
                    return False
                if known.status != node.local.member.status:
                    return False
        return True

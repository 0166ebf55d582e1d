"""This node's part in the membership: joining, keeping up, leaving."""

from asyncio import Event, sleep
from collections.abc import Callable
from random import Random
from time import monotonic

from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from structlog import get_logger

from coltsfoottrack._internal.membership.detector import FailureDetector
from coltsfoottrack._internal.membership.local import LocalMember
from coltsfoottrack._internal.membership.messages import DatagramCodec
from coltsfoottrack._internal.membership.registration import Registration
from coltsfoottrack._internal.membership.sync import bucket_digests, members_of
from coltsfoottrack._internal.membership.table import MembershipTable, member_id, peer_address
from coltsfoottrack._internal.membership.transport import MembershipSocket
from coltsfoottrack._internal.object_store.exceptions import PlatformError
from coltsfoottrack._internal.routing.peer_channels import PeerChannels
from coltsfoottrack._internal.schema.coltsfoottrack_grpc import MembershipPeerStub
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import (
    MEMBER_STATUS_ALIVE,
    MEMBER_STATUS_DEAD,
    MEMBER_STATUS_LEAVING,
    Envelope,
    Member,
    SyncRequest,
)

SYNC_INTERVAL_SECONDS = 60.0
SYNC_TIMEOUT_SECONDS = 2.0
JOIN_PEERS = 5
JOIN_RETRY_SECONDS = 1.0
RECONNECT_INTERVAL_SECONDS = 5.0
# Long enough for many members to have come back, among which the nodes choose.
RECONNECT_SYNC_SECONDS = 10.0
# Buckets of members exchanged at most, about 1.8 KB each way for each of them with 1,000 members.
# After a partition all of them differ, and the gossip brings most of that.
SYNC_BUCKETS = 2
RECONNECT_BUCKETS = 1
# A node that has just joined, perhaps with many others, exchanges all that differs.
FULL_SYNCS = 2
FIRST_SYNC_SECONDS = 20.0
# Own object checked, dead nodes' objects deleted.
OBJECT_CHECK_SECONDS = 600.0
CLEAN_INTERVAL_SECONDS = 60.0
CLEAN_AFTER_SECONDS = 300.0
RPC_ERRORS = (OSError, GRPCError, ProtocolError, StreamTerminatedError, TimeoutError)

logger = get_logger(__name__)


class ClusterMembership:
    """Joins the cluster, keeps the table up to date and leaves."""

    def __init__(
        self,
        local: LocalMember,
        table: MembershipTable,
        codec: DatagramCodec,
        registration: Registration,
        channels: PeerChannels,
        envelope: Callable[[], Envelope],
        seed_nodes: list[str],
        random: Random,
    ) -> None:
        self.local = local
        self.table = table
        self.registration = registration
        self.channels = channels
        self.envelope = envelope
        self.seed_nodes = seed_nodes
        self.random = random
        self.socket = MembershipSocket()
        self.detector = FailureDetector(local, table, codec, random, self.socket.send, monotonic())
        self.socket.detector = self.detector
        self.detector.on_reconnect = self._record_reconnect
        self.registered = Event()
        # Set once a peer was reached or others can find this node in the platform.
        self.connected = Event()
        self.reconnected = Event()
        # Exchanges with random peers so far.
        self.sync_count = 0
        self.reconnected_address = ""
        self.reconnect_count = 0

    async def open(self, port: int) -> None:
        """Binds the UDP socket. Raises OSError if the port is taken."""
        await self.socket.open(self.local.member.address, port)

    def publish(self) -> None:
        """Spreads the own entry after a change, at once."""
        self.detector.publish_own_entry(self.local.member)
        self.detector.gossip_now()

    async def join(self) -> None:
        """Finds peers through the platform or the seed nodes, and registers.

        Tries until one of them answers. The node is not alone if others are registered.
        """
        await self.registration.wait_to_read()
        while True:
            if await self._contact_peers():
                break
            await sleep(JOIN_RETRY_SECONDS * self.random.uniform(0.5, 1.5))
        await self._register()

    async def _register(self) -> None:
        plan = await self.registration.plan(len(self.table.members))
        if plan.listed and not self.connected.is_set():
            await self._contact_listed(plan.listed)
        await sleep(plan.wait_seconds)
        if not await self.registration.register(plan.nodes):
            self.detector.on_replaced()
            return
        # Of two nodes that start together, the one that lists later sees the other.
        if len(self.others()) < JOIN_PEERS:
            await self._contact_peers()
        self.local.joined = True
        self.registered.set()
        self.connected.set()
        logger.info("member_registered", member=member_id(self.local.member))

    async def _contact_peers(self) -> bool:
        """Synchronises with some known nodes; returns whether this node is now in the cluster."""
        listed: list[Member] | None = None
        try:
            listed = await self.registration.list_members()
        except PlatformError:
            pass
        return await self._contact_listed(listed)

    async def _contact_listed(self, listed: list[Member] | None) -> bool:
        addresses = list(self.seed_nodes)
        own = peer_address(self.local.member)
        candidates = [peer_address(member) for member in listed or []]
        candidates = [address for address in candidates if address != own]
        for member in listed or []:
            if member_id(member) == self.detector.name:
                self.local.handle_claim(member)
        self.random.shuffle(candidates)
        addresses.extend(candidates[:JOIN_PEERS])
        reached = 0
        for address in addresses:
            if address != own and await self.sync_with(address):
                reached += 1
                self.connected.set()
            if reached >= 2:
                return True
        if not reached and listed:
            # Their nodes may be starting too; the probes will tell.
            self.detector.apply_all(listed)
        return bool(reached) or listed is not None

    def others(self) -> list[Member]:
        """Returns the other members that are not dead."""
        found = []
        for key, member in self.table.members.items():
            if key != self.detector.name and member.status != MEMBER_STATUS_DEAD:
                found.append(member)
        return found

    async def sync_with(self, address: str, max_buckets: int = 0) -> bool:
        """Exchanges the membership with a node, all of it if ``max_buckets`` is 0.

        Returns whether it answered.
        """
        stub = MembershipPeerStub(self.channels.channel(address))
        request = SyncRequest(
            envelope=self.envelope(),
            members=[self.local.member],
            digests=bucket_digests(self.table),
            max_buckets=max_buckets,
        )
        try:
            reply = await stub.Sync(request, timeout=SYNC_TIMEOUT_SECONDS)
            own = members_of(self.table, list(reply.differing_buckets))
            self.detector.apply_all(list(reply.members))
            self.detector.disseminator.charge(request.ByteSize())
            if own:
                request = SyncRequest(envelope=self.envelope(), members=own)
                self.detector.disseminator.charge(request.ByteSize())
                await stub.Sync(request, timeout=SYNC_TIMEOUT_SECONDS)
        except RPC_ERRORS:
            return False
        return True

    async def run_socket(self) -> None:
        """Runs the failure detector, for ever."""
        await self.socket.run()

    async def sync_periodically(self) -> None:
        """Synchronises with a random node every minute, for ever, and when alone at once."""
        while True:
            others = self.others()
            if not others:
                await sleep(RECONNECT_INTERVAL_SECONDS * self.random.uniform(0.5, 1.5))
                await self._contact_peers()
                continue
            is_new = self.is_new()
            interval = FIRST_SYNC_SECONDS if is_new else SYNC_INTERVAL_SECONDS
            await sleep(interval * self.random.uniform(0.8, 1.2))
            others = self.others()
            if others:
                address = peer_address(self.random.choice(others))
                await self.sync_with(address, 0 if is_new else SYNC_BUCKETS)
                self.sync_count += 1

    def is_new(self) -> bool:
        """Tells whether this node has just joined, so that its exchanges are full ones."""
        return self.sync_count < FULL_SYNCS

    def _record_reconnect(self, member: Member) -> None:
        # One at random of all that came back since the last exchange. Hundreds of nodes hear of
        # the same member at once, and must not all turn to it.
        self.reconnect_count += 1
        if self.random.random() * self.reconnect_count < 1.0:
            self.reconnected_address = peer_address(member)
        self.reconnected.set()

    async def sync_after_reconnects(self) -> None:
        """Synchronises with a node that was held for dead and answered, for ever.

        After a partition this brings both sides together without waiting for the next minute.
        """
        while True:
            await self.reconnected.wait()
            await sleep(RECONNECT_SYNC_SECONDS * self.random.uniform(0.5, 1.5))
            self.reconnected.clear()
            self.reconnect_count = 0
            await self.sync_with(
                self.reconnected_address, 0 if self.is_new() else RECONNECT_BUCKETS
            )

    async def maintain_objects(self) -> None:
        """Rewrites the own object when it is missing and cleans up those of dead nodes."""
        checked = monotonic()
        while True:
            await sleep(CLEAN_INTERVAL_SECONDS * self.random.uniform(0.8, 1.2))
            try:
                if self.is_cleaner():
                    await self.registration.clean(self.long_dead())
            except PlatformError:
                pass
            if monotonic() - checked >= OBJECT_CHECK_SECONDS:
                checked = monotonic()
                nodes = len(self.table.members)
                await sleep(self.registration.jitter_seconds(nodes))
                await self.registration.register(nodes)

    def is_cleaner(self) -> bool:
        """Tells whether this node is the one that cleans up: the first alive one by name."""
        alive = []
        for key, member in self.table.members.items():
            if member.status == MEMBER_STATUS_ALIVE:
                alive.append(key)
        return bool(alive) and min(alive) == self.detector.name

    def long_dead(self) -> list[Member]:
        """Returns the members that have been dead for CLEAN_AFTER_SECONDS."""
        found = []
        for key, since in self.detector.dead_since.items():
            member = self.table.members.get(key)
            if member is not None and self.detector.time - since >= CLEAN_AFTER_SECONDS:
                found.append(member)
        return found

    def leave(self) -> None:
        """Spreads at once that this node leaves."""
        self.local.mark_leaving()
        self.publish()

    async def stop(self) -> None:
        """Spreads that this node is gone, and deletes its object if the platform answers."""
        leaving = 1
        for member in self.table.members.values():
            if member.status == MEMBER_STATUS_LEAVING:
                leaving += 1
        await self.registration.deregister(leaving)
        self.local.mark_dead()
        self.publish()
        self.socket.close()

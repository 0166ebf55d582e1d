"""Membership of this node in the cluster: joining, anti-entropy, leaving."""

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
# Long enough for many members to reconnect, so that nodes sync with different ones.
RECONNECT_SYNC_SECONDS = 10.0
# Maximum number of buckets exchanged in one sync. Each takes about 1.8 KB in each direction with
# 1,000 members. After a partition all buckets differ, and gossip delivers most of the changes.
SYNC_BUCKETS = 2
RECONNECT_BUCKETS = 1
# A node that has just joined, perhaps with many others, exchanges all differing buckets.
FULL_SYNCS = 2
FIRST_SYNC_SECONDS = 20.0
# Intervals for checking this node's own object and for deleting the objects of dead nodes.
OBJECT_CHECK_SECONDS = 600.0
CLEAN_INTERVAL_SECONDS = 60.0
CLEAN_AFTER_SECONDS = 300.0
RPC_ERRORS = (OSError, GRPCError, ProtocolError, StreamTerminatedError, TimeoutError)

logger = get_logger(__name__)


class ClusterMembership:
    """Joins the cluster, keeps the membership table in sync and leaves."""

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
        # Set once a peer was reached or this node is registered in the platform.
        self.connected = Event()
        self.reconnected = Event()
        # Number of syncs with random peers since this node joined.
        self.sync_count = 0
        self.reconnected_address = ""
        self.reconnect_count = 0

    async def open(self, port: int) -> None:
        """Binds the UDP socket. Raises OSError if the port is taken."""
        await self.socket.open(self.local.member.address, port)

    def publish(self) -> None:
        """Gossips this node's entry at once after a change."""
        self.detector.publish_own_entry(self.local.member)
        self.detector.gossip_now()

    async def join(self) -> None:
        """Contacts peers found through the platform or the seed nodes, and registers.

        Retries until the platform or a peer answers. Registered members are added to the local
        view even if none of the contacted ones answers.
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
        # Of two nodes that start together, the one that lists the members later finds the other.
        if len(self.other_members()) < JOIN_PEERS:
            await self._contact_peers()
        self.local.joined = True
        self.registered.set()
        self.connected.set()
        logger.info("member_registered", member=member_id(self.local.member))

    async def _contact_peers(self) -> bool:
        """Syncs with some known nodes; returns whether the platform or one of them answered."""
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
            # These nodes may still be starting; probes will detect any that are dead.
            self.detector.apply_all(listed)
        return bool(reached) or listed is not None

    def other_members(self) -> list[Member]:
        """Returns the other members that are not dead."""
        found = []
        for key, member in self.table.members.items():
            if key != self.detector.name and member.status != MEMBER_STATUS_DEAD:
                found.append(member)
        return found

    async def sync_with(self, address: str, max_buckets: int = 0) -> bool:
        """Exchanges membership entries with a node; returns whether it answered.

        At most ``max_buckets`` buckets are exchanged, all differing ones if it is 0.
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
        """Runs the failure detector until cancelled."""
        await self.socket.run()

    async def keep_synchronised(self) -> None:
        """Syncs with a random node every minute until cancelled.

        While no other member is known, contacts known nodes every 5 s instead.
        """
        while True:
            others = self.other_members()
            if not others:
                await sleep(RECONNECT_INTERVAL_SECONDS * self.random.uniform(0.5, 1.5))
                await self._contact_peers()
                continue
            is_new = self.is_new()
            interval = FIRST_SYNC_SECONDS if is_new else SYNC_INTERVAL_SECONDS
            await sleep(interval * self.random.uniform(0.8, 1.2))
            others = self.other_members()
            if others:
                address = peer_address(self.random.choice(others))
                await self.sync_with(address, 0 if is_new else SYNC_BUCKETS)
                self.sync_count += 1

    def is_new(self) -> bool:
        """Returns whether this node has just joined and therefore does full syncs."""
        return self.sync_count < FULL_SYNCS

    def _record_reconnect(self, member: Member) -> None:
        # Reservoir sampling: picks one at random of the members that reconnected since the last
        # sync. Hundreds of nodes learn of the same member at once and must not all sync with it.
        self.reconnect_count += 1
        if self.random.random() * self.reconnect_count < 1.0:
            self.reconnected_address = peer_address(member)
        self.reconnected.set()

    async def follow_reunions(self) -> None:
        """Syncs with a node that reconnected, such as one that was declared dead but answered.

        After a partition this merges both sides without waiting for the next periodic sync. Runs
        until cancelled.
        """
        while True:
            await self.reconnected.wait()
            await sleep(RECONNECT_SYNC_SECONDS * self.random.uniform(0.5, 1.5))
            self.reconnected.clear()
            self.reconnect_count = 0
            await self.sync_with(
                self.reconnected_address, 0 if self.is_new() else RECONNECT_BUCKETS
            )

    async def check_objects(self) -> None:
        """Writes this node's object if it is missing and deletes the objects of dead nodes.

        Runs until cancelled.
        """
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
        """Returns whether this node deletes objects: the first alive one by name does."""
        alive = []
        for key, member in self.table.members.items():
            if member.status == MEMBER_STATUS_ALIVE:
                alive.append(key)
        return bool(alive) and min(alive) == self.detector.name

    def long_dead(self) -> list[Member]:
        """Returns the members that have been dead for at least CLEAN_AFTER_SECONDS."""
        found = []
        for key, since in self.detector.dead_since.items():
            member = self.table.members.get(key)
            if member is not None and self.detector.time - since >= CLEAN_AFTER_SECONDS:
                found.append(member)
        return found

    def leave(self) -> None:
        """Marks this node as leaving and gossips this at once."""
        self.local.mark_leaving()
        self.publish()

    async def stop(self) -> None:
        """Deletes this node's object if the platform answers, and gossips that it has left."""
        leaving = 1
        for member in self.table.members.values():
            if member.status == MEMBER_STATUS_LEAVING:
                leaving += 1
        await self.registration.deregister(leaving)
        self.local.mark_dead()
        self.publish()
        self.socket.close()

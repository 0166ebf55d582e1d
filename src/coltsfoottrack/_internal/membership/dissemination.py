"""Sending of datagrams with piggybacked member changes, within a budget of bytes per second."""

from collections import Counter
from collections.abc import Callable
from random import Random

from coltsfoottrack._internal.calls.token_bucket import TokenBucket
from coltsfoottrack._internal.membership.messages import Address, DatagramCodec, udp_address
from coltsfoottrack._internal.membership.sampling import sample_members
from coltsfoottrack._internal.membership.table import MembershipTable, member_id
from coltsfoottrack._internal.membership.updates import BACKLOG_SIZE, MAX_UPDATE_BYTES, UpdateQueue
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import (
    MEMBER_STATUS_DEAD,
    MEMBER_STATUS_SUSPECT,
    Member,
)

# A node may send 2,000 bytes/s in all. Probes and syncs continue when this budget is spent; with
# them the busiest node sends up to 1.6 times this rate (`measure partition`).
BYTES_PER_SECOND = 900.0
BURST_BYTES = 700.0
# Limits the delay of changes after a sync to about 3 s, no more than a suspicion lasts.
MAX_DEBT_BYTES = 2500.0
# IPv4 and UDP headers.
HEADER_BYTES = 28
# Minimum available budget for sending a datagram of changes.
MIN_BUDGET_BYTES = 500
MIN_URGENT_BUDGET_BYTES = 100
# Fits this node's entry and a few changes.
URGENT_ROOM_BYTES = 200
GOSSIP_FANOUT = 3
URGENT_FANOUT = 8


class Disseminator:
    """Sends datagrams and fills them with queued changes."""

    def __init__(
        self,
        name: str,
        table: MembershipTable,
        codec: DatagramCodec,
        random: Random,
        send: Callable[[Address, bytes], None],
        now: float,
    ) -> None:
        self.name = name
        self.table = table
        self.codec = codec
        self.random = random
        self.transmit = send
        self.updates = UpdateQueue()
        self.counts: Counter[str] = Counter()
        self.bucket = TokenBucket(BYTES_PER_SECOND, BURST_BYTES, now)
        self.time = now

    def advance(self, now: float) -> None:
        """Sets the current time."""
        self.time = now

    def charge(self, content_bytes: int) -> None:
        """Charges the bytes of a sync with a peer to the budget of datagrams."""
        available = self.bucket.available(self.time)
        self.bucket.take(min(content_bytes, max(0.0, available + MAX_DEBT_BYTES)))

    def available_bytes(self) -> float:
        """Returns the available budget in bytes."""
        return self.bucket.available(self.time)

    def is_backlogged(self) -> bool:
        """Returns whether so many changes are queued that other traffic should be throttled."""
        return len(self.updates.pending) >= BACKLOG_SIZE

    def gossip_now(self) -> None:
        """Sends queued changes to some peers at once, regardless of the budget."""
        for member in self.pick(URGENT_FANOUT):
            self.send_to(udp_address(member), member_id(member), min_room=URGENT_ROOM_BYTES)

    def gossip(self) -> None:
        """Sends queued changes to a few peers, as far as the budget allows."""
        if not self.updates.pending:
            return
        # With a backlog, send fuller datagrams less often: each has about 110 bytes of overhead.
        min_budget = MIN_URGENT_BUDGET_BYTES if self.updates.is_urgent() else MIN_BUDGET_BYTES
        for member in self.pick(GOSSIP_FANOUT):
            if self.available_bytes() < min_budget:
                return
            self.send(member)

    def send_claim(self, claim: Member) -> None:
        """Sends a claim to the member that it is about, unless the budget is spent."""
        if self.available_bytes() > 0:
            self._transmit(udp_address(claim), self.codec.encode([claim], []))

    def send(self, member: Member, **body: object) -> None:
        """Sends a datagram to a member."""
        self.send_to(udp_address(member), member_id(member), **body)

    def send_to(
        self,
        address: Address,
        receiver: str,
        refutation: Member | None = None,
        min_room: int = 0,
        **body: object,
    ) -> None:
        """Sends a datagram with queued changes.

        If the receiver is suspect or dead in the local view, its entry comes first, so that it can
        refute it. ``refutation`` and ``min_room`` bytes of changes are included regardless of the
        budget.
        """
        claims = [] if refutation is None else [refutation]
        room = max(min_room, min(MAX_UPDATE_BYTES, int(self.available_bytes())))
        known = self.table.members.get(receiver)
        if known is not None and known.status in (MEMBER_STATUS_SUSPECT, MEMBER_STATUS_DEAD):
            claims.append(known)
        room -= sum(claim.ByteSize() for claim in claims)
        taken = self.updates.take(len(self.table.members), room)
        self._transmit(address, self.codec.encode([*claims, *taken.members], taken.changes, **body))

    def _transmit(self, address: Address, content: bytes) -> None:
        self.counts["sent"] += 1
        self.counts["sent_bytes"] += len(content)
        self.bucket.take(len(content) + HEADER_BYTES)
        self.transmit(address, content)

    def pick(self, number: int, *exclude: str) -> list[Member]:
        """Returns random members other than this node."""
        return sample_members(self.table, self.random, number, {self.name, *exclude})

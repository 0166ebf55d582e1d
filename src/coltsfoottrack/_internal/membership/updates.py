"""Queue of member changes to be piggybacked on datagrams."""

from math import ceil, log10
from typing import NamedTuple

from coltsfoottrack._internal.membership.table import member_id, process_digest
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import (
    MEMBER_STATUS_DEAD,
    MEMBER_STATUS_LEAVING,
    Member,
    MemberChange,
)

MAX_UPDATE_BYTES = 600
# Each update is sent this many times log10(N). According to the gossip analysis of SWIM (Das,
# Gupta and Motivala, DSN 2002), a small multiple of log(N) reaches all with high probability.
TRANSMISSION_FACTOR = 4
# With at least this many queued updates, as when a region fails or reconnects, the budget is too
# small to send each of them that often.
BACKLOG_SIZE = 50
# Up to this many queued updates are sent without waiting until a datagram is full.
SMALL_QUEUE_SIZE = 10
# Tag and length of a repeated message field.
FIELD_OVERHEAD_BYTES = 3


class PendingUpdate:
    """A queued update and how often it was sent."""

    def __init__(self, member: Member, known: bool, own: bool) -> None:
        self.known = known
        self.content: Member | MemberChange = Member()
        if known:
            self.content = MemberChange(
                process=process_digest(member),
                revision=member.revision,
                status=member.status,
                backend_ready=member.backend_ready,
            )
        else:
            self.content.CopyFrom(member)
        self.size = self.content.ByteSize() + FIELD_OVERHEAD_BYTES
        self.is_urgent = own or member.status == MEMBER_STATUS_LEAVING
        self.is_dead = member.status == MEMBER_STATUS_DEAD
        self.revision = member.revision
        self.status = member.status
        self.sent = 0

    @property
    def urgency(self) -> tuple[bool, int, bool]:
        """Sort key: urgent updates first, then the least sent ones, those of dead members last.

        This node's entry and leaving members, whose grace period is short, are urgent.
        """
        return (not self.is_urgent, self.sent, self.is_dead)


class TakenUpdates(NamedTuple):
    """Updates taken from the queue for one datagram."""

    members: list[Member]
    changes: list[MemberChange]


class UpdateQueue:
    """Holds the newest update of each member until it was sent often enough."""

    def __init__(self) -> None:
        self.pending: dict[str, PendingUpdate] = {}

    def add(self, member: Member, known: bool = False, own: bool = False) -> None:
        """Queues an update and replaces an older one of the same member.

        ``known`` is set if the other nodes already have an entry of this process, so that its
        change is enough: about 20 bytes instead of 120. ``own`` marks the entry of this node.
        """
        key = member_id(member)
        earlier = self.pending.get(key)
        if earlier is not None and not earlier.known:
            # The other nodes have not received the full entry of this process yet.
            known = False
        if member.status == MEMBER_STATUS_LEAVING:
            # Sent as a full entry, so that a node that lacks the member does not add it as alive
            # later.
            known = False
        self.pending[key] = PendingUpdate(member, known, own)

    def record_duplicate(self, update: Member) -> None:
        """Counts a received duplicate of a queued update as sent once if there is a backlog.

        Updates that other nodes already gossip need fewer transmissions (rumor mongering with
        feedback: Demers et al., "Epidemic Algorithms for Replicated Database Maintenance", PODC
        1987).
        """
        queued = self.pending.get(member_id(update))
        if len(self.pending) < BACKLOG_SIZE or queued is None or queued.is_urgent:
            return
        if (queued.revision, queued.status) == (
            update.revision,
            update.status,
        ):
            queued.sent += 1

    def is_urgent(self) -> bool:
        """Returns whether a queued update must not wait until a datagram is full."""
        if len(self.pending) <= SMALL_QUEUE_SIZE:
            return True
        return any(update.is_urgent for update in self.pending.values())

    def take(self, members: int, room: int = MAX_UPDATE_BYTES) -> TakenUpdates:
        """Returns the updates that fit, the most urgent first, and counts them as sent."""
        taken = TakenUpdates([], [])
        if not self.pending:
            return taken
        limit = TRANSMISSION_FACTOR * max(1, ceil(log10(members + 1)))
        for key, update in sorted(self.pending.items(), key=lambda item: item[1].urgency):
            if update.size > room:
                continue
            room -= update.size
            if isinstance(update.content, Member):
                taken.members.append(update.content)
            else:
                taken.changes.append(update.content)
            update.sent += 1
            if update.sent >= limit:
                del self.pending[key]
        return taken

"""Changes of members that wait to be piggybacked on datagrams."""

from math import ceil, log10

from coltsfoottrack._internal.membership.table import member_id
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import Member

MAX_UPDATE_BYTES = 600
# Each update is sent this many times log10(N), as in the gossip analysis of SWIM (Das, Gupta and
# Motivala, DSN 2002), which needs a small multiple of log(N) to reach all with high probability.
TRANSMISSION_FACTOR = 4
# Tag and length of a repeated message field.
FIELD_OVERHEAD_BYTES = 3


class PendingUpdate:
    """An update and how often it was sent."""

    def __init__(self, member: Member) -> None:
        self.member = member
        self.size = member.ByteSize() + FIELD_OVERHEAD_BYTES
        self.sent = 0


class UpdateQueue:
    """The newest update of each member, dropped when it was sent often enough."""

    def __init__(self) -> None:
        self.pending: dict[str, PendingUpdate] = {}

    def add(self, member: Member) -> None:
        """Queues an update in place of an older one of the same member."""
        copy = Member()
        copy.CopyFrom(member)
        self.pending[member_id(member)] = PendingUpdate(copy)

    def take(self, members: int, room: int = MAX_UPDATE_BYTES) -> list[Member]:
        """Returns the updates sent least often so far that fit, and counts them as sent."""
        if not self.pending:
            return []
        limit = TRANSMISSION_FACTOR * max(1, ceil(log10(members + 1)))
        taken = []
        for key, update in sorted(self.pending.items(), key=lambda item: item[1].sent):
            if update.size > room:
                continue
            room -= update.size
            taken.append(update.member)
            update.sent += 1
            if update.sent >= limit:
                del self.pending[key]
        return taken

"""Selection of the backup node that stores copies of outcomes for a home."""

from hashlib import blake2b
from time import monotonic

from coltsfoottrack._internal.membership.table import MembershipTable, member_id, peer_address
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import MEMBER_STATUS_ALIVE, Member

REFRESH_SECONDS = 1.0


def ring_position(name: str) -> bytes:
    """Returns the position of a node's name on the ring, the same at every node."""
    return blake2b(name.encode(), digest_size=8).digest()


class BackupSelector:
    """Selects the next alive node of another failure domain on a hash ring of node names.

    Nodes of the same service are preferred. Only one backup is used at a time, since each message
    to another one costs as much as dozens of copies. On the ring each node is the backup of about
    one other node, and only the neighbours of a node that joins or leaves select a new backup. The
    selection is refreshed once a second, so that issuing a key does not iterate over all members.
    """

    def __init__(
        self, members: MembershipTable, service: str, name: str, failure_domain: str
    ) -> None:
        self.members = members
        self.service = service
        self.position = ring_position(name)
        self.failure_domain = failure_domain
        self.address = ""
        self.refresh_at = 0.0

    def choose(self) -> str:
        """Returns the backup's peer address, empty if no other failure domain has a node."""
        now = monotonic()
        if now >= self.refresh_at:
            self.refresh_at = now + REFRESH_SECONDS
            self._refresh()
        return self.address

    def _refresh(self) -> None:
        same_service: list[Member] = []
        others: list[Member] = []
        for member in self.members.members.values():
            if member.status != MEMBER_STATUS_ALIVE:
                continue
            if member.failure_domain == self.failure_domain:
                continue
            group = same_service if member.service == self.service else others
            group.append(member)
        candidates = same_service or others
        self.address = ""
        if candidates:
            self.address = peer_address(min(candidates, key=self._distance))

    def _distance(self, member: Member) -> tuple[bool, bytes]:
        position = ring_position(member_id(member))
        return (position < self.position, position)

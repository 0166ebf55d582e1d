"""Choice of the node that keeps copies of outcomes for a home."""

from time import monotonic

from coltsfoottrack._internal.membership.table import MembershipTable, peer_address
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import MEMBER_STATUS_ALIVE

CHOICE_SECONDS = 1.0


class BackupChoice:
    """Picks live nodes of other failure domains in turn, those of the same service first.

    The list is renewed once a second, as issuing a key must not walk over all members.
    """

    def __init__(self, members: MembershipTable, service: str, failure_domain: str) -> None:
        self.members = members
        self.service = service
        self.failure_domain = failure_domain
        self.addresses: list[str] = []
        self.renew_at = 0.0
        self.turn = 0

    def choose(self) -> str:
        """Returns the peer address of a backup node, empty if no other domain is known."""
        now = monotonic()
        if now >= self.renew_at:
            self.renew_at = now + CHOICE_SECONDS
            self._renew()
        if not self.addresses:
            return ""
        self.turn += 1
        return self.addresses[self.turn % len(self.addresses)]

    def _renew(self) -> None:
        own_service = []
        others = []
        for member in self.members.members.values():
            if member.status != MEMBER_STATUS_ALIVE:
                continue
            if member.failure_domain == self.failure_domain:
                continue
            line = own_service if member.service == self.service else others
            line.append(peer_address(member))
        self.addresses = own_service or others

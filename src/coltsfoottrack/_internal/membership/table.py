"""The members of the cluster as one process knows them."""

from asyncio import Event

from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import (
    MEMBER_STATUS_ALIVE,
    MEMBER_STATUS_DEAD,
    MEMBER_STATUS_LEAVING,
    MEMBER_STATUS_SUSPECT,
    Member,
)

STATUS_STRENGTH = {
    MEMBER_STATUS_ALIVE: 0,
    MEMBER_STATUS_SUSPECT: 1,
    MEMBER_STATUS_LEAVING: 2,
    MEMBER_STATUS_DEAD: 3,
}


def member_id(member: Member) -> str:
    """Returns the name under which a member is known, service and node name."""
    return f"{member.service}/{member.name}"


def call_address(member: Member) -> str:
    """Returns the address for calls, HOST:PORT."""
    return f"{member.address}:{member.call_port}"


def peer_address(member: Member) -> str:
    """Returns the address for peers and operators, HOST:PORT."""
    return f"{member.address}:{member.peer_port}"


class MembershipTable:
    """Members by name. Newer revisions win; at equal revision the stronger status wins."""

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}
        self.changed = Event()

    def merge(self, update: Member) -> bool:
        """Takes over an update if it is newer; returns whether it was."""
        key = member_id(update)
        known = self.members.get(key)
        if known is not None and not supersedes(update, known):
            return False
        member = Member()
        member.CopyFrom(update)
        self.members[key] = member
        self._notify()
        return True

    def remove(self, key: str) -> None:
        """Forgets a member."""
        if self.members.pop(key, None) is not None:
            self._notify()

    def serving(self, service: str) -> list[Member]:
        """Returns the members of a service that may get new work."""
        found = []
        for member in self.members.values():
            if member.service != service or not member.backend_ready:
                continue
            if member.status in (MEMBER_STATUS_ALIVE, MEMBER_STATUS_SUSPECT):
                found.append(member)
        return found

    def _notify(self) -> None:
        self.changed.set()
        self.changed = Event()


def supersedes(update: Member, known: Member) -> bool:
    """Tells whether an update is newer than what is known of the same member."""
    if update.revision != known.revision:
        return update.revision > known.revision
    return STATUS_STRENGTH.get(update.status, 0) > STATUS_STRENGTH.get(known.status, 0)

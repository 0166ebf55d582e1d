"""Local view of the members of the cluster."""

from asyncio import Event
from hashlib import blake2b
from time import monotonic

from coltsfoottrack._internal.calls.identifiers import IdempotencyKey
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import (
    MEMBER_STATUS_ALIVE,
    MEMBER_STATUS_DEAD,
    MEMBER_STATUS_LEAVING,
    MEMBER_STATUS_SUSPECT,
    Member,
    MemberChange,
)

STATUS_STRENGTH = {
    MEMBER_STATUS_ALIVE: 0,
    MEMBER_STATUS_SUSPECT: 1,
    MEMBER_STATUS_LEAVING: 2,
    MEMBER_STATUS_DEAD: 3,
}


# Membership updates arrive well within this time; until then the report in an answer counts.
LEAVING_REPORT_SECONDS = 5.0


def member_id(member: Member) -> str:
    """Returns the unique name of a member, made of its service and node name."""
    return f"{member.service}/{member.name}"


def call_address(member: Member) -> str:
    """Returns the address for calls, HOST:PORT."""
    return f"{member.address}:{member.call_port}"


def peer_address(member: Member) -> str:
    """Returns the address for peers and operators, HOST:PORT."""
    return f"{member.address}:{member.peer_port}"


class MembershipTable:
    """Members by name.

    A process that started later replaces an earlier one of the same name. Within a process the
    greater revision wins, and at equal revisions the stronger status.
    """

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}
        # Member names by process digest.
        self.processes: dict[int, str] = {}
        self.changed = Event()
        self.serving_cache: dict[str, list[Member]] = {}
        # Expiry times by the call address of nodes that reported in an answer that they leave.
        self.leaving_reports: dict[str, float] = {}
        # Monotonic time at which a member was first seen serving, by member name.
        self.ready_since: dict[str, float] = {}

    def merge(self, update: Member) -> bool:
        """Merges an update if it is newer than the known entry; returns whether it was."""
        key = member_id(update)
        known = self.members.get(key)
        if known is not None and not supersedes(update, known):
            return False
        member = Member()
        member.CopyFrom(update)
        if known is None or process_order(known) != process_order(member):
            if known is not None:
                self.processes.pop(process_digest(known), None)
            self.processes[process_digest(member)] = key
        self.members[key] = member
        if is_serving(member, member.service) and not _was_serving(known, member):
            self.ready_since[key] = monotonic()
        self.leaving_reports.pop(call_address(member), None)
        self._notify(update.service)
        return True

    def remove(self, key: str) -> None:
        """Removes a member."""
        member = self.members.pop(key, None)
        if member is not None:
            self.ready_since.pop(key, None)
            self.processes.pop(process_digest(member), None)
            self._notify(member.service)

    def changed_member(self, change: MemberChange) -> Member | None:
        """Returns a member's entry with a change applied, or None if its process is unknown."""
        known = self.members.get(self.processes.get(change.process, ""))
        if known is None:
            return None
        member = Member()
        member.CopyFrom(known)
        member.revision = change.revision
        member.status = change.status
        member.backend_ready = change.backend_ready
        return member

    def serving(self, service: str) -> list[Member]:
        """Returns the members of a service that may get new work.

        The list is cached and must not be modified.
        """
        found = self.serving_cache.get(service)
        if found is None:
            found = [member for member in self.members.values() if is_serving(member, service)]
            if found:
                self.serving_cache[service] = found
        if not self.leaving_reports:
            return found
        remaining = [
            member for member in found if not self._is_reported_leaving(call_address(member))
        ]
        return remaining or found

    def home_of(self, key: IdempotencyKey) -> Member | None:
        """Returns the home that a key names, or None if no known member has its name and address.

        Keys come from outside, and only the home can verify them. Without this check a forged key
        could make a node send a request to any address.
        """
        member = self.members.get(key.home)
        if member is None or call_address(member) != key.home_call_address:
            return None
        return member

    def has_peer_address(self, address: str) -> bool:
        """Returns whether a known member has this peer address."""
        return any(peer_address(member) == address for member in self.members.values())

    def report_leaving(self, address: str) -> None:
        """Records that the node at a call address reported in an answer that it leaves."""
        self.leaving_reports[address] = monotonic() + LEAVING_REPORT_SECONDS

    def _is_reported_leaving(self, address: str) -> bool:
        expiry = self.leaving_reports.get(address)
        if expiry is None:
            return False
        if expiry > monotonic():
            return True
        del self.leaving_reports[address]
        return False

    def _notify(self, service: str) -> None:
        self.serving_cache.pop(service, None)
        self.changed.set()
        self.changed = Event()


def is_serving(member: Member, service: str) -> bool:
    """Returns whether a member belongs to the service and may get new work."""
    if member.service != service or not member.backend_ready:
        return False
    return member.status in (MEMBER_STATUS_ALIVE, MEMBER_STATUS_SUSPECT)


def _was_serving(known: Member | None, member: Member) -> bool:
    """Returns whether the known entry is of the same process and was already serving."""
    if known is None or process_order(known) != process_order(member):
        return False
    return is_serving(known, known.service)


def process_order(member: Member) -> tuple[int, int]:
    """Returns the sort key of the processes of one name; the greatest replaces the others."""
    return (member.start_order, member.incarnation)


def process_digest(member: Member) -> int:
    """Returns a digest that identifies one process of a member."""
    text = f"{member_id(member)} {member.start_order} {member.incarnation}"
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


def supersedes(update: Member, known: Member) -> bool:
    """Returns whether an update is newer than the known entry of the same member."""
    if process_order(update) != process_order(known):
        return process_order(update) > process_order(known)
    if update.revision != known.revision:
        return update.revision > known.revision
    return STATUS_STRENGTH.get(update.status, 0) > STATUS_STRENGTH.get(known.status, 0)

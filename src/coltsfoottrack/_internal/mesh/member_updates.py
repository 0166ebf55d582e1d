"""Applies member records that this node receives and passes them on to its subscribers."""

from collections.abc import Callable, Iterable

from coltsfoottrack._internal.mesh.decisions import DecisionLog
from coltsfoottrack._internal.mesh.directory import Directory
from coltsfoottrack._internal.mesh.model import Member

# Changes that arrive together are logged one by one up to this number, and as one line beyond it.
MAX_SINGLE_LINES = 3
# Bound on the unreadable records that are remembered; beyond it, they are logged anew.
MAX_UNREADABLE = 256


class MemberUpdates:
    """The one way by which records of other nodes enter the directory."""

    def __init__(self, directory: Directory, log: DecisionLog) -> None:
        self.directory = directory
        self.log = log
        # Called with each record that was new here.
        self.on_learned: Callable[[Member], None] = lambda member: None
        # Called with each record of this node itself.
        self.on_own_record: Callable[[Member], None] = lambda member: None
        # Revisions of the stored records that could not be read, by name.
        self.unreadable: dict[str, int] = {}

    def note_unreadable(self, node: str, revision: int, source: str) -> None:
        """Logs a stored record that cannot be read, once for each version of it."""
        if self.unreadable.get(node) == revision:
            return
        if len(self.unreadable) >= MAX_UNREADABLE:
            self.unreadable.clear()
        self.unreadable[node] = revision
        self.log.decision("member_unreadable", member=node, revision=revision, source=source)

    def learn(self, members: Iterable[Member], source: str, direct: bool = False) -> None:
        """Stores the records that are newer than the known ones.

        ``direct`` states that the record comes from the node that it describes.
        """
        learned = []
        for member in members:
            if member.node == self.directory.own.node:
                self.on_own_record(member)
                continue
            if not self.directory.put(member, direct):
                continue
            learned.append(member)
            self.on_learned(member)
        if len(learned) > MAX_SINGLE_LINES:
            left = [member.node for member in learned if member.left]
            self.log.decision("members_learned", members=len(learned), left=left, source=source)
            return
        for member in learned:
            self.log.decision(
                "member_learned",
                member=member.node,
                backend=member.backend,
                accepting=member.accepting,
                left=member.left,
                epoch=member.epoch,
                serial=member.serial,
                source=source,
            )

    def learn_direct(self, member: Member, source: str) -> Member | None:
        """Stores a record that comes from the node that it describes.

        Returns the record that the node lacks if its backend server leaves and it does not know: it
        may have been restarted, and not have heard of its server at all.
        """
        peer = self.directory.peers.get(member.node)
        before = peer.member if peer is not None else member
        self.learn((member,), source, direct=True)
        if before.undated_leave_ms > member.undated_leave_ms:
            return before
        is_older = member.backend_started_ms < before.backend_started_ms
        if before.left and before.backend and is_older and not member.left:
            return before
        known = self.directory.peers.get(member.node)
        if known is None or member.left or not known.member.left:
            return None
        if known.member.backend != member.backend:
            return None
        if known.member.backend_started_ms != member.backend_started_ms:
            return None
        return known.member

    def remove(self, node: str, record: Member | None, source: str) -> None:
        """Marks a member as left whose stored record was deleted, unless its process was newer.

        ``record`` is the deleted record if the store still tells it. The deletion may have been
        overtaken, so it is not the final leave of a backend server's process, and names none.
        """
        known = self.directory.peers.get(node)
        if known is None or node == self.directory.own.node or known.member.left:
            return
        if record is not None and known.member.epoch != record.epoch:
            return
        removed = known.member._replace(
            left=True, backend="", backend_started_ms=0, serial=known.member.serial + 1
        )
        self.learn([removed], source)

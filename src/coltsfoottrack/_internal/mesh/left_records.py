"""Bounds the stored records of nodes whose backend servers have left.

Such a record keeps an acknowledged leave for the node's next process. A machine that is removed
before its server has ended leaves it behind, and the store forgets nothing by itself.
"""

from coltsfoottrack._internal.mesh.decisions import DecisionLog
from coltsfoottrack._internal.mesh.directory import Directory
from coltsfoottrack._internal.mesh.exceptions import StoreError
from coltsfoottrack._internal.mesh.store import MemberChange, Store
from coltsfoottrack._internal.mesh.watchers import watcher_order

# Records that are kept at least; in a larger mesh, as many as there are members.
MIN_KEPT_RECORDS = 64
# Records deleted after one answer of the store.
MAX_DELETED_AT_ONCE = 16


class LeftRecords:
    """The stored records of nodes whose backend servers have left, by node."""

    def __init__(self, store: Store, directory: Directory, log: DecisionLog) -> None:
        self.store = store
        self.directory = directory
        self.log = log
        # Revision of the record.
        self.revisions: dict[str, int] = {}

    def note(self, changes: list[MemberChange]) -> None:
        """Notes records that were read from the store."""
        for change in changes:
            if not change.deleted and change.member is not None and change.member.left:
                self.revisions[change.node] = change.revision
            else:
                self.revisions.pop(change.node, None)

    def _is_responsible(self) -> bool:
        """Returns whether this node deletes records for all others."""
        order = watcher_order(self.directory.known_members())
        return bool(order) and order[0].node == self.directory.own.node

    async def delete_oldest(self) -> None:
        """Deletes the oldest records if there are too many."""
        members = len(self.directory.known_members())
        surplus = len(self.revisions) - max(MIN_KEPT_RECORDS, members)
        if surplus <= 0 or not self._is_responsible():
            return
        oldest = sorted(self.revisions, key=lambda node: self.revisions[node])
        for node in oldest[: min(surplus, MAX_DELETED_AT_ONCE)]:
            try:
                await self.store.delete_member(node, self.revisions[node])
            except StoreError as error:
                self.log.decision("left_record_kept", member=node, problem=str(error))
                return
            self.revisions.pop(node, None)
            self.log.decision("left_record_deleted", member=node)

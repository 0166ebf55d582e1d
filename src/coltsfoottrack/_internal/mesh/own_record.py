"""The member record of this node in the store.

The record lets new nodes find this one, and keeps the leave of its backend server if all processes
end at once. All else about members passes between the nodes, so the record is written only when
its address, service or leave changes, and when the store has lost what it acknowledged.
"""

from asyncio import Event, sleep, wait_for
from collections.abc import Callable
from random import uniform
from typing import NamedTuple

from coltsfoottrack._internal.mesh.backoff import Backoff
from coltsfoottrack._internal.mesh.decisions import DecisionLog
from coltsfoottrack._internal.mesh.directory import Directory
from coltsfoottrack._internal.mesh.exceptions import StoreConflictError, StoreError
from coltsfoottrack._internal.mesh.model import Member
from coltsfoottrack._internal.mesh.store import Store

# Rate at which all nodes together write their records again to a restored store, which leaves room
# for other writes.
REWRITES_PER_SECOND = 200.0


class LastingState(NamedTuple):
    """The part of a member record that must be stored again when it changes."""

    address: str
    failure_domain: str
    service: str
    # Identifies the backend server that has left; empty and 0 while it has not.
    left_backend: str
    left_backend_started_ms: int
    # Leave of a backend server of which no process is known; empty and 0 if there is none.
    undated_leave: str
    undated_leave_ms: int

    @classmethod
    def of(cls, member: Member) -> "LastingState":
        """Returns the lasting part of a record."""
        return cls(
            member.address,
            member.failure_domain,
            member.service,
            member.backend if member.left else "",
            member.backend_started_ms if member.left else 0,
            member.undated_leave,
            member.undated_leave_ms,
        )


class OwnRecord:
    """Writes this node's record and reads what an earlier process of the node has written."""

    def __init__(self, store: Store, directory: Directory, log: DecisionLog) -> None:
        self.store = store
        self.directory = directory
        self.log = log
        self.changed = Event()
        self.revision: int | None = None
        self.written: LastingState | None = None
        # The store came back from an older copy, which may lack the record.
        self.restored = False
        # Called with a record that an earlier process of this node has written.
        self.on_previous: Callable[[Member], None] = lambda member: None
        self.backoff = Backoff("own_record", log)

    async def run(self, first_start: bool) -> None:
        """Reads what an earlier process has written, then writes the record on each change.

        Runs until cancelled. At the first start of the mesh there is no earlier process.
        """
        if not first_start:
            try:
                await self._read_previous()
            except StoreError as error:
                self.log.decision("own_record_unread", problem=str(error))
        await self.write_changes()

    async def write_changes(self) -> None:
        """Writes the record on each change until cancelled."""
        while True:
            await self.changed.wait()
            self.changed.clear()
            if self.restored:
                await self._await_turn()
            member = self.directory.own
            if not member.backend and not member.undated_leave:
                continue
            if LastingState.of(member) == self.written:
                continue
            try:
                # Only a leave must outlast this process; other reasons not to accept do not.
                await self._write(member._replace(accepting=not member.left))
            except StoreError as error:
                self.changed.set()
                self.revision = None
                await sleep(self.backoff.record_failure(error))
                continue
            self.backoff.record_success()

    def handle_restored(self) -> None:
        """Writes the record again, as the store may have lost it."""
        self.written = None
        self.restored = True
        self.changed.set()

    async def _await_turn(self) -> None:
        """Spreads the writes of all nodes to a restored store; a leave is written at once."""
        if self.directory.own.left:
            return
        seconds = uniform(0.0, len(self.directory.peers) / REWRITES_PER_SECOND)
        try:
            await wait_for(self.changed.wait(), seconds)
        except TimeoutError:
            return
        self.changed.clear()

    async def _write(self, member: Member) -> None:
        """Writes conditionally, so that a delayed earlier write cannot take effect afterwards."""
        was_restored = self.restored
        self.restored = False
        if self.revision is not None:
            try:
                self.revision = await self.store.replace_member(member, self.revision)
            except StoreConflictError as error:
                self.revision = None
                if not was_restored:
                    raise StoreError("member record was modified concurrently") from error
        if self.revision is None:
            try:
                self.revision = await self.store.create_member(member)
            except StoreConflictError as error:
                if not await self._read_previous():
                    raise StoreError("member record was removed concurrently") from error
                return
        if not self.restored:
            self.written = LastingState.of(member)
        self.log.decision(
            "own_record_written",
            revision=self.revision,
            backend=member.backend,
            accepting=member.accepting,
            serial=member.serial,
        )

    async def _read_previous(self) -> bool:
        """Reads the stored record, which is written again if this node's state differs from it.

        Returns False if there is none. Raises StoreError.
        """
        found = await self.store.read_member(self.directory.own.node)
        if found is None:
            return False
        self.revision = found.revision
        self.changed.set()
        if found.member is None:
            return True
        self.written = LastingState.of(found.member)
        if found.member.epoch != self.directory.own.epoch:
            self.on_previous(found.member)
        return True

    async def delete(self, seconds: float) -> None:
        """Removes the record of a node whose backend server has left and ended.

        Before its end the record is what remembers the leave for the node's next process.
        """
        if self.revision is None:
            return
        try:
            await wait_for(
                self.store.delete_member(self.directory.own.node, self.revision), seconds
            )
        except (StoreError, TimeoutError) as error:
            self.log.decision("own_record_left_behind", problem=str(error))

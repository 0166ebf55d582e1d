"""Synchronizes a node with the platform's store: configuration, members, its own record."""

from asyncio import Event, sleep, wait_for
from collections.abc import Callable
from random import uniform
from typing import NamedTuple
from typing import Protocol as Interface

from coltsfoottrack._internal.mesh.configuration import ActiveConfiguration
from coltsfoottrack._internal.mesh.decisions import DecisionLog
from coltsfoottrack._internal.mesh.directory import Directory
from coltsfoottrack._internal.mesh.exceptions import (
    StoreConflictError,
    StoreError,
    StoreHistoryLostError,
)
from coltsfoottrack._internal.mesh.model import Member

# Random pause after a failure, so that the nodes do not all call the store at once.
MIN_PAUSE_SECONDS = 0.2
MAX_PAUSE_SECONDS = 0.6
WRITE_PAUSE_SECONDS = 0.5
# Members change in groups, for example at a first start or a release. Each answer of a watch costs
# one call, so the pause lets one answer collect all changes of this time.
MEMBER_PAUSE_SECONDS = 0.4


class ConfigurationChange(NamedTuple):
    """The configuration object, or None if it did not change, and the revision to continue from."""

    content: bytes | None
    revision: int


class MemberChange(NamedTuple):
    """A stored member record; ``member`` is None if it was deleted or is unreadable."""

    node: str
    member: Member | None
    revision: int
    deleted: bool


class MemberChanges(NamedTuple):
    """Changed records and the revision to continue from."""

    changes: list[MemberChange]
    revision: int


class Store(Interface):
    """The store's calls used by a node. All raise StoreError."""

    async def read_configuration(self) -> ConfigurationChange:
        """Returns the newest configuration."""

    async def watch_configuration(self, revision: int) -> ConfigurationChange:
        """Waits for a change. Raises StoreHistoryLostError."""

    async def list_members(self) -> MemberChanges:
        """Returns all member records."""

    async def watch_members(self, revision: int) -> MemberChanges:
        """Waits for changes. Raises StoreHistoryLostError."""

    async def read_member(self, node: str) -> MemberChange | None:
        """Returns one record, None if there is none."""

    async def create_member(self, member: Member) -> int:
        """Stores a new record and returns its revision. Raises StoreConflictError."""

    async def replace_member(self, member: Member, revision: int) -> int:
        """Replaces a record and returns its new revision. Raises StoreConflictError."""

    async def delete_member(self, node: str, revision: int) -> None:
        """Removes a record. Raises StoreConflictError."""


class StoreSync:
    """Follows configuration and members in the store and writes this node's record on change."""

    def __init__(
        self,
        store: Store,
        active_configuration: ActiveConfiguration,
        directory: Directory,
        log: DecisionLog,
    ) -> None:
        self.store = store
        self.active_configuration = active_configuration
        self.directory = directory
        self.log = log
        self.failing: dict[str, int] = {}
        self.members_listed = False
        self.own_changed = Event()
        self.own_revision: int | None = None
        self.own_written: Member | None = None
        # Called with a record that an earlier process of this node has written.
        self.on_previous_own_record: Callable[[Member], None] = lambda member: None

    async def follow_configuration(self) -> None:
        """Follows the configuration until cancelled."""
        revision: int | None = None
        while True:
            try:
                if revision is None:
                    change = await self.store.read_configuration()
                else:
                    change = await self.store.watch_configuration(revision)
            except StoreHistoryLostError:
                revision = None
                continue
            except StoreError as error:
                await self._record_failure("configuration", error)
                continue
            self._record_success("configuration")
            if change.content is not None:
                self.active_configuration.apply_if_newer(
                    change.content, f"store revision {change.revision}"
                )
            elif revision is None:
                # No configuration is stored yet.
                await sleep(uniform(MIN_PAUSE_SECONDS, MAX_PAUSE_SECONDS))
            revision = change.revision

    async def follow_members(self) -> None:
        """Follows the member records until cancelled."""
        revision: int | None = None
        while True:
            try:
                if revision is None:
                    found = await self.store.list_members()
                    self._drop_missing(found.changes)
                else:
                    found = await self.store.watch_members(revision)
            except StoreHistoryLostError:
                revision = None
                continue
            except StoreError as error:
                await self._record_failure("members", error)
                continue
            self._record_success("members")
            revision = found.revision
            for change in found.changes:
                self._apply_change(change)
            self.members_listed = True
            if found.changes:
                await sleep(MEMBER_PAUSE_SECONDS)

    def _drop_missing(self, changes: list[MemberChange]) -> None:
        """Removes members whose records are no longer stored."""
        names = {change.node for change in changes}
        for node in list(self.directory.peers):
            if node not in names and self.members_listed:
                self.directory.remove(node)

    def _apply_change(self, change: MemberChange) -> None:
        if change.node == self.directory.own.node:
            self._apply_own_change(change)
            return
        if change.deleted:
            self.directory.remove(change.node)
            self.log.decision("member_removed", member=change.node, revision=change.revision)
            return
        if change.member is None:
            self.log.decision("member_unreadable", member=change.node, revision=change.revision)
            return
        if self.directory.put(change.member):
            self.log.decision(
                "member_learned",
                member=change.node,
                backend=change.member.backend,
                accepting=change.member.accepting,
                epoch=change.member.epoch,
                serial=change.member.serial,
                source=f"store revision {change.revision}",
            )

    def _apply_own_change(self, change: MemberChange) -> None:
        if change.deleted:
            self.own_revision = None
            return
        self.own_revision = change.revision
        member = change.member
        if member is not None and member.epoch != self.directory.own.epoch:
            self.on_previous_own_record(member)

    async def write_own_record(self) -> None:
        """Writes the record of this node on each change until cancelled."""
        while True:
            await self.own_changed.wait()
            self.own_changed.clear()
            member = self.directory.own
            if not member.backend:
                continue
            if self.own_written is not None and _equal_for_peers(self.own_written, member):
                continue
            # Only a leave must outlast this process; other reasons not to accept requests do not.
            try:
                await self._write(member._replace(accepting=not member.left))
            except StoreError as error:
                self.own_changed.set()
                self.own_revision = None
                await self._record_failure("own_record", error)
                await sleep(WRITE_PAUSE_SECONDS)
                continue
            self._record_success("own_record")
            self.own_written = member

    async def _write(self, member: Member) -> None:
        """Writes conditionally, so that a delayed earlier write cannot take effect afterwards."""
        if self.own_revision is None:
            found = await self.store.read_member(member.node)
            if found is not None:
                self._apply_own_change(found)
        try:
            if self.own_revision is None:
                self.own_revision = await self.store.create_member(member)
            else:
                self.own_revision = await self.store.replace_member(member, self.own_revision)
        except StoreConflictError as error:
            self.own_revision = None
            raise StoreError("member record was modified concurrently") from error
        self.log.decision(
            "own_record_written",
            revision=self.own_revision,
            backend=member.backend,
            accepting=member.accepting,
            serial=member.serial,
        )

    async def delete_own_record(self, seconds: float) -> None:
        """Removes the record of a node whose backend server has left."""
        if self.own_revision is None:
            return
        try:
            await wait_for(
                self.store.delete_member(self.directory.own.node, self.own_revision), seconds
            )
        except (StoreError, TimeoutError) as error:
            self.log.decision("own_record_left_behind", problem=str(error))

    async def _record_failure(self, what: str, error: StoreError) -> None:
        count = self.failing.get(what, 0)
        self.failing[what] = count + 1
        if not count:
            self.log.decision("store_lost", what=what, problem=str(error))
        await sleep(uniform(MIN_PAUSE_SECONDS, MAX_PAUSE_SECONDS))

    def _record_success(self, what: str) -> None:
        failures = self.failing.pop(what, 0)
        if failures:
            self.log.decision("store_regained", what=what, failures=failures)


def _equal_for_peers(first: Member, second: Member) -> bool:
    """Returns whether two records differ only in fields that need not be stored again."""
    return _without_volatile_fields(first) == _without_volatile_fields(second)


def _without_volatile_fields(member: Member) -> Member:
    return member._replace(serial=0, report_number=0, cold_ms=0, accepting=False)

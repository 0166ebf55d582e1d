"""Follows configuration and members in the store while this node has to."""

from asyncio import Task, get_running_loop, sleep
from collections.abc import Callable, Coroutine
from random import uniform
from typing import Any

from coltsfoottrack._internal.mesh.backoff import (
    MAX_PAUSE_SECONDS,
    MIN_PAUSE_SECONDS,
    Backoff,
)
from coltsfoottrack._internal.mesh.clock import current_time
from coltsfoottrack._internal.mesh.configuration import ActiveConfiguration
from coltsfoottrack._internal.mesh.decisions import DecisionLog
from coltsfoottrack._internal.mesh.exceptions import StoreError, StoreHistoryLostError
from coltsfoottrack._internal.mesh.left_records import LeftRecords
from coltsfoottrack._internal.mesh.member_updates import MemberUpdates
from coltsfoottrack._internal.mesh.store import (
    ConfigurationChange,
    MemberChange,
    ProbeResult,
    Store,
)
from coltsfoottrack._internal.mesh.watch_guard import WatchGuard

# Each answer of a watch costs one call; the pause lets one answer collect the changes of this time.
# Changes also pass between the nodes, so they need not be read at once.
MEMBER_PAUSE_SECONDS = 1.0


class StoreWatch:
    """The watches of configuration and members; idle unless started."""

    def __init__(
        self,
        store: Store,
        active_configuration: ActiveConfiguration,
        members: MemberUpdates,
        log: DecisionLog,
    ) -> None:
        self.store = store
        self.active_configuration = active_configuration
        self.members = members
        self.log = log
        self.left_records = LeftRecords(store, members.directory, log)
        self.tasks: list[Task[None]] = []
        # Whether the store has answered the last call for the configuration.
        self.following = False
        # Time of the last answer that confirms the configuration, None if there was none. A watch
        # that waits confirms nothing by itself.
        self.confirmed_at: float | None = None
        self.guard = WatchGuard(store)
        self.guard.on_missed = self._apply_missed
        self.guard.on_answered = self._handle_probed
        # Called each time that the store has confirmed the configuration.
        self.on_confirmed: Callable[[], None] = lambda: None

    @property
    def started(self) -> bool:
        """Whether this node follows the store, or tries to."""
        return bool(self.tasks)

    def start(self) -> None:
        """Starts following the store."""
        if not self.tasks:
            self.log.decision("store_watch_started")
            self._start_following()

    async def look(self) -> None:
        """Starts following the store if it answers this node. Raises StoreError."""
        await self.store.probe(new_connection=True)
        change = await self.store.read_configuration()
        self._confirm(change)
        self.start()

    def _start_following(self) -> None:
        self.guard.reset()
        self._start(self.guard.run())
        self._start(self._follow_configuration())
        self._start(self._follow_members())

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        self.tasks.append(get_running_loop().create_task(work))

    def restart(self) -> None:
        """Reads everything anew, as earlier revisions mean nothing to a restored store."""
        if not self.tasks:
            return
        self._cancel()
        self._set_following(False)
        self._start_following()

    def _cancel(self) -> None:
        for task in self.tasks:
            task.cancel()
        self.tasks = []

    def stop(self) -> None:
        """Stops following the store."""
        if not self.tasks:
            return
        self.log.decision("store_watch_stopped")
        self._cancel()
        self._set_following(False)

    async def _follow_configuration(self) -> None:
        revision: int | None = None
        backoff = Backoff("configuration", self.log)
        while True:
            try:
                if revision is None:
                    change = await self.store.read_configuration()
                else:
                    self.guard.revision = revision
                    change = await self.guard.hold(self.store.watch_configuration(revision))
            except StoreHistoryLostError:
                self._set_following(False)
                revision = None
                continue
            except StoreError as error:
                self._set_following(False)
                await sleep(backoff.record_failure(error))
                # A read tells at once whether the store is back; a watch may wait for a change.
                revision = None
                continue
            backoff.record_success()
            self._set_following(True)
            self._confirm(change)
            if change.content is None and revision is None:
                # No configuration is stored yet.
                await sleep(uniform(MIN_PAUSE_SECONDS, MAX_PAUSE_SECONDS))
                continue
            revision = change.revision

    def _apply_missed(self, result: ProbeResult) -> None:
        """Applies a configuration that a probe has shown and the watch has not."""
        if result.content is not None:
            self.active_configuration.apply_if_newer(
                result.content, f"probe, store revision {result.revision}"
            )

    def _confirm(self, change: ConfigurationChange) -> None:
        """Applies an answer of the store and tells the subscribers that it has confirmed it."""
        self.confirmed_at = current_time()
        before = self.active_configuration.version
        if change.content is not None:
            self.active_configuration.apply_if_newer(
                change.content, f"store revision {change.revision}"
            )
        # A newer configuration tells them when it comes into force.
        if self.active_configuration.version == before:
            self.on_confirmed()

    def _handle_probed(self) -> None:
        """Notes that the watch, which would have failed with the probe, shows all changes."""
        if self.following:
            self.confirmed_at = current_time()
            self.on_confirmed()

    def _set_following(self, following: bool) -> None:
        self.following = following

    async def _follow_members(self) -> None:
        revision: int | None = None
        backoff = Backoff("members", self.log)
        while True:
            try:
                if revision is None:
                    found = await self.store.list_members()
                else:
                    found = await self.guard.hold(self.store.watch_members(revision))
            except StoreHistoryLostError:
                revision = None
                continue
            except StoreError as error:
                await sleep(backoff.record_failure(error))
                continue
            backoff.record_success()
            revision = found.revision
            apply_member_changes(self.members, found.changes, f"store revision {revision}")
            self.left_records.note(found.changes)
            await self.left_records.delete_oldest()
            if found.changes:
                await sleep(MEMBER_PAUSE_SECONDS)


def apply_member_changes(members: MemberUpdates, changes: list[MemberChange], source: str) -> None:
    """Applies member records that were read from the store."""
    learned = []
    for change in changes:
        if change.deleted:
            members.remove(change.node, change.member, source)
            continue
        if change.member is None:
            members.note_unreadable(change.node, change.revision, source)
            continue
        learned.append(change.member)
    members.learn(learned, source)

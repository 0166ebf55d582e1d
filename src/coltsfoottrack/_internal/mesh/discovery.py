"""Finds other nodes while this node hears from none: in the store, and at the seed addresses."""

from asyncio import sleep
from collections.abc import Callable
from random import uniform

from coltsfoottrack._internal.mesh.backoff import Backoff
from coltsfoottrack._internal.mesh.clock import current_time
from coltsfoottrack._internal.mesh.decisions import DecisionLog
from coltsfoottrack._internal.mesh.exceptions import StoreError
from coltsfoottrack._internal.mesh.member_updates import MemberUpdates
from coltsfoottrack._internal.mesh.store import Store
from coltsfoottrack._internal.mesh.store_watch import apply_member_changes
from coltsfoottrack._internal.mesh.subscriptions import Subscriptions

# When all nodes start together, their records are not stored before their backend servers report.
FIRST_START_SECONDS = 2.5
FIRST_START_JITTER_SECONDS = 0.5
CHECK_SECONDS = 1.0
# Pauses between two lists of the members.
FIRST_PAUSE_SECONDS = 0.5
LONGEST_PAUSE_SECONDS = 5.0


class Discovery:
    """Looks for other nodes until this node is informed by one, and again when it no longer is."""

    def __init__(
        self,
        store: Store,
        members: MemberUpdates,
        subscriptions: Subscriptions,
        seed_addresses: tuple[str, ...],
        log: DecisionLog,
    ) -> None:
        self.store = store
        self.members = members
        self.subscriptions = subscriptions
        self.seed_addresses = seed_addresses
        self.log = log
        # Connects to a node of which only the address is known.
        self.contact: Callable[[str], None] = lambda address: None

    async def run(self, first_start: bool) -> None:
        """Looks for other nodes until cancelled."""
        if first_start:
            await sleep(FIRST_START_SECONDS + uniform(0.0, FIRST_START_JITTER_SECONDS))
        pause = FIRST_PAUSE_SECONDS
        while True:
            if self.subscriptions.is_informed(current_time()):
                pause = FIRST_PAUSE_SECONDS
                await sleep(CHECK_SECONDS)
                continue
            await self._search()
            await sleep(pause * uniform(0.8, 1.2))
            pause = min(LONGEST_PAUSE_SECONDS, 2.0 * pause)

    async def _search(self) -> None:
        for address in self.seed_addresses:
            self.contact(address)
        backoff = Backoff("discovery", self.log)
        try:
            found = await self.store.list_members()
        except StoreError as error:
            await sleep(backoff.record_failure(error))
            return
        apply_member_changes(self.members, found.changes, "list of the store")
        self.subscriptions.searched = True
        self.subscriptions.tick(current_time())

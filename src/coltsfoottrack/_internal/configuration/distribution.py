"""Loads, watches and fetches the configuration, and announces new generations to peers."""

from asyncio import Event, sleep, wait_for
from collections.abc import Callable
from hashlib import blake2b
from random import Random
from typing import Protocol

from structlog import get_logger

from coltsfoottrack._internal.configuration.codec import (
    CURRENT_PATH,
    decode_record,
    encode_record,
)
from coltsfoottrack._internal.configuration.exceptions import (
    PeerUnavailableError,
    UnreadableConfigurationError,
)
from coltsfoottrack._internal.configuration.holder import ConfigurationHolder
from coltsfoottrack._internal.configuration.store import ConfigurationPeers, ObjectStore
from coltsfoottrack._internal.membership.table import MembershipTable, member_id, peer_address
from coltsfoottrack._internal.object_store.client import ObjectList
from coltsfoottrack._internal.object_store.exceptions import ObjectNotFoundError, PlatformError
from coltsfoottrack._internal.object_store.threads import in_thread
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import MEMBER_STATUS_ALIVE, Member

WATCHERS_PER_FAILURE_DOMAIN = 4
# A watch may not report that the platform was restored from a snapshot, so the object is also read
# after each wait.
WATCH_TIMEOUT_SECONDS = 10.0
RETRY_DELAY_SECONDS = 1.0
FETCH_TIMEOUT_SECONDS = 1.0
PEERS_QUERIED_AT_START = 3

logger = get_logger(__name__)


class WatchedStore(ObjectStore, Protocol):
    """An object store that supports watches."""

    def watch(self, prefix: str, after: int, seconds: float) -> ObjectList:
        """Waits for changes under a prefix after a revision."""


class ConfigurationDistribution:
    """Keeps a node's configuration up to date with the platform and its peers."""

    def __init__(
        self,
        holder: ConfigurationHolder,
        objects: WatchedStore,
        peers: ConfigurationPeers,
        table: MembershipTable,
        own_member: Member,
        random: Random,
        notify: Callable[[], None],
    ) -> None:
        self.holder = holder
        self.objects = objects
        self.peers = peers
        self.table = table
        self.own_member = own_member
        self.random = random
        self.notify = notify
        self.platform_reachable = False
        self.write_backs = 0
        self.fetches = 0
        self.announced: dict[str, int] = {}
        self.announcement_received = Event()

    # ------------------------------------------------------------ start

    async def load(self) -> bool:
        """Loads the newest configuration from the platform and some peers.

        Returns whether the node may serve: the platform responded, or a peer returned a
        configuration.
        """
        loaded_from_peer = False
        for member in self._sample_peers(PEERS_QUERIED_AT_START):
            loaded_from_peer |= await self._fetch(peer_address(member))
        await self.read_platform()
        return self.platform_reachable or (loaded_from_peer and self.holder.generation > 0)

    async def load_until_ready(self) -> None:
        """Retries load() until the node may serve."""
        while True:
            if await self.load():
                return
            await sleep(RETRY_DELAY_SECONDS * self.random.uniform(0.5, 1.5))

    # --------------------------------------------------------- platform

    async def read_platform(self) -> None:
        """Reads the stored record, and replaces it by the record in force if that is newer."""
        version = 0
        generation = 0
        try:
            stored = await in_thread(self.objects.get, CURRENT_PATH)
            version = stored.version
            if stored.content is not None:
                record = decode_record(stored.content)
                generation = record.generation
                self.holder.offer(record, "platform")
        except ObjectNotFoundError:
            pass
        except UnreadableConfigurationError as error:
            self.platform_reachable = True
            self.holder.report_unreadable(str(error), "platform")
            return
        except PlatformError:
            self.platform_reachable = False
            return
        self.platform_reachable = True
        if generation < self.holder.generation:
            await self._write_back(version)

    async def _write_back(self, version: int) -> None:
        """Stores the record in force, unless the object has changed since ``version`` was read."""
        content = encode_record(self.holder.record)
        try:
            await in_thread(self.objects.put, CURRENT_PATH, content, version)
        except PlatformError:
            return
        self.write_backs += 1
        logger.warning("configuration_written_back", generation=self.holder.generation)

    def is_watcher(self) -> bool:
        """Returns whether this node is one of the few in its failure domain that watch."""
        own_rank = _rank(member_id(self.own_member))
        lower_ranked = 0
        for key, member in self.table.members.items():
            if member.failure_domain != self.own_member.failure_domain:
                continue
            if member.status == MEMBER_STATUS_ALIVE and _rank(key) < own_rank:
                lower_ranked += 1
        return lower_ranked < WATCHERS_PER_FAILURE_DOMAIN

    async def watch(self) -> None:
        """Watches the platform whenever this node is a watcher; never returns."""
        revision = 0
        while True:
            if not self.is_watcher():
                revision = 0
                await sleep(WATCH_TIMEOUT_SECONDS * self.random.uniform(0.5, 1.0))
                continue
            try:
                if revision:
                    listed = await in_thread(
                        self.objects.watch, CURRENT_PATH, revision, WATCH_TIMEOUT_SECONDS
                    )
                else:
                    listed = await in_thread(self.objects.list, CURRENT_PATH)
                revision = listed.revision
            except PlatformError:
                self.platform_reachable = False
                await sleep(RETRY_DELAY_SECONDS * self.random.uniform(0.5, 1.5))
                continue
            await self.read_platform()

    # ------------------------------------------------------------ peers

    def record_announcement(self, sender: str, generation: int, change_id: str) -> None:
        """Records the generation in a peer's datagram, and checks for a conflict if it is equal."""
        if generation > self.holder.generation:
            if len(self.announced) < 64:
                self.announced[sender] = generation
            self.announcement_received.set()
        elif generation == self.holder.generation and generation:
            self.holder.compare(change_id, sender)

    async def fetch_announced(self) -> None:
        """Fetches announced generations from the peers that announced them; never returns."""
        while True:
            await self.announcement_received.wait()
            self.announcement_received.clear()
            await self.fetch_newest()

    async def fetch_newest(self) -> None:
        """Fetches from announcing peers, newest generation first, until no announcement is left."""
        while self.announced:
            sender = max(self.announced, key=lambda name: self.announced[name])
            generation = self.announced.pop(sender)
            member = self.table.members.get(sender)
            if generation <= self.holder.generation or member is None:
                continue
            await self._fetch(peer_address(member))

    async def _fetch(self, address: str) -> bool:
        self.fetches += 1
        try:
            record = await wait_for(self.peers.fetch(address), FETCH_TIMEOUT_SECONDS)
        except (PeerUnavailableError, TimeoutError):
            return False
        self.holder.offer(record, address)
        return True

    async def pass_on(self) -> None:
        """Announces each new generation to some random peers, which fetch it; never returns."""
        while True:
            changed = self.holder.changed
            await changed.wait()
            self.notify()

    def _sample_peers(self, number: int) -> list[Member]:
        found = []
        for key, member in self.table.members.items():
            if key != member_id(self.own_member) and member.status == MEMBER_STATUS_ALIVE:
                found.append(member)
        return self.random.sample(found, min(number, len(found)))


def _rank(key: str) -> bytes:
    return blake2b(key.encode(), digest_size=8).digest()

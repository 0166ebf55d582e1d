"""Operators' access to the configuration, through the platform and the nodes.

A change is *accepted* when its conditional write took effect and at least two nodes in two failure
domains hold it, or as many as there are. The command that makes the change pushes it to them, so
that a platform outage right after acceptance does not lose it.
"""

from asyncio import gather, sleep, wait_for
from collections.abc import Awaitable, Callable
from datetime import UTC, datetime
from random import Random
from secrets import token_hex
from time import time
from typing import NamedTuple, Protocol

from coltsfoottrack._internal.configuration.codec import (
    CURRENT_PATH,
    HISTORY_PREFIX,
    decode_record,
    encode_record,
    history_path,
)
from coltsfoottrack._internal.configuration.exceptions import (
    ChangeUncertainError,
    ConfigurationConflictError,
    ConfigurationError,
    PeerUnavailableError,
    StoreUnavailableError,
    UnreadableConfigurationError,
)
from coltsfoottrack._internal.configuration.validation import validate
from coltsfoottrack._internal.membership.registration import MEMBERS_PREFIX, decode_member
from coltsfoottrack._internal.membership.table import member_id, peer_address
from coltsfoottrack._internal.object_store.client import ObjectList, StoredObject
from coltsfoottrack._internal.object_store.exceptions import (
    ObjectNotFoundError,
    PlatformError,
    VersionConflictError,
    WriteUncertainError,
)
from coltsfoottrack._internal.object_store.threads import in_thread
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import (
    ConfigurationRecord,
    FleetConfiguration,
    Member,
)

PUSHES_PER_FAILURE_DOMAIN = 2
PUSH_TIMEOUT_SECONDS = 1.0
PUSH_ROUNDS = 3
WRITE_ATTEMPTS = 4
RETRY_DELAY_SECONDS = 0.5


class ObjectStore(Protocol):
    """The part of the platform client that the store uses. Its methods block."""

    def get(self, path: str) -> StoredObject:
        """Reads an object."""

    def list(self, prefix: str) -> ObjectList:
        """Lists the objects under a prefix."""

    def put(self, path: str, content: bytes, version: int | None = None) -> int:
        """Writes an object, conditionally if a version is given."""


class ConfigurationPeers(Protocol):
    """Access to the configuration in force at single nodes."""

    async def fetch(self, address: str) -> ConfigurationRecord:
        """Returns the record in force at a node. Raises PeerUnavailableError."""

    async def push(self, address: str, record: ConfigurationRecord) -> ConfigurationRecord:
        """Pushes a record to a node and returns the record in force there afterwards."""


class StoredConfiguration(NamedTuple):
    """The stored record and the version of its object, or 0 if there is none yet."""

    record: ConfigurationRecord
    version: int


class ConfirmingNode(NamedTuple):
    """A node that has confirmed that it holds a change."""

    node: str
    failure_domain: str


class ChangeResult(NamedTuple):
    """The result of a change that the platform has stored.

    ``accepted`` is False if too few nodes confirmed it in time. It is stored nevertheless, and
    nodes load it from the platform while that is available.
    """

    record: ConfigurationRecord
    accepted: bool
    holders: list[ConfirmingNode]
    unconfirmed: list[str]


class ConfigurationStore:
    """Reads and changes the configuration of one cluster."""

    def __init__(
        self,
        objects: ObjectStore,
        peers: ConfigurationPeers,
        random: Random | None = None,
        pause: Callable[[float], Awaitable[None]] = sleep,
    ) -> None:
        self.objects = objects
        self.peers = peers
        self.random = random or Random()
        self.pause = pause

    async def read(self) -> StoredConfiguration:
        """Returns the stored configuration.

        Raises StoreUnavailableError or UnreadableConfigurationError.
        """
        try:
            stored = await in_thread(self.objects.get, CURRENT_PATH)
        except ObjectNotFoundError:
            return StoredConfiguration(ConfigurationRecord(), 0)
        except PlatformError as error:
            raise StoreUnavailableError(str(error)) from error
        if stored.content is None:
            return StoredConfiguration(ConfigurationRecord(), 0)
        try:
            return StoredConfiguration(decode_record(stored.content), stored.version)
        except UnreadableConfigurationError as error:
            error.version = stored.version
            raise

    def validate(self, configuration: FleetConfiguration) -> None:
        """Raises InvalidConfigurationError with all problems if a configuration is invalid."""
        validate(configuration, datetime.now(UTC))

    async def history(self, limit: int = 50) -> list[ConfigurationRecord]:
        """Returns up to ``limit`` stored records, newest first; skips unreadable ones.

        Raises StoreUnavailableError.
        """
        try:
            listed = await in_thread(self.objects.list, HISTORY_PREFIX)
        except PlatformError as error:
            raise StoreUnavailableError(str(error)) from error
        records = []
        for stored in sorted(listed.objects, key=lambda item: item.path, reverse=True):
            if stored.content is None or len(records) >= limit:
                continue
            try:
                records.append(decode_record(stored.content))
            except UnreadableConfigurationError:
                continue
        return records

    async def members(self) -> list[Member]:
        """Returns the registered nodes. Raises StoreUnavailableError."""
        try:
            listed = await in_thread(self.objects.list, MEMBERS_PREFIX)
        except PlatformError as error:
            raise StoreUnavailableError(str(error)) from error
        found = [decode_member(stored) for stored in listed.objects]
        return [member for member in found if member is not None]

    async def set(
        self,
        configuration: FleetConfiguration,
        author: str,
        base: StoredConfiguration | None = None,
    ) -> ChangeResult:
        """Validates and stores a configuration, and pushes it to nodes.

        ``base`` is the configuration that the operator edited; the change takes effect only if it
        is still stored. Without it, the configuration is read right before the write. Raises
        InvalidConfigurationError, ConfigurationConflictError with the other change,
        ChangeUncertainError if it is not known whether the write took effect, or
        StoreUnavailableError if nothing was changed.
        """
        self.validate(configuration)
        if base is None:
            base = await self.read()
        members = await self.members()
        await self._check_for_newer_generation(base, members)
        record = ConfigurationRecord(
            generation=base.record.generation + 1,
            change_id=token_hex(8),
            author=author,
            written_at_ms=int(time() * 1000),
            configuration=configuration,
        )
        if base.record.generation:
            await self._write_history(base.record)
        await self._write(record, base.version)
        try:
            await self._write_history(record)
        except ConfigurationError:
            # The next change writes it before it replaces the current object.
            pass
        return await self._push(record, members)

    async def confirm(self, record: ConfigurationRecord) -> ChangeResult:
        """Pushes a stored record again; the result shows whether it is accepted now."""
        return await self._push(record, await self.members())

    async def _check_for_newer_generation(
        self, base: StoredConfiguration, members: list[Member]
    ) -> None:
        """Raises ConfigurationConflictError if a node holds a newer generation than the platform.

        This is so after the platform was restored to an older state, until a node has written the
        newer generation back. A change based on the older state would revert the newer one.
        """
        targets = self._sample(members)
        answers = await gather(*(self._fetch(member) for member in targets))
        for held in answers:
            if held is not None and held.generation > base.record.generation:
                raise ConfigurationConflictError(held)

    async def _fetch(self, member: Member) -> ConfigurationRecord | None:
        try:
            return await wait_for(self.peers.fetch(peer_address(member)), PUSH_TIMEOUT_SECONDS)
        except (PeerUnavailableError, TimeoutError):
            return None

    async def _write(self, record: ConfigurationRecord, version: int) -> None:
        """Writes the current object, and retries the conditional write if the response was lost.

        Retries are safe: the copy that arrives second finds another version and has no effect.
        """
        sent = False
        for attempt in range(WRITE_ATTEMPTS):
            if attempt:
                await self.pause(RETRY_DELAY_SECONDS)
            try:
                await in_thread(self.objects.put, CURRENT_PATH, encode_record(record), version)
                return
            except WriteUncertainError:
                sent = True
            except VersionConflictError:
                if await self._took_effect(record):
                    return
            except PlatformError as error:
                if not sent:
                    raise StoreUnavailableError(str(error)) from error
        raise ChangeUncertainError(record.change_id)

    async def _took_effect(self, record: ConfigurationRecord) -> bool:
        """Returns whether a change is the current one, or was before another replaced it.

        Returns False if this is not known. Raises ConfigurationConflictError if the change had no
        effect.
        """
        try:
            current = (await self.read()).record
            if current.change_id == record.change_id:
                return True
            if current.generation > record.generation:
                # A change writes the record that it replaces to the history first.
                kept = await in_thread(self.objects.get, history_path(record.generation))
                if kept.content and decode_record(kept.content).change_id == record.change_id:
                    return True
        except (StoreUnavailableError, PlatformError):
            return False
        raise ConfigurationConflictError(current)

    async def _write_history(self, record: ConfigurationRecord) -> None:
        path = history_path(record.generation)
        try:
            await in_thread(self.objects.put, path, encode_record(record), 0)
        except VersionConflictError:
            return
        except PlatformError as error:
            raise StoreUnavailableError(str(error)) from error

    async def _push(self, record: ConfigurationRecord, members: list[Member]) -> ChangeResult:
        """Pushes a record to some nodes of every failure domain, for up to PUSH_ROUNDS rounds."""
        holders: dict[str, ConfirmingNode] = {}
        failed: set[str] = set()
        domains = {member.failure_domain for member in members}
        needed_domains = min(2, len(domains))
        needed = min(2, len(members))
        for _ in range(PUSH_ROUNDS):
            remaining = [member for member in members if member_id(member) not in holders]
            targets = self._sample(remaining)
            results = await gather(*(self._push_one(member, record) for member in targets))
            for member, held in zip(targets, results, strict=True):
                name = member_id(member)
                if held:
                    holders[name] = ConfirmingNode(name, member.failure_domain)
                    failed.discard(name)
                else:
                    failed.add(name)
            reached = {holder.failure_domain for holder in holders.values()}
            if len(holders) >= needed and len(reached) >= needed_domains:
                return ChangeResult(record, True, list(holders.values()), sorted(failed))
        return ChangeResult(record, False, list(holders.values()), sorted(failed))

    async def _push_one(self, member: Member, record: ConfigurationRecord) -> bool:
        address = peer_address(member)
        try:
            held = await wait_for(self.peers.push(address, record), PUSH_TIMEOUT_SECONDS)
        except (PeerUnavailableError, TimeoutError):
            return False
        return held.generation == record.generation and held.change_id == record.change_id

    def _sample(self, members: list[Member]) -> list[Member]:
        """Returns a few random nodes of every failure domain."""
        by_domain: dict[str, list[Member]] = {}
        for member in members:
            by_domain.setdefault(member.failure_domain, []).append(member)
        picked = []
        for group in by_domain.values():
            count = min(PUSHES_PER_FAILURE_DOMAIN, len(group))
            picked.extend(self.random.sample(group, count))
        return picked

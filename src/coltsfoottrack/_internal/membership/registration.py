"""Registration of nodes as objects in the platform, where new nodes find their first peers.

Objects are written only on joining and deleted only on leaving. All writes are conditional, so
that a late write of an earlier process cannot replace the object of a later one.
"""

from asyncio import sleep, wait_for
from base64 import b64decode, b64encode
from binascii import Error as Base64Error
from collections import Counter
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any, NamedTuple

from google.protobuf.message import DecodeError
from structlog import get_logger

from coltsfoottrack._internal.membership.local import LocalMember
from coltsfoottrack._internal.membership.messages import is_plausible
from coltsfoottrack._internal.membership.table import member_id, process_order
from coltsfoottrack._internal.object_store.client import PlatformClient, StoredObject
from coltsfoottrack._internal.object_store.exceptions import (
    ObjectNotFoundError,
    PlatformError,
    VersionConflictError,
)
from coltsfoottrack._internal.object_store.threads import in_thread
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import Member

MEMBERS_PREFIX = "members/"
# Below the platform's capacity of several hundred writes/s and the design limit of 100 writes/s.
WRITES_PER_SECOND = 80.0
# The largest supported fleet that may start at once on an empty platform.
MAX_FLEET_SIZE = 1000
# First listings are spread over this time, as the platform handles 2,000 reads/s.
FIRST_READ_SECONDS = 1.5
# How long a node that has listed few others counts their writes before it writes its own object.
OBSERVATION_SECONDS = 1.0
# At least this many listed members are a reliable estimate of how many nodes may start together.
MIN_LISTED_FOR_ESTIMATE = 100
# Added to a count of events: if none was observed, the expected number is at most 3 (95%
# confidence).
RULE_OF_THREE = 3
MIN_RETRY_SECONDS = 0.5
DEREGISTER_SECONDS = 2.0
MAX_DELETIONS_PER_ROUND = 50

logger = get_logger(__name__)


def member_path(member: Member) -> str:
    """Returns the platform path of a member's object."""
    return f"{MEMBERS_PREFIX}{member_id(member)}"


def encode_member(member: Member) -> bytes:
    """Returns the stored form of a member."""
    return b64encode(member.SerializeToString())


def decode_member(stored: StoredObject) -> Member | None:
    """Returns the member in an object, or None if the object was deleted or is unreadable."""
    if stored.content is None:
        return None
    try:
        member = Member.FromString(b64decode(stored.content))
    except (Base64Error, DecodeError):
        return None
    return member if is_plausible(member) else None


class WritePlan(NamedTuple):
    """When to write this node's object."""

    wait_seconds: float
    # Estimated number of nodes that are starting together.
    nodes: int
    # Members listed while the plan was made.
    listed: list[Member]


class Registration:
    """Writes, checks and deletes member objects."""

    def __init__(
        self,
        client: PlatformClient,
        local: LocalMember,
        random: Random,
        call: Callable[..., Awaitable[Any]] = in_thread,
    ) -> None:
        self.client = client
        # Runs a blocking call to the platform.
        self.call = call
        self.local = local
        self.random = random
        self.version = 0
        # Store revision and number of members at the first successful listing.
        self.first_revision: int | None = None
        self.first_listed = 0
        # Members written between the first and the last listing.
        self.written_since_first = 0
        self.counts: Counter[str] = Counter()

    def jitter_seconds(self, nodes: int) -> float:
        """Returns a random delay that keeps one write per node within WRITES_PER_SECOND."""
        return self.random.uniform(0.0, nodes / WRITES_PER_SECOND)

    async def list_members(self) -> list[Member]:
        """Returns the registered members. Raises PlatformError."""
        self.counts["reads"] += 1
        listed = await self.call(self.client.list, MEMBERS_PREFIX)
        if self.first_revision is None:
            self.first_revision = listed.revision
            self.first_listed = len(listed.objects)
        self.written_since_first = 0
        for stored in listed.objects:
            if stored.version > self.first_revision:
                self.written_since_first += 1
        found = [decode_member(stored) for stored in listed.objects]
        return [member for member in found if member is not None]

    async def wait_to_read(self) -> None:
        """Sleeps for a random time before the first listing of this process."""
        await sleep(self.random.uniform(0.0, FIRST_READ_SECONDS))

    async def plan(self, known: int) -> WritePlan:
        """Returns how long to wait before writing; takes up to OBSERVATION_SECONDS.

        On an empty platform the number of starting nodes is unknown. Each node therefore draws a
        random delay within the time that the largest fleet needs. After one second it counts the
        members written since its first listing. From this sample it estimates the fleet size and
        shortens its delay: a small fleet registers within a second or two, a large one uses the
        full time.
        """
        nodes = max(known, self.first_listed)
        if nodes >= MIN_LISTED_FOR_ESTIMATE or self.first_revision is None:
            return WritePlan(self.jitter_seconds(nodes), nodes, [])
        max_seconds = MAX_FLEET_SIZE / WRITES_PER_SECOND
        delay = self.random.uniform(0.0, max_seconds)
        if delay < OBSERVATION_SECONDS:
            return WritePlan(delay, MAX_FLEET_SIZE, [])
        await sleep(OBSERVATION_SECONDS)
        try:
            listed = await self.list_members()
        except PlatformError:
            return WritePlan(delay - OBSERVATION_SECONDS, MAX_FLEET_SIZE, [])
        share = OBSERVATION_SECONDS / max_seconds
        nodes = min(MAX_FLEET_SIZE, round((self.written_since_first + RULE_OF_THREE) / share))
        return WritePlan(self.jitter_seconds(nodes), nodes, listed)

    async def register(self, nodes: int) -> bool:
        """Writes this node's object, retrying until the platform accepts it.

        ``nodes`` is the number of nodes that may write at the same time. Returns False if a later
        process of the same name is registered.
        """
        while True:
            try:
                return await self._register_once()
            except VersionConflictError:
                continue
            except PlatformError:
                max_seconds = max(2 * MIN_RETRY_SECONDS, nodes / WRITES_PER_SECOND)
                await sleep(self.random.uniform(MIN_RETRY_SECONDS, max_seconds))

    async def _register_once(self) -> bool:
        path = member_path(self.local.member)
        version = 0
        self.counts["reads"] += 1
        try:
            stored = await self.call(self.client.get, path)
        except ObjectNotFoundError:
            stored = None
        known = None if stored is None else decode_member(stored)
        if stored is not None:
            version = stored.version
        if known is not None and process_order(known) == process_order(self.local.member):
            # An earlier write succeeded but its answer was lost.
            self.version = version
            return True
        if known is not None and process_order(known) > process_order(self.local.member):
            self.local.handle_claim(known)
            if self.local.replaced:
                return False
        self.counts["writes"] += 1
        content = encode_member(self.local.member)
        self.version = await self.call(self.client.put, path, content, version)
        return True

    async def deregister(self, leaving: int) -> bool:
        """Deletes this node's object within DEREGISTER_SECONDS; returns whether it was deleted.

        If many nodes leave together or the platform is down, the object stays and is deleted later
        by the node that cleans up.
        """
        if not self.version or leaving > WRITES_PER_SECOND * DEREGISTER_SECONDS / 2:
            return False
        await sleep(self.jitter_seconds(leaving))
        self.counts["writes"] += 1
        path = member_path(self.local.member)
        try:
            await wait_for(self.call(self.client.delete, path, self.version), DEREGISTER_SECONDS)
        except (PlatformError, TimeoutError):
            return False
        return True

    async def clean(self, dead: list[Member]) -> int:
        """Deletes unreadable objects and those of dead members; returns the number deleted.

        Raises PlatformError if the objects cannot be listed.
        """
        dead_orders = {member_id(member): process_order(member) for member in dead}
        self.counts["reads"] += 1
        listed = await self.call(self.client.list, MEMBERS_PREFIX)
        deleted = 0
        for stored in listed.objects:
            if deleted >= MAX_DELETIONS_PER_ROUND:
                break
            member = decode_member(stored)
            if member is not None:
                order = dead_orders.get(member_id(member))
                if order is None or process_order(member) > order:
                    continue
            self.counts["writes"] += 1
            try:
                await self.call(self.client.delete, stored.path, stored.version)
            except PlatformError:
                continue
            deleted += 1
            await sleep(1.0 / WRITES_PER_SECOND)
        return deleted

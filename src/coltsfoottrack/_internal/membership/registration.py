"""The node's object in the platform, where new nodes find their first peers.

Objects are written on joining and deleted on leaving only. All writes are conditional, so that a
late write of an earlier process cannot replace the object of a later one.
"""

from asyncio import sleep, wait_for
from base64 import b64decode, b64encode
from binascii import Error as Base64Error
from collections import Counter
from random import Random

from google.protobuf.message import DecodeError
from structlog import get_logger

from coltsfoottrack._internal.membership.local import LocalMember
from coltsfoottrack._internal.membership.messages import is_plausible
from coltsfoottrack._internal.membership.table import member_id, process_order
from coltsfoottrack._internal.platform.client import PlatformClient, StoredObject
from coltsfoottrack._internal.platform.exceptions import (
    ObjectNotFoundError,
    PlatformError,
    VersionConflictError,
)
from coltsfoottrack._internal.platform.threads import in_thread
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import Member

MEMBERS_PREFIX = "members/"
# Below the platform's several hundred a second and the limit of 100 that the design sets.
WRITES_PER_SECOND = 80.0
SHORTEST_RETRY_SECONDS = 0.5
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
    """Reads a member from its object, None if the object is gone or unreadable."""
    if stored.content is None:
        return None
    try:
        member = Member.FromString(b64decode(stored.content))
    except (Base64Error, DecodeError):
        return None
    return member if is_plausible(member) else None


class Registration:
    """Writes, checks and deletes member objects."""

    def __init__(self, client: PlatformClient, local: LocalMember, random: Random) -> None:
        self.client = client
        self.local = local
        self.random = random
        self.version = 0
        self.counts: Counter[str] = Counter()

    def jitter_seconds(self, nodes: int) -> float:
        """Returns a random wait that spreads one write of each node over enough time."""
        return self.random.uniform(0.0, nodes / WRITES_PER_SECOND)

    async def registered(self) -> list[Member]:
        """Returns the registered members. Raises PlatformError."""
        self.counts["reads"] += 1
        listed = await in_thread(self.client.list, MEMBERS_PREFIX)
        found = [decode_member(stored) for stored in listed.objects]
        return [member for member in found if member is not None]

    async def register(self, nodes: int) -> bool:
        """Writes the own object, trying until the platform takes it.

        ``nodes`` is the number of nodes that may start together. Returns False if a later process
        of the same name is registered.
        """
        await sleep(self.jitter_seconds(nodes))
        while True:
            try:
                return await self._register_once()
            except VersionConflictError:
                continue
            except PlatformError:
                longest = max(2 * SHORTEST_RETRY_SECONDS, nodes / WRITES_PER_SECOND)
                await sleep(self.random.uniform(SHORTEST_RETRY_SECONDS, longest))

    async def _register_once(self) -> bool:
        path = member_path(self.local.member)
        version = 0
        self.counts["reads"] += 1
        try:
            stored = await in_thread(self.client.get, path)
        except ObjectNotFoundError:
            stored = None
        known = None if stored is None else decode_member(stored)
        if stored is not None:
            version = stored.version
        if known is not None and process_order(known) == process_order(self.local.member):
            # An earlier write took effect and its answer was lost.
            self.version = version
            return True
        if known is not None and process_order(known) > process_order(self.local.member):
            self.local.answer_to(known)
            if self.local.replaced:
                return False
        self.counts["writes"] += 1
        content = encode_member(self.local.member)
        self.version = await in_thread(self.client.put, path, content, version)
        return True

    async def deregister(self, leaving: int) -> bool:
        """Deletes the own object within DEREGISTER_SECONDS; returns whether it did.

        When many nodes leave together, or the platform is down, the object stays and the node
        that cleans up deletes it later.
        """
        if not self.version or leaving > WRITES_PER_SECOND * DEREGISTER_SECONDS / 2:
            return False
        await sleep(self.jitter_seconds(leaving))
        self.counts["writes"] += 1
        path = member_path(self.local.member)
        try:
            await wait_for(in_thread(self.client.delete, path, self.version), DEREGISTER_SECONDS)
        except (PlatformError, TimeoutError):
            return False
        return True

    async def clean(self, dead: list[Member]) -> int:
        """Deletes the objects of dead members and unreadable ones; returns how many.

        Raises PlatformError if the objects cannot be listed.
        """
        gone = {member_id(member): process_order(member) for member in dead}
        self.counts["reads"] += 1
        listed = await in_thread(self.client.list, MEMBERS_PREFIX)
        deleted = 0
        for stored in listed.objects:
            if deleted >= MAX_DELETIONS_PER_ROUND:
                break
            member = decode_member(stored)
            if member is not None:
                order = gone.get(member_id(member))
                if order is None or process_order(member) > order:
                    continue
            self.counts["writes"] += 1
            try:
                await in_thread(self.client.delete, stored.path, stored.version)
            except PlatformError:
                continue
            deleted += 1
            await sleep(1.0 / WRITES_PER_SECOND)
        return deleted

"""Registration of a node in the platform, and members read from there."""

from asyncio import sleep, to_thread
from base64 import b64decode, b64encode
from binascii import Error as Base64Error

from google.protobuf.message import DecodeError
from structlog import get_logger

from coltsfoottrack._internal.membership.table import MembershipTable, member_id
from coltsfoottrack._internal.platform.client import PlatformClient, StoredObject
from coltsfoottrack._internal.platform.exceptions import PlatformError
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import Member

MEMBERS_PREFIX = "members/"
RETRY_SECONDS = 1.0

logger = get_logger(__name__)


def member_path(member: Member) -> str:
    """Returns the platform path of a member's object."""
    return f"{MEMBERS_PREFIX}{member_id(member)}"


def decode_member(stored: StoredObject) -> Member | None:
    """Reads a member from its object, None if the object is gone or unreadable."""
    if stored.content is None:
        return None
    try:
        return Member.FromString(b64decode(stored.content))
    except (Base64Error, DecodeError):
        return None


async def register(client: PlatformClient, member: Member) -> None:
    """Writes a member's object, trying until the platform takes it."""
    content = b64encode(member.SerializeToString())
    while True:
        try:
            await to_thread(client.put, member_path(member), content)
            return
        except PlatformError:
            await sleep(RETRY_SECONDS)


async def watch_members(client: PlatformClient, table: MembershipTable) -> None:
    """Follows the members' objects and merges them into the table, for ever."""
    revision = 0
    while True:
        try:
            listed = await to_thread(client.watch, MEMBERS_PREFIX, revision)
        except PlatformError:
            await sleep(RETRY_SECONDS)
            continue
        revision = listed.revision
        for stored in listed.objects:
            member = decode_member(stored)
            if member is None:
                table.remove(stored.path.removeprefix(MEMBERS_PREFIX))
                continue
            table.merge(member)

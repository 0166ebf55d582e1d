"""Store of a mesh whose nodes share a directory.

One file holds the routes, and each node writes its member record to a file of its own. The files'
modification times serve as revisions, from which changes are detected.
"""

from asyncio import get_running_loop, sleep
from collections.abc import Callable
from pathlib import Path

from google.protobuf.message import DecodeError

from coltsfoottrack._internal.mesh.exceptions import StoreConflictError, StoreError
from coltsfoottrack._internal.mesh.model import Member
from coltsfoottrack._internal.mesh.records import from_record, to_record
from coltsfoottrack._internal.mesh.store import (
    ConfigurationChange,
    MemberChange,
    MemberChanges,
    ProbeResult,
)
from coltsfoottrack._internal.mesh_local.routes import ROUTES_FILE
from coltsfoottrack._internal.schema.links_pb2 import MemberRecord

MEMBERS_DIRECTORY = "members"
# Upper bound, beside the delay of the file system itself, for a change to be seen by all nodes.
POLL_INTERVAL_SECONDS = 0.2
# A watch without changes returns after this time, like one over a network.
WATCH_TIMEOUT_SECONDS = 5.0
NO_REVISION = 0


class DirectoryStore:
    """The shared directory as used by one node. All methods raise StoreError."""

    def __init__(self, directory: str) -> None:
        self.routes = Path(directory) / ROUTES_FILE
        self.members = Path(directory) / MEMBERS_DIRECTORY
        # Revision of each member's file that was last reported to the node.
        self.reported_revisions: dict[str, int] = {}
        # Never called: a directory tells nothing of copies.
        self.on_era: Callable[[int], None] = lambda era: None

    async def read_configuration(self) -> ConfigurationChange:
        """Returns the routes file's content, None if the file does not exist."""
        revision = _revision(self.routes)
        if revision == NO_REVISION:
            return ConfigurationChange(None, NO_REVISION)
        return ConfigurationChange(_read(self.routes), revision)

    async def watch_configuration(self, revision: int) -> ConfigurationChange:
        """Waits until the routes file changes; the content is None if it did not in time."""
        end = get_running_loop().time() + WATCH_TIMEOUT_SECONDS
        while get_running_loop().time() < end:
            current = _revision(self.routes)
            if current not in (revision, NO_REVISION):
                return ConfigurationChange(_read(self.routes), current)
            await sleep(POLL_INTERVAL_SECONDS)
        return ConfigurationChange(None, revision)

    async def probe(self, new_connection: bool = False) -> ProbeResult:
        """Reads the routes file; raises StoreError if the directory cannot be read."""
        found = await self.read_configuration()
        return ProbeResult(found.content, found.revision, True)

    async def list_members(self) -> MemberChanges:
        """Returns all member records."""
        self.reported_revisions = {}
        return self._changes()

    async def watch_members(self, revision: int) -> MemberChanges:
        """Waits until a member's file changes or is removed; returns none if not in time."""
        end = get_running_loop().time() + WATCH_TIMEOUT_SECONDS
        while get_running_loop().time() < end:
            found = self._changes()
            if found.changes:
                return found
            await sleep(POLL_INTERVAL_SECONDS)
        return MemberChanges([], revision)

    def _changes(self) -> MemberChanges:
        current = self._revisions()
        changes = []
        for node, revision in current.items():
            if self.reported_revisions.get(node) != revision:
                changes.append(MemberChange(node, self._read_member(node), revision, False))
        for node in self.reported_revisions:
            if node not in current:
                changes.append(MemberChange(node, None, NO_REVISION, True))
        self.reported_revisions = current
        return MemberChanges(changes, max(current.values(), default=NO_REVISION))

    def _revisions(self) -> dict[str, int]:
        revisions = {}
        try:
            self.members.mkdir(parents=True, exist_ok=True)
            for path in self.members.iterdir():
                if not path.name.startswith("."):
                    revisions[path.name] = _revision(path)
        except OSError as error:
            raise StoreError(f"{self.members}: {error.strerror}") from error
        return revisions

    def _read_member(self, node: str) -> Member | None:
        try:
            member = from_record(MemberRecord.FromString(_read(self.members / node)))
        except (DecodeError, StoreError):
            # Malformed, or removed since the directory was listed; the next poll finds a removal.
            return None
        return member if member.is_usable() else None

    async def read_member(self, node: str) -> MemberChange | None:
        """Returns the record of a node, or None if there is none."""
        revision = _revision(self.members / node)
        if revision == NO_REVISION:
            return None
        return MemberChange(node, self._read_member(node), revision, False)

    async def create_member(self, member: Member) -> int:
        """Stores a new record, returns its revision. Raises StoreConflictError if it exists."""
        return self._write(member, NO_REVISION)

    async def replace_member(self, member: Member, revision: int) -> int:
        """Replaces a record, returns its revision. Raises StoreConflictError if it has changed."""
        return self._write(member, revision)

    async def delete_member(self, node: str, revision: int) -> None:
        """Deletes a record. Raises StoreConflictError if it has changed."""
        path = self.members / node
        self._check_revision(path, revision)
        try:
            path.unlink(missing_ok=True)
        except OSError as error:
            raise StoreError(f"{path}: {error.strerror}") from error

    def _write(self, member: Member, revision: int) -> int:
        """Writes a temporary file and renames it, so that no node reads a partial record."""
        path = self.members / member.node
        self._check_revision(path, revision)
        temporary = self.members / f".{member.node}"
        try:
            self.members.mkdir(parents=True, exist_ok=True)
            temporary.write_bytes(to_record(member).SerializeToString())
            temporary.replace(path)
        except OSError as error:
            raise StoreError(f"{path}: {error.strerror}") from error
        return _revision(path)

    def _check_revision(self, path: Path, revision: int) -> None:
        if _revision(path) != revision:
            raise StoreConflictError(f"{path} was changed since it was read")


def _revision(path: Path) -> int:
    """Returns a file's modification time in nanoseconds, NO_REVISION if it does not exist."""
    try:
        return path.stat().st_mtime_ns
    except FileNotFoundError:
        return NO_REVISION
    except OSError as error:
        raise StoreError(f"{path}: {error.strerror}") from error


def _read(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        raise StoreError(f"{path}: {error.strerror}") from error

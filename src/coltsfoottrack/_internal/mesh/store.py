"""Interface to the platform's store, as a node uses it."""

from collections.abc import Callable
from typing import NamedTuple
from typing import Protocol as Interface

from coltsfoottrack._internal.mesh.model import Member


class ConfigurationChange(NamedTuple):
    """The configuration object, or None if it did not change, and the revision to continue from."""

    content: bytes | None
    revision: int


class MemberChange(NamedTuple):
    """A stored member record; ``member`` is None if it is unreadable, or deleted and not told."""

    node: str
    member: Member | None
    revision: int
    deleted: bool


class MemberChanges(NamedTuple):
    """Changed records and the revision to continue from."""

    changes: list[MemberChange]
    revision: int


class ProbeResult(NamedTuple):
    """The stored configuration as a probe shows it; it may be seconds old."""

    # None if there is none.
    content: bytes | None
    # Revision of the configuration's last change, 0 if there is none.
    revision: int
    # Whether the connection was open before.
    reused_connection: bool


class Store(Interface):
    """The store's calls used by a node. All raise StoreError."""

    # Called with the era that an answer names; see StoreEra.
    on_era: Callable[[int], None]

    async def read_configuration(self) -> ConfigurationChange:
        """Returns the newest configuration."""

    async def watch_configuration(self, revision: int) -> ConfigurationChange:
        """Waits for a change. Raises StoreHistoryLostError."""

    async def probe(self, new_connection: bool = False) -> ProbeResult:
        """Reads the configuration at the least price, on a connection that only probes use.

        An open connection may have fallen silent while new ones work.
        """

    async def list_members(self) -> MemberChanges:
        """Returns all member records; they may be seconds old."""

    async def watch_members(self, revision: int) -> MemberChanges:
        """Waits for changes, which may arrive seconds late. Raises StoreHistoryLostError."""

    async def read_member(self, node: str) -> MemberChange | None:
        """Returns the newest record of a node, None if there is none."""

    async def create_member(self, member: Member) -> int:
        """Stores a new record and returns its revision. Raises StoreConflictError."""

    async def replace_member(self, member: Member, revision: int) -> int:
        """Replaces a record and returns its new revision. Raises StoreConflictError."""

    async def delete_member(self, node: str, revision: int) -> None:
        """Removes a record. Raises StoreConflictError."""

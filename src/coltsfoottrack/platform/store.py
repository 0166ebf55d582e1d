"""Client of the platform's metadata store."""

from collections.abc import Callable, Iterable
from random import randint
from typing import Any
from urllib.parse import quote

from orjson import JSONDecodeError, dumps, loads

from coltsfoottrack._internal.mesh.exceptions import (
    StoreConflictError,
    StoreError,
    StoreHistoryLostError,
)
from coltsfoottrack._internal.mesh.json_parts import split_array, split_object
from coltsfoottrack._internal.mesh.model import Member
from coltsfoottrack._internal.mesh.store import (
    ConfigurationChange,
    MemberChange,
    MemberChanges,
    ProbeResult,
)
from coltsfoottrack._internal.routing.exceptions import RoutingError
from coltsfoottrack._internal.routing.http_connection import (
    ConnectionPool,
    HttpReply,
    encode_request,
)
from coltsfoottrack.platform.configuration import encode_spec
from coltsfoottrack.platform.names import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    MEMBER_KIND,
    OBJECTS_PATH,
    STORE_ERA,
)

REQUEST_TIMEOUT_SECONDS = 1.5
PROBE_TIMEOUT_SECONDS = 1.0
# Wait of one configuration watch, random between these bounds. The store may forget a watch in an
# outage; as the watches of several nodes end at different times, one of them soon finds the change.
MIN_CONFIGURATION_WATCH_MS = 6_000
MAX_CONFIGURATION_WATCH_MS = 12_000
# Nodes also announce member changes to each other, so a watch that the store has forgotten, or that
# alone has fallen silent, may be detected later here.
MEMBER_WATCH_MS = 5_000
# Reads that may be seconds old cost the platform less and do not count towards its rate limit.
STALE_READ = "allowStale=1"
JSON_HEADERS = {"Content-Type": "application/json", "Accept": "application/json"}
NOT_FOUND = 404
CONFLICT = 409
GONE = 410


class ObjectStore:
    """Client of the store at one address. All methods raise StoreError if a request fails."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.pool = ConnectionPool()
        # Holds the one connection for probes.
        self.probe_pool = ConnectionPool()
        # Latest era that an answer has named.
        self.era = 0
        # Called with the era of each answer.
        self.on_era: Callable[[int], None] = lambda era: None

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        seconds: float = REQUEST_TIMEOUT_SECONDS,
        pool: ConnectionPool | None = None,
    ) -> tuple[int, Any]:
        target = f"{OBJECTS_PATH}/{path}"
        try:
            request = encode_request(method, self.address, target, JSON_HEADERS, body)
            reply = await (pool or self.pool).exchange(self.address, request, True, seconds)
        except RoutingError as error:
            # The connections that were open with the failed one may be as silent.
            self.pool.discard_idle(self.address)
            raise StoreError(f"{method} {path}: {error}") from error
        self._check_era(reply, f"{method} {path}")
        if reply.status == GONE:
            raise StoreHistoryLostError(f"{method} {path}: revision is no longer available")
        if reply.status not in (200, 201, 204, NOT_FOUND, CONFLICT):
            raise StoreError(f"{method} {path}: status {reply.status}")
        if not reply.body or reply.status == NOT_FOUND:
            return reply.status, None
        try:
            return reply.status, loads(reply.body)
        except JSONDecodeError as error:
            page = _parse_page(reply.body)
            if not page:
                raise StoreError(f"{method} {path}: response is not JSON") from error
            return reply.status, page

    def _check_era(self, reply: HttpReply, call: str) -> None:
        """Tells the era of an answer; raises StoreError if a later one is known."""
        text = reply.headers.get(STORE_ERA, "")
        if not text.isdecimal():
            return
        era = int(text)
        if era < self.era:
            raise StoreError(f"{call}: answer of era {era}, the store is at {self.era}")
        self.era = era
        self.on_era(era)

    async def read_configuration(self) -> ConfigurationChange:
        """Returns the stored configuration; its content is None if there is none."""
        _, page = await self._call("GET", CONFIGURATION_KIND)
        content = None
        for item in _entries(page, "items"):
            if _name(item) == CONFIGURATION_NAME:
                content = encode_spec(_field(item, "spec"))
        return ConfigurationChange(content, _field(page, "currentRev"))

    async def watch_configuration(self, revision: int) -> ConfigurationChange:
        """Waits for a newer configuration; its content is None if none arrived in time."""
        wait_ms = randint(MIN_CONFIGURATION_WATCH_MS, MAX_CONFIGURATION_WATCH_MS)
        page = await self._watch(f"{CONFIGURATION_KIND}?watch={revision}", wait_ms)
        content = None
        for event in _entries(page, "events"):
            item = event.get("object") if isinstance(event, dict) else None
            if _name(item) == CONFIGURATION_NAME and not event.get("deleted"):
                content = encode_spec(_field(item, "spec"))
        return ConfigurationChange(content, _field(page, "currentRev"))

    async def probe(self, new_connection: bool = False) -> ProbeResult:
        """Reads the configuration, which may be seconds old and costs a tenth of a call."""
        pool = self.probe_pool
        if new_connection:
            pool.discard_idle(self.address)
        reused = pool.has_idle(self.address)
        path = f"{CONFIGURATION_KIND}/{CONFIGURATION_NAME}?{STALE_READ}"
        status, item = await self._call("GET", path, seconds=PROBE_TIMEOUT_SECONDS, pool=pool)
        if status == NOT_FOUND:
            return ProbeResult(None, 0, reused)
        revision = _field(_field(item, "metadata"), "revision")
        return ProbeResult(encode_spec(_field(item, "spec")), revision, reused)

    async def _watch(self, path: str, wait_ms: int) -> Any:
        seconds = REQUEST_TIMEOUT_SECONDS + wait_ms / 1000.0
        _, page = await self._call("GET", f"{path}&waitMs={wait_ms}", seconds=seconds)
        return page

    async def list_members(self) -> MemberChanges:
        """Returns the member records of all pages, which may be seconds old."""
        changes: list[MemberChange] = []
        path = f"{MEMBER_KIND}?{STALE_READ}"
        revision = None
        while True:
            _, page = await self._call("GET", path)
            if revision is None:
                revision = _field(page, "currentRev")
            found = _member_changes(_entries(page, "items"))
            changes += found
            if not page.get("hasMore") or not found:
                return MemberChanges(changes, revision)
            path = f"{MEMBER_KIND}?{STALE_READ}&after={quote(found[-1].node, safe='')}"

    async def watch_members(self, revision: int) -> MemberChanges:
        """Waits for changed records; returns none if there were no changes in time."""
        path = f"{MEMBER_KIND}?{STALE_READ}&watch={revision}"
        page = await self._watch(path, MEMBER_WATCH_MS)
        changes = []
        for event in _entries(page, "events"):
            if isinstance(event, dict):
                changes += _member_changes((event.get("object"),), bool(event.get("deleted")))
        return MemberChanges(changes, _field(page, "currentRev"))

    async def read_member(self, node: str) -> MemberChange | None:
        """Returns the record of a node, or None if there is none."""
        status, item = await self._call("GET", f"{MEMBER_KIND}/{node}")
        if status == NOT_FOUND:
            return None
        changes = _member_changes((item,))
        if not changes:
            raise StoreError(f"record of {node} has no readable name and revision")
        return changes[0]

    async def create_member(self, member: Member) -> int:
        """Stores a new record, returns its revision. Raises StoreConflictError."""
        body = dumps({"metadata": {"name": member.node}, "spec": member._asdict()})
        return await self._write("POST", MEMBER_KIND, body)

    async def replace_member(self, member: Member, revision: int) -> int:
        """Replaces the record if it has this revision and returns the new revision.

        Raises StoreConflictError if the record has another revision or is gone.
        """
        body = dumps(
            {
                "metadata": {"name": member.node, "revision": revision},
                "spec": member._asdict(),
            }
        )
        return await self._write("PUT", f"{MEMBER_KIND}/{member.node}", body)

    async def _write(self, method: str, path: str, body: bytes) -> int:
        status, item = await self._call(method, path, body)
        if status in (NOT_FOUND, CONFLICT):
            raise StoreConflictError(f"{method} {path}: status {status}")
        return _field(_field(item, "metadata"), "revision")

    async def delete_member(self, node: str, revision: int) -> None:
        """Deletes the record if it has this revision. Raises StoreConflictError if not."""
        status, _ = await self._call("DELETE", f"{MEMBER_KIND}/{node}?revision={revision}")
        if status == CONFLICT:
            raise StoreConflictError(f"record of {node} was changed since it was read")


def _field(table: Any, name: str) -> Any:
    if not isinstance(table, dict) or name not in table:
        raise StoreError(f"response of the store lacks the field {name}")
    return table[name]


def _entries(page: Any, name: str) -> list[Any]:
    entries = _field(page, name)
    if not isinstance(entries, list):
        raise StoreError(f"field {name} of a response of the store is not a list")
    return entries


def _parse_page(body: bytes) -> dict[str, Any]:
    """Returns a page or an object of which some part cannot be read; what cannot be read is None.

    An entry that another writer has left there must not hide the others.
    """
    page = {}
    for name, part in split_object(body).items():
        if name in ("items", "events"):
            page[name] = [_parse_entry(entry) for entry in split_array(part)]
        else:
            page[name] = _parse_part(part)
    return page


def _parse_entry(text: bytes) -> Any:
    """Returns an object or an event; a part of it that cannot be read is None."""
    try:
        return loads(text)
    except JSONDecodeError:
        entry = {name: _parse_part(part) for name, part in split_object(text).items()}
    if "object" in entry:
        entry["object"] = _parse_entry(split_object(text)["object"])
    return entry


def _parse_part(text: bytes) -> Any:
    try:
        return loads(text)
    except JSONDecodeError:
        return None


def _name(item: Any) -> Any:
    """Returns the name of an object, None if it has none."""
    metadata = item.get("metadata") if isinstance(item, dict) else None
    return metadata.get("name") if isinstance(metadata, dict) else None


def _member_changes(items: Iterable[Any], deleted: bool = False) -> list[MemberChange]:
    """Returns the changes that objects describe; those without name and revision are left out."""
    changes = []
    for item in items:
        name = _name(item)
        if not isinstance(name, str) or not name:
            continue
        revision = item["metadata"].get("revision")
        if not isinstance(revision, int):
            continue
        changes.append(
            MemberChange(name, _decode_member(name, item.get("spec")), revision, deleted)
        )
    return changes


def _decode_member(node: str, spec: Any) -> Member | None:
    """Returns the member of a record, or None if the content is not a usable member record."""
    if not isinstance(spec, dict) or spec.get("node") != node:
        return None
    example = Member("", "", "", "")
    values = {}
    for name, default in example._asdict().items():
        value = spec.get(name, default)
        if type(value) is not type(default):
            return None
        values[name] = value
    member = Member(**values)
    return member if member.is_usable() else None

"""Blocking client of the platform's object API, based on urllib3.

The API: ``GET``, ``PUT`` and ``DELETE`` on ``/objects/PATH`` with versions as entity tags,
``GET /objects?prefix=P`` for a list, and ``GET /watch?prefix=P&after=REVISION&timeout_ms=T`` for a
long poll that returns the objects changed after a revision.
"""

from json import loads
from typing import NamedTuple, Self
from urllib.parse import quote, urlencode

from urllib3 import HTTPResponse, PoolManager, Retry, Timeout
from urllib3.exceptions import HTTPError, MaxRetryError, NewConnectionError

from coltsfoottrack._internal.object_store.exceptions import (
    ObjectNotFoundError,
    PlatformUnavailableError,
    VersionConflictError,
    WriteUncertainError,
)
from coltsfoottrack._internal.observability.platform_reachability import PlatformReachability

REQUEST_TIMEOUT_SECONDS = 2.0
WATCH_TIMEOUT_SECONDS = 30.0
POOL_SIZE = 4


class StoredObject(NamedTuple):
    """An object of the platform. The content of a deleted object is None."""

    path: str
    version: int
    content: bytes | None


class ObjectList(NamedTuple):
    """Objects under a prefix, and the store's revision when they were read."""

    objects: list[StoredObject]
    revision: int


class PlatformClient:
    """Sends each request to the platform's addresses in order until one of them serves it."""

    def __init__(self, addresses: list[str]) -> None:
        self.addresses = addresses
        self.contact = PlatformReachability()
        self.pool = PoolManager(maxsize=POOL_SIZE, retries=Retry(0, redirect=0))

    @classmethod
    def from_config(cls, addresses: list[str]) -> Self:
        """Builds a client from the platform addresses of a settings file."""
        return cls(list(addresses))

    def get(self, path: str) -> StoredObject:
        """Returns an object. Raises ObjectNotFoundError or PlatformUnavailableError."""
        response = self._read(f"/objects/{quote(path)}", REQUEST_TIMEOUT_SECONDS)
        try:
            return StoredObject(path, _version(response), response.data)
        except ValueError as error:
            raise PlatformUnavailableError(f"unreadable version of {path}: {error}") from error

    def list(self, prefix: str) -> ObjectList:
        """Returns the objects under a prefix. Raises PlatformUnavailableError."""
        query = urlencode({"prefix": prefix})
        return _object_list(self._read(f"/objects?{query}", REQUEST_TIMEOUT_SECONDS))

    def watch(self, prefix: str, after: int, seconds: float = WATCH_TIMEOUT_SECONDS) -> ObjectList:
        """Waits for changes under a prefix after a revision; returns none on timeout."""
        query = urlencode({"prefix": prefix, "after": after, "timeout_ms": int(seconds * 1000)})
        return _object_list(self._read(f"/watch?{query}", seconds + REQUEST_TIMEOUT_SECONDS))

    def put(self, path: str, content: bytes, version: int | None = None) -> int:
        """Writes an object and returns its new version.

        With a version, the write takes effect only if the object has that version; version 0 means
        that the object must not exist. Raises VersionConflictError if it has another version,
        WriteUncertainError if the write may have taken effect, or PlatformUnavailableError if it
        had no effect.
        """
        headers = {}
        if version == 0:
            headers["If-None-Match"] = "*"
        elif version is not None:
            headers["If-Match"] = str(version)
        response = self._write("PUT", f"/objects/{quote(path)}", content, headers)
        try:
            return _version(response)
        except ValueError as error:
            raise WriteUncertainError(f"unreadable version of {path}: {error}") from error

    def delete(self, path: str, version: int | None = None) -> None:
        """Deletes an object, with a version only if it has that one.

        Raises ObjectNotFoundError and the errors of put().
        """
        headers = {} if version is None else {"If-Match": str(version)}
        self._write("DELETE", f"/objects/{quote(path)}", b"", headers)

    def _read(self, target: str, seconds: float) -> HTTPResponse:
        problem = "no platform address"
        for address in self.addresses:
            try:
                response = self.pool.request(
                    "GET",
                    f"http://{address}{target}",
                    timeout=Timeout(connect=REQUEST_TIMEOUT_SECONDS, read=seconds),
                )
            except HTTPError as error:
                problem = f"{address}: {error}"
                continue
            if response.status in (200, 404):
                self.contact.record(True)
            if response.status == 404:
                raise ObjectNotFoundError(f"{target} does not exist")
            if response.status == 200:
                return response
            problem = f"{address}: HTTP status {response.status}"
        self.contact.record(False)
        raise PlatformUnavailableError(f"platform is unavailable for reads: {problem}")

    def _write(
        self, method: str, target: str, content: bytes, headers: dict[str, str]
    ) -> HTTPResponse:
        problem = "no platform address"
        for address in self.addresses:
            try:
                response = self.pool.request(
                    method,
                    f"http://{address}{target}",
                    body=content,
                    headers=headers,
                    timeout=REQUEST_TIMEOUT_SECONDS,
                )
            except MaxRetryError as error:
                if not isinstance(error.reason, NewConnectionError):
                    raise WriteUncertainError(f"answer to {method} {target} was lost") from error
                problem = f"{address}: {error.reason}"
                continue
            except HTTPError as error:
                raise WriteUncertainError(f"answer to {method} {target} was lost") from error
            if response.status < 429:
                self.contact.record(True)
            if response.status in (409, 412):
                raise VersionConflictError(f"{target} does not have the expected version")
            if response.status == 404:
                raise ObjectNotFoundError(f"{target} does not exist")
            if response.status in (200, 201, 204):
                return response
            if response.status >= 500 and response.status != 503:
                # A gateway may return this status after the store behind it has executed the write.
                raise WriteUncertainError(f"HTTP status {response.status} to {method} {target}")
            problem = f"{address}: HTTP status {response.status}"
        self.contact.record(False)
        raise PlatformUnavailableError(f"platform is unavailable for writes: {problem}")


def _version(response: HTTPResponse) -> int:
    return int(response.headers.get("ETag", "0"))


def _object_list(response: HTTPResponse) -> ObjectList:
    try:
        document = loads(response.data)
        objects = []
        for item in document["objects"]:
            content = item["content"]
            data = None if content is None else content.encode("utf-8")
            objects.append(StoredObject(str(item["path"]), int(item["version"]), data))
        return ObjectList(objects, int(document["revision"]))
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
        raise PlatformUnavailableError(f"unreadable list of objects: {error!r}") from error

"""Stand-in for the platform's object API, for demonstrations and tests.

It keeps all objects in memory, and ``POST /faults`` with a JSON object of FaultState's fields
injects faults.
"""

from collections import deque
from collections.abc import Callable, Iterable
from json import dumps, loads
from threading import Condition
from time import monotonic, sleep
from typing import Any, NamedTuple, TypedDict
from urllib.parse import parse_qs, unquote

from cheroot.wsgi import Server

from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import PlatformSettings
from coltsfoottrack._internal.settings.rules import number_or_default

MAX_VALUE_BYTES = 1_048_576
WORKER_THREADS = 160
# Longer than the client's request timeout.
LOST_ANSWER_DELAY_SECONDS = 5.0
Environ = dict[str, Any]


class FaultState(TypedDict, total=False):
    """Active faults: ``down`` refuses all calls, ``lose_answers`` drops responses to writes."""

    down: bool
    slow_ms: float
    lose_answers: bool


class Reply(NamedTuple):
    """Status, body and object version of a response."""

    status: str
    body: bytes = b""
    version: int = 0


class Entry(NamedTuple):
    """A stored object, or the tombstone of a deleted one, whose content is None."""

    version: int
    content: str | None


class RateLimit:
    """Limits the number of calls in a sliding window of one second."""

    def __init__(self, per_second: int) -> None:
        self.per_second = per_second
        self.times: deque[float] = deque()

    def allow(self) -> bool:
        """Returns whether a call is within the rate, and counts it if so."""
        now = monotonic()
        while self.times and self.times[0] < now - 1.0:
            self.times.popleft()
        if len(self.times) >= self.per_second:
            return False
        self.times.append(now)
        return True


class PlatformStandIn:
    """Object store with versions, conditional writes, watches, rate limits and fault injection."""

    def __init__(self, settings: PlatformSettings) -> None:
        self.settings = settings
        self.changed = Condition()
        self.entries: dict[str, Entry] = {}
        self.revision = 0
        self.snapshot: dict[str, Entry] = {}
        self.faults: FaultState = {}
        self.reads = RateLimit(int(number_or_default(settings, "reads_per_second")))
        self.writes = RateLimit(int(number_or_default(settings, "writes_per_second")))
        self.closing = False
        self.counts = {"reads": 0, "writes": 0, "refused": 0}

    @classmethod
    def from_config(cls, settings: PlatformSettings) -> "PlatformStandIn":
        """Builds a stand-in from its settings."""
        return cls(settings)

    def server(self) -> Server:
        """Returns the HTTP server, which is not started."""
        address = (self.settings.address, self.settings.port)
        server = Server(address, self.application, numthreads=WORKER_THREADS)
        server.keep_alive_conn_limit = 2 * WORKER_THREADS
        server.request_queue_size = WORKER_THREADS
        server.timeout = 60
        server.shutdown_timeout = 1
        return server

    def stop_watches(self) -> None:
        """Answers all pending watches, whose threads would prevent the process from exiting."""
        with self.changed:
            self.closing = True
            self.changed.notify_all()

    def application(self, environ: Environ, start_response: Callable) -> Iterable[bytes]:
        """Serves one request as a WSGI application."""
        reply = self._reply(environ)
        headers = [("Content-Length", str(len(reply.body))), ("ETag", str(reply.version))]
        start_response(reply.status, headers)
        return [reply.body]

    def _reply(self, environ: Environ) -> Reply:
        method = environ["REQUEST_METHOD"]
        path = environ["PATH_INFO"]
        if path == "/faults":
            return self._set_faults(environ)
        if path == "/counts":
            return Reply("200 OK", dumps(self.counts).encode())
        if self.faults.get("down"):
            return Reply("503 Service Unavailable", b"down")
        sleep(self.faults.get("slow_ms", 0.0) / 1000.0)
        with self.changed:
            kind = "reads" if method == "GET" else "writes"
            limit = self.reads if method == "GET" else self.writes
            if not limit.allow():
                self.counts["refused"] += 1
                return Reply("429 Too Many Requests", b"over the rate")
            self.counts[kind] += 1
        if method == "GET":
            return self._read(path, environ)
        reply = self._write(method, path, environ)
        if self.faults.get("lose_answers"):
            sleep(LOST_ANSWER_DELAY_SECONDS)
            return Reply("504 Gateway Timeout", b"answer lost")
        return reply

    def _set_faults(self, environ: Environ) -> Reply:
        request = loads(_body(environ) or b"{}")
        with self.changed:
            if request.pop("take_snapshot", False):
                self.snapshot = dict(self.entries)
            if request.pop("restore_snapshot", False):
                self.entries = dict(self.snapshot)
                self.revision += 1
            self.faults = FaultState(**request)
            self.changed.notify_all()
        return Reply("200 OK", dumps(self.faults).encode())

    def _read(self, path: str, environ: Environ) -> Reply:
        query = parse_qs(environ.get("QUERY_STRING", ""))
        prefix = query.get("prefix", [""])[0]
        if path == "/objects":
            with self.changed:
                return self._list(prefix, -1)
        if path == "/watch":
            after = int(query.get("after", ["0"])[0])
            return self._watch(prefix, after, float(query["timeout_ms"][0]) / 1000.0)
        entry = self.entries.get(unquote(path).removeprefix("/objects/"))
        if entry is None or entry.content is None:
            return Reply("404 Not Found")
        return Reply("200 OK", entry.content.encode(), entry.version)

    def _list(self, prefix: str, after: int) -> Reply:
        objects = []
        for path, entry in sorted(self.entries.items()):
            if not path.startswith(prefix) or entry.version <= after:
                continue
            if entry.content is None and after < 0:
                continue
            objects.append({"path": path, "version": entry.version, "content": entry.content})
        body = dumps({"objects": objects, "revision": self.revision})
        return Reply("200 OK", body.encode())

    def _watch(self, prefix: str, after: int, seconds: float) -> Reply:
        expiry = monotonic() + min(seconds, 60.0)
        with self.changed:
            while monotonic() < expiry and not self.faults.get("down") and not self.closing:
                # A client with a later revision has seen a state from before the restore.
                if after > self.revision or self._has_changed(prefix, after):
                    return self._list(prefix, min(after, self.revision) if after else -1)
                self.changed.wait(expiry - monotonic())
            if self.faults.get("down"):
                return Reply("503 Service Unavailable", b"down")
            return self._list(prefix, self.revision)

    def _has_changed(self, prefix: str, after: int) -> bool:
        for path, entry in self.entries.items():
            if path.startswith(prefix) and entry.version > after:
                return True
        return False

    def _write(self, method: str, path: str, environ: Environ) -> Reply:
        body = _body(environ)
        if len(body) > MAX_VALUE_BYTES:
            return Reply("413 Content Too Large", b"value over 1 MB")
        name = unquote(path).removeprefix("/objects/")
        with self.changed:
            entry = self.entries.get(name)
            current = entry.version if entry is not None and entry.content is not None else 0
            expected = environ.get("HTTP_IF_MATCH")
            if expected is not None and expected != str(current):
                return Reply("412 Precondition Failed", str(current).encode(), current)
            if environ.get("HTTP_IF_NONE_MATCH") == "*" and current:
                return Reply("412 Precondition Failed", str(current).encode(), current)
            if method == "DELETE" and not current:
                return Reply("404 Not Found")
            self.revision += 1
            content = body.decode("utf-8") if method == "PUT" else None
            self.entries[name] = Entry(self.revision, content)
            self.changed.notify_all()
            return Reply("200 OK", b"", self.revision)


def _body(environ: Environ) -> bytes:
    length = int(environ.get("CONTENT_LENGTH") or 0)
    return environ["wsgi.input"].read(length)

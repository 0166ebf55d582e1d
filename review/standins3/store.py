"""Stand-in of the platform's metadata store: objects, conditional writes, watches."""

from asyncio import (
    CancelledError,
    Event,
    IncompleteReadError,
    StreamReader,
    StreamWriter,
    start_server,
    timeout,
)
from json import dumps, loads
from urllib.parse import parse_qs, unquote, urlsplit

from review.standins3.http import Message, read_message
from review.standins3.record import Record

ANSWER_SECONDS = 0.004


class Store:
    """Keeps objects by kind and name; a watch waits for events after a revision."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.revision = 10
        self.objects: dict[tuple[str, str], dict] = {}
        # Revision, kind, object, deleted.
        self.history: list[tuple[int, str, dict, bool]] = []
        self.changed = Event()
        self.servers = []
        self.address = ""
        # Addresses at which the store has fallen silent.
        self.silent: set[str] = set()

    async def open(self, host: str) -> None:
        """Listens on a free port."""
        self.address = await self.open_for(host)

    async def open_for(self, host: str) -> str:
        """Listens at one more address, for a machine of its own; returns the address."""

        async def serve(reader: StreamReader, writer: StreamWriter) -> None:
            await self._serve(reader, writer, address)

        server = await start_server(serve, host, 0)
        self.servers.append(server)
        address = f"{host}:{server.sockets[0].getsockname()[1]}"
        return address

    def put(self, kind: str, name: str, spec: dict) -> None:
        """Stores an object as the operator does."""
        self._store(kind, name, {"spec": spec})
        self.record.note("store", f"operator writes {kind}/{name}, version {spec.get('version')}")

    def _store(self, kind: str, name: str, sent: dict) -> dict:
        before = self.objects.get((kind, name))
        spec = sent.get("spec")
        if before is not None and before["spec"] == spec:
            return before
        self.revision += 1
        item = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created": before["metadata"]["created"] if before else self.revision,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        self.objects[(kind, name)] = item
        self._publish(kind, item, False)
        return item

    def _publish(self, kind: str, item: dict, deleted: bool) -> None:
        self.history.append((self.revision, kind, item, deleted))
        self.changed.set()
        self.changed = Event()

    async def _serve(self, reader: StreamReader, writer: StreamWriter, address: str) -> None:
        try:
            while True:
                message = await read_message(reader)
                status, body = await self._answer(message)
                if address in self.silent:
                    # A call that is not answered may have been executed.
                    await reader.read()
                    return
                content = dumps(body).encode()
                head = f"HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n"
                writer.write(head.encode() + b"Content-Length: %d\r\n\r\n" % len(content) + content)
        except (OSError, IncompleteReadError, CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, message: Message) -> tuple[int, dict]:
        method, target = message.first[0], message.first[1]
        url = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        parts = [unquote(part) for part in url.path.removeprefix("/api/objects/").split("/")]
        kind, name = parts[0], parts[1] if len(parts) > 1 else ""
        if method == "GET" and "watch" in query:
            return await self._watch(kind, int(query["watch"]), int(query["waitMs"]) / 1000.0)
        if method == "GET" and not name:
            items = [item for (of, _), item in sorted(self.objects.items()) if of == kind]
            return 200, {"items": items, "hasMore": False, "currentRev": self.revision}
        sent = loads(message.body) if message.body else {}
        if method == "POST":
            name = sent["metadata"]["name"]
            known = self.objects.get((kind, name))
            if known is not None:
                return 409, known
            self.record.note("store", f"{kind}/{name} created, {_told(sent)}")
            return 201, self._store(kind, name, sent)
        known = self.objects.get((kind, name))
        if known is None:
            return 404, {}
        expected = (sent.get("metadata") or {}).get("revision", query.get("revision"))
        if method != "GET" and expected is not None:
            if int(expected) != known["metadata"]["revision"]:
                return 409, known
        if method == "PUT":
            self.record.note("store", f"{kind}/{name} replaced, {_told(sent)}")
            return 200, self._store(kind, name, sent)
        if method == "DELETE":
            del self.objects[(kind, name)]
            self.revision += 1
            self._publish(kind, known, True)
            self.record.note("store", f"{kind}/{name} deleted")
        return 200, known

    async def _watch(self, kind: str, revision: int, seconds: float) -> tuple[int, dict]:
        try:
            async with timeout(seconds):
                while True:
                    events = [
                        {"object": item, "deleted": deleted}
                        for at, of, item, deleted in self.history
                        if at > revision and of == kind
                    ]
                    if events:
                        return 200, {"events": events, "currentRev": self.revision}
                    await self.changed.wait()
        except TimeoutError:
            return 200, {"events": [], "currentRev": self.revision}


def _told(sent: dict) -> str:
    spec = sent.get("spec") or {}
    return f"backend {spec.get('backend')!r}, left {spec.get('left')}"

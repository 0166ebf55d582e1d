"""Stand-in of the platform's metadata store: objects, conditional writes and watches."""

from asyncio import Event, StreamReader, StreamWriter, timeout
from json import dumps, loads
from typing import Any

from review.standins2.http import HttpServer, encode, read_message

PATH = "/api/objects/"


class Store(HttpServer):
    """Loses nothing and answers each call at once; it is not disturbed in any case here."""

    def __init__(self) -> None:
        super().__init__()
        self.revision = 10
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        # Revision, kind, object, and whether it was deleted.
        self.history: list[tuple[int, str, str, bool]] = []
        self.changed = Event()

    def put(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        """Stores an object."""
        self.revision += 1
        metadata = {"name": name, "revision": self.revision, "created": 0}
        metadata |= {"finalizers": [], "deleting": False}
        item = {"metadata": metadata, "spec": spec, "status": None}
        self.objects[(kind, name)] = item
        self._publish(kind, item, False)
        return item

    def _publish(self, kind: str, item: dict[str, Any], deleted: bool) -> None:
        self.history.append((self.revision, kind, dumps(item), deleted))
        self.changed.set()
        self.changed = Event()

    async def serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        """Answers the calls on one connection."""
        while True:
            call = await read_message(reader)
            status, answer = await self._answer(call.method, call.target, call.body)
            content = dumps(answer).encode()
            headers = {"Content-Type": "application/json"}
            writer.write(encode(f"HTTP/1.1 {status} Status", headers, content))

    async def _answer(self, method: str, target: str, body: bytes) -> tuple[int, Any]:
        path, _, query_text = target.partition("?")
        query = dict(part.partition("=")[::2] for part in query_text.split("&") if part)
        kind, _, name = path.removeprefix(PATH).partition("/")
        if method == "GET" and "watch" in query:
            return await self._watch(kind, int(query["watch"]), int(query.get("waitMs", "0")))
        if method == "GET" and not name:
            items = [item for (of, _), item in sorted(self.objects.items()) if of == kind]
            return 200, {"items": items, "hasMore": False, "currentRev": self.revision}
        if method in ("POST", "PUT"):
            return self._write(method, kind, loads(body))
        item = self.objects.get((kind, name))
        if item is None:
            return 404, {}
        if method == "DELETE":
            if query.get("revision") not in (None, str(item["metadata"]["revision"])):
                return 409, item
            del self.objects[(kind, name)]
            self.revision += 1
            self._publish(kind, item, True)
        return 200, item

    def _write(self, method: str, kind: str, body: dict[str, Any]) -> tuple[int, Any]:
        name = body["metadata"]["name"]
        item = self.objects.get((kind, name))
        if method == "POST":
            return (409, item) if item else (201, self.put(kind, name, body.get("spec")))
        if item is None:
            return 404, {}
        if body["metadata"].get("revision") not in (None, item["metadata"]["revision"]):
            return 409, item
        if body.get("spec") == item["spec"]:
            return 200, item
        return 200, self.put(kind, name, body.get("spec"))

    async def _watch(self, kind: str, revision: int, wait_ms: int) -> tuple[int, Any]:
        try:
            async with timeout(wait_ms / 1000.0):
                while not self._events(kind, revision):
                    await self.changed.wait()
        except TimeoutError:
            pass
        events = self._events(kind, revision)
        return 200, {"events": events, "currentRev": self.revision}

    def _events(self, kind: str, revision: int) -> list[dict[str, Any]]:
        events = []
        for at, of, item, deleted in self.history:
            if at > revision and of == kind:
                events.append({"object": loads(item), "deleted": deleted})
        return events

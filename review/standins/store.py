"""Stand-in of the platform's metadata store: objects by kind and name, with watches."""

from asyncio import Event, Server, StreamReader, StreamWriter, start_server, timeout
from json import dumps, loads
from typing import Any
from urllib.parse import parse_qs, urlsplit

from standins.messages import STREAM_LIMIT, Message, read_message


class Store:
    """Answers at once, and keeps its whole history."""

    def __init__(self) -> None:
        self.revision = 1
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.history: list[tuple[int, str, dict[str, Any], bool]] = []
        self.changed = Event()
        self.server: Server | None = None

    async def open(self, host: str, port: int) -> None:
        """Opens the port."""
        self.server = await start_server(self._serve, host, port, limit=STREAM_LIMIT)

    def put(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        """Stores an object."""
        self.revision += 1
        known = self.objects.get((kind, name))
        created = known["metadata"]["created"] if known else self.revision
        item = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        self.objects[kind, name] = item
        self._publish(kind, item, False)
        return item

    def _publish(self, kind: str, item: dict[str, Any], deleted: bool) -> None:
        self.history.append((self.revision, kind, item, deleted))
        self.changed.set()
        self.changed = Event()

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        try:
            while (message := await read_message(reader)) is not None:
                status, body = await self._answer(message)
                content = dumps(body).encode()
                head = f"HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n"
                writer.write(f"{head}Content-Length: {len(content)}\r\n\r\n".encode() + content)
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def _answer(self, message: Message) -> tuple[int, Any]:
        method, target = message.start[:2]
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        kind, _, name = url.path.removeprefix("/api/objects/").partition("/")
        if method == "GET" and "watch" in query:
            wait_seconds = int(query.get("waitMs", "0")) / 1000.0
            return await self._watch(kind, int(query["watch"]), wait_seconds)
        if method == "GET" and not name:
            items = [item for (of, _), item in sorted(self.objects.items()) if of == kind]
            return 200, {"items": items, "hasMore": False, "currentRev": self.revision}
        if method == "POST":
            body = loads(message.body)
            known = self.objects.get((kind, body["metadata"]["name"]))
            if known is not None:
                return 409, known
            return 201, self.put(kind, body["metadata"]["name"], body.get("spec"))
        known = self.objects.get((kind, name))
        if known is None:
            return 404, {}
        if method == "GET":
            return 200, known
        body = loads(message.body) if message.body else {}
        revision = (body.get("metadata") or {}).get("revision", query.get("revision"))
        if revision is not None and int(revision) != known["metadata"]["revision"]:
            return 409, known
        if method == "PUT":
            if body.get("spec") == known["spec"]:
                return 200, known
            return 200, self.put(kind, name, body.get("spec"))
        del self.objects[kind, name]
        self.revision += 1
        self._publish(kind, known, True)
        return 200, known

    async def _watch(self, kind: str, after: int, seconds: float) -> tuple[int, Any]:
        try:
            async with timeout(seconds):
                while True:
                    changed = self.changed
                    events = []
                    for revision, of, item, deleted in self.history:
                        if revision > after and of == kind:
                            events.append({"object": item, "deleted": deleted})
                    if events:
                        return 200, {"events": events, "currentRev": self.revision}
                    await changed.wait()
        except TimeoutError:
            return 200, {"events": [], "currentRev": self.revision}

    def close(self) -> None:
        """Closes the port."""
        if self.server is not None:
            self.server.close()

"""Stand-in for the platform's metadata store."""

from asyncio import Event, StreamReader, StreamWriter, timeout
from copy import deepcopy
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

from orjson import dumps, loads

from tests.standins.http import HttpServer, Message, read_message


class StoreCopy(NamedTuple):
    """What the store held at some time."""

    revision: int
    objects: dict[tuple[str, str], dict[str, Any]]


class StandInStore(HttpServer):
    """Objects with revisions, conditional writes and watches; can fail or lose answers.

    It can also come back from an older copy of itself.
    """

    def __init__(self) -> None:
        super().__init__()
        self.revision = 1
        self.era = 1
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        # Revision, kind, object, and whether it was deleted.
        self.history: list[tuple[int, str, dict[str, Any], bool]] = []
        self.changed = Event()
        self.status: int | None = None
        self.lose_answers = False
        self.forgotten_before = 0
        # Objects in one answer to a list; 0 for all.
        self.page_size = 0
        self.calls: list[str] = []
        # Connections on which nothing more is answered, and the last request on each connection.
        self.silent: set[StreamWriter] = set()
        self.waiting: dict[StreamWriter, str] = {}

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Stores an object unconditionally, as an operator does."""
        self._store(kind, name, {"spec": spec})

    def _store(self, kind: str, name: str, body: dict[str, Any]) -> dict[str, Any]:
        self.revision += 1
        item = {
            "metadata": {"name": name, "revision": self.revision},
            "spec": body.get("spec"),
            "status": None,
        }
        self.objects[(kind, name)] = item
        self._publish(kind, item, False)
        return item

    def _publish(self, kind: str, item: dict[str, Any], deleted: bool) -> None:
        self.history.append((self.revision, kind, item, deleted))
        self.changed.set()
        self.changed = Event()

    def forget_history(self) -> None:
        """Discards the history, which the real store may do at any time."""
        self.forgotten_before = self.revision + 1

    def fall_silent(self) -> None:
        """Answers nothing more on the connections that are open now; new ones work."""
        self.silent.update(self.writers)

    def fall_silent_to_watches(self, kind: str) -> None:
        """Answers nothing more on the connections on which a watch of a kind waits now."""
        start = f"/api/objects/{kind}?"
        for writer, path in self.waiting.items():
            if writer in self.writers and path.startswith(start) and "watch=" in path:
                self.silent.add(writer)

    def copy(self) -> StoreCopy:
        """Returns what the store holds now."""
        return StoreCopy(self.revision, deepcopy(self.objects))

    def restore(self, copy: StoreCopy, forgets_watches: bool = False) -> None:
        """Loses all that was stored since a copy was made.

        Resets all connections, or leaves them open and never answers the watches on them.
        """
        self.era += 1
        self.revision = copy.revision
        self.objects = deepcopy(copy.objects)
        self.history = [entry for entry in self.history if entry[0] <= copy.revision]
        if forgets_watches:
            return
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        """Serves one connection."""
        while (message := await read_message(reader)) is not None:
            self.calls.append(f"{message.method} {message.path}")
            self.waiting[writer] = message.path
            status, body = await self._answer(message)
            if writer in self.silent:
                await reader.read()
                return
            if self.lose_answers and message.method != "GET":
                return
            content = dumps(body)
            head = f"HTTP/1.1 {status} Status\r\nStore-Era: {self.era}\r\n"
            head += f"Content-Length: {len(content)}\r\n\r\n"
            writer.write(head.encode("ascii") + content)

    async def _answer(self, message: Message) -> tuple[int, Any]:
        if self.status is not None:
            return self.status, {}
        url = urlsplit(message.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        parts = url.path.removeprefix("/api/objects/").split("/")
        kind = parts[0]
        if message.method == "GET" and "watch" in query:
            return await self._watch(kind, int(query["watch"]), int(query["waitMs"]))
        if message.method == "GET" and len(parts) == 1:
            return 200, self._page(kind, query.get("after", ""))
        if message.method == "POST":
            return self._write(kind, loads(message.body), True)
        if message.method == "PUT":
            return self._write(kind, loads(message.body), False)
        item = self.objects.get((kind, parts[1]))
        if item is None:
            return 404, {}
        if message.method == "DELETE":
            if int(query.get("revision", item["metadata"]["revision"])) != (
                item["metadata"]["revision"]
            ):
                return 409, item
            del self.objects[(kind, parts[1])]
            self.revision += 1
            self._publish(kind, item, True)
        return 200, item

    def _page(self, kind: str, after: str) -> dict[str, Any]:
        names = [name for of, name in self.objects if of == kind]
        if self.page_size:
            names = sorted(name for name in names if name > after)
        shown = names[: self.page_size] if self.page_size else names
        items = [self.objects[(kind, name)] for name in shown]
        has_more = len(shown) < len(names)
        return {"items": items, "hasMore": has_more, "currentRev": self.revision}

    def _write(self, kind: str, body: dict[str, Any], create: bool) -> tuple[int, Any]:
        name = body["metadata"]["name"]
        known = self.objects.get((kind, name))
        if create:
            return (409, known) if known else (201, self._store(kind, name, body))
        if known is None:
            return 404, {}
        if body["metadata"].get("revision") not in (None, known["metadata"]["revision"]):
            return 409, known
        return 200, self._store(kind, name, body)

    async def _watch(self, kind: str, revision: int, wait_ms: int) -> tuple[int, Any]:
        if revision + 1 < self.forgotten_before or revision > self.revision:
            return 410, {}
        try:
            era = self.era
            async with timeout(wait_ms / 1000.0):
                while True:
                    if era != self.era:
                        await Event().wait()
                    events = []
                    for at, of, item, deleted in self.history:
                        if at > revision and of == kind:
                            events.append({"object": item, "deleted": deleted})
                    if events:
                        return 200, {"events": events, "currentRev": self.revision}
                    await self.changed.wait()
        except TimeoutError:
            return 200, {"events": [], "currentRev": self.revision}

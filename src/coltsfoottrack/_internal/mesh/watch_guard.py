"""Ends watches of the store that no longer show whether there was a change.

A watch on which the store has fallen silent looks like one without changes. A call that the store
answers proves a waiting watch only if both would fail together, so the guard probes on a connection
that was open before the watch began. Where the watch alone is silent, the probe shows a newer
configuration than the watch has told.
"""

from asyncio import (
    FIRST_COMPLETED,
    Future,
    Lock,
    get_running_loop,
    sleep,
    wait,
)
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from coltsfoottrack._internal.mesh.exceptions import StoreError
from coltsfoottrack._internal.mesh.store import ProbeResult, Store

# Pause between two probes while a watch waits. A probe without an answer fails within 1 s, and the
# pause after a failure is 0.6 s at most, so that the store is read anew within the 3 s that the
# platform allows after connections have failed.
PROBE_SECONDS = 1.2

Result = TypeVar("Result")


class WatchGuard:
    """Probes the store while watches wait, and ends them all once they prove nothing."""

    def __init__(self, store: Store) -> None:
        self.store = store
        # One for each waiting watch; gets an error to end it.
        self.ends: set[Future[Any]] = set()
        self.lock = Lock()
        # Whether the connection for probes is open.
        self.connected = False
        # Revision up to which the watch of the configuration has told of changes.
        self.revision = 0
        # Newer revision that the last probe has shown, 0 if none.
        self.missed_revision = 0
        # Called with a newer configuration that a probe has shown.
        self.on_missed: Callable[[ProbeResult], None] = lambda result: None
        # Called when the watches have been shown to be alive.
        self.on_answered: Callable[[], None] = lambda: None

    def reset(self) -> None:
        """Forgets the state of earlier watches."""
        self.connected = False
        self.revision = 0
        self.missed_revision = 0

    async def hold(self, watch: Coroutine[Any, Any, Result]) -> Result:
        """Awaits a watch and returns its result.

        Raises StoreError if the watch fails or if it proves nothing any more.
        """
        loop = get_running_loop()
        end = loop.create_future()
        watching = None
        self.ends.add(end)
        try:
            await self._connect()
            watching = loop.create_task(watch)
            await wait((watching, end), return_when=FIRST_COMPLETED)
            return watching.result() if watching.done() else end.result()
        finally:
            self.ends.discard(end)
            _discard(end)
            if watching is None:
                watch.close()
            else:
                _discard(watching)

    async def _connect(self) -> None:
        """Opens the connection for probes if there is none. Raises StoreError."""
        async with self.lock:
            if not self.connected:
                self._record(await self.store.probe())
                self.connected = True

    async def run(self) -> None:
        """Probes the store for as long as watches wait."""
        while True:
            await sleep(PROBE_SECONDS)
            if not self.ends or not self.connected:
                continue
            try:
                async with self.lock:
                    result = await self.store.probe()
            except StoreError as error:
                self.connected = False
                self._end_watches(error)
                continue
            if not result.reused_connection:
                self._end_watches(StoreError("connection for probes is newer than the watches"))
            self._record(result)
            if result.reused_connection and not self.missed_revision:
                self.on_answered()

    def _record(self, result: ProbeResult) -> None:
        """Evaluates the answer to a probe, which may be seconds old."""
        if not self.revision or result.revision <= self.revision:
            self.missed_revision = 0
            return
        self.on_missed(result)
        if self.missed_revision:
            # The watch was not merely overtaken by the probe.
            self.missed_revision = 0
            self._end_watches(StoreError(f"watch has missed revision {result.revision}"))
            return
        self.missed_revision = result.revision

    def _end_watches(self, error: StoreError) -> None:
        for end in self.ends:
            if not end.done():
                end.set_exception(error)


def _discard(future: Future[Any]) -> None:
    """Cancels a future, or marks the error of one that is done as retrieved."""
    if not future.cancel() and not future.cancelled():
        future.exception()

"""Unused idempotency keys, fetched in batches from the nodes of a service."""

from collections.abc import Callable

from coltsfoottrack._internal.calls.context import CallContext
from coltsfoottrack._internal.calls.identifiers import IdempotencyKey
from coltsfoottrack._internal.events.clock import HybridClock
from coltsfoottrack._internal.routing.exceptions import ConnectionLostError, NotSentError
from coltsfoottrack._internal.routing.transport import Transport

KEY_BATCH = 20
FETCH_ATTEMPTS = 3
FETCH_TIMEOUT_SECONDS = 1.0

ChooseAddress = Callable[[str, set[str]], str | None]


class KeyPool:
    """Keys by service. A key is handed out once."""

    def __init__(
        self, cluster: str, clock: HybridClock, transport: Transport, choose: ChooseAddress
    ) -> None:
        self.cluster = cluster
        self.clock = clock
        self.transport = transport
        self.choose = choose
        self.keys: dict[str, list[str]] = {}

    async def take(self, context: CallContext, tried: set[str] | None = None) -> str:
        """Returns an unused key of the service, or an empty text if no node gives one.

        Keys of the addresses already tried are thrown away.
        """
        tried = set() if tried is None else tried
        held = self.keys.setdefault(context.service, [])
        while held:
            key = held.pop()
            if IdempotencyKey.parse(key).home_call_address not in tried:
                return key
        for _ in range(FETCH_ATTEMPTS):
            address = self.choose(context.service, tried)
            if address is None:
                return ""
            held.extend(await self._fetch(context, address))
            if held:
                return held.pop()
            tried.add(address)
        return ""

    async def _fetch(self, context: CallContext, address: str) -> list[str]:
        path = f"/v1/services/{context.service}/keys?count={KEY_BATCH}"
        headers = context.headers(self.cluster, self.clock.tick())
        seconds = min(FETCH_TIMEOUT_SECONDS, context.deadline.remaining_seconds())
        try:
            reply = await self.transport.send("POST", address, path, headers, b"", seconds)
        except (NotSentError, ConnectionLostError):
            return []
        return reply.body.decode("ascii").split() if reply.status == 200 else []

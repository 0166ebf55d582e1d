"""Pool of unused idempotency keys, fetched in batches from the nodes of a service."""

from collections.abc import Callable
from time import monotonic
from typing import NamedTuple

from coltsfoottrack._internal.calls.context import CallContext
from coltsfoottrack._internal.calls.identifiers import IdempotencyKey
from coltsfoottrack._internal.calls.peer_authentication import PeerAuthentication
from coltsfoottrack._internal.configuration.policy import PolicyTable
from coltsfoottrack._internal.events.clock import HybridClock
from coltsfoottrack._internal.membership.table import MembershipTable, is_serving, member_id
from coltsfoottrack._internal.routing.exceptions import ConnectionLostError, NotSentError
from coltsfoottrack._internal.routing.transport import Transport
from coltsfoottrack._internal.settings.rules import milliseconds_to_seconds

KEY_BATCH = 20
FETCH_ATTEMPTS = 3
FETCH_TIMEOUT_SECONDS = 1.0

ChooseAddress = Callable[[str, set[str]], str | None]
# The rest of a key's lifetime is reserved for sending the call and querying its outcome.
UNUSED_LIFETIME_SHARE = 0.5


class UnusedKey(NamedTuple):
    """An unused key, and when it was fetched on the monotonic clock."""

    text: str
    fetched_at: float


class KeyPool:
    """Unused keys by service. Each key is handed out once."""

    def __init__(
        self,
        cluster: str,
        clock: HybridClock,
        transport: Transport,
        choose: ChooseAddress,
        members: MembershipTable,
        policies: Callable[[], PolicyTable],
        is_unavailable: Callable[[str], bool] = lambda _name: False,
        authentication: PeerAuthentication | None = None,
    ) -> None:
        self.authentication = authentication or PeerAuthentication()
        self.cluster = cluster
        self.clock = clock
        self.transport = transport
        self.choose = choose
        self.members = members
        self.policies = policies
        self.is_unavailable = is_unavailable
        self.keys: dict[str, list[UnusedKey]] = {}

    async def take(self, context: CallContext, tried: set[str] | None = None) -> str:
        """Returns an unused key of the service, or an empty string if no node issues one.

        Discards keys of addresses already tried, old keys, and keys whose home process has ended or
        is unavailable, as calls under them would end with the outcome ``unknown``.
        """
        tried = set() if tried is None else tried
        unused_keys = self.keys.setdefault(context.service, [])
        while unused_keys:
            unused_key = unused_keys.pop()
            if self._is_usable(unused_key, context.service, tried):
                return unused_key.text
        for _ in range(FETCH_ATTEMPTS):
            address = self.choose(context.service, tried)
            if address is None:
                return ""
            fetched = await self._fetch(context, address)
            if fetched:
                unused_keys.extend(UnusedKey(text, monotonic()) for text in fetched[1:])
                return fetched[0]
            tried.add(address)
        return ""

    def _is_usable(self, unused_key: UnusedKey, service: str, tried: set[str]) -> bool:
        key = IdempotencyKey.parse(unused_key.text)
        home = self.members.home_of(key)
        if home is None or home.incarnation != key.incarnation or not is_serving(home, service):
            return False
        if self.is_unavailable(member_id(home)):
            return False
        lifetime = milliseconds_to_seconds(self.policies().policy(service), "key_lifetime_ms")
        if monotonic() - unused_key.fetched_at > lifetime * UNUSED_LIFETIME_SHARE:
            return False
        return key.home_call_address not in tried

    async def _fetch(self, context: CallContext, address: str) -> list[str]:
        path = f"/v1/services/{context.service}/keys?count={KEY_BATCH}"
        headers = context.headers(self.cluster, self.clock.tick())
        self.authentication.sign_call(path, headers)
        seconds = min(FETCH_TIMEOUT_SECONDS, context.deadline.remaining_seconds())
        try:
            reply = await self.transport.send("POST", address, path, headers, b"", seconds)
        except (NotSentError, ConnectionLostError):
            return []
        return reply.body.decode("ascii").split() if reply.status == 200 else []

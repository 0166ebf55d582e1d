"""Choice of a node for a call, sending, and retries within the budget."""

from asyncio import sleep
from collections import Counter
from collections.abc import Callable
from random import Random

from coltsfoottrack._internal.calls.budget import RetryRatio
from coltsfoottrack._internal.calls.context import CallContext, read_answer
from coltsfoottrack._internal.calls.exceptions import (
    BadRequestError,
    CallError,
    InvalidKeyError,
)
from coltsfoottrack._internal.calls.identifiers import IdempotencyKey, new_call_id
from coltsfoottrack._internal.calls.outcome import Answer, Outcome, Reason, refused, unknown
from coltsfoottrack._internal.configuration.policy import PolicyTable
from coltsfoottrack._internal.events.clock import HybridClock
from coltsfoottrack._internal.events.ring import EventRing
from coltsfoottrack._internal.membership.table import MembershipTable, call_address
from coltsfoottrack._internal.routing.exceptions import ConnectionLostError, NotSentError
from coltsfoottrack._internal.routing.levels import ReportedLevels
from coltsfoottrack._internal.routing.transport import Transport
from coltsfoottrack._internal.settings.rules import number_or_default

BACKOFF_BASE_SECONDS = 0.005
BACKOFF_MAXIMUM_SECONDS = 0.25
KEY_BATCH = 20


class Router:
    """Sends calls to nodes of other services; shared by nodes and the embedded client."""

    def __init__(
        self,
        cluster: str,
        members: MembershipTable,
        policies: Callable[[], PolicyTable],
        clock: HybridClock,
        ring: EventRing,
        random: Random,
    ) -> None:
        self.cluster = cluster
        self.members = members
        self.policies = policies
        self.clock = clock
        self.ring = ring
        self.random = random
        self.transport = Transport()
        self.levels = ReportedLevels()
        self.outstanding: Counter[str] = Counter()
        self.ratios: dict[str, RetryRatio] = {}
        self.keys: dict[str, list[str]] = {}

    async def call(self, context: CallContext, body: bytes) -> Answer:
        """Makes a call and returns its answer, with what is left of the attempt budget.

        A caller's own idempotency key is sent to its home and never replaced by another key.
        """
        answer = await self._attempts(context, body)
        return answer._replace(attempts_left=context.budget.retries)

    async def _attempts(self, context: CallContext, body: bytes) -> Answer:
        destination = f"{context.service}/{context.operation}"
        grant = self.policies().grant(context.service, context.operation)
        own_key = bool(context.idempotency_key)
        ratio = self._ratio(context.service, destination)
        ratio.record_first_attempt()
        tried: set[str] = set()
        attempt = 0
        while True:
            if context.deadline.has_passed():
                return refused(Reason.DEADLINE)
            if self.levels.refuses(destination, context.rank):
                return refused(Reason.EARLY_REFUSAL)
            if not grant.idempotent and not own_key:
                key = await self.take_key(context, tried)
                if not key:
                    return refused(Reason.NO_NODE, retry_useful=True)
                context = context._replace(idempotency_key=key)
            answer = await self._one_attempt(context, body, tried)
            if not own_key and not grant.idempotent and not answer.copy_dispatched:
                # This router sent the only copy, and it went nowhere.
                answer = refused(answer.reason, retry_useful=True)
            may_retry = answer.outcome is Outcome.REFUSED and not own_key
            if grant.idempotent and answer.outcome is Outcome.UNKNOWN:
                may_retry = True
            if not (may_retry and answer.retry_useful):
                return answer
            if not (context.budget.retries and ratio.allow_retry() and context.budget.spend()):
                return answer._replace(retry_useful=False)
            self.ring.add_call("retry", context, reason=answer.reason.value)
            await sleep(self._backoff(attempt))
            attempt += 1
            context = context._replace(
                call_id=new_call_id(), suspected_crashes=answer.suspected_crashes
            )

    async def _one_attempt(self, context: CallContext, body: bytes, tried: set[str]) -> Answer:
        address = self._choose(context, tried)
        if address is None:
            return refused(Reason.NO_NODE, retry_useful=True)
        tried.add(address)
        headers = context.headers(self.cluster, self.clock.tick())
        path = f"/v1/services/{context.service}/{context.operation}"
        self.outstanding[address] += 1
        try:
            reply = await self.transport.send(
                "POST", address, path, headers, body, context.deadline.remaining_seconds()
            )
        except NotSentError:
            if context.idempotency_key:
                return unknown(Reason.HOME_GONE, copy_dispatched=False)
            return refused(Reason.NO_NODE, retry_useful=True)
        except ConnectionLostError:
            return unknown(Reason.CONNECTION_LOST)._replace(retry_useful=True)
        finally:
            self.outstanding[address] -= 1
        try:
            answer = read_answer(reply.status, reply.headers, reply.body)
        except BadRequestError:
            return unknown(Reason.CONNECTION_LOST)
        level = max(answer.admission_level, answer.path_level)
        self.levels.record(f"{context.service}/{context.operation}", level)
        context.budget.retries = min(context.budget.retries, answer.attempts_left)
        return answer

    def _choose(self, context: CallContext, tried: set[str]) -> str | None:
        """Picks the home of a key, or the less busy of two random nodes not yet tried."""
        if context.idempotency_key:
            try:
                return IdempotencyKey.parse(context.idempotency_key).home_call_address
            except InvalidKeyError:
                return None
        addresses = []
        for member in self.members.serving(context.service):
            addresses.append(call_address(member))
        fresh = [address for address in addresses if address not in tried]
        candidates = fresh or addresses
        if not candidates:
            return None
        pair = self.random.sample(candidates, min(2, len(candidates)))
        return min(pair, key=lambda address: self.outstanding[address])

    async def take_key(self, context: CallContext, tried: set[str] | None = None) -> str:
        """Returns an unused key of the service, or an empty text if no node gives one.

        Keys are fetched in batches; those of nodes already tried are not used.
        """
        tried = set() if tried is None else tried
        held = self.keys.setdefault(context.service, [])
        while held:
            key = held.pop()
            if IdempotencyKey.parse(key).home_call_address not in tried:
                return key
        for _ in range(3):
            address = self._choose(context._replace(idempotency_key=""), tried)
            if address is None:
                return ""
            path = f"/v1/services/{context.service}/keys?count={KEY_BATCH}"
            headers = context.headers(self.cluster, self.clock.tick())
            seconds = min(1.0, context.deadline.remaining_seconds())
            try:
                reply = await self.transport.send("POST", address, path, headers, b"", seconds)
            except (NotSentError, ConnectionLostError, CallError):
                tried.add(address)
                continue
            if reply.status != 200:
                tried.add(address)
                continue
            held.extend(reply.body.decode("ascii").split())
            if held:
                return held.pop()
        return ""

    def _ratio(self, service: str, destination: str) -> RetryRatio:
        ratio = self.ratios.get(destination)
        share = number_or_default(self.policies().policy(service), "retry_ratio")
        if ratio is None:
            ratio = RetryRatio(share)
            self.ratios[destination] = ratio
        ratio.ratio = share
        return ratio

    def _backoff(self, attempt: int) -> float:
        longest = min(BACKOFF_MAXIMUM_SECONDS, BACKOFF_BASE_SECONDS * 2**attempt)
        return self.random.uniform(0.0, longest)

    async def close(self) -> None:
        """Closes all connections."""
        await self.transport.close()

"""Choice of a node for a call, sending, and retries within the budget."""

from asyncio import sleep
from collections import Counter
from collections.abc import Callable
from random import Random
from time import monotonic

from coltsfoottrack._internal.calls.budget import RetryRatio
from coltsfoottrack._internal.calls.context import CallContext
from coltsfoottrack._internal.calls.exceptions import InvalidKeyError
from coltsfoottrack._internal.calls.identifiers import IdempotencyKey, new_call_id
from coltsfoottrack._internal.calls.outcome import (
    Answer,
    Outcome,
    Reason,
    refused,
    unconfirmed_refusal,
    unknown,
)
from coltsfoottrack._internal.calls.peer_authentication import PeerAuthentication
from coltsfoottrack._internal.configuration.policy import PolicyTable
from coltsfoottrack._internal.events.clock import HybridClock
from coltsfoottrack._internal.events.ring import EventRing
from coltsfoottrack._internal.membership.table import MembershipTable, call_address
from coltsfoottrack._internal.observability.invariants import Invariant, InvariantChecker
from coltsfoottrack._internal.routing.absence import AbsentServices, absent_refusal
from coltsfoottrack._internal.routing.exchange import Exchange
from coltsfoottrack._internal.routing.illness import IllAddresses
from coltsfoottrack._internal.routing.keys import KeyPool
from coltsfoottrack._internal.routing.levels import ReportedLevels
from coltsfoottrack._internal.routing.transport import Transport
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import (
    MEMBER_STATUS_ALIVE,
    MEMBER_STATUS_SUSPECT,
    Member,
)
from coltsfoottrack._internal.settings.rules import number_or_default

BACKOFF_BASE_SECONDS = 0.005
BACKOFF_MAXIMUM_SECONDS = 0.25
# Reasons that say more of the node than of the call.
ILL_REASONS = (Reason.NO_NODE, Reason.HOME_GONE, Reason.BACKEND_DOWN, Reason.LEAVING)
PRESENT_STATUSES = (MEMBER_STATUS_ALIVE, MEMBER_STATUS_SUSPECT)
# Retries of each layer in the measurement baseline without decisions.
BASELINE_RETRIES = 3


class CallHistory:
    """What one call has led to so far."""

    def __init__(self) -> None:
        self.attempts = 0
        self.may_have_run = False


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
        checker: InvariantChecker,
        authentication: PeerAuthentication | None = None,
    ) -> None:
        self.cluster = cluster
        self.members = members
        self.policies = policies
        self.clock = clock
        self.ring = ring
        self.random = random
        self.decisions_off = False
        self.checker = checker
        self.transport = Transport(checker)
        self.levels = ReportedLevels()
        self.ill = IllAddresses()
        self.absence = AbsentServices(members)
        self.outstanding: Counter[str] = Counter()
        self.ratios: dict[str, RetryRatio] = {}
        self.exchange = Exchange(
            cluster, clock, self.transport, members, policies, authentication=authentication
        )
        self.keys = KeyPool(
            cluster,
            clock,
            self.transport,
            self.choose,
            members,
            policies,
            self.absence.is_away,
            authentication,
        )

    async def call(self, context: CallContext, body: bytes) -> Answer:
        """Makes a call and returns its answer, with what is left of the attempt budget.

        A caller's own idempotency key is sent to its home and never replaced by another key.
        """
        given = context.budget.retries
        history = CallHistory()
        answer = await self._attempts(context, body, history)
        self.checker.check(
            self.decisions_off or history.attempts + context.budget.retries <= 1 + given,
            Invariant.BOUNDED_RETRIES,
            f"{context.request_id}: {history.attempts} attempts with {given} retries",
        )
        if answer.outcome is Outcome.REFUSED and history.may_have_run:
            # The last attempt was not run, but an earlier one may have been.
            answer = unknown(answer.reason)
        if context.idempotency_key and answer.reason is Reason.HOME_GONE:
            answer = await self.exchange.fetch_copy(context, answer)
        return answer._replace(attempts_left=context.budget.retries)

    async def _attempts(self, context: CallContext, body: bytes, history: CallHistory) -> Answer:
        destination = f"{context.service}/{context.operation}"
        grant = self.policies().grant(context.service, context.operation)
        own_key = bool(context.idempotency_key)
        ratio = self._ratio(context.service, destination)
        ratio.record_first_attempt()
        tried: set[str] = set()
        while True:
            if context.deadline.has_passed():
                own = context.idempotency_key if own_key else ""
                return unconfirmed_refusal(refused(Reason.DEADLINE), own)
            # A caller's own key goes to its home even then, which alone knows of earlier copies.
            # A call of a run goes to its node, which alone knows how much it may admit for it; what
            # answers reported is older, and a refusal would waste the run.
            asks_levels = not (self.decisions_off or own_key or context.depth)
            if asks_levels and self.levels.refuses(destination, context.rank):
                return self._with_level(refused(Reason.EARLY_REFUSAL), destination)
            if asks_levels:
                absent = self._refuse_absent(context, destination)
                if absent is not None:
                    return absent
            if not grant.idempotent and not own_key:
                key = await self.keys.take(context, tried)
                if not key:
                    return refused(Reason.NO_NODE, retry_useful=True)
                context = context._replace(idempotency_key=key)
            started = monotonic()
            answer = await self._one_attempt(context, body, tried, history)
            if answer.outcome is Outcome.DONE:
                ratio.durations.record(monotonic() - started)
            if not own_key and not grant.idempotent and not answer.copy_dispatched:
                # This router sent the only copy, and it went nowhere.
                answer = refused(answer.reason, retry_useful=True)
            answer = self._with_level(answer, destination)
            may_retry = answer.outcome is Outcome.REFUSED and not own_key
            if answer.outcome is Outcome.UNKNOWN:
                history.may_have_run = True
                context.budget.repeated = True
                may_retry = grant.idempotent
            if self.decisions_off:
                unfinished = grant.idempotent and answer.outcome is not Outcome.DONE
                if not (may_retry or unfinished) or history.attempts > BASELINE_RETRIES:
                    return answer
                context = context._replace(call_id=new_call_id())
                continue
            if answer.reason is Reason.SERVICE_ABSENT:
                # The other nodes know the same, so the call is tried again by its caller only.
                return answer
            if not (may_retry and answer.retry_useful):
                return answer
            if self.absence.is_absent(context.service):
                return self._with_level(absent_refusal(context.service), destination)
            if self.levels.level(destination) > context.rank:
                # The nodes of the service judge alike, so another one would refuse it too.
                return answer._replace(retry_useful=False)
            if context.deadline.remaining_seconds() < ratio.durations.median():
                # A retry would probably not finish in time and be wasted work.
                return answer._replace(retry_useful=False)
            if not (context.budget.retries and ratio.allow_retry() and context.budget.spend()):
                self.ring.add_call("retry_refused", context, reason=answer.reason.value)
                return answer._replace(retry_useful=False)
            self.ring.add_call("retry", context, reason=answer.reason.value)
            await sleep(self._backoff(history.attempts))
            # A refusal by a node that knows less must not lose what an earlier one reported.
            crashes = max(context.suspected_crashes, answer.suspected_crashes)
            context = context._replace(call_id=new_call_id(), suspected_crashes=crashes)

    def _refuse_absent(self, context: CallContext, destination: str) -> Answer | None:
        """Returns the refusal of a call whose service, or one certainly needed below, is absent."""
        answer = self.absence.refuse_direct(context.service)
        if answer is None:
            answer = self.absence.refuse_operation(destination, context.priority)
        return None if answer is None else self._with_level(answer, destination)

    def _with_level(self, answer: Answer, destination: str) -> Answer:
        """Puts the level of all nodes of the destination in place of that of one node."""
        return answer._replace(admission_level=0, path_level=self.levels.level(destination))

    async def _one_attempt(
        self, context: CallContext, body: bytes, tried: set[str], history: CallHistory
    ) -> Answer:
        destination = f"{context.service}/{context.operation}"
        address = self._address(context, tried)
        if address is None and context.idempotency_key:
            # An earlier copy may have reached the home, so this is not a refusal.
            return unknown(Reason.HOME_GONE, copy_dispatched=False)
        if address is None:
            return refused(Reason.NO_NODE, retry_useful=True)
        tried.add(address)
        self.outstanding[address] += 1
        share = context.budget.lend()
        history.attempts += 1
        began = monotonic()
        try:
            answer = await self.exchange.send(context._replace(budget=share), address, body)
        finally:
            self.outstanding[address] -= 1
        self.ill.record(address, answer.reason in ILL_REASONS)
        self.absence.record_member(context.service, address, answer, began)
        if answer.served_by:
            # Settled answers and copies do not carry the services that the call has used.
            self.absence.record_answer(destination, answer, began)
            level = max(answer.admission_level, answer.path_level)
            self.levels.record(destination, address, level)
        if answer.node_leaving:
            self.members.report_leaving(address)
        returned = self.checker.check(
            answer.attempts_left <= share.retries,
            Invariant.BOUNDED_RETRIES,
            f"{address} returned {answer.attempts_left} of {share.retries} retries",
        )
        context.budget.restore(answer.attempts_left if returned else 0)
        return answer

    def _address(self, context: CallContext, tried: set[str]) -> str | None:
        """Returns the address of a key's home, or of a node that the call may go to."""
        if not context.idempotency_key:
            return self.choose(context.service, tried)
        try:
            home = self.members.home_of(IdempotencyKey.parse(context.idempotency_key))
        except InvalidKeyError:
            return None
        return None if home is None else call_address(home)

    def choose(self, service: str, tried: set[str]) -> str | None:
        """Picks the less busy of two random nodes of a service, not yet tried if there are.

        Nodes that look ill are passed over, unless all of them do: a wrong view of their health
        must not stop all traffic. The choice of two follows Mitzenmacher, "The Power of Two
        Choices in Randomized Load Balancing" (2001).
        """
        members = self.members.serving(service)
        if not members and not self.decisions_off:
            members = self._present(service)
        addresses = [call_address(member) for member in members]
        candidates = addresses
        if not self.decisions_off:
            candidates = [address for address in candidates if not self.ill.is_ill(address)]
        candidates = [address for address in candidates if address not in tried] or candidates
        candidates = candidates or addresses
        if not candidates:
            return None
        pair = self.random.sample(candidates, min(2, len(candidates)))
        return min(pair, key=lambda address: self.outstanding[address])

    def has_node(self, service: str) -> bool:
        """Tells whether ``choose`` would find a node of a service, without choosing one."""
        if self.members.serving(service):
            return True
        return not self.decisions_off and bool(self._present(service))

    def _present(self, service: str) -> list[Member]:
        """Returns the members of a service that are up, whatever is said of their health."""
        found = []
        for member in self.members.members.values():
            if member.service == service and member.status in PRESENT_STATUSES:
                found.append(member)
        return found

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

"""Selection of a node for a call, sending, and retries within the attempt budget."""

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
from coltsfoottrack._internal.routing.absent_services import AbsentServices, absent_refusal
from coltsfoottrack._internal.routing.exchange import Exchange
from coltsfoottrack._internal.routing.keys import KeyPool
from coltsfoottrack._internal.routing.levels import ReportedLevels
from coltsfoottrack._internal.routing.transport import Transport
from coltsfoottrack._internal.routing.unhealthy import UnhealthyAddresses
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import (
    MEMBER_STATUS_ALIVE,
    MEMBER_STATUS_SUSPECT,
    Member,
)
from coltsfoottrack._internal.settings.rules import number_or_default

BACKOFF_BASE_SECONDS = 0.005
BACKOFF_MAXIMUM_SECONDS = 0.25
# Reasons that show a problem of the node rather than of the call.
UNHEALTHY_REASONS = (Reason.NO_NODE, Reason.HOME_GONE, Reason.BACKEND_DOWN, Reason.LEAVING)
REACHABLE_STATUSES = (MEMBER_STATUS_ALIVE, MEMBER_STATUS_SUSPECT)
# Retries at each layer when ``decisions_off`` is set, the baseline for measurements.
BASELINE_RETRIES = 3


class CallHistory:
    """Attempts of one call so far, and whether one of them may have run."""

    def __init__(self) -> None:
        self.attempts = 0
        self.may_have_run = False


class Router:
    """Sends calls to nodes of services; used by nodes and by the embedded client."""

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
        self.unhealthy = UnhealthyAddresses()
        self.absent_services = AbsentServices(members)
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
            self.absent_services.is_unavailable,
            authentication,
        )

    async def call(self, context: CallContext, body: bytes) -> Answer:
        """Makes a call and returns its answer, with the rest of the attempt budget.

        An idempotency key of the caller is sent to its home and never replaced by another key.
        """
        granted = context.budget.retries
        history = CallHistory()
        answer = await self._call_with_retries(context, body, history)
        self.checker.check(
            self.decisions_off or history.attempts + context.budget.retries <= 1 + granted,
            Invariant.BOUNDED_RETRIES,
            f"{context.request_id}: {history.attempts} attempts with {granted} retries",
        )
        if answer.outcome is Outcome.REFUSED and history.may_have_run:
            # The last attempt was not run, but an earlier one may have been.
            answer = unknown(answer.reason)
        if context.idempotency_key and answer.reason is Reason.HOME_GONE:
            answer = await self.exchange.fetch_stored_outcome(context, answer)
        return answer._replace(attempts_left=context.budget.retries)

    async def _call_with_retries(
        self, context: CallContext, body: bytes, history: CallHistory
    ) -> Answer:
        destination = f"{context.service}/{context.operation}"
        grant = self.policies().grant(context.service, context.operation)
        has_caller_key = bool(context.idempotency_key)
        ratio = self._ratio(context.service, destination)
        ratio.record_first_attempt()
        tried: set[str] = set()
        while True:
            if context.deadline.has_passed():
                caller_key = context.idempotency_key if has_caller_key else ""
                return unconfirmed_refusal(refused(Reason.DEADLINE), caller_key)
            # A call under the caller's key is never refused early, as only the key's home knows of
            # earlier copies. Nor is a call made by a run: the called node knows its own capacity,
            # reported levels are older, and a refusal would waste the run.
            may_refuse_early = not (self.decisions_off or has_caller_key or context.depth)
            if may_refuse_early and self.levels.refuses(destination, context.rank):
                return self._with_level(refused(Reason.EARLY_REFUSAL), destination)
            if may_refuse_early:
                absent = self._refuse_absent(context, destination)
                if absent is not None:
                    return absent
            if not grant.idempotent and not has_caller_key:
                key = await self.keys.take(context, tried)
                if not key:
                    return refused(Reason.NO_NODE, retry_useful=True)
                context = context._replace(idempotency_key=key)
            started = monotonic()
            answer = await self._attempt(context, body, tried, history)
            if answer.outcome is Outcome.DONE:
                ratio.durations.record(monotonic() - started)
            if not has_caller_key and not grant.idempotent and not answer.copy_dispatched:
                # This router sent the only copy under the key, and it was not dispatched.
                answer = refused(answer.reason, retry_useful=True)
            answer = self._with_level(answer, destination)
            may_retry = answer.outcome is Outcome.REFUSED and not has_caller_key
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
                # The other nodes have the same view, so only the caller may resend.
                return answer
            if not (may_retry and answer.retry_useful):
                return answer
            if self.absent_services.is_absent(context.service):
                return self._with_level(absent_refusal(context.service), destination)
            if self.levels.level(destination) > context.rank:
                # The nodes of the service apply the same levels, so another would refuse it too.
                return answer._replace(retry_useful=False)
            if context.deadline.remaining_seconds() < ratio.durations.median():
                # A retry would probably miss the deadline and be wasted.
                return answer._replace(retry_useful=False)
            if not (context.budget.retries and ratio.allow_retry() and context.budget.spend()):
                self.ring.add_call("retry_refused", context, reason=answer.reason.value)
                return answer._replace(retry_useful=False)
            self.ring.add_call("retry", context, reason=answer.reason.value)
            await sleep(self._backoff(history.attempts))
            # Keeps the highest crash count, as the next node may know of fewer crashes.
            crashes = max(context.suspected_crashes, answer.suspected_crashes)
            context = context._replace(call_id=new_call_id(), suspected_crashes=crashes)

    def _refuse_absent(self, context: CallContext, destination: str) -> Answer | None:
        """Returns the refusal of a call if its service or a certain dependency is absent."""
        answer = self.absent_services.refuse_direct(context.service)
        if answer is None:
            answer = self.absent_services.refuse_operation(destination, context.priority)
        return None if answer is None else self._with_level(answer, destination)

    def _with_level(self, answer: Answer, destination: str) -> Answer:
        """Replaces the level of one node by that of all nodes of the destination."""
        return answer._replace(admission_level=0, path_level=self.levels.level(destination))

    async def _attempt(
        self, context: CallContext, body: bytes, tried: set[str], history: CallHistory
    ) -> Answer:
        destination = f"{context.service}/{context.operation}"
        address = self._address(context, tried)
        if address is None and context.idempotency_key:
            # An earlier copy may have reached the home, so the outcome is not a refusal.
            return unknown(Reason.HOME_GONE, copy_dispatched=False)
        if address is None:
            return refused(Reason.NO_NODE, retry_useful=True)
        tried.add(address)
        self.outstanding[address] += 1
        share = context.budget.lend()
        history.attempts += 1
        sent_at = monotonic()
        try:
            answer = await self.exchange.send(context._replace(budget=share), address, body)
        finally:
            self.outstanding[address] -= 1
        self.unhealthy.record(address, answer.reason in UNHEALTHY_REASONS)
        self.absent_services.record_member(context.service, address, answer, sent_at)
        if answer.served_by:
            # Settled and stored answers do not list the services that the call has used.
            self.absent_services.record_answer(destination, answer, sent_at)
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
        """Returns the address of the home of the call's key, or of a chosen node without a key."""
        if not context.idempotency_key:
            return self.choose(context.service, tried)
        try:
            home = self.members.home_of(IdempotencyKey.parse(context.idempotency_key))
        except InvalidKeyError:
            return None
        return None if home is None else call_address(home)

    def choose(self, service: str, tried: set[str]) -> str | None:
        """Returns the address of the less loaded of two random nodes, if possible not yet tried.

        Unhealthy nodes are skipped unless all of them are unhealthy, as a wrong view of their
        health must not stop all traffic. The choice of two follows Mitzenmacher, "The Power of Two
        Choices in Randomized Load Balancing" (2001).
        """
        members = self.members.serving(service)
        if not members and not self.decisions_off:
            members = self._reachable_members(service)
        addresses = [call_address(member) for member in members]
        candidates = addresses
        if not self.decisions_off:
            candidates = [
                address for address in candidates if not self.unhealthy.is_unhealthy(address)
            ]
        candidates = [address for address in candidates if address not in tried] or candidates
        candidates = candidates or addresses
        if not candidates:
            return None
        pair = self.random.sample(candidates, min(2, len(candidates)))
        return min(pair, key=lambda address: self.outstanding[address])

    def has_node(self, service: str) -> bool:
        """Returns whether ``choose`` would find a node of a service, without choosing one."""
        if self.members.serving(service):
            return True
        return not self.decisions_off and bool(self._reachable_members(service))

    def _reachable_members(self, service: str) -> list[Member]:
        """Returns the alive and suspect members of a service, whether they are serving or not."""
        found = []
        for member in self.members.members.values():
            if member.service == service and member.status in REACHABLE_STATUSES:
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

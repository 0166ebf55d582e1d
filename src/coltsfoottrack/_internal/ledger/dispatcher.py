"""Runs requests on the local backend server and hands keyed requests off to other nodes."""

from collections import Counter
from collections.abc import Awaitable, Callable

from coltsfoottrack._internal.calls.context import CRITICAL, CallContext
from coltsfoottrack._internal.calls.exceptions import InvalidKeyError
from coltsfoottrack._internal.calls.identifiers import IdempotencyKey, new_call_id
from coltsfoottrack._internal.calls.outcome import Answer, Outcome, Reason, refused
from coltsfoottrack._internal.ledger.call_registry import CallRegistry, Runner
from coltsfoottrack._internal.observability.invariants import Invariant, InvariantChecker

MAX_HANDOFFS = 2
# The home's own backend server cannot run the request, but another one may.
UNAVAILABLE_REASONS = (Reason.BACKEND_DOWN, Reason.LEAVING)
OVERLOAD_REASONS = (Reason.OVERLOAD, Reason.EVICTED, Reason.BACKEND_SHED)

Choose = Callable[[str, set[str]], str | None]
Send = Callable[[CallContext, str, bytes], Awaitable[Answer]]


class Dispatcher:
    """Runs each call through the call registry, locally or on another node."""

    def __init__(
        self,
        registry: CallRegistry,
        run_here: Runner,
        choose: Choose,
        send: Send,
        own_address: str,
        checker: InvariantChecker,
    ) -> None:
        self.registry = registry
        self.run_here = run_here
        self.choose = choose
        self.send = send
        self.own_address = own_address
        self.checker = checker
        self.counts: Counter[str] = Counter()

    async def run_copy(self, context: CallContext, body: bytes) -> Answer:
        """Runs a copy of an idempotent call."""
        if not context.from_peer:
            # Callers may reuse a Call-Id; only those of nodes and embedded clients are settled.
            context = context._replace(call_id=new_call_id())
        return await self.registry.run(context, body, self.run_here, keep=context.from_peer)

    async def run_dispatch(self, context: CallContext, body: bytes) -> Answer:
        """Runs a request that the home of its key handed off to this node."""
        try:
            key = IdempotencyKey.parse(context.idempotency_key)
        except InvalidKeyError as error:
            return refused(Reason.KEY_INVALID, text=str(error))
        return await self.registry.run(
            context, body, self.run_here, keep=True, pinned_until_ms=key.expires_at_ms
        )

    async def run_under_key(self, context: CallContext, body: bytes) -> Answer:
        """Runs a request for whose key this node is the home.

        The request is handed off to another node only after the previous dispatch was certainly
        refused; each handoff spends one retry of the attempt budget.
        """
        # Copies under one key arrive with different Call-Ids, so the run gets a new one.
        local_context = context._replace(call_id=new_call_id())
        answer = await self.registry.run(local_context, body, self.run_here, keep=False)
        tried = {self.own_address}
        for number in range(1, MAX_HANDOFFS + 1):
            if not self._may_hand_off(context, answer):
                break
            address = self.choose(context.service, tried)
            if address is None or address in tried or not context.budget.spend():
                break
            tried.add(address)
            self.checker.check(
                answer.outcome is Outcome.REFUSED,
                Invariant.AT_MOST_ONCE,
                f"{context.request_id} handed off after it was {answer.outcome}",
            )
            dispatch = context._replace(call_id=new_call_id(), dispatch_number=number)
            share = context.budget.lend()
            answer = await self.send(dispatch._replace(budget=share), address, body)
            context.budget.restore(min(answer.attempts_left, share.retries))
            self.counts[answer.outcome.value] += 1
        return answer._replace(attempts_left=context.budget.retries)

    def _may_hand_off(self, context: CallContext, answer: Answer) -> bool:
        if answer.outcome is not Outcome.REFUSED or context.deadline.has_passed():
            return False
        if answer.reason in UNAVAILABLE_REASONS or answer.reason is Reason.NO_NODE:
            return True
        if answer.reason is Reason.SILENT:
            return True
        return context.priority >= CRITICAL and answer.reason in OVERLOAD_REASONS

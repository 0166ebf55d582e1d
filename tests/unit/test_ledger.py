"""At most one run for each idempotency key."""

from asyncio import Event, gather
from unittest import IsolatedAsyncioTestCase

from coltsfoottrack._internal.calls.budget import AttemptBudget
from coltsfoottrack._internal.calls.context import CallContext
from coltsfoottrack._internal.calls.deadline import Deadline
from coltsfoottrack._internal.calls.outcome import Answer, Outcome, Reason, refused
from coltsfoottrack._internal.ledger.ledger import Ledger
from coltsfoottrack._internal.observability.invariants import InvariantChecker


def make_ledger() -> Ledger:
    return Ledger("stores", "stores/a", "127.0.0.1:1", "127.0.0.1:2", InvariantChecker())


def context_with(key: str) -> CallContext:
    return CallContext(
        service="stores",
        operation="order",
        request_id="r",
        call_id="c",
        deadline=Deadline.after_ms(1000),
        budget=AttemptBudget(0),
        idempotency_key=key,
    )


class LedgerTest(IsolatedAsyncioTestCase):
    """Guards against a second run of a non-idempotent request."""

    def setUp(self) -> None:
        self.ledger = make_ledger()
        self.runs = 0
        self.release = Event()

    async def runner(self, context: CallContext, body: bytes) -> Answer:
        self.runs += 1
        await self.release.wait()
        return Answer(Outcome.DONE, body=body)

    async def test_concurrent_copies_run_once_and_get_the_same_answer(self) -> None:
        context = context_with(self.ledger.issue(60_000))
        self.release.set()
        answers = await gather(*(self.ledger.run(context, b"body", self.runner) for _ in range(5)))
        self.assertEqual(self.runs, 1)
        self.assertEqual({answer.body for answer in answers}, {b"body"})

    async def test_refused_key_is_closed_for_a_late_copy(self) -> None:
        context = context_with(self.ledger.issue(60_000))

        async def refuse(_context: CallContext, _body: bytes) -> Answer:
            return refused(Reason.OVERLOAD)

        await self.ledger.run(context, b"body", refuse)
        late = await self.ledger.run(context, b"body", self.runner)
        self.assertEqual((late.outcome, self.runs), (Outcome.REFUSED, 0))

    async def test_key_with_another_body_is_refused(self) -> None:
        context = context_with(self.ledger.issue(60_000))
        self.release.set()
        await self.ledger.run(context, b"body", self.runner)
        answer = await self.ledger.run(context, b"other", self.runner)
        self.assertEqual((answer.reason, self.runs), (Reason.KEY_REUSED, 1))

    async def test_key_of_an_earlier_incarnation_is_unknown_and_never_runs(self) -> None:
        context = context_with(make_ledger().issue(60_000))
        answer = await self.ledger.run(context, b"body", self.runner)
        self.assertEqual((answer.outcome, self.runs), (Outcome.UNKNOWN, 0))

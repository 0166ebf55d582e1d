"""At-most-once execution per idempotency key at its home."""

from asyncio import Event, gather
from unittest import IsolatedAsyncioTestCase

from coltsfoottrack._internal.admission.suspects import SuspectTable
from coltsfoottrack._internal.calls.budget import AttemptBudget
from coltsfoottrack._internal.calls.context import CallContext
from coltsfoottrack._internal.calls.deadline import Deadline
from coltsfoottrack._internal.calls.outcome import Answer, Outcome, Reason, refused
from coltsfoottrack._internal.calls.outcome_records import CallState
from coltsfoottrack._internal.events.clock import HybridClock
from coltsfoottrack._internal.ledger.call_registry import CallRegistry
from coltsfoottrack._internal.ledger.ledger import Ledger
from coltsfoottrack._internal.node.backend_link import BackendLink
from coltsfoottrack._internal.observability.invariants import InvariantChecker


def make_ledger() -> Ledger:
    return Ledger("stores", "stores/a", "127.0.0.1:1", "127.0.0.1:2", InvariantChecker())


def make_context(key: str) -> CallContext:
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
        context = make_context(self.ledger.issue(60_000))
        self.release.set()
        answers = await gather(*(self.ledger.run(context, b"body", self.runner) for _ in range(5)))
        self.assertEqual(self.runs, 1)
        self.assertEqual({answer.body for answer in answers}, {b"body"})

    async def test_refused_key_is_closed_for_a_late_copy(self) -> None:
        context = make_context(self.ledger.issue(60_000))

        async def refuse(_context: CallContext, _body: bytes) -> Answer:
            return refused(Reason.OVERLOAD)

        await self.ledger.run(context, b"body", refuse)
        late = await self.ledger.run(context, b"body", self.runner)
        self.assertEqual((late.outcome, self.runs), (Outcome.REFUSED, 0))

    async def test_key_with_another_body_is_refused(self) -> None:
        context = make_context(self.ledger.issue(60_000))
        self.release.set()
        await self.ledger.run(context, b"body", self.runner)
        answer = await self.ledger.run(context, b"other", self.runner)
        self.assertEqual((answer.reason, self.runs), (Reason.KEY_REUSED, 1))

    async def test_key_of_an_earlier_incarnation_is_unknown_and_never_runs(self) -> None:
        context = make_context(make_ledger().issue(60_000))
        answer = await self.ledger.run(context, b"body", self.runner)
        self.assertEqual((answer.outcome, self.runs), (Outcome.UNKNOWN, 0))


class ExpiryAndLimitsTest(IsolatedAsyncioTestCase):
    """Guards against a second run after a record was dropped, and against unbounded memory."""

    def setUp(self) -> None:
        self.now_ms = 1_000_000
        self.runs = 0
        self.ledger = Ledger(
            "stores",
            "stores/a",
            "127.0.0.1:1",
            "127.0.0.1:2",
            InvariantChecker(),
            wall_ms=lambda: self.now_ms,
            max_records=2,
            max_answer_bytes=10,
        )

    async def runner(self, context: CallContext, body: bytes) -> Answer:
        self.runs += 1
        return Answer(Outcome.DONE, body=body)

    async def run_key(self, key: str, body: bytes = b"body") -> Answer:
        return await self.ledger.run(make_context(key), body, self.runner)

    async def test_expired_key_is_refused_if_unused_and_unknown_if_used(self) -> None:
        used, unused = self.ledger.issue(1000), self.ledger.issue(1000)
        await self.run_key(used)
        self.now_ms += 2000
        self.ledger.drop_expired()
        self.assertEqual((await self.run_key(used)).outcome, Outcome.UNKNOWN)
        self.assertEqual((await self.run_key(unused)).outcome, Outcome.REFUSED)
        self.assertEqual(self.runs, 1)

    async def test_key_of_an_evicted_record_never_runs_again(self) -> None:
        keys = [self.ledger.issue(60_000) for _ in range(4)]
        for key in keys:
            await self.run_key(key, b"")
        answer = await self.run_key(keys[0], b"")
        self.assertEqual((answer.reason, self.runs), (Reason.ANSWER_DROPPED, 4))
        self.assertLessEqual(len(self.ledger.records), 2)

    async def test_dropped_answer_is_never_reported_as_done(self) -> None:
        first, second = self.ledger.issue(60_000), self.ledger.issue(60_000)
        await self.run_key(first, b"first..")
        await self.run_key(second, b"second.")
        self.assertEqual((await self.run_key(first, b"first..")).reason, Reason.ANSWER_DROPPED)
        self.assertEqual((await self.run_key(second, b"second.")).body, b"second.")
        self.assertLessEqual(self.ledger.answer_bytes, 10)

    async def test_settling_an_unused_key_closes_it(self) -> None:
        key = self.ledger.issue(60_000)
        self.assertIs(self.ledger.settle(key).state, CallState.CLOSED)
        self.assertEqual((await self.run_key(key)).reason, Reason.CLOSED)
        self.assertEqual(self.runs, 0)

    async def test_call_whose_deadline_passed_during_a_pause_is_not_dispatched(self) -> None:
        registry = CallRegistry(InvariantChecker(), lambda: 0)
        link = BackendLink("demo", HybridClock(), SuspectTable(lambda: 600_000.0))
        link.registry = registry
        self.addAsyncCleanup(link.close)
        link.address = "127.0.0.1:1"
        late = make_context("")._replace(deadline=Deadline.after_ms(-1))
        answer = await registry.run(late, b"", link.run, keep=False)
        self.assertEqual(answer.reason, Reason.DEADLINE)

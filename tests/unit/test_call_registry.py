"""The call registry, and how an exchange uses it to settle calls on silent connections."""

from asyncio import sleep
from unittest import TestCase
from unittest.mock import patch

from coltsfoottrack._internal.calls.budget import AttemptBudget
from coltsfoottrack._internal.calls.context import CallContext
from coltsfoottrack._internal.calls.deadline import Deadline
from coltsfoottrack._internal.calls.outcome import Answer, Outcome, Reason, refused
from coltsfoottrack._internal.calls.outcome_records import CallState
from coltsfoottrack._internal.ledger.call_registry import RETENTION_SECONDS, CallRegistry
from coltsfoottrack._internal.observability.invariants import Invariant, InvariantChecker
from coltsfoottrack._internal.routing import exchange
from coltsfoottrack._internal.routing.exchange import SentCopy
from tests.unit.simulated_nodes import LONGEST_DELAY, SERVICE, SimulatedCluster


def make_context(call_id: str, operation: str = "lookup", deadline_ms: float = 5000) -> CallContext:
    return CallContext(
        service=SERVICE,
        operation=operation,
        request_id=f"r-{call_id}",
        call_id=call_id,
        deadline=Deadline.after_ms(deadline_ms),
        budget=AttemptBudget(3),
        from_peer=True,
    )


class CallRegistryTest(TestCase):
    """Guards against a run of a call that was reported to its sender as closed."""

    def setUp(self) -> None:
        self.cluster = SimulatedCluster(1)
        self.addCleanup(self.cluster.close)
        self.checker = InvariantChecker()
        self.registry = CallRegistry(
            self.checker, lambda: int(self.cluster.loop.time() * 1000), self.cluster.loop.time, 3
        )
        self.runs = 0
        self.cluster.advance(RETENTION_SECONDS)

    async def answer(self, _context: CallContext, _body: bytes) -> Answer:
        self.runs += 1
        return Answer(Outcome.DONE, body=b"x")

    def run_call(self, call_id: str, pinned_until_ms: int = 0) -> Answer:
        return self.cluster.loop.run_until_complete(
            self.registry.run(make_context(call_id), b"", self.answer, True, pinned_until_ms)
        )

    def test_late_copy_of_a_closed_call_is_refused(self) -> None:
        self.assertEqual(self.registry.settle("a", 1000).state, CallState.CLOSED)
        self.cluster.advance(LONGEST_DELAY)
        self.assertEqual(self.run_call("a").reason, Reason.CLOSED)
        self.assertEqual(self.runs, 0)

    def test_pause_of_the_process_does_not_end_the_retention(self) -> None:
        self.registry.settle("a", 1000)
        self.cluster.loop.now += 10 * RETENTION_SECONDS
        self.assertEqual(self.run_call("a").reason, Reason.CLOSED)

    # TWICE: a long call must not be forgotten a fixed time after its arrival.
    def test_late_copy_of_a_long_call_does_not_run(self) -> None:
        async def run_for_long(context: CallContext, body: bytes) -> Answer:
            await sleep(3 * RETENTION_SECONDS)
            return await self.answer(context, body)

        self.cluster.loop.run_until_complete(
            self.registry.run(make_context("a"), b"", run_for_long, True)
        )
        self.cluster.advance(RETENTION_SECONDS - 1.0)
        self.assertEqual(self.run_call("a").reason, Reason.DUPLICATE)
        self.assertEqual(self.runs, 1)

    def test_call_sent_before_the_process_started_is_uncertain(self) -> None:
        self.assertEqual(self.registry.settle("a", 59_000).state, CallState.UNCERTAIN)
        new_registry = CallRegistry(self.checker, lambda: 0, self.cluster.loop.time)
        self.assertEqual(new_registry.settle("a", 1).state, CallState.UNCERTAIN)

    def test_call_older_than_an_eviction_is_uncertain(self) -> None:
        for call_id in "abcd":
            self.run_call(call_id)
        self.assertEqual(self.registry.settle("a", 1000).state, CallState.UNCERTAIN)
        self.assertEqual(len(self.registry.entries), 3)

    def test_table_full_of_closed_calls_refuses_new_calls(self) -> None:
        for call_id in "abc":
            self.registry.settle(call_id, 1)
        self.assertEqual(self.registry.settle("d", 1).state, CallState.UNCERTAIN)
        self.assertEqual(self.run_call("e").outcome, Outcome.REFUSED)
        self.assertEqual(self.run_call("a").reason, Reason.CLOSED)
        self.assertEqual(self.runs, 0)

    def test_dispatch_is_refused_before_and_after_its_key_expires(self) -> None:
        expiry = int((self.cluster.loop.time() + 300) * 1000)
        self.registry.settle("a", 1000, expiry)
        self.cluster.advance(5 * RETENTION_SECONDS - 1)
        self.assertEqual(self.run_call("a", expiry).reason, Reason.CLOSED)
        self.cluster.advance(2)
        self.assertEqual(self.run_call("a", expiry).reason, Reason.KEY_EXPIRED)

    def test_dispatch_of_a_closed_call_is_a_violation_and_forbidden(self) -> None:
        self.registry.settle("a", 1000)
        self.assertFalse(self.registry.begin_dispatch("a"))
        self.assertEqual(self.checker.violations[Invariant.AT_MOST_ONCE], 1)

    def test_refusal_after_a_dispatch_is_a_violation(self) -> None:
        async def refuse_after_dispatch(context: CallContext, _body: bytes) -> Answer:
            self.registry.begin_dispatch(context.call_id)
            return refused(Reason.OVERLOAD)

        self.cluster.loop.run_until_complete(
            self.registry.run(make_context("a"), b"", refuse_after_dispatch, keep=True)
        )
        self.assertEqual(self.checker.violations[Invariant.NOT_RUN_MEANS_NOT_RUN], 1)


class SilentConnectionTest(TestCase):
    """Guards against waiting on dead connections and against second runs of slow calls."""

    def setUp(self) -> None:
        self.cluster = SimulatedCluster(2)
        self.addCleanup(self.cluster.close)
        self.cluster.advance(RETENTION_SECONDS)
        self.exchange = self.cluster.nodes["a"].router.exchange
        self.transport = self.exchange.transport

    def send(self, deliver: bool, **fault: bool) -> tuple[Answer, float]:
        """Sends a call to node b over a connection that returns no bytes."""
        target = self.cluster.nodes["b"]
        context = make_context("silent")

        async def silent(_method, _address, path, headers, body, _seconds):
            if deliver:
                self.cluster.loop.create_task(target.serve(path, dict(headers), body))
            await sleep(100)

        self.exchange.transport.send = silent
        if fault.get("paused"):
            target.running.clear()
        started = self.cluster.loop.time()
        answer = self.cluster.loop.run_until_complete(self.exchange.send(context, "b:1", b""))
        return answer, self.cluster.loop.time() - started

    def test_call_that_never_arrived_is_refused_after_the_silence_check(self) -> None:
        answer, seconds = self.send(deliver=False)
        self.assertEqual((answer.outcome, answer.reason), (Outcome.REFUSED, Reason.SILENT))
        self.assertFalse(answer.copy_dispatched)
        self.assertAlmostEqual(seconds, 1.0, delta=0.1)
        late = self.cluster.nodes["b"].dispatcher.run_copy(make_context("silent"), b"")
        self.assertEqual(self.cluster.loop.run_until_complete(late).reason, Reason.CLOSED)

    def test_recorded_outcome_is_fetched_over_a_new_connection(self) -> None:
        answer, seconds = self.send(deliver=True)
        self.assertEqual((answer.outcome, answer.body), (Outcome.DONE, b"r-silent "))
        self.assertLess(seconds, 2.1)
        self.assertEqual(self.cluster.runs_by_request["r-silent"], 1)

    # REFUSED: the clock that told the age of the call stood still while the sender was suspended.
    def test_call_that_ran_is_not_refused_after_its_sender_was_suspended(self) -> None:
        target = self.cluster.nodes["b"]
        context = make_context("old")
        run = target.dispatcher.run_copy(context, b"")
        self.assertEqual(self.cluster.loop.run_until_complete(run).outcome, Outcome.DONE)
        stopped = self.cluster.loop.time()
        copy = SentCopy(context, "b:1", stopped, 1.0)
        for _ in range(int(RETENTION_SECONDS) + 2):
            self.cluster.advance(1.0)
            target.registry._running_time()
        # Another call makes the node forget the first one.
        other = target.dispatcher.run_copy(make_context("new"), b"")
        self.cluster.loop.run_until_complete(other)
        # The monotonic clock, which an instance that was suspended must not use for this.
        with patch.object(exchange, "monotonic", lambda: stopped, create=True):
            answer = self.cluster.loop.run_until_complete(self.exchange._settle(copy))
        self.assertEqual(answer.outcome, Outcome.UNKNOWN)

    def test_unresponsive_node_makes_the_outcome_unknown_within_2_s(self) -> None:
        answer, seconds = self.send(deliver=True, paused=True)
        self.assertEqual((answer.outcome, answer.retry_useful), (Outcome.UNKNOWN, True))
        self.assertAlmostEqual(seconds, 2.0, delta=0.1)

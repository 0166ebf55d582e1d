"""Draining of one node with a simulated clock: invariants 6 and 7."""

from unittest import IsolatedAsyncioTestCase, TestCase
from unittest.mock import patch

from coltsfoottrack._internal.admission.suspects import SuspectTable
from coltsfoottrack._internal.calls.budget import AttemptBudget
from coltsfoottrack._internal.calls.context import CallContext
from coltsfoottrack._internal.calls.deadline import Deadline
from coltsfoottrack._internal.calls.outcome import Outcome, Reason
from coltsfoottrack._internal.events.clock import HybridClock
from coltsfoottrack._internal.membership.table import MembershipTable, call_address
from coltsfoottrack._internal.node import daemon as daemon_module
from coltsfoottrack._internal.node import drain as drain_module
from coltsfoottrack._internal.node.backend_link import BackendLink
from coltsfoottrack._internal.node.drain import Drain
from coltsfoottrack._internal.observability.invariants import Invariant, InvariantChecker
from tests.unit.fakes import make_member

GRACE_SECONDS = 3.0


class DrainTest(IsolatedAsyncioTestCase):
    """Guards against new work after the grace period and against calls cut off by the shutdown."""

    def setUp(self) -> None:
        self.now = 100.0
        patcher = patch.object(drain_module, "monotonic", lambda: self.now)
        patcher.start()
        self.addCleanup(patcher.stop)
        self.checker = InvariantChecker()
        self.drain = Drain(lambda: GRACE_SECONDS, self.checker)

    async def test_second_start_does_not_renew_the_grace_period(self) -> None:
        """Guards against a second SIGTERM that makes the node accept new work again."""
        self.drain.start()
        self.now += 2.0
        self.drain.start()
        self.assertFalse(self.drain.refuses_new_work())
        self.now += 1.0
        self.assertTrue(self.drain.refuses_new_work())

    async def test_repeated_announcements_do_not_renew_the_grace_period(self) -> None:
        """Guards against announcements of a leaving backend server that extend its grace period."""
        for _ in range(5):
            self.drain.set_backend_leaving(True)
            self.now += 1.0
        self.assertTrue(self.drain.refuses_new_work())
        self.drain.set_backend_leaving(False)
        self.assertFalse(self.drain.is_leaving)

    async def test_call_that_waited_past_the_grace_period_is_not_dispatched(self) -> None:
        """Guards against calls that are admitted in time and dispatched after the grace period."""
        link = BackendLink("test", HybridClock(), SuspectTable(lambda: 0.0))
        self.addAsyncCleanup(link.close)
        link.address = "127.0.0.1:9"
        link.refuses_new_work = self.drain.refuses_new_work
        link.check_dispatch = self.drain.check_dispatch
        self.drain.start()
        self.now += GRACE_SECONDS + 1.0
        context = CallContext(
            service="s",
            operation="o",
            request_id="r",
            call_id="c",
            deadline=Deadline.after_ms(1000),
            budget=AttemptBudget(0),
        )
        answer = await link.run(context, b"")
        self.assertEqual((Outcome.REFUSED, Reason.LEAVING), (answer.outcome, answer.reason))
        self.assertEqual(0, self.checker.total())

    async def test_dispatch_after_the_grace_period_is_a_violation(self) -> None:
        """Guards against an invariant check that never records a violation."""
        self.drain.start()
        self.now += GRACE_SECONDS + 1.0
        self.drain.check_dispatch("r")
        self.assertEqual(1, self.checker.violations[Invariant.NO_WORK_WHEN_LEFT])

    async def test_drain_waits_for_calls_in_flight(self) -> None:
        """Guards against a process that ends before its last answer, and unreported aborts."""
        with self.drain.track_call():
            await self.drain.wait_until_idle(0.01)
            self.assertEqual(1, self.checker.violations[Invariant.NO_CALL_CUT_OFF])
        await self.drain.wait_until_idle(0.01)
        self.assertEqual(1, self.checker.total())


class BackgroundTaskTest(IsolatedAsyncioTestCase):
    """Restart of background tasks after errors."""

    async def test_unexpected_error_restarts_the_task(self) -> None:
        """Guards against an error in membership or configuration that stops a node with calls."""
        runs = []

        async def fail_once() -> None:
            runs.append(1)
            if len(runs) == 1:
                raise KeyError("unexpected")

        with patch.object(daemon_module, "RESTART_SECONDS", 0.0):
            await daemon_module.restart_on_error(fail_once)
        self.assertEqual(2, len(runs))


class LeavingNodeTest(TestCase):
    """Routing after an answer that marks its node as leaving."""

    def test_node_that_answered_as_leaving_is_not_chosen(self) -> None:
        """Guards against routers that learn of a leaving node only from the membership."""
        table = MembershipTable()
        members = [make_member(0), make_member(4)]
        for member in members:
            table.merge(member)
        table.report_leaving(call_address(members[0]))
        self.assertEqual([members[1]], table.serving("s0"))
        newer = make_member(0, start_order=2)
        table.merge(newer)
        self.assertEqual(2, len(table.serving("s0")))

    def test_leaving_nodes_are_chosen_if_there_are_no_others(self) -> None:
        """Guards against a service that gets no calls because all of its nodes are leaving."""
        table = MembershipTable()
        table.merge(make_member(0))
        table.report_leaving(call_address(make_member(0)))
        self.assertEqual(1, len(table.serving("s0")))

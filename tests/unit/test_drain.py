"""Invariants 6 and 7 at one node, with the time set by hand."""

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
    """Grace time and calls in flight."""

    def setUp(self) -> None:
        self.now = 100.0
        patcher = patch.object(drain_module, "monotonic", lambda: self.now)
        patcher.start()
        self.addCleanup(patcher.stop)
        self.checker = InvariantChecker()
        self.drain = Drain(lambda: GRACE_SECONDS, self.checker)

    async def test_second_start_does_not_renew_the_grace_time(self) -> None:
        """Guards against a second SIGTERM that lets in new work again."""
        self.drain.start()
        self.now += 2.0
        self.drain.start()
        self.assertFalse(self.drain.refuses_new_work())
        self.now += 1.0
        self.assertTrue(self.drain.refuses_new_work())

    async def test_repeated_announcements_do_not_renew_the_grace_time(self) -> None:
        """Guards against a backend server whose announcement every second postpones the end."""
        for _ in range(5):
            self.drain.set_backend_leaving(True)
            self.now += 1.0
        self.assertTrue(self.drain.refuses_new_work())
        self.drain.set_backend_leaving(False)
        self.assertFalse(self.drain.is_leaving)

    async def test_call_that_waited_past_the_grace_time_is_not_dispatched(self) -> None:
        """Guards against calls that were admitted in time and start much later."""
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

    async def test_a_way_around_the_refusal_is_a_violation(self) -> None:
        """Guards against an assertion that cannot fail."""
        self.drain.start()
        self.now += GRACE_SECONDS + 1.0
        self.drain.check_dispatch("r")
        self.assertEqual(1, self.checker.violations[Invariant.NO_WORK_WHEN_LEFT])

    async def test_calls_in_flight_are_waited_for(self) -> None:
        """Guards against an end of the process before the last answer, and a silent cut."""
        with self.drain.call():
            await self.drain.wait_until_idle(0.01)
            self.assertEqual(1, self.checker.violations[Invariant.NO_CALL_CUT_OFF])
        await self.drain.wait_until_idle(0.01)
        self.assertEqual(1, self.checker.total())


class BackgroundTaskTest(IsolatedAsyncioTestCase):
    """Errors in background tasks."""

    async def test_unexpected_error_does_not_end_the_node(self) -> None:
        """Guards against a fault in membership or configuration that cuts off calls."""
        runs = []

        async def fail_once() -> None:
            runs.append(1)
            if len(runs) == 1:
                raise KeyError("unexpected")

        with patch.object(daemon_module, "RESTART_SECONDS", 0.0):
            await daemon_module.keep_running(fail_once)
        self.assertEqual(2, len(runs))


class LeavingNoteTest(TestCase):
    """What a router does with an answer that says that its node leaves."""

    def test_noted_node_is_not_chosen(self) -> None:
        """Guards against routers that wait for membership to hear of a leaving node."""
        table = MembershipTable()
        members = [make_member(0), make_member(4)]
        for member in members:
            table.merge(member)
        table.report_leaving(call_address(members[0]))
        self.assertEqual([members[1]], table.serving("s0"))
        newer = make_member(0, start_order=2)
        table.merge(newer)
        self.assertEqual(2, len(table.serving("s0")))

    def test_all_noted_nodes_are_still_tried(self) -> None:
        """Guards against a service that nobody calls because all of its nodes said they leave."""
        table = MembershipTable()
        table.merge(make_member(0))
        table.report_leaving(call_address(make_member(0)))
        self.assertEqual(1, len(table.serving("s0")))

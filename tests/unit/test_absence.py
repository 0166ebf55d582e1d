"""Services without an available node, and calls that are certain to require them."""

from unittest import TestCase

from coltsfoottrack._internal.admission.limiter import ConcurrencyLimiter
from coltsfoottrack._internal.calls.context import answer_headers, read_answer
from coltsfoottrack._internal.calls.outcome import Answer, Outcome, Reason, failed, refused, unknown
from coltsfoottrack._internal.membership.table import MembershipTable
from coltsfoottrack._internal.routing.absent_services import (
    CERTAIN_CALLS,
    PROBE_INDIRECT_SECONDS,
    AbsentServices,
    absent_refusal,
)
from coltsfoottrack._internal.routing.client import OutgoingCall, path_headers
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import MEMBER_STATUS_ALIVE, Member

LOOKUP = "stores/lookup"
DONE = Answer(Outcome.DONE, used_services=frozenset(("fitments",)))
FAILED_WITHOUT = failed(Reason.BACKEND_ERROR)._replace(absent_service="fitments")
CRITICAL = 2


class AbsentServicesTest(TestCase):
    """Guards against runs wasted for an absent service, and refusals of calls not requiring it."""

    def setUp(self) -> None:
        self.now = 100.0
        self.members = MembershipTable()
        self.absent_services = AbsentServices(self.members, lambda: self.now)
        for port in (1, 2):
            self.merge(port, 1)

    def merge(self, port: int, incarnation: int, ready: bool = True) -> None:
        member = Member(
            service="fitments",
            name=str(port),
            address="a",
            call_port=port,
            incarnation=incarnation,
            start_order=incarnation,
            revision=int(ready),
            status=MEMBER_STATUS_ALIVE,
            backend_ready=ready,
        )
        self.members.merge(member)
        if ready:
            self.members.ready_since[f"fitments/{port}"] = self.now

    def record(self, *answers: Answer) -> None:
        for answer in answers:
            self.absent_services.record_answer(LOOKUP, answer, self.now)

    def refusals(self, count: int, priority: int = 0) -> int:
        answers = [self.absent_services.refuse_operation(LOOKUP, priority) for _ in range(count)]
        return len([answer for answer in answers if answer is not None])

    def test_refuses_only_operations_that_require_the_service(self) -> None:
        self.record(*[DONE] * CERTAIN_CALLS, FAILED_WITHOUT)
        self.assertEqual(self.refusals(10, CRITICAL), 10)
        refusal = self.absent_services.refuse_operation(LOOKUP, 0)
        self.assertEqual(
            (refusal.outcome, refusal.reason, refusal.retry_useful, refusal.absent_service),
            (Outcome.REFUSED, Reason.SERVICE_ABSENT, True, "fitments"),
        )
        self.assertIsNone(self.absent_services.refuse_operation("stores/other", 0))

    def test_operation_that_finished_without_the_service_is_not_refused(self) -> None:
        without = Answer(Outcome.DONE)
        for answers in (
            [DONE] * CERTAIN_CALLS + [without, FAILED_WITHOUT],
            [DONE] * CERTAIN_CALLS + [FAILED_WITHOUT, without],
            [FAILED_WITHOUT],
            [without, absent_refusal("fitments")],
        ):
            self.absent_services.dependencies.clear()
            self.record(*answers)
            self.assertEqual(self.refusals(10), 0, answers)

    def test_one_probe_at_a_time(self) -> None:
        self.record(*[DONE] * CERTAIN_CALLS, FAILED_WITHOUT)
        for _ in range(3):
            self.now += PROBE_INDIRECT_SECONDS
            self.assertEqual(self.refusals(10), 9)
            self.record(FAILED_WITHOUT)
        self.now += PROBE_INDIRECT_SECONDS
        self.assertEqual(self.refusals(1), 0)
        self.record(DONE)
        self.assertEqual(self.refusals(10), 0)

    def test_recovery_by_membership_admits_critical_calls_and_one_other(self) -> None:
        self.record(*[DONE] * CERTAIN_CALLS, FAILED_WITHOUT)
        sent_at = self.now
        self.now += 0.5
        self.merge(1, 2, ready=False)
        self.assertEqual(self.refusals(10), 10)
        self.now += 0.5
        self.merge(1, 2)
        self.assertEqual(self.refusals(10, CRITICAL), 0)
        self.assertEqual(self.refusals(10), 9)
        # An answer to a call that was sent before the recovery changes nothing.
        self.absent_services.record_answer(LOOKUP, FAILED_WITHOUT, sent_at)
        self.assertEqual(self.refusals(10, CRITICAL), 0)
        self.record(DONE)
        self.assertEqual(self.refusals(10), 0)

    def test_service_is_absent_only_when_every_member_is_unavailable(self) -> None:
        connection_refused = refused(Reason.NO_NODE)
        self.absent_services.record_member("fitments", "a:1", connection_refused, self.now)
        self.assertIsNone(self.absent_services.refuse_direct("fitments"))
        self.absent_services.record_member("fitments", "a:2", connection_refused, self.now)
        self.assertIsNotNone(self.absent_services.refuse_direct("fitments"))
        for unanswered in (unknown(Reason.CONNECTION_LOST), unknown(Reason.SILENT)):
            self.absent_services.record_member("fitments", "a:2", unanswered, self.now)
        self.assertIsNotNone(self.absent_services.refuse_direct("fitments"))
        # The node was full and found no other node for the request.
        node_full = connection_refused._replace(served_by="fitments/1")
        self.absent_services.record_member("fitments", "a:1", node_full, self.now)
        self.assertIsNone(self.absent_services.refuse_direct("fitments"))
        self.absent_services.record_member("fitments", "a:1", connection_refused, self.now)
        shed = refused(Reason.OVERLOAD)._replace(served_by="fitments/2")
        self.absent_services.record_member("fitments", "a:2", shed, self.now)
        self.assertIsNone(self.absent_services.refuse_direct("fitments"))

    def test_answer_takes_precedence_over_membership_without_a_serving_node(self) -> None:
        for port in (1, 2):
            self.merge(port, 2, ready=False)
        self.assertIsNotNone(self.absent_services.refuse_direct("fitments"))
        self.absent_services.record_member(
            "fitments", "a:1", DONE._replace(served_by="fitments/1"), self.now
        )
        self.assertIsNone(self.absent_services.refuse_direct("fitments"))
        self.assertIsNone(self.absent_services.refuse_direct("unheard-of"))

    def test_headers_carry_absent_and_used_services(self) -> None:
        calls = [OutgoingCall("fitments", "a", b""), OutgoingCall("paint", "b", b"")]
        headers = path_headers(calls, [DONE, absent_refusal("paint")])
        self.assertEqual(
            (headers["Used-Services"], headers["Absent-Service"]), ("fitments", "paint")
        )
        sent = answer_headers(DONE._replace(absent_service="paint"), 0)
        parsed = read_answer(200, sent, b"")
        self.assertEqual(
            (parsed.used_services, parsed.absent_service), (DONE.used_services, "paint")
        )
        malformed = {
            **headers,
            "Outcome": "done",
            "Used-Services": "a,b c",
            "Absent-Service": "x y",
        }
        parsed = read_answer(200, malformed, b"")
        self.assertEqual((parsed.used_services, parsed.absent_service), (frozenset(), ""))


class ColdLimitTest(TestCase):
    """Guards against a cold start limit that grows beyond the backend server's capacity."""

    def test_cold_limit_stops_where_service_times_rise(self) -> None:
        now = 0.0
        limiter = ConcurrencyLimiter(clock=lambda: now)
        limiter.begin_cold(80)
        real_slots = 24
        highest = 0
        for _ in range(10):
            batch = limiter.effective_limit
            highest = max(highest, batch)
            for _ in range(batch):
                limiter.start()
            seconds = 0.1 * max(1.0, batch / real_slots)
            now += seconds
            for _ in range(batch):
                limiter.finish(False, seconds)
        self.assertLess(highest, 3 * real_slots)

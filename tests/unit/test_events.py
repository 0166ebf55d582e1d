"""Events: order, limits and gaps, and explanations of requests."""

from time import monotonic
from unittest import TestCase
from unittest.mock import patch

from coltsfoottrack._internal.calls.budget import AttemptBudget
from coltsfoottrack._internal.calls.context import CallContext
from coltsfoottrack._internal.calls.deadline import Deadline
from coltsfoottrack._internal.calls.outcome import Answer, Outcome, Reason, failed, refused
from coltsfoottrack._internal.events.call_record import record_answer
from coltsfoottrack._internal.events.clock import MAX_AHEAD_MS, HybridClock
from coltsfoottrack._internal.events.explain import explain_events
from coltsfoottrack._internal.events.ring import EventFilter, EventRing
from coltsfoottrack._internal.events.timeline import NodeEvents, find_gaps, merge
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import Event

NOW = 1_800_000_000.0


def context(service: str = "stores", milliseconds: float = 1000) -> CallContext:
    return CallContext(
        service=service,
        operation="lookup",
        request_id="r",
        call_id="c",
        deadline=Deadline.after_ms(milliseconds),
        budget=AttemptBudget(0),
    )


class Process:
    """One process whose wall clock is off by some seconds."""

    def __init__(self, name: str, offset_seconds: float) -> None:
        self.offset = offset_seconds
        self.clock = HybridClock()
        self.ring = EventRing(name, self.clock)

    def act(self, kind: str) -> int:
        with (
            patch("coltsfoottrack._internal.events.clock.time", lambda: NOW + self.offset),
            patch("coltsfoottrack._internal.events.ring.time", lambda: NOW + self.offset),
        ):
            self.ring.add(kind)
            return self.clock.tick()

    def receive(self, reading: int) -> None:
        with patch("coltsfoottrack._internal.events.clock.time", lambda: NOW + self.offset):
            self.clock.observe(reading)


class OrderTest(TestCase):
    """Guards against a timeline that shows effects before their causes."""

    def test_causes_precede_effects_although_wall_clocks_differ_by_seconds(self) -> None:
        entry, middle, deep = Process("a", 7.0), Process("b", -6.0), Process("c", 0.0)
        for _ in range(50):
            middle.receive(entry.act("sent"))
            deep.receive(middle.act("passed_on"))
            middle.receive(deep.act("refused"))
            entry.receive(middle.act("retried"))
        groups = [
            NodeEvents(process.ring.node, list(process.ring.events))
            for process in (deep, middle, entry)
        ]
        kinds = [event.kind for event in merge(groups)]
        self.assertEqual(kinds, ["sent", "passed_on", "refused", "retried"] * 50)

    def test_wall_clock_set_back_keeps_the_order(self) -> None:
        process = Process("a", 0.0)
        process.act("first")
        process.offset = -3600.0
        process.act("second")
        self.assertEqual([event.kind for event in process.ring.events], ["first", "second"])
        clocks = [event.event_clock for event in process.ring.events]
        self.assertLess(clocks[0], clocks[1])

    def test_reading_far_in_the_future_is_ignored(self) -> None:
        process = Process("a", 0.0)
        process.receive((int(NOW * 1000) + MAX_AHEAD_MS + 1) << 16)
        process.receive(2**63 - 1)
        self.assertEqual(process.clock.last, 0)


class RingTest(TestCase):
    """Guards against unbounded memory and unreported gaps."""

    def test_full_ring_counts_what_it_overwrites(self) -> None:
        ring = EventRing("a", HybridClock(), capacity=10)
        for _ in range(25):
            ring.add("refused")
        events, left_out = ring.select(EventFilter(), 4)
        gaps = find_gaps([NodeEvents("a", events, ring.dropped, 1, left_out)])
        self.assertEqual((len(ring.events), ring.dropped), (10, 15))
        self.assertEqual([gap.missing for gap in gaps], [15, 6])

    def test_events_that_cannot_be_sent_stay_bounded(self) -> None:
        ring = EventRing("a", HybridClock(), capacity=10)
        for _ in range(10):
            ring.add("retry")
        events, dropped = ring.take(6)
        for _ in range(8):
            ring.add("late")
        ring.put_back(events, dropped)
        self.assertEqual((len(ring.events), ring.dropped), (10, 8))

    def test_reported_event_cannot_be_large_or_of_another_node(self) -> None:
        ring = EventRing("a", HybridClock())
        ring.add_reported(Event(kind="x" * 900, node="b", detail="d" * 9000, reason="r" * 9000))
        event = ring.events[0]
        self.assertEqual((event.node, event.process, event.kind), ("a", "client", "backend"))
        self.assertLess(event.ByteSize(), 1000)

    def test_filter_selects_matching_events(self) -> None:
        ring = EventRing("a", HybridClock())
        ring.add("late", service="stores", request_id="r1")
        ring.add("refused", service="casting", request_id="r2")
        now = ring.events[0].wall_ms
        cases = (
            (EventFilter(request_id="r1"), 1),
            (EventFilter(service="casting"), 1),
            (EventFilter(kind="late", service="casting"), 0),
            (EventFilter(from_ms=now + 60_000), 0),
            (EventFilter(until_ms=now - 60_000), 0),
            (EventFilter(from_ms=now - 1000, until_ms=now + 60_000), 2),
        )
        for wanted, count in cases:
            with self.subTest(wanted=wanted):
                self.assertEqual(len(ring.select(wanted, 10)[0]), count)


class RecordTest(TestCase):
    """Guards against problems without an event, and events without a problem."""

    def record(self, answer: Answer, elapsed_ms: float, left_ms: float) -> list[Event]:
        ring = EventRing("stores/a", HybridClock())
        started = monotonic() - elapsed_ms / 1000.0
        record_answer(ring, context(milliseconds=left_ms), answer, started, "stores/a")
        return list(ring.events)

    def test_fast_answer_records_no_event(self) -> None:
        self.assertEqual(self.record(Answer(Outcome.DONE), 1, 900), [])

    def test_each_problem_records_one_event_with_its_times(self) -> None:
        done = Answer(Outcome.DONE, queued_ms=5.0, running_ms=590.0)
        cases = (
            (done, 600, 400, "slow"),
            (done, 600, -1, "late"),
            (refused(Reason.OVERLOAD), 1, 900, "refused"),
            (failed(Reason.BACKEND_ERROR), 1, 900, "failed"),
        )
        for answer, elapsed_ms, left_ms, kind in cases:
            with self.subTest(kind=kind):
                (event,) = self.record(answer, elapsed_ms, left_ms)
                self.assertEqual((event.kind, event.reason), (kind, answer.reason.value))
                self.assertEqual(event.queued_ms, answer.queued_ms)
                self.assertEqual((event.service, event.backend_server), ("stores", "stores/a"))


class ExplainTest(TestCase):
    """Guards against an explanation that names the wrong cause."""

    def test_names_the_first_cause_and_the_reported_outcome(self) -> None:
        events = [
            Event(
                kind="refused",
                service="fitments",
                operation="fitting",
                node="fitments/a",
                backend_server="fitments/a",
                priority="sheddable",
                reason="overload",
                duration_ms=3.0,
                queued_ms=3.0,
            ),
            Event(kind="retry_refused", service="fitments", operation="fitting", reason="overload"),
            Event(
                kind="failed",
                service="stores",
                operation="lookup",
                node="stores/b",
                backend_server="stores/b",
                reason="backend_error",
                duration_ms=20.0,
                running_ms=15.0,
            ),
        ]
        explanation = explain_events("r", events)
        self.assertIn(
            "request r (sheddable): refused at fitments/fitting on fitments/a", explanation.verdict
        )
        self.assertIn(
            "its caller received failed from stores/lookup on stores/b", explanation.verdict
        )
        self.assertIn("attempt budget", explanation.retries[0])
        self.assertIn("20.0 ms in all, 0.0 ms waiting", explanation.times[0])

    def test_names_the_layer_that_delayed_a_request_until_its_deadline(self) -> None:
        events = [
            Event(kind="cancelled", service="deep", operation="read", node="d", duration_ms=290.0),
            Event(kind="cancelled", service="mid", operation="read", node="m", duration_ms=295.0),
            Event(kind="unknown", service="top", operation="read", node="t", reason="deadline"),
        ]
        verdict = explain_events("r", events).verdict
        self.assertIn("unknown at top/read on t", verdict)
        self.assertIn("it had been at deep/read on d for 290.0 ms", verdict)

    def test_request_without_events_is_explained_without_a_cause(self) -> None:
        self.assertIn("no trouble is recorded", explain_events("r", []).verdict)

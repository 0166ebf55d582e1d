"""Parsing, explanations and summaries of decision logs."""

from pathlib import Path
from re import compile as compile_pattern
from unittest import TestCase

from orjson import dumps

from coltsfoottrack._internal.decision_log.explanation import explain_request
from coltsfoottrack._internal.decision_log.lines import DecisionLines, read_lines
from coltsfoottrack._internal.decision_log.reasons import REASONS
from coltsfoottrack._internal.decision_log.summary import summarize

MESH = Path(__file__).resolve().parents[2] / "src" / "coltsfoottrack" / "_internal" / "mesh"
# Matches reasons in the mesh's source: arguments of refusals, results and failures.
REASON = compile_pattern(
    r"(?:Refusal\(|RunResult\(\s*RESULT_\w+,|_refuse\(call,|_refuse_unrouted\(request,|_fail\("
    r"|\.fail\(\w+,|_end_unserved\(call,|_give_up\(call,|refusal = |reason = |_abandon\(call,"
    r"|backend_gone\(|return)"
    r' ?"([a-z_]+)"'
)


def line(at: float, node: str, event: str, **fields: object) -> str:
    """Returns a log line in the format of a node."""
    return dumps({"node": node, "event": event, "timestamp": at, **fields}).decode()


def read(*texts: str) -> DecisionLines:
    """Parses lines."""
    return read_lines(texts)


class ReadingTest(TestCase):
    """Guards against lines that are lost or make the parser fail."""

    def test_lines_of_several_nodes_are_ordered_by_time(self):
        found = read(line(2.0, "b", "stopped"), line(1.0, "a", "started"))
        self.assertEqual([entry.node for entry in found.lines], ["a", "b"])

    def test_prefix_of_a_log_collector_is_ignored(self):
        found = read("12.5 s node-1 | " + line(1.0, "a", "started"))
        self.assertEqual(found.lines[0].event, "started")
        self.assertEqual(found.unreadable, 0)

    def test_unreadable_lines_are_counted_and_skipped(self):
        whole = line(1.0, "a", "started")
        found = read("Traceback (most recent call last):", "{broken", '["list"]', "{}", "", whole)
        self.assertEqual(len(found.lines), 1)
        self.assertEqual(found.unreadable, 4)

    def test_lines_that_nodes_left_out_are_counted(self):
        found = read(
            line(1.0, "a", "request_refused", request_id="q", left_out_before=7),
            line(2.0, "a", "request_refused", request_id="r", left_out_before=2),
        )
        self.assertEqual(found.left_out, 9)


class ExplanationTest(TestCase):
    """Guards against a wrong or missing cause for a request that was not served."""

    def test_refusal_at_the_entry_shows_state_changes_of_the_reporting_nodes(self):
        found = read(
            line(9.0, "store", "shedding_started", load=1.4, waiting=12),
            line(9.0, "other", "shedding_started", load=1.2, waiting=3),
            line(
                10.0,
                "front",
                "request_refused",
                request_id="q1",
                route="read",
                reason="admission_level",
                level=0.7,
                reported={"store": "0.70, 24 ms old"},
            ),
        )
        explanation = explain_request("q1", found.lines)
        self.assertIn("503 at front, never sent", explanation.verdict)
        self.assertEqual([entry.node for entry in explanation.context], ["store"])

    def test_rejected_body_shows_what_the_node_held(self):
        """Guards against a refusal for memory whose cause on call cannot tell."""
        found = read(
            line(9.0, "front", "callers_short_of", what="memory", used=180, limit=189),
            line(
                10.0,
                "front",
                "request_rejected",
                request_id="q1",
                status=503,
                reason="memory",
                received_bytes=1_000_000,
                held_bytes=160 * 2**20,
                held_limit_bytes=189 * 2**20,
                connections=24,
            ),
        )
        explanation = explain_request("q1", found.lines)
        self.assertIn("503 at front, not read to its end", explanation.verdict)
        self.assertIn("160 of 189 MB held for callers on 24 connections", explanation.verdict)
        self.assertEqual([entry.event for entry in explanation.context], ["callers_short_of"])
        self.assertEqual(summarize(found.lines).unserved[0].reason, "memory")

    def test_lost_answer_is_explained_as_possibly_run(self):
        found = read(
            line(1.0, "front", "request_sent", request_id="q1", sent_to="store", load_age_ms=-1),
            line(
                2.0,
                "store",
                "run_without_answer",
                request_id="q1",
                reason="connection_closed",
                waited_ms=31,
                ran_ms=19,
            ),
            line(
                3.0,
                "front",
                "request_not_served",
                request_id="q1",
                status=502,
                reason="connection_closed",
                attempts=1,
                sent_to="store",
            ),
        )
        explanation = explain_request("q1", found.lines)
        self.assertIn("502 at front, it may have run", explanation.verdict)
        self.assertEqual(len(explanation.steps), 2)
        self.assertIn("load not known", explanation.steps[0])
        self.assertIn("waited 31 ms, ran 19 ms", explanation.steps[1])

    def test_refusal_after_waiting_is_explained_as_not_run(self):
        found = read(
            line(
                3.0,
                "front",
                "request_not_served",
                request_id="q1",
                status=503,
                reason="overload",
                attempts=0,
            )
        )
        self.assertIn("503 at front, it did not run", explain_request("q1", found.lines).verdict)

    def test_failure_of_a_call_explains_its_parent_request(self):
        found = read(
            line(1.0, "a", "request_not_served", request_id="q1.c", parent="q1", status=503),
            line(2.0, "b", "request_not_served", request_id="q1.c.d", parent="q1.c", status=504),
        )
        explanation = explain_request("q1", found.lines)
        self.assertIn("a call that it needed", explanation.verdict)
        self.assertEqual(explanation.calls[0].request_id, "q1.c")
        self.assertEqual(explanation.calls[0].calls[0].request_id, "q1.c.d")

    def test_failure_of_a_backend_server_names_it_and_the_call_that_failed(self):
        failed = line(
            3.0,
            "front",
            "request_failed_at_backend",
            request_id="q1",
            status=500,
            backend="i-7",
            reason="backend_failed",
        )
        explanation = explain_request("q1", read(failed).lines)
        self.assertIn(
            "500 at front: a failure of backend server i-7 of its own", explanation.verdict
        )
        call = line(1.0, "a", "request_not_served", request_id="c", parent="q1", status=503)
        explanation = explain_request("q1", read(call, failed).lines)
        self.assertIn("as a call that it needed was not served", explanation.verdict)

    def test_cyclic_parent_requests_do_not_recurse_forever(self):
        found = read(
            line(1.0, "a", "request_not_served", request_id="x", parent="y", status=503),
            line(2.0, "a", "request_not_served", request_id="y", parent="x", status=503),
        )
        self.assertTrue(explain_request("x", found.lines).calls)

    def test_old_state_changes_and_those_of_other_nodes_are_left_out(self):
        found = read(
            line(1.0, "front", "store_lost", what="members"),
            line(90.0, "front", "started"),
            line(99.0, "elsewhere", "store_lost", what="members"),
            line(100.0, "front", "caller_gone", request_id="q1", elapsed_ms=12),
        )
        explanation = explain_request("q1", found.lines)
        self.assertEqual(explanation.context, [])
        self.assertIn("its caller disconnected after 12 ms", explanation.verdict)

    def test_unknown_request_is_not_reported_as_served(self):
        explanation = explain_request("q9", read(line(1.0, "a", "started")).lines)
        self.assertIn("or its lines were left out", explanation.verdict)


class ReasonsTest(TestCase):
    """Guards against reasons without a description for operators."""

    def test_every_reason_in_the_mesh_is_described(self):
        found = set()
        for path in MESH.glob("*.py"):
            found.update(REASON.findall(path.read_text(encoding="utf-8")))
        self.assertGreater(len(found), 20)
        self.assertEqual(found - set(REASONS), set())


class SummaryTest(TestCase):
    """Guards against a summary that omits where requests fail or for how long."""

    def test_unserved_requests_are_grouped_with_their_most_frequent_node(self):
        texts = []
        for number, node in enumerate(("s1", "s2", "s2")):
            texts.append(
                line(
                    number,
                    "front",
                    "request_not_served",
                    request_id=f"q{number}",
                    route="read",
                    reason="overload",
                    sent_to=node,
                )
            )
        group = summarize(read(*texts).lines).unserved[0]
        self.assertEqual((group.route, group.reason, group.count), ("read", "overload", 3))
        self.assertEqual(group.node, "s2")

    def test_states_end_with_their_event_or_the_next_start(self):
        summary = summarize(
            read(
                line(1.0, "a", "shedding_started"),
                line(2.0, "a", "shedding_ended"),
                line(3.0, "b", "store_lost", what="members"),
                line(4.0, "b", "started"),
                line(5.0, "c", "store_lost", what="members"),
            ).lines
        )
        ends = [(period.node, period.ended) for period in summary.periods]
        self.assertEqual(ends, [("a", 2.0), ("b", 4.0), ("c", None)])

    def test_versions_are_shown_only_if_nodes_differ(self):
        first = line(1.0, "a", "configuration_in_force", version=4)
        same = read(first, line(1.0, "b", "configuration_in_force", version=4))
        other = read(first, line(1.0, "b", "configuration_in_force", version=5))
        self.assertEqual(summarize(same.lines).versions, {})
        self.assertEqual(summarize(other.lines).versions, {"a": 4, "b": 5})

"""The log of the routed path is bounded and never waits for its reader."""

from os import close, pipe, read, set_blocking
from time import perf_counter
from unittest import TestCase
from unittest.mock import patch

from orjson import loads

from coltsfoottrack._internal.mesh.decisions import (
    MAX_BUFFERED_BYTES,
    REQUEST_LINES_BURST,
    DecisionLog,
    LineWriter,
)


class LogTest(TestCase):
    """Lines into a pipe."""

    def setUp(self):
        self.reader, self.writer = pipe()
        set_blocking(self.reader, False)
        self.addCleanup(close, self.reader)
        self.addCleanup(close, self.writer)

    def lines(self) -> list[dict[str, object]]:
        """Returns what was written."""
        data = b""
        while True:
            try:
                data += read(self.reader, 65536)
            except BlockingIOError:
                return [loads(line) for line in data.splitlines()]

    def test_lines_have_event_and_inputs(self):
        """Guards against lines that cannot be searched."""
        DecisionLog("n1", LineWriter(self.writer)).decision("backend_state", report_number=3)
        line = self.lines()[0]
        self.assertEqual(
            (line["node"], line["event"], line["report_number"]), ("n1", "backend_state", 3)
        )

    def test_unread_output_stalls_nothing(self):
        """Guards against a node that stands still, or grows, when nobody reads its log."""
        writer = LineWriter(self.writer)
        log = DecisionLog("n1", writer)
        began = perf_counter()
        for number in range(30_000):
            log.decision("event", number=number, text="x" * 100)
        self.assertLess(perf_counter() - began, 5.0)
        self.assertLessEqual(writer.waiting_bytes, MAX_BUFFERED_BYTES)
        self.assertGreater(writer.dropped, 0)
        first = self.lines()
        self.assertGreater(len(first), 0)
        writer.flush()
        self.assertEqual(self.lines()[0]["event"], "event")

    def test_closed_output_stalls_nothing(self):
        """Guards against an error in the request path when the log's reader has gone."""
        reader, writer = pipe()
        log = DecisionLog("n1", LineWriter(writer))
        close(reader)
        log.decision("event")
        close(writer)
        self.assertEqual(log.writer.dropped, 1)

    def test_request_lines_are_bounded_and_the_gap_is_said(self):
        """Guards against a log that grows with the load, and a gap that nobody sees."""
        # With the clock standing still, the bound is the burst to the line.
        with patch("coltsfoottrack._internal.mesh.decisions.current_time", lambda: 100.0):
            log = DecisionLog("n1", LineWriter(self.writer))
            for number in range(2000):
                log.request("request_refused", request_id=str(number))
            self.assertEqual(len(self.lines()), REQUEST_LINES_BURST)
            self.assertEqual(log.left_out, 2000 - REQUEST_LINES_BURST)
            self.assertEqual(log.counts["request_refused"], 2000)
            log.bucket.level = 5.0
            log.request("request_refused", request_id="last")
            self.assertEqual(self.lines()[0]["left_out_before"], 2000 - REQUEST_LINES_BURST)

"""The decision log of the mesh is bounded and never blocks on its reader."""

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
    """Lines written to a pipe."""

    def setUp(self):
        self.reader, self.writer = pipe()
        set_blocking(self.reader, False)
        self.addCleanup(close, self.reader)
        self.addCleanup(close, self.writer)

    def lines(self) -> list[dict[str, object]]:
        """Returns the lines written so far."""
        data = b""
        while True:
            try:
                data += read(self.reader, 65536)
            except BlockingIOError:
                return [loads(line) for line in data.splitlines()]

    def test_lines_have_event_and_inputs(self):
        """Guards against log lines without node, event or inputs."""
        DecisionLog("n1", LineWriter(self.writer)).decision("backend_state", report_number=3)
        line = self.lines()[0]
        self.assertEqual(
            (line["node"], line["event"], line["report_number"]), ("n1", "backend_state", 3)
        )

    def test_unread_output_does_not_block(self):
        """Guards against a node that blocks or buffers without bound if its log is not read."""
        writer = LineWriter(self.writer)
        log = DecisionLog("n1", writer)
        began = perf_counter()
        for number in range(30_000):
            log.decision("event", number=number, text="x" * 100)
        self.assertLess(perf_counter() - began, 5.0)
        self.assertLessEqual(writer.buffered_bytes, MAX_BUFFERED_BYTES)
        self.assertGreater(writer.dropped, 0)
        first = self.lines()
        self.assertGreater(len(first), 0)
        writer.flush()
        self.assertEqual(self.lines()[0]["event"], "event")

    def test_closed_output_raises_nothing(self):
        """Guards against an error in the request path after the reader closed the log."""
        reader, writer = pipe()
        log = DecisionLog("n1", LineWriter(writer))
        close(reader)
        log.decision("event")
        close(writer)
        self.assertEqual(log.writer.dropped, 1)

    def test_request_lines_are_rate_limited_and_omissions_counted(self):
        """Guards against a log that grows with the load, and against unreported omissions."""
        # With a stopped clock, exactly the burst is written.
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

"""Tests of the commands that read decision logs."""

import sys
from contextlib import redirect_stdout
from io import StringIO
from json import loads
from pathlib import Path
from subprocess import PIPE, Popen
from tempfile import TemporaryDirectory
from unittest import TestCase

from coltsfoottrack._internal.cli.commands.logs import LogsCommands
from coltsfoottrack._internal.cli.exceptions import EXIT_BAD_INPUT, EXIT_FAILED, CommandError
from tests.unit.test_decision_log import line


class LogsCommandsTest(TestCase):
    """Guards against commands that crash, or that print nothing instead of an error."""

    def setUp(self):
        directory = TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = str(Path(directory.name) / "nodes.log")
        refused = {"request_id": "q1", "route": "read", "reason": "admission_level"}
        texts = [
            line(0.5, "front", "store_lost", what="members", problem="timed out"),
            line(1.0, "front", "request_refused", **refused, left_out_before=3),
            "not a line of the log",
        ]
        Path(self.path).write_text("\n".join(texts), encoding="utf-8")

    def captured_output(self, command, *arguments, **options):
        """Returns the standard output of a command."""
        printed = StringIO()
        with redirect_stdout(printed):
            command(*arguments, **options)
        return printed.getvalue()

    def test_explain_shows_verdict_and_number_of_omitted_lines(self):
        text = self.captured_output(LogsCommands.explain, "q1", self.path)
        self.assertIn("q1: 503 at front, never sent", text)
        self.assertIn("before: 1970-01-01T00:00:00.500Z front store_lost", text)
        self.assertIn("left out 3 lines", text)
        self.assertIn("1 lines are not of a decision log", text)

    def test_summary_shows_unserved_routes_nodes_and_reasons(self):
        text = self.captured_output(LogsCommands.summary, self.path)
        self.assertIn("read   front", text)
        self.assertIn("front: store lost (members) from", text)
        document = loads(self.captured_output(LogsCommands.summary, self.path, output="json"))
        self.assertEqual(document["unserved"][0]["count"], 1)

    def test_timeline_omits_request_lines_by_default(self):
        self.assertNotIn("request_refused", self.captured_output(LogsCommands.timeline, self.path))
        text = self.captured_output(LogsCommands.timeline, self.path, requests="yes")
        self.assertIn("request_refused", text)
        self.assertIn(
            "no line matches", self.captured_output(LogsCommands.timeline, self.path, node="x")
        )

    def test_closed_output_pipe_causes_no_traceback(self):
        many = "\n".join(line(at, "front", "store_lost", what="x" * 200) for at in range(2000))
        Path(self.path).write_text(many, encoding="utf-8")
        command = [sys.executable, "-m", "coltsfoottrack", "logs", "timeline", self.path]
        with Popen(command, stdout=PIPE, stderr=PIPE) as process:
            process.stdout.readline()
            process.stdout.close()
            errors = process.stderr.read()
        self.assertEqual(errors, b"")
        self.assertEqual(process.returncode, EXIT_FAILED)

    def test_since_and_until_limit_the_lines(self):
        text = self.captured_output(
            LogsCommands.timeline, self.path, until="1970-01-01T00:00:00.6Z"
        )
        self.assertIn("store_lost", text)
        text = self.captured_output(
            LogsCommands.timeline, self.path, since="1970-01-01T00:00:00.6Z"
        )
        self.assertIn("no line matches", text)

    def test_files_without_log_lines_are_rejected(self):
        for files in ((), ("/nowhere/nodes.log",), (__file__,)):
            with self.subTest(files=files), self.assertRaises(CommandError) as raised:
                LogsCommands.summary(*files)
            self.assertEqual(raised.exception.exit_status, EXIT_BAD_INPUT)

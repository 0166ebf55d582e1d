"""The start of a node's process on the users' platform."""

import sys
from os import environ, mkfifo
from pathlib import Path
from shutil import rmtree
from signal import SIGHUP
from subprocess import DEVNULL, Popen
from tempfile import mkdtemp
from unittest import TestCase

from coltsfoottrack.platform.names import SETTINGS_VARIABLE
from coltsfoottrack.platform.run_node import EXIT_BAD_SETTINGS

EXIT_SECONDS = 10.0


class NodeStartTest(TestCase):
    """Signals that arrive while a node starts."""

    def test_sighup_before_the_settings_are_read_does_not_end_the_process(self):
        """Guards against a node that ends with -1 as its settings change while it starts.

        Soak seed 32: the node was started, and sent SIGHUP up to half a second later.
        """
        directory = Path(mkdtemp())
        self.addCleanup(rmtree, directory)
        settings = directory / "settings.conf"
        mkfifo(settings)
        process = Popen(
            [sys.executable, "-m", "coltsfoottrack.platform"],
            env={**environ, SETTINGS_VARIABLE: str(settings)},
            stderr=DEVNULL,
        )
        self.addCleanup(process.kill)
        # Opening blocks until the node opens the file to read its settings.
        with settings.open("w", encoding="utf-8") as writer:
            process.send_signal(SIGHUP)
            writer.write("node=incomplete\n")
        self.assertEqual(process.wait(EXIT_SECONDS), EXIT_BAD_SETTINGS)

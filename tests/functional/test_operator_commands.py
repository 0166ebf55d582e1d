"""Tests of the operator commands with real processes, and of nodes with invalid settings."""

import sys
from contextlib import redirect_stderr, redirect_stdout
from io import StringIO
from json import loads
from os import environ
from pathlib import Path
from re import findall
from socket import AF_INET, SOCK_STREAM, socket
from subprocess import run as run_process
from tempfile import TemporaryDirectory
from time import monotonic, sleep
from typing import NamedTuple
from unittest import TestCase
from unittest.mock import patch

from urllib3 import PoolManager

from coltsfoottrack._internal.cli.main import main
from coltsfoottrack._internal.configuration.codec import CURRENT_PATH
from coltsfoottrack._internal.experiment.fleet import Fleet, free_ports
from coltsfoottrack._internal.experiment.shapes import FleetShape, OperationShape, ServiceShape
from coltsfoottrack._internal.object_store.client import PlatformClient
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import PRIORITY_NORMAL

SHAPE = FleetShape(
    name="small",
    failure_domains=("east", "west"),
    scale=1,
    services=(
        ServiceShape(
            "front", 2, 4, 5, (OperationShape("read", PRIORITY_NORMAL, True, ("deep/read",)),)
        ),
        ServiceShape("deep", 1, 4, 300, (OperationShape("read", PRIORITY_NORMAL, True),)),
    ),
)
ALERTS = Path(__file__).parents[2] / "docs" / "alerts.md"
GOOD_SETTINGS = """cluster: demo
name: a
service: stores
failure_domain: east
region: one
address: 127.0.0.1
call_port: {0}
peer_port: {1}
admin_port: {2}
platform_addresses: ["127.0.0.1:1"]
"""


class CommandResult(NamedTuple):
    """Exit status and output of a command."""

    status: int
    text: str
    error: str


def command(*words: str) -> CommandResult:
    """Runs a command in this process and returns its result."""
    out, err = StringIO(), StringIO()
    status = 0
    with (
        patch.object(sys, "argv", ["coltsfoottrack", *words]),
        redirect_stdout(out),
        redirect_stderr(err),
    ):
        try:
            main()
        except SystemExit as end:
            status = int(end.code or 0)
    return CommandResult(status, out.getvalue(), err.getvalue())


class OperatorCommandsTest(TestCase):
    """Guards against commands that hide problems, change more than requested or lose changes."""

    def setUp(self) -> None:
        self.directory = TemporaryDirectory()
        self.addCleanup(self.directory.cleanup)
        self.fleet = Fleet.from_config(SHAPE, Path(self.directory.name))
        self.addCleanup(self.fleet.stop)
        self.fleet.start()
        entry = self.fleet.pairs[0].peer_address
        variable = patch.dict(environ, {"COLTSFOOTTRACK_NODE": entry})
        variable.start()
        self.addCleanup(variable.stop)
        self.http = PoolManager(retries=False)

    def json(self, *words: str) -> dict:
        result = command(*words, "--output", "json")
        self.assertEqual(result.error, "")
        return loads(result.text)

    def test_commands_against_a_running_fleet(self) -> None:
        self.check_endpoints()
        self.check_explain()
        self.check_configuration()
        self.check_platform_down()
        self.check_drain_and_unreachable()

    def check_endpoints(self) -> None:
        address = f"http://127.0.0.1:{self.fleet.pairs[0].admin_port}"
        self.assertEqual(self.http.request("GET", f"{address}/ready").status, 200)
        self.assertEqual(self.http.request("GET", f"{address}/nothing").status, 404)
        metrics = self.http.request("GET", f"{address}/metrics").data.decode()
        self.assertIn("coltsfoottrack_configuration_generation 1", metrics)
        self.assertIn('coltsfoottrack_violations{invariant="at_most_once"} 0', metrics)
        # An alert on a metric that does not exist never fires.
        metrics_in_alerts = set(
            findall(r"coltsfoottrack_[a-z_]+", ALERTS.read_text(encoding="utf-8"))
        )
        served_metrics = set(findall(r"# TYPE (coltsfoottrack_[a-z_]+)", metrics))
        self.assertEqual(metrics_in_alerts - served_metrics, set())

    def check_explain(self) -> None:
        """Guards against an explanation that blames the entry service for a slow call to another.

        The deep service takes longer than the deadline allows.
        """
        pair = self.fleet.pairs_of("front")[0]
        reply = self.http.request(
            "POST",
            f"http://{pair.call_address}/v1/services/front/read",
            body=b"x",
            headers={"Request-Id": "slow-call-1", "Deadline-Ms": "350"},
        )
        # The embedded client reports its events to the node within 250 ms.
        deadline = monotonic() + 3.0
        explanation = self.json("explain", "slow-call-1")
        while monotonic() < deadline and "deep/read" not in explanation["verdict"]:
            sleep(0.25)
            explanation = self.json("explain", "slow-call-1")
        self.assertIn("deep/read", explanation["verdict"], reply.status)
        self.assertEqual((explanation["gaps"], explanation["unreachable"]), ([], []))
        clocks = [event["event_clock"] for event in explanation["events"]]
        self.assertEqual(clocks, sorted(clocks))
        shown = command("timeline", "--service", "deep", "--since", "1m")
        self.assertIn("slow-call-1", shown.text)
        self.assertEqual(command("timeline", "--kind", "odd").status, 2)

    def check_configuration(self) -> None:
        changed = command("config", "set", "queue_delay_target_ms=8", "--wait", "5")
        self.assertEqual(changed.status, 0, changed.error)
        self.assertIn("+ defaults.queue_delay_target_ms: 8", changed.text)
        self.assertIn("in force at every known node", changed.text)
        conflicting = command("config", "set", "queue_delay_target_ms=9", "--base", "1")
        self.assertEqual(conflicting.status, 3)
        self.assertIn("generation 2 was stored by operator", conflicting.error)
        self.assertIn("since then changed: + defaults.queue_delay_target_ms: 8", conflicting.error)
        exception = ("config", "set", "max_queue_length=9", "--exception", "x", "--service", "deep")
        refused = command(*exception)
        self.assertEqual(refused.status, 2)
        self.assertIn("needs a written reason", refused.error)
        self.assertEqual(command(*exception, "--reason", "trial", "--wait", "5").status, 0)
        self.assertEqual(command("config", "set", "max_queue_length=9", "--rason", "x").status, 2)
        shown = command("timeline", "--kind", "configuration")
        self.assertIn("in_force generation 2", shown.text)
        self.assertEqual(self.json("config", "status")["generation"], 3)
        self.check_replacement()
        entries = self.json("config", "history")["history"]
        self.assertEqual([entry["generation"] for entry in entries], [5, 4, 3, 2, 1])

    def check_replacement(self) -> None:
        """Guards against a file that undoes newer changes, and a corrupt object without repair."""
        file = Path(self.directory.name) / "fleet.yaml"
        file.write_text(command("config", "get").text, encoding="utf-8")
        replace = ("config", "set", "--file", str(file))
        without_base = command(*replace)
        self.assertEqual(without_base.status, 2)
        self.assertIn("generation 3 is the newest", without_base.error)
        self.assertEqual(command(*replace, "--base", "2").status, 3)
        file.write_text(
            file.read_text(encoding="utf-8").replace("target_ms: 8", "target_ms: 7"),
            encoding="utf-8",
        )
        self.assertEqual(command(*replace, "--base", "3", "--wait", "5").status, 0)
        objects = PlatformClient.from_config([self.fleet.platform_address])
        objects.put(CURRENT_PATH, b"damaged", objects.get(CURRENT_PATH).version)
        damaged = command("config", "set", "queue_delay_target_ms=8")
        self.assertEqual(damaged.status, 1)
        self.assertIn("restore it with config set --file", damaged.error)
        self.assertEqual(command(*replace, "--base", "3").status, 3)
        restored = command(*replace, "--base", "4", "--wait", "5")
        self.assertEqual((restored.status, restored.error), (0, ""))

    def check_platform_down(self) -> None:
        self.fleet.set_faults(down=True)
        platform = ("--platform", self.fleet.platform_address)
        shown = command("config", "get", *platform)
        self.assertIn("this answer comes from the nodes alone", shown.text)
        self.assertIn("generation 5", shown.text)
        self.assertIn("nodes alone", command("status", *platform).text)
        failed = command("config", "set", "queue_delay_target_ms=10")
        self.assertEqual((failed.status, len(failed.error.splitlines())), (4, 1))
        self.assertIn("nothing was changed", failed.error)
        self.fleet.set_faults()

    def check_drain_and_unreachable(self) -> None:
        draining = self.fleet.pairs_of("front")[1]
        name = f"front/{draining.name}"
        self.assertEqual(command("drain", name, "--wait", "3").status, 0)
        self.assertIn(f"NOT READY {name}: the node is draining", command("status").text)
        admin = f"http://127.0.0.1:{draining.admin_port}/ready"
        self.assertEqual(self.http.request("GET", admin).status, 503)
        deep = self.fleet.pairs_of("deep")[0]
        self.fleet.kill(deep.node_process)
        document = self.json("status")
        self.assertEqual([node["name"] for node in document["unreachable"]], [f"deep/{deep.name}"])
        self.assertEqual(document["violations"], [])
        unconfirmed = command("config", "set", "queue_delay_target_ms=9", "--wait", "1")
        self.assertEqual(unconfirmed.status, 5, unconfirmed.error)
        self.assertIn(f"not confirmed after 1 s by deep/{deep.name}", unconfirmed.error)
        self.assertIn("generation 6", unconfirmed.text)


class BadSettingsTest(TestCase):
    """Guards against a node that listens before it has validated its settings."""

    def test_invalid_settings_exit_with_status_2_before_listening(self) -> None:
        ports = free_ports(3)
        text = GOOD_SETTINGS.format(*ports).replace(
            "name: a", "name: a\nlimits: {max_body_bytes: 0}"
        )
        with TemporaryDirectory() as directory:
            file = Path(directory) / "node.yaml"
            file.write_text(text, encoding="utf-8")
            arguments = [sys.executable, "-m", "coltsfoottrack", "node", "--settings", str(file)]
            result = run_process(arguments, capture_output=True, text=True, timeout=20)
        self.assertEqual((result.returncode, len(result.stderr.splitlines())), (2, 1))
        for part in (f"{file}:3:", "limits.max_body_bytes", "accepted: a whole number from 1 to"):
            self.assertIn(part, result.stderr)
        for port in ports:
            with socket(AF_INET, SOCK_STREAM) as probe:
                self.assertNotEqual(probe.connect_ex(("127.0.0.1", port)), 0)

"""Adapter to the users' platform."""

from ast import Import, ImportFrom, parse, walk
from pathlib import Path
from tomllib import loads
from unittest import TestCase
from unittest.mock import patch

from orjson import dumps

from coltsfoottrack._internal.mesh.exceptions import MeshError, ReportError
from coltsfoottrack._internal.mesh.model import BackendLeave
from coltsfoottrack.platform.configuration import decode_configuration
from coltsfoottrack.platform.names import ADVERTISED_ADDRESS_VARIABLE, METRICS_PATH
from coltsfoottrack.platform.reports import read_report
from coltsfoottrack.platform.settings import from_fields, parse_fields

SOURCE = Path(__file__).resolve().parents[2] / "src" / "coltsfoottrack"
SETTINGS = """
node=sidecar-1
zone=east
service=abc
ip=10.0.0.1
listen.inbound=10.0.0.1:1
listen.outbound=10.0.0.1:2
listen.ready=10.0.0.1:3
listen.control=10.0.0.1:4
internalPorts=7620,7635
appAddr=10.0.0.1:5
platform.address=10.0.0.9:6
bounds=graceS=5,retryBudgetRatio=0.1,budgetWindowS=8,retryBudgetSlack=12
something.new=1
"""
# Names that only the adapter may contain.
PLATFORM_NAMES = (
    "Request-Id",
    "Response-Seal",
    "Not-Executed",
    "Server-Load",
    "weightedServices",
    "pathPrefix",
    "coldMs",
    "currentRev",
    "/api/objects",
    "deregister",
    "appAddr",
)


class SettingsTest(TestCase):
    """The platform's settings file."""

    def test_seeds_are_reached_at_their_link_ports(self):
        """Guards against a node that contacts the report port of a seed."""
        settings = from_fields(parse_fields(f"{SETTINGS}seeds=10.0.0.2:4,10.0.0.3:4\n"))
        self.assertEqual(settings.seed_addresses, ("10.0.0.2:1", "10.0.0.3:1"))
        self.assertEqual(from_fields(parse_fields(f"{SETTINGS}seeds=\n")).seed_addresses, ())

    def test_only_a_first_start_waits_for_the_records_of_others(self):
        self.assertTrue(from_fields(parse_fields(f"{SETTINGS}bootstrap=true\n")).first_start)
        self.assertFalse(from_fields(parse_fields(f"{SETTINGS}bootstrap=false\n")).first_start)

    def test_fields_are_read_by_their_platform_names(self):
        """Guards against a field that is read by a wrong name."""
        settings = from_fields(parse_fields(SETTINGS))
        self.assertEqual(settings.caller_address, "10.0.0.1:2")
        self.assertEqual(settings.link_address, "10.0.0.1:1")
        self.assertEqual(settings.grace_seconds, 5.0)
        self.assertEqual(settings.metrics_address, "")
        self.assertEqual(settings.retries, (0.1, 12.0, 8.0))
        self.assertEqual(settings.quota, (5.0, 0.1, 20.0))

    def test_bounds_of_quotas_are_read(self):
        """Guards against a bound that the platform has changed and the mesh exceeds."""
        bounds = "bounds=quotaWindowS=4,quotaOver=0.2,quotaSlack=7"
        settings = from_fields(parse_fields(f"{SETTINGS}{bounds}\n"))
        self.assertEqual(settings.quota, (4.0, 0.2, 7.0))

    def test_metrics_port_matches_the_deploy_file(self):
        """Guards against metrics at another port or path than the platform scrapes."""
        deploy = loads((SOURCE.parents[1] / "deploy" / "system.toml").read_text(encoding="utf-8"))
        role = deploy["roles"]["node"]
        with patch.dict("os.environ", role["env"]):
            settings = from_fields(parse_fields(SETTINGS))
        port, _, path = role["metrics"].partition("/")
        self.assertEqual(settings.metrics_address, f"10.0.0.1:{port}")
        self.assertEqual(f"/{path}", METRICS_PATH)

    def test_advertised_address_defaults_to_the_link_address(self):
        """Guards against advertising an address that other nodes cannot reach."""
        self.assertEqual(from_fields(parse_fields(SETTINGS)).advertised_address, "10.0.0.1:1")
        with patch.dict("os.environ", {ADVERTISED_ADDRESS_VARIABLE: "192.0.2.7:9"}):
            settings = from_fields(parse_fields(SETTINGS))
        self.assertEqual(settings.advertised_address, "192.0.2.7:9")
        self.assertEqual(settings.link_address, "10.0.0.1:1")

    def test_errors_name_missing_fields_and_invalid_values(self):
        """Guards against an error that names neither the missing field nor the invalid value."""
        with self.assertRaisesRegex(ValueError, "zone"):
            from_fields(parse_fields(SETTINGS.replace("zone=", "zune=")))
        with self.assertRaisesRegex(ValueError, "many"):
            from_fields(parse_fields(SETTINGS.replace("graceS=5", "graceS=many")))


class ConfigurationTest(TestCase):
    """The operator's configuration."""

    def test_ranks_are_consecutive(self):
        """Guards against ranks without requests where priorities have gaps."""
        route = {"host": "H.example", "pathPrefix": "/", "timeoutMs": 10, "service": "s"}
        spec = {
            "version": 3,
            "routes": {
                "low": {**route, "type": "safe", "priority": 7},
                "high": {**route, "type": "unsafe", "priority": 0},
            },
        }
        ranks = {}
        for entry in decode_configuration(dumps(spec)).routes:
            ranks[entry.name] = (entry.rank, entry.idempotent, entry.host)
        self.assertEqual(ranks, {"low": (1, True, "h.example"), "high": (0, False, "h.example")})

    def test_malformed_configuration_raises_a_mesh_error(self):
        """Guards against an uncaught error that ends the task watching the configuration."""
        for content in (b"", b"[]", b'{"version": 1, "routes": {"r": 5}}', b'{"routes": {}}'):
            with self.subTest(content=content), self.assertRaises(MeshError):
                decode_configuration(content)


class ReportTest(TestCase):
    """Calls of backend servers."""

    def test_unknown_calls_are_refused(self):
        """Guards against a call that is misread as a deregistration."""
        for method, path in (
            ("GET", "/api/instances/i/heartbeat"),
            ("POST", "/api/instances/i/other"),
            ("POST", "/api/instances//deregister"),
            ("POST", "/api/other"),
        ):
            with self.subTest(path=path), self.assertRaises(ReportError):
                read_report(method, path, b"{}")
        leave = read_report("POST", "/api/instances/i-1/deregister", b"")
        self.assertEqual(leave, BackendLeave("i-1", None))

    def test_deregistration_may_tell_the_start_of_its_process(self):
        """Guards against a late deregistration that stops the next process of a server."""
        path = "/api/instances/i-1/deregister"
        self.assertEqual(read_report("POST", path, b'{"born":7}'), BackendLeave("i-1", 7))
        for body in (b"{", b"[]", b"{}"):
            self.assertEqual(read_report("POST", path, body), BackendLeave("i-1", None))
        with self.assertRaises(ReportError):
            read_report("POST", path, b'{"born":"7"}')


class BoundaryTest(TestCase):
    """Only the adapter depends on the platform."""

    def test_only_the_adapter_imports_its_modules(self):
        """Guards against code that works on this platform only."""
        for path in SOURCE.rglob("*.py"):
            if path.parent == SOURCE / "platform":
                continue
            for node in walk(parse(path.read_text(encoding="utf-8"))):
                names = []
                if isinstance(node, Import):
                    names = [alias.name for alias in node.names]
                elif isinstance(node, ImportFrom):
                    names = [node.module or ""]
                for name in names:
                    self.assertFalse(name.startswith("coltsfoottrack.platform"), path)

    def test_mesh_does_not_contain_platform_names(self):
        """Guards against the platform's wire names in the mesh package."""
        for path in (SOURCE / "_internal" / "mesh").rglob("*.py"):
            text = path.read_text(encoding="utf-8")
            for name in PLATFORM_NAMES:
                self.assertNotIn(name, text, path)

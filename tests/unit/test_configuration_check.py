"""The check of a routing configuration finds what a node would serve wrongly or never use."""

from contextlib import redirect_stdout
from io import StringIO
from json import dumps, loads
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any
from unittest import TestCase

from coltsfoottrack._internal.cli.exceptions import EXIT_BAD_INPUT, EXIT_FAILED, CommandError
from coltsfoottrack._internal.mesh.configuration_check import differences, find_problems
from coltsfoottrack.platform.check import check
from coltsfoottrack.platform.configuration import decode_configuration
from tests.standins.mesh import configuration

CUSTOMER = {"apiKeys": ["secret-key"], "priority": 1, "ratePerS": 10, "burst": 10}


def stored(version: int, customers: dict[str, Any] | None = None, **routes: Any) -> dict[str, Any]:
    """Returns a stored configuration with all services of its routes declared."""
    spec = configuration(version, **routes)
    spec["services"] = {"stock": {}}
    if customers is not None:
        spec["tenants"] = customers
    return spec


def problems(spec: dict[str, Any]) -> list[str]:
    """Returns the findings about a stored configuration as lines."""
    found = find_problems(decode_configuration(dumps(spec).encode()))
    return [f"{finding.severity} {finding.entry}: {finding.problem}" for finding in found]


READ = {"pathPrefix": "/read/", "service": "stock"}


class FindingsTest(TestCase):
    """Each kind of problem is found, and a sound configuration has none."""

    def test_sound_configuration_has_no_findings(self) -> None:
        self.assertEqual(problems(stored(1, {"shop": CUSTOMER}, read=READ)), [])

    def test_route_hidden_by_another(self) -> None:
        found = problems(stored(1, first=READ, second=READ))
        self.assertEqual(len(found), 1)
        self.assertIn("error route first: can never match", found[0])

    def test_target_above_timeout(self) -> None:
        found = problems(stored(1, read={**READ, "targetLatencyMs": 9000}))
        self.assertIn("warning route read: target latency of 9000 ms exceeds", found[0])

    def test_services_undeclared_and_unused(self) -> None:
        found = problems(stored(1, read={**READ, "service": "other"}))
        self.assertEqual(
            found,
            [
                "error route read: service other is not declared",
                "warning service stock: no route uses it",
            ],
        )

    def test_table_of_customers_that_admits_nobody(self) -> None:
        """Guards against a version after which every request is answered 401."""
        found = problems(stored(1, {}, read=READ))
        self.assertEqual(found, ["warning customers: none is declared, so no key is valid"])

    def test_customers_without_effect(self) -> None:
        customers = {
            "keyless": {**CUSTOMER, "apiKeys": []},
            "stuck": {**CUSTOMER, "apiKeys": ["k"], "burst": 0.5},
        }
        found = problems(stored(1, customers, read=READ))
        self.assertIn("warning customer keyless: can never match: it has no key", found)
        self.assertIn("warning customer stuck: burst of 0.5 counts as one request", found)


class DifferencesTest(TestCase):
    """What differs is named, and no key is shown."""

    def test_changed_key_is_shown_as_a_digest_only(self) -> None:
        before = decode_configuration(dumps(stored(1, {"shop": CUSTOMER}, read=READ)).encode())
        changed = {**CUSTOMER, "apiKeys": ["another-key"], "ratePerS": 5}
        after = decode_configuration(dumps(stored(2, {"shop": changed}, read=READ)).encode())
        lines = [change.line() for change in differences(before, after)]
        self.assertEqual(len(lines), 2)
        self.assertIn("~ customer shop.rate_per_second: 10 -> 5", lines)
        self.assertNotIn("key-", "".join(lines).replace("keys", ""))
        self.assertNotIn("another-key", "".join(lines))


class CommandTest(TestCase):
    """The exit status tells errors from warnings."""

    def setUp(self) -> None:
        directory = TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)

    def run_check(self, spec: dict[str, Any], **options: Any) -> tuple[int, str]:
        """Returns exit status and output of the command."""
        file = self.directory / "new.json"
        file.write_text(dumps(spec))
        output = StringIO()
        with redirect_stdout(output):
            try:
                check(str(file), **options)
            except SystemExit as end:
                return int(end.code), output.getvalue()
        return 0, output.getvalue()

    def test_exit_statuses(self) -> None:
        suspicious = stored(1, read={**READ, "targetLatencyMs": 9000})
        self.assertEqual(self.run_check(stored(1, read=READ))[0], 0)
        self.assertEqual(self.run_check(suspicious)[0], 0)
        self.assertEqual(self.run_check(suspicious, strict="true")[0], EXIT_FAILED)
        self.assertEqual(self.run_check(stored(1, a=READ, b=READ))[0], EXIT_BAD_INPUT)

    def test_version_must_be_newer_than_the_one_in_force(self) -> None:
        present = self.directory / "present.json"
        present.write_text(dumps(stored(3, read=READ)))
        status, output = self.run_check(
            stored(3, read={**READ, "timeoutMs": 2000}), in_force=str(present), output="json"
        )
        self.assertEqual(status, EXIT_BAD_INPUT)
        document = loads(output)
        self.assertEqual(document["findings"][0]["entry"], "version")
        self.assertEqual(document["changes"][0]["entry"], "route read.timeout_ms")

    def test_unreadable_file_is_bad_input(self) -> None:
        with self.assertRaises(CommandError) as caught:
            check(str(self.directory / "missing.json"))
        self.assertEqual(caught.exception.exit_status, EXIT_BAD_INPUT)

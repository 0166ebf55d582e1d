"""Loading of settings files; invalid ones must be refused before a daemon listens."""

from unittest import TestCase

from hypothesis import given
from hypothesis.strategies import text

from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import NodeSettings
from coltsfoottrack._internal.settings.exceptions import SettingsError
from coltsfoottrack._internal.settings.loader import load_text

GOOD = """cluster: demo
name: east-0
service: stores
failure_domain: east
region: one
address: 127.0.0.1
call_port: 7001
peer_port: 7002
admin_port: 7003
platform_addresses: ["127.0.0.1:7000"]
"""


class LoadTextTest(TestCase):
    """Guards against settings that a daemon would misread or accept silently."""

    def problem(self, content: str) -> SettingsError:
        with self.assertRaises(SettingsError) as caught:
            load_text(content, NodeSettings, "node.yaml")
        return caught.exception

    def test_good_settings_load(self) -> None:
        settings = load_text(GOOD, NodeSettings, "node.yaml")
        self.assertEqual(settings.call_port, 7001)
        self.assertEqual(list(settings.platform_addresses), ["127.0.0.1:7000"])

    def test_unknown_field_names_line_and_field(self) -> None:
        error = self.problem(GOOD + "limit: {}\n")
        self.assertEqual((error.line, error.field), (11, "limit"))
        self.assertIn("accepted: address", error.problem)

    def test_wrong_type_is_refused(self) -> None:
        error = self.problem(GOOD.replace("7001", "seven"))
        self.assertEqual((error.line, error.field), (7, "call_port"))

    def test_number_out_of_range_is_refused(self) -> None:
        error = self.problem(GOOD.replace("7001", "70000"))
        self.assertIn("from 1 to 65535", error.problem)
        error = self.problem(GOOD + "limits:\n  max_body_bytes: -1\n")
        self.assertEqual((error.line, error.field), (12, "limits.max_body_bytes"))

    def test_missing_address_is_refused(self) -> None:
        error = self.problem(GOOD.replace("address: 127.0.0.1\n", "", 1))
        self.assertEqual(error.field, "address")

    def test_broken_yaml_is_refused(self) -> None:
        self.assertIn("not valid YAML", self.problem("cluster: [").problem)
        self.assertIn("empty", self.problem("").problem)

    def test_field_given_twice_is_refused(self) -> None:
        self.assertIn("twice", self.problem(GOOD + "name: other\n").problem)

    @given(text(max_size=200))
    def test_any_text_loads_or_is_refused(self, content: str) -> None:
        try:
            load_text(content, NodeSettings, "node.yaml")
        except SettingsError:
            pass

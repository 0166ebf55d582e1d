"""Property tests: parsers accept any input or raise an error of their own layer."""

import sys
from string import printable
from unittest import TestCase

from hypothesis import given, settings
from hypothesis.strategies import binary, dictionaries, integers, one_of, sampled_from, text

from coltsfoottrack._internal.calls.context import CallGrant, read_answer, read_context
from coltsfoottrack._internal.calls.exceptions import BadRequestError, InvalidKeyError
from coltsfoottrack._internal.calls.identifiers import IdempotencyKey
from coltsfoottrack._internal.cli.configuration_edit import EditRequest, apply_edit
from coltsfoottrack._internal.cli.exceptions import CommandError
from coltsfoottrack._internal.cli.fleet_client import split_addresses
from coltsfoottrack._internal.cli.output import parse_time
from coltsfoottrack._internal.configuration.codec import decode_record
from coltsfoottrack._internal.configuration.exceptions import (
    InvalidConfigurationError,
    UnreadableConfigurationError,
)
from coltsfoottrack._internal.configuration.validation import validate
from coltsfoottrack._internal.events.clock import HybridClock
from coltsfoottrack._internal.events.ring import EventRing
from coltsfoottrack._internal.membership.exceptions import MembershipError
from coltsfoottrack._internal.membership.messages import DatagramCodec
from coltsfoottrack._internal.node.call_server import split_path
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import (
    Event,
    FleetConfiguration,
    NodeSettings,
    OverloadPolicy,
)
from coltsfoottrack._internal.settings.exceptions import SettingsError
from coltsfoottrack._internal.settings.loader import load_text

EXAMPLES = 300
NAMES = (
    "Request-Id",
    "Call-Id",
    "Idempotency-Key",
    "Priority",
    "Deadline-Ms",
    "Attempt-Budget",
    "Suspected-Crashes",
    "Hop-Depth",
    "Event-Clock",
    "Cluster",
    "Outcome",
    "Reason",
    "Retry-After-Ms",
    "Attempts-Left",
    "Admission-Level",
    "Path-Level",
)
VALUES = one_of(
    text(max_size=40),
    integers(-(10**25), 10**25).map(str),
    sampled_from(("critical", "done", "refused", "overload", "yes", "\u0663", "1e9", "nan", "")),
)
HEADERS = dictionaries(sampled_from(NAMES), VALUES, max_size=8)
GRANT = CallGrant(1, True, 100, 1000, 3)
FIELDS = sampled_from([field.name for field in OverloadPolicy.DESCRIPTOR.fields])
RECORD_LIKE = one_of(
    binary(max_size=200),
    text(alphabet='{}[]":,0123456789abcdefgnorstu_-.', max_size=200).map(str.encode),
    sampled_from(
        (
            b'{"generation": -1}',
            b'{"generation": 1e400}',
            b'{"configuration": []}',
            b'{"configuration": {"defaults": {"retry_ratio": "NaN"}}}',
            b"[" * 5000,
            b'{"configuration":' * 2000,
        )
    ),
)
counts = {"inputs": 0}


def count_input() -> None:
    counts["inputs"] += 1


def tearDownModule() -> None:
    print(f"parsers: {counts['inputs']} inputs tried", file=sys.__stderr__)


class ParserTest(TestCase):
    """Guards against input that raises an error which no caller of the parser handles."""

    @settings(max_examples=EXAMPLES)
    @given(text(max_size=150), text(max_size=150), HEADERS)
    def test_request_headers(self, service: str, operation: str, headers: dict[str, str]) -> None:
        count_input()
        try:
            context = read_context(service, operation, headers, GRANT)
        except BadRequestError:
            return
        self.assertLessEqual(context.priority, GRANT.priority)
        self.assertLessEqual(context.deadline.remaining_ms(), GRANT.max_deadline_ms)
        self.assertLessEqual(context.budget.retries, GRANT.attempt_budget)

    @settings(max_examples=EXAMPLES)
    @given(HEADERS)
    def test_valid_names_with_any_headers(self, headers: dict[str, str]) -> None:
        count_input()
        try:
            context = read_context("stores", "lookup", headers, GRANT)
        except BadRequestError:
            return
        self.assertLessEqual(context.priority, GRANT.priority)
        self.assertTrue(0 <= context.budget.retries <= GRANT.attempt_budget)

    @settings(max_examples=EXAMPLES)
    @given(integers(100, 599), HEADERS, binary(max_size=50))
    def test_response_headers(self, status: int, headers: dict[str, str], body: bytes) -> None:
        count_input()
        try:
            read_answer(status, headers, body)
        except BadRequestError:
            pass

    @settings(max_examples=EXAMPLES)
    @given(one_of(text(max_size=500), text(alphabet=printable, max_size=60)))
    def test_idempotency_keys(self, content: str) -> None:
        count_input()
        try:
            key = IdempotencyKey.parse(content)
        except InvalidKeyError:
            return
        self.assertEqual(key.encode(), content)

    @settings(max_examples=EXAMPLES)
    @given(sampled_from(("GET", "POST", "PUT")), text(max_size=100))
    def test_paths(self, method: str, rest: str) -> None:
        for path in (rest, f"/v1/services/{rest}"):
            count_input()
            try:
                service, operation = split_path(method, path)
            except BadRequestError:
                continue
            self.assertEqual(path, f"/v1/services/{service}/{operation}")

    @settings(max_examples=EXAMPLES)
    @given(text(alphabet="abcdeklmnoprstu_:[]{}&*!'\"|>-0123456789.\n ", max_size=200))
    def test_settings_files(self, content: str) -> None:
        for message_type in (NodeSettings, FleetConfiguration):
            count_input()
            try:
                load_text(content, message_type, "file.yaml")
            except SettingsError:
                pass

    @settings(max_examples=EXAMPLES)
    @given(RECORD_LIKE)
    def test_configuration_records(self, content: bytes) -> None:
        count_input()
        try:
            validate(decode_record(content).configuration)
        except (UnreadableConfigurationError, InvalidConfigurationError):
            pass

    @settings(max_examples=EXAMPLES)
    @given(binary(max_size=1500))
    def test_datagrams(self, content: bytes) -> None:
        count_input()
        codec = DatagramCodec("demo", "stores/a", HybridClock(), lambda: (1, "c"))
        try:
            codec.decode(content)
        except MembershipError:
            pass

    @settings(max_examples=EXAMPLES)
    @given(FIELDS, text(max_size=30), text(max_size=30))
    def test_configuration_edits(self, field: str, value: str, other: str) -> None:
        for assignment in (f"{field}={value}", other):
            count_input()
            try:
                apply_edit(FleetConfiguration(), EditRequest(assignments=(assignment,)))
            except CommandError:
                pass

    @settings(max_examples=EXAMPLES)
    @given(one_of(text(max_size=40), text(alphabet="0123456789smhd-:TZ+.,", max_size=30)))
    def test_command_line_values(self, content: str) -> None:
        for parse in (parse_time, split_addresses):
            count_input()
            try:
                parse(content, "--flag")
            except CommandError:
                pass

    @settings(max_examples=EXAMPLES)
    @given(binary(max_size=300))
    def test_reported_events(self, content: bytes) -> None:
        count_input()
        event = Event()
        try:
            event.ParseFromString(content)
        except Exception:
            return
        EventRing("a", HybridClock()).add_reported(event)

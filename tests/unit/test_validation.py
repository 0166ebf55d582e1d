"""Validation of configurations, and error responses of the platform."""

from datetime import UTC, datetime
from unittest import TestCase
from unittest.mock import Mock

from coltsfoottrack._internal.configuration.validation import find_problems
from coltsfoottrack._internal.object_store.client import PlatformClient
from coltsfoottrack._internal.object_store.exceptions import (
    PlatformUnavailableError,
    WriteUncertainError,
)
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import (
    FleetConfiguration,
    OperationPolicy,
    OverloadPolicy,
    PolicyException,
)

NOW = datetime(2026, 12, 4, tzinfo=UTC)


class ValidationTest(TestCase):
    """Each rule, and the field that its message names."""

    def problems(self, exception: PolicyException) -> str:
        configuration = FleetConfiguration(
            operations=[OperationPolicy(service="stores", operation="lookup")]
        )
        if not exception.policy.ListFields():
            exception.policy.attempt_budget = 2
        configuration.exceptions.append(exception)
        return "; ".join(find_problems(configuration, NOW))

    def test_valid_exception_has_no_problems(self) -> None:
        """Guards against rules that refuse a valid exception."""
        exception = PolicyException(
            name="e", service="stores", operation="lookup", reason="why",
            expires="2026-12-31T18:00:00Z",
        )  # fmt: skip
        self.assertEqual("", self.problems(exception))

    def test_problems_name_field_and_accepted_values(self) -> None:
        """Guards against exceptions without a reason, valid expiry or known scope."""
        good = {"name": "e", "service": "stores", "reason": "why"}
        cases = {
            "reason: missing": {"reason": " "},
            "name: missing": {"name": ""},
            "has passed": {"expires": "2026-01-01T00:00:00Z"},
            "accepted: a time such as": {"expires": "tomorrow"},
            "has no offset": {"expires": "2026-12-31T18:00:00"},
            "over ten years": {"expires": "2100-01-01T00:00:00Z"},
            "has no operation": {"service": "elsewhere"},
            "is not an operation": {"operation": "unheard"},
            "out of range": {"policy": OverloadPolicy(minimum_share=float("nan"))},
            "above max_deadline_ms": {"policy": OverloadPolicy(default_deadline_ms=6000)},
        }
        for expected, change in cases.items():
            with self.subTest(expected):
                self.assertIn(expected, self.problems(PolicyException(**good | change)))


class PlatformResponseTest(TestCase):
    """Responses of the platform or of a gateway in front of it."""

    def client(self, status: int, data: bytes = b"", version: str = "1") -> PlatformClient:
        client = PlatformClient(["127.0.0.1:9"])
        response = Mock(status=status, data=data, headers={"ETag": version})
        client.pool = Mock(request=Mock(return_value=response))
        return client

    def test_gateway_error_leaves_a_write_uncertain(self) -> None:
        """Guards against an error that reports no effect for a write that may have taken effect."""
        for status in (500, 502, 504):
            with self.assertRaises(WriteUncertainError):
                self.client(status).put("a", b"", 1)
        with self.assertRaises(PlatformUnavailableError):
            self.client(503).put("a", b"", 1)

    def test_malformed_responses_raise_platform_errors(self) -> None:
        """Guards against a response whose error is not caught and ends a task, and so the node."""
        for data in (b"", b"[]", b"{}", b'{"objects": [1], "revision": 1}', b"[" * 100_000):
            with self.subTest(data[:20]), self.assertRaises(PlatformUnavailableError):
                self.client(200, data).list("a")
        with self.assertRaises(PlatformUnavailableError):
            self.client(200, b"", "x").get("a")
        with self.assertRaises(WriteUncertainError):
            self.client(200, b"", "x").put("a", b"", 1)

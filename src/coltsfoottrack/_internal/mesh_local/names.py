"""Header names and paths of a mesh without a platform."""

from coltsfoottrack._internal.mesh.model import HeaderNames

# Lower case, because header names are compared case-insensitively.
HEADERS = HeaderNames(
    request_id=b"call-id",
    deadline_ms=b"time-left-ms",
    seal=b"backend-answer",
    expected_backend=b"backend",
    not_run=b"not-run",
    retry_after=b"retry-after",
    caller_service=b"calling-service",
    rate_limit=b"rate-limit",
    leaving=b"leaving",
    authorization=b"authorization",
    customer=b"customer",
)
READY_PATH = "/ready"
METRICS_PATH = "/metrics"
BACKENDS_PATH = "/backends/"
REPORT = "report"
LEAVE = "leave"


def parent_identifier(request_id: str) -> str:
    """Returns the identifier of a call's parent request, or an empty string.

    A backend server builds the identifier of a call from that of its parent request, a dot and a
    suffix of its own.
    """
    return request_id.rpartition(".")[0]

"""Names of headers and paths of a mesh without a platform."""

from coltsfoottrack._internal.mesh.model import HeaderNames

# Lower case, as headers are compared without regard to case.
HEADERS = HeaderNames(
    request_id=b"call-id",
    deadline_ms=b"time-left-ms",
    seal=b"backend-answer",
    expected_backend=b"backend",
    not_run=b"not-run",
    retry_after=b"retry-after",
    caller_service=b"calling-service",
)
READY_PATH = "/ready"
METRICS_PATH = "/metrics"
BACKENDS_PATH = "/backends/"
REPORT = "report"
LEAVE = "leave"


def parent_identifier(request_id: str) -> str:
    """Returns the identifier of the request that a call is made for, or an empty string.

    A backend server names its calls by the request that it runs, a dot and a part of their own.
    """
    return request_id.rpartition(".")[0]

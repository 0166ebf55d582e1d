"""Names of the platform's headers, paths and kinds."""

from coltsfoottrack._internal.mesh.model import HeaderNames

# Lower case, as headers are compared without regard to case.
HEADERS = HeaderNames(
    request_id=b"request-id",
    deadline_ms=b"deadline-ms",
    seal=b"response-seal",
    expected_backend=b"expected-instance",
    not_run=b"not-executed",
    retry_after=b"retry-after",
    caller_service=b"caller-service",
)
READY_PATH = "/api/ready"
METRICS_PATH = "/metrics"
OBJECTS_PATH = "/api/objects"
INSTANCES_PATH = "/api/instances/"
HEARTBEAT = "heartbeat"
DEREGISTER = "deregister"
# Kind and name of the object that holds the configuration.
CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
# Kind of the product's own member records.
MEMBER_KIND = "coltsfoottrack-members"
SAFE = "safe"
READY = "ready"
DRAINING = "draining"
SETTINGS_VARIABLE = "COLTSFOOTTRACK_CONFIG"
# Port of the metrics, as the deploy file names it for the role; the settings do not hold it.
METRICS_PORT_VARIABLE = "COLTSFOOTTRACK_METRICS_PORT"
# Address at which other nodes reach the link port, if it is not the one that is opened.
ADVERTISED_ADDRESS_VARIABLE = "COLTSFOOTTRACK_ADVERTISED_ADDRESS"


def parent_identifier(request_id: str) -> str:
    """Returns the identifier of the request that a call is made for, or an empty string.

    Backend servers form the identifier of a call from that of the request, a dot and a part of
    their own. The platform's pages do not promise this, so the node checks that such a request
    runs.
    """
    return request_id.rpartition(".")[0]

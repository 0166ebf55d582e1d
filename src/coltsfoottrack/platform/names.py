"""Names of the platform's headers, paths and object kinds."""

from coltsfoottrack._internal.mesh.model import HeaderNames

# Lower case, because header names are compared case-insensitively.
HEADERS = HeaderNames(
    request_id=b"request-id",
    deadline_ms=b"deadline-ms",
    seal=b"response-seal",
    expected_backend=b"expected-instance",
    not_run=b"not-executed",
    retry_after=b"retry-after",
    caller_service=b"caller-service",
    rate_limit=b"server-limit",
    leaving=b"server-leaving",
    authorization=b"authorization",
    customer=b"tenant",
    load=b"server-load",
)
# Header of the store; rises each time that it comes back from an older copy.
STORE_ERA = "store-era"
READY_PATH = "/api/ready"
METRICS_PATH = "/metrics"
OBJECTS_PATH = "/api/objects"
INSTANCES_PATH = "/api/instances/"
HEARTBEAT = "heartbeat"
DEREGISTER = "deregister"
# Kind and name of the object that holds the configuration.
CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
# Kind of the objects that hold the mesh's member records.
MEMBER_KIND = "coltsfoottrack-members"
SAFE = "safe"
READY = "ready"
DRAINING = "draining"
SETTINGS_VARIABLE = "COLTSFOOTTRACK_CONFIG"
# Port of the metrics endpoint. The deploy file sets it; the settings file has no field for it.
METRICS_PORT_VARIABLE = "COLTSFOOTTRACK_METRICS_PORT"
# Address at which other nodes reach the link port, if it differs from the listening address.
ADVERTISED_ADDRESS_VARIABLE = "COLTSFOOTTRACK_ADVERTISED_ADDRESS"


def parent_identifier(request_id: str) -> str:
    """Returns the identifier of a call's parent request, or an empty string.

    Backend servers build the identifier of a call from that of its parent request, a dot and a
    suffix of their own. The platform does not guarantee this format, so the node also checks that
    such a request is running.
    """
    return request_id.rpartition(".")[0]

"""Plain types of the routed path."""

from typing import NamedTuple


class WeightedService(NamedTuple):
    """One part of a route that several services share."""

    service: str
    weight: int


class Route(NamedTuple):
    """Where requests of a host and path prefix go, and how they are treated."""

    name: str
    host: str
    prefix: str
    services: tuple[WeightedService, ...]
    idempotent: bool
    timeout_ms: int
    target_latency_ms: int
    max_attempts: int
    priority: int
    # Position of the priority among those of all routes, 0 is the most important.
    rank: int


class CallerLimits(NamedTuple):
    """Bounds on what a caller may send and how long it may take."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15000


class RoutingConfiguration(NamedTuple):
    """One version of the routes and limits in force."""

    version: int
    routes: tuple[Route, ...]
    limits: CallerLimits
    # As the store holds it, to be passed on to other nodes.
    content: bytes


class Member(NamedTuple):
    """A node and the backend server beside it, as known to other nodes."""

    node: str
    # Link port, IP:PORT.
    address: str
    failure_domain: str
    service: str
    backend: str = ""
    backend_started_ms: int = 0
    report_number: int = 0
    accepting: bool = False
    slots: int = 0
    epoch: int = 0
    serial: int = 0
    cold_ms: int = 0
    # The backend server has said that it leaves, or has left.
    left: bool = False

    def is_newer_than(self, other: "Member") -> bool:
        """Tells whether this record was made after another one of the same node."""
        return (self.epoch, self.serial) > (other.epoch, other.serial)


class BackendReport(NamedTuple):
    """A heartbeat of a backend server."""

    backend: str
    service: str
    address: str
    failure_domain: str
    slots: int
    draining: bool
    cold_ms: int
    # Grows with each report of one backend server process.
    number: int
    # Start of the backend server process, Unix time in milliseconds.
    started_ms: int


class HeaderNames(NamedTuple):
    """Names of the headers that the routed path reads or sets."""

    request_id: bytes
    deadline_ms: bytes
    # Proves that an answer is the backend server's.
    seal: bytes
    expected_backend: bytes
    # States that the backend server did not run the request.
    not_run: bytes
    retry_after: bytes
    caller_service: bytes


class RetryBounds(NamedTuple):
    """Bound on repeated sends to the backend servers of one service, over all nodes."""

    # Repeats for each first send.
    ratio: float
    # Repeats allowed beside the ratio in one window.
    slack: float
    window_seconds: float


class MeshSettings(NamedTuple):
    """Settings of a node of the mesh; addresses are IP:PORT."""

    node: str
    failure_domain: str
    service: str
    caller_address: str
    # Where the link port is opened.
    link_address: str
    # Where other nodes reach it.
    advertised_address: str
    ready_address: str
    report_address: str
    metrics_address: str
    backend_address: str
    store_address: str
    # Time from SIGTERM to SIGKILL.
    grace_seconds: float
    retries: RetryBounds
    memory_bytes: int

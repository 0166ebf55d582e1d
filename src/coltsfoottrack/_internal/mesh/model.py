"""Data types of the mesh."""

from typing import NamedTuple

from coltsfoottrack._internal.mesh.sockets import is_address

# Bounds on the numbers of reports and records. Beyond them, messages between nodes cannot carry the
# number, or JSON cannot carry it exactly.
MAX_TIME_MS = 2**53
MAX_COUNT = 2**53
MAX_SERIAL = 2**31
MAX_SLOTS = 100_000
MAX_COLD_MS = 3_600_000


class WeightedService(NamedTuple):
    """One of the services that share a route, and its weight."""

    service: str
    weight: int


class Route(NamedTuple):
    """Destination and policy of the requests for a host and path prefix."""

    name: str
    host: str
    prefix: str
    services: tuple[WeightedService, ...]
    idempotent: bool
    timeout_ms: int
    target_latency_ms: int
    max_attempts: int
    priority: int
    # Position of the priority among those of all routes; 0 is the most important.
    rank: int
    # Whether requests need no key although the configuration has customers.
    public: bool = False


class Customer(NamedTuple):
    """A tenant whose requests carry one of its keys."""

    name: str
    keys: tuple[bytes, ...] = ()
    # 0 is the most important, None if the configuration gives none.
    priority: int | None = None
    # 0.0 for no limit.
    rate_per_second: float = 0.0
    # Requests beyond the rate that may follow each other at once.
    burst: float = 0.0


class CallerLimits(NamedTuple):
    """Limits on the size of requests and on the time that a caller may take."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15000


class RoutingConfiguration(NamedTuple):
    """One version of the routes and limits."""

    version: int
    routes: tuple[Route, ...]
    limits: CallerLimits
    # The stored bytes, to be sent to other nodes.
    content: bytes
    # None if the configuration has no customers; requests then need no key.
    customers: tuple[Customer, ...] | None = None
    # Services that the configuration declares, None if it declares none by name.
    services: tuple[str, ...] | None = None


class Member(NamedTuple):
    """Member record of a node and its local backend server, as sent to other nodes."""

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
    # The backend server is leaving or has left.
    left: bool = False
    # Backend server that announced its leave while the node knew none of its processes, and when,
    # Unix time in milliseconds.
    undated_leave: str = ""
    undated_leave_ms: int = 0

    def is_newer_than(self, other: "Member") -> bool:
        """Returns whether this record is newer than another one of the same node."""
        return (self.epoch, self.serial) > (other.epoch, other.serial)

    def is_usable(self) -> bool:
        """Returns whether all numbers are in their range and the address can be connected to.

        A record from the store may come from another writer.
        """
        for number, greatest in (
            (self.backend_started_ms, MAX_TIME_MS),
            (self.report_number, MAX_COUNT),
            (self.slots, MAX_SLOTS),
            (self.epoch, MAX_TIME_MS),
            (self.serial, MAX_SERIAL),
            (self.cold_ms, MAX_COLD_MS),
            (self.undated_leave_ms, MAX_TIME_MS),
        ):
            if not 0 <= number <= greatest:
                return False
        return is_address(self.address)


class BackendReport(NamedTuple):
    """A heartbeat of a backend server; its numbers are within the bounds of Member."""

    backend: str
    service: str
    address: str
    failure_domain: str
    slots: int
    draining: bool
    cold_ms: int
    # Increases with each report of one backend server process.
    number: int
    # Start of the backend server process, Unix time in milliseconds.
    started_ms: int


class BackendLeave(NamedTuple):
    """The announcement of a backend server that it leaves, apart from its reports."""

    backend: str
    # Start of the process that leaves, Unix time in milliseconds; None if it is not told.
    started_ms: int | None = None


class HeaderNames(NamedTuple):
    """Names of the headers that the mesh reads or sets."""

    request_id: bytes
    deadline_ms: bytes
    # Proves that an answer comes from the backend server.
    seal: bytes
    expected_backend: bytes
    # States that the backend server did not run the request.
    not_run: bytes
    retry_after: bytes
    caller_service: bytes
    # Requests per second that the backend server takes from all nodes together.
    rate_limit: bytes
    # States that the backend server is about to leave.
    leaving: bytes
    # Carries the key of a customer.
    authorization: bytes
    # Tells the backend server the name of the customer.
    customer: bytes
    # Load of the backend server; empty if the platform has no such header.
    load: bytes = b""


class RetryBounds(NamedTuple):
    """Limit on retries to the backend servers of one service, over all nodes."""

    # Retries allowed per first send.
    ratio: float
    # Retries allowed in one window in addition to the ratio.
    slack: float
    window_seconds: float


class QuotaBounds(NamedTuple):
    """Bound on the tokens of a shared rate that all nodes together may use in any window.

    It is (rate x window + burst) x (1 + over) + slack.
    """

    window_seconds: float = 5.0
    # Permitted excess, as a part of what rate and burst allow.
    over: float = 0.1
    # Permitted excess in tokens.
    slack: float = 20.0


class MeshSettings(NamedTuple):
    """Settings of a mesh node; addresses are IP:PORT."""

    node: str
    failure_domain: str
    service: str
    caller_address: str
    # Address on which the link port listens.
    link_address: str
    # Address at which other nodes reach the link port.
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
    # Sockets that the node may have; 0 for what the system allows.
    max_sockets: int = 0
    # Link addresses of nodes that may be reachable; used while no other node is known.
    seed_addresses: tuple[str, ...] = ()
    # All nodes of the mesh start at about the same time, with nothing stored by earlier ones.
    first_start: bool = False
    quota: QuotaBounds = QuotaBounds()

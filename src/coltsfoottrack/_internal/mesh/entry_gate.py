"""Decides from this node's local view whether the entry admits a new request."""

from typing import NamedTuple

from coltsfoottrack._internal.mesh.fairness import FairAdmission
from coltsfoottrack._internal.mesh.levels import ReportedLevels
from coltsfoottrack._internal.mesh.model import Route

# Requests are accepted for this long after SIGTERM. Later ones are refused at once, since they
# might not finish within the grace period.
ACCEPT_WHILE_STOPPING_SECONDS = 2.6
# Retry-After for requests refused because of load, and for all others.
OVERLOAD_RETRY_AFTER_SECONDS = 0.6
RETRY_AFTER_SECONDS = 0.2
# Fraction of the memory that bodies of requests in flight may use.
MAX_BODY_MEMORY_FRACTION = 0.25


class Refusal(NamedTuple):
    """Why a new request is refused."""

    reason: str
    # Admission level of the route at that time, 0 if it was not read.
    level: float
    retry_after_seconds: float


class EntryGate:
    """Admits new requests within the limits of load and memory, until the node stops."""

    def __init__(self, memory_bytes: int) -> None:
        self.levels = ReportedLevels()
        self.admission = FairAdmission()
        # Total size of the bodies of requests in flight, and its limit.
        self.body_bytes_in_flight = 0
        self.body_bytes_limit = MAX_BODY_MEMORY_FRACTION * memory_bytes
        self.stopping_since: float | None = None

    def is_stopping(self) -> bool:
        """Returns whether the node is stopping."""
        return self.stopping_since is not None

    def check(
        self,
        route: Route,
        rank: int,
        customer: str,
        body_bytes: int,
        ranks: int,
        now: float,
    ) -> Refusal | None:
        """Returns why a new request is refused, None if it is admitted.

        ``rank`` is the rank of the request, ``customer`` the name of its customer, empty if it has
        none, and ``ranks`` the number of ranks in the configuration in force.
        """
        if (
            self.stopping_since is not None
            and now - self.stopping_since > ACCEPT_WHILE_STOPPING_SECONDS
        ):
            return Refusal("node_stopping", 0.0, RETRY_AFTER_SECONDS)
        level = self.levels.level(route.name, ranks, now)
        if not self.admission.admit(route.name, rank, level, customer, now):
            return Refusal("admission_level", level, OVERLOAD_RETRY_AFTER_SECONDS)
        if self.body_bytes_in_flight + body_bytes > self.body_bytes_limit:
            return Refusal("memory", level, RETRY_AFTER_SECONDS)
        return None

    def add_body(self, body_bytes: int) -> None:
        """Adds a body to those in flight."""
        self.body_bytes_in_flight += body_bytes

    def remove_body(self, body_bytes: int) -> None:
        """Removes a body from those in flight."""
        self.body_bytes_in_flight -= body_bytes

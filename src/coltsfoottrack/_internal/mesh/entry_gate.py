"""Decides whether a new request goes on at the entry, from what this node knows."""

from typing import NamedTuple

from coltsfoottrack._internal.mesh.levels import Admission, ReportedLevels
from coltsfoottrack._internal.mesh.model import Route

# After SIGTERM callers may still come for this long; later ones are refused at once, as their
# requests might not end within the grace time.
ACCEPT_WHILE_STOPPING_SECONDS = 2.6
# When callers that were refused for load are asked to come back.
OVERLOAD_RETRY_AFTER_SECONDS = 0.4
RETRY_AFTER_SECONDS = 0.2
# Part of the memory that bodies of requests in flight may take.
MAX_BODY_MEMORY_FRACTION = 0.25


class Refusal(NamedTuple):
    """Why a new request does not go on."""

    reason: str
    # Admission level of the route at that moment, 0 if it was not looked at.
    level: float
    retry_after_seconds: float


class EntryGate:
    """Lets new requests in as far as load, memory and the node's own end allow."""

    def __init__(self, memory_bytes: int) -> None:
        self.levels = ReportedLevels()
        self.admission = Admission()
        # Bodies of requests in flight, and their bound, in bytes.
        self.body_bytes_in_flight = 0
        self.body_bytes_limit = MAX_BODY_MEMORY_FRACTION * memory_bytes
        self.stopping_since: float | None = None

    def is_stopping(self) -> bool:
        """Tells whether the node is to end."""
        return self.stopping_since is not None

    def check(self, route: Route, body_bytes: int, ranks: int, now: float) -> Refusal | None:
        """Returns why a new request is refused, None if it goes on.

        ``ranks`` is the number of ranks in the configuration in force.
        """
        if (
            self.stopping_since is not None
            and now - self.stopping_since > ACCEPT_WHILE_STOPPING_SECONDS
        ):
            return Refusal("node_stopping", 0.0, RETRY_AFTER_SECONDS)
        level = self.levels.level(route.name, ranks, now)
        if not self.admission.admit(route.name, route.rank, level):
            return Refusal("admission_level", level, OVERLOAD_RETRY_AFTER_SECONDS)
        if self.body_bytes_in_flight + body_bytes > self.body_bytes_limit:
            return Refusal("memory", level, RETRY_AFTER_SECONDS)
        return None

    def add_body(self, body_bytes: int) -> None:
        """Takes note of a body that is in flight from now on."""
        self.body_bytes_in_flight += body_bytes

    def remove_body(self, body_bytes: int) -> None:
        """Takes note that a body is no longer in flight."""
        self.body_bytes_in_flight -= body_bytes

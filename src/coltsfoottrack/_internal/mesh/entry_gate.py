"""Decides from this node's local view whether the entry admits a new request."""

from typing import NamedTuple, Self

from coltsfoottrack._internal.mesh.fairness import FairAdmission
from coltsfoottrack._internal.mesh.levels import ReportedLevels
from coltsfoottrack._internal.mesh.model import Route
from coltsfoottrack._internal.mesh.seen_durations import SeenDurations

# New requests are accepted for this long after SIGTERM, until callers have moved to other nodes.
ACCEPT_WHILE_STOPPING_SECONDS = 2.6
# In this part of the grace period a request is accepted however long it may take. Later it must be
# sure, or likely by what was seen of its route, to end in time.
ACCEPT_ANY_FRACTION = 0.5
# A request may last longer than all that were seen, by this factor at most.
LONGEST_SEEN_MARGIN = 1.5
# Part of the grace period reserved for the exit of the process itself, at most this long.
EXIT_MARGIN_FRACTION = 0.1
MAX_EXIT_MARGIN_SECONDS = 0.6
# Part of that margin that remains once all connections are closed.
CLOSE_FRACTION = 0.5
# A process accepts calls about this long after its start.
START_SECONDS = 0.5
# Retry-After for requests refused because of load, and for all others.
OVERLOAD_RETRY_AFTER_SECONDS = 0.6
RETRY_AFTER_SECONDS = 0.2
# Reason of a request that comes too late to a stopping node, or is given up as it ends.
NODE_STOPPING = "node_stopping"


class Refusal(NamedTuple):
    """Why a new request is refused."""

    reason: str
    # Admission level of the route at that time, 0 if it was not read.
    level: float
    retry_after_seconds: float
    # Trying again earlier is of no use.
    not_before_seconds: float = 0.0


class StopPeriod(NamedTuple):
    """When a stopping node was told to stop, gives up what is in flight, and is killed."""

    started: float
    accepts_any_until: float
    ends: float
    kill_at: float = 0.0
    # Until then the other ends of its connections may receive what was sent to them.
    closes: float = 0.0

    @classmethod
    def from_grace(cls, started: float, grace_seconds: float) -> Self:
        """Returns the period of a node that is killed ``grace_seconds`` after ``started``."""
        margin = min(MAX_EXIT_MARGIN_SECONDS, grace_seconds * EXIT_MARGIN_FRACTION)
        return cls(
            started,
            started + grace_seconds * ACCEPT_ANY_FRACTION,
            started + grace_seconds - margin,
            started + grace_seconds,
            started + grace_seconds - margin * CLOSE_FRACTION,
        )

    def has_time_for(self, expires: float, longest_seen: float | None, now: float) -> bool:
        """Returns whether a request may start now.

        ``expires`` is when its caller waits no longer, ``longest_seen`` the longest recent duration
        of its route in seconds, None if it is not known.
        """
        if now <= self.accepts_any_until or expires <= self.ends:
            return True
        return longest_seen is not None and now + longest_seen * LONGEST_SEEN_MARGIN <= self.ends


class EntryGate:
    """Admits new requests within the limits of load, until the node stops."""

    def __init__(self) -> None:
        self.levels = ReportedLevels()
        self.admission = FairAdmission()
        self.durations = SeenDurations()
        # None until the node stops.
        self.stop_period: StopPeriod | None = None

    def stop(self, now: float, grace_seconds: float) -> StopPeriod:
        """Starts to refuse what cannot end within the grace period."""
        self.stop_period = StopPeriod.from_grace(now, grace_seconds)
        return self.stop_period

    def is_stopping(self) -> bool:
        """Returns whether the node is stopping."""
        return self.stop_period is not None

    def takes_call(self, route: Route, expires: float, now: float) -> bool:
        """Returns whether a call of a running request, or the retry of a request, is accepted.

        Neither is one of a new caller, so a stopping node accepts it for as long as it can end.
        """
        if self.stop_period is None:
            return True
        longest = self.durations.longest(route.name, now)
        return self.stop_period.has_time_for(expires, longest, now)

    def restart_seconds(self, now: float) -> float:
        """Returns the seconds until the next process of this node is likely to accept calls."""
        if self.stop_period is None:
            return 0.0
        return max(0.0, self.stop_period.kill_at - now) + START_SECONDS

    def _takes_request(self, route: Route, expires: float, now: float) -> bool:
        period = self.stop_period
        if period is not None and now - period.started > ACCEPT_WHILE_STOPPING_SECONDS:
            return False
        return self.takes_call(route, expires, now)

    def check(
        self,
        route: Route,
        rank: int,
        customer: str,
        ranks: int,
        expires: float,
        now: float,
    ) -> Refusal | None:
        """Returns why a new request is refused, None if it is admitted.

        ``rank`` is the rank of the request, ``customer`` the name of its customer, empty if it has
        none, ``ranks`` the number of ranks in the configuration in force, and ``expires`` when its
        caller waits no longer.
        """
        if not self._takes_request(route, expires, now):
            return Refusal(NODE_STOPPING, 0.0, RETRY_AFTER_SECONDS)
        level = self.levels.level(route.name, ranks, now)
        if not self.admission.admit(route.name, rank, level, customer, now):
            return Refusal("admission_level", level, OVERLOAD_RETRY_AFTER_SECONDS)
        return None

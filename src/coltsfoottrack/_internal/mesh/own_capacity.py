"""What the node knows of the speed of its local backend server, and what it uses it for."""

from math import inf

from coltsfoottrack._internal.mesh.backend_connection import (
    FIRST_FAILURE_STATUS,
    BackendResponse,
)
from coltsfoottrack._internal.mesh.backend_load import BackendSpeed
from coltsfoottrack._internal.mesh.backend_state import BackendState
from coltsfoottrack._internal.mesh.model import RoutingConfiguration
from coltsfoottrack._internal.mesh.run_times import RunTimes
from coltsfoottrack._internal.mesh.runner_call import RunnerCall
from coltsfoottrack._internal.mesh.slowed_limit import SlowedLimit

# A run may take this fraction of its target latency.
TARGET_FRACTION = 0.7
# The tightest target is computed once for this time.
TARGETS_SECONDS = 0.1


class OwnCapacity:
    """Speed, usual run times and capacity of the local backend server.

    Without a reported slowdown nothing is learned, and all values are those that the runner would
    use without this class.
    """

    def __init__(self, backend: BackendState) -> None:
        self.backend = backend
        self.speed = BackendSpeed(backend)
        self.run_times = RunTimes()
        self.slowed_limit = SlowedLimit()
        # Target latency by route, in seconds.
        self.targets: dict[str, float] = {}
        self.allowed_slowdown = inf
        self.allowed_at = 0.0

    def set_targets(self, configuration: RoutingConfiguration) -> None:
        """Sets the target latencies of the routes."""
        self.targets = {}
        for route in configuration.routes:
            self.targets[route.name] = route.target_latency_ms / 1000.0

    def start(self, call: RunnerCall, now: float) -> None:
        """Notes the start of a run."""
        if self.speed.is_reported:
            call.usual_time_at_start = self.speed.usual_time(now)

    def observe(self, call: RunnerCall, answer: BackendResponse, now: float) -> None:
        """Learns from a complete answer of the backend server."""
        speed = self.speed
        if answer.load is None and speed.lifetime is None:
            return
        speed.observe(answer.load, call.lifetime, now)
        if not speed.is_reported or call.lifetime != speed.lifetime:
            return
        if answer.load is not None and answer.load.slowdown_percent:
            self.slowed_limit.observe(answer.load, now)
        if answer.not_run or answer.status >= FIRST_FAILURE_STATUS or call.sent_at is None:
            return
        if call.usual_time_at_start is None:
            usual = (now - call.sent_at) / speed.current(now)
        else:
            usual = speed.usual_time(now) - call.usual_time_at_start
        self.run_times.record(call.message.route, usual)

    def limit(self, now: float) -> int:
        """Returns how many requests to run at a time."""
        slots = self.backend.limit
        if not self.speed.is_reported:
            return slots
        if now - self.allowed_at > TARGETS_SECONDS:
            self.allowed_at = now
            self.allowed_slowdown = self._allowed_slowdown()
        return self.slowed_limit.limit(slots, self.speed.current(now), self.allowed_slowdown)

    def _allowed_slowdown(self) -> float:
        """Returns the greatest slowdown at which the runs of all routes keep their targets.

        A route that would miss its target without any slowdown is left out.
        """
        allowed = inf
        for route, known in self.run_times.routes.items():
            target = self.targets.get(route)
            if target is None:
                continue
            ratio = TARGET_FRACTION * target / known.seconds
            if ratio >= 1.0:
                allowed = min(allowed, ratio)
        return allowed

    def run_seconds(self, mean_seconds: float, now: float) -> float:
        """Returns how long a run probably takes now.

        This is ``mean_seconds`` if no slowdown is reported.
        """
        if not self.speed.is_reported:
            return mean_seconds
        usual = self.run_times.mean_seconds(now)
        return usual * self.speed.current(now) if usual else mean_seconds

    def per_second(self, now: float) -> float:
        """Returns the requests per second that the backend server can take.

        Averaged over seconds; 0.0 if it does not report its slowdown or has run too few requests.
        """
        if not self.speed.is_reported:
            return 0.0
        return self.run_times.capacity(self.backend.limit, self.speed.mean_speed, now)

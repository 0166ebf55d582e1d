"""Finds the parent request of a call made by the local backend server."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from coltsfoottrack._internal.mesh.clock import current_time
from coltsfoottrack._internal.mesh.model import Route

# A route counts as called for another for this long after the last call.
CALLED_ROUTE_SECONDS = 10.0
# A call may arrive this long after its run has ended: callers allow a connection that much time.
LATE_CALL_SECONDS = 1.0


@dataclass(slots=True, eq=False)
class RunningRequest:
    """A request running at the local backend server."""

    route: str
    rank: int
    expires: float
    is_retry: bool
    request_id: str
    # Customer to which the request and its calls are attributed, empty if there is none.
    customer: str = ""
    # Whether one of its calls ended unserved or with a failure.
    call_failed: bool = False
    # Whether one of its calls failed because a service had no capacity for it.
    short_of_capacity: bool = False


class ParentRequests:
    """The requests that may be running at the local backend server, and the routes they called.

    The identifier of a call may contain that of its parent request. It is accepted as the parent
    while that request may be running here: until its answer, or, if the answer is not awaited any
    more or was lost, until the time budget that the backend server was told is over. Any other
    call counts as a new request.
    """

    def __init__(self, parent_identifier: Callable[[str], str]) -> None:
        # Returns the identifier of a call's parent request, or an empty string.
        self.parent_identifier = parent_identifier
        self.started_at = current_time()
        # Longest time budget, in seconds, of a request under any configuration that was in force.
        self.longest_run_seconds = 0.0
        # Runs whose answer is awaited.
        self.running: dict[str, RunningRequest] = {}
        # Runs whose answer will not be seen. Their number is bounded by the requests of the
        # longest time budget.
        self.lost: dict[str, RunningRequest] = {}
        # Until when calls may arrive whose run was answered, by its identifier, the oldest first.
        self.ended: dict[str, float] = {}
        # Route -> called route -> time of the last call.
        self.called_routes: dict[str, dict[str, float]] = {}
        self.last_call_at: float | None = None

    def begin(self, run: RunningRequest) -> None:
        """Adds a running request."""
        self.running[run.request_id] = run

    def end(self, run: RunningRequest, now: float) -> None:
        """Removes a request that the backend server has answered."""
        self._remove(run)
        self.ended.pop(run.request_id, None)
        self.ended[run.request_id] = now + LATE_CALL_SECONDS

    def lose(self, run: RunningRequest) -> None:
        """Keeps a request whose answer will not be seen though it may still be running."""
        self._remove(run)
        self.lost[run.request_id] = run

    def _remove(self, run: RunningRequest) -> None:
        if self.running.get(run.request_id) is run:
            del self.running[run.request_id]

    def remembered(self) -> int:
        """Returns the number of runs that are kept though no answer is awaited."""
        return len(self.lost) + len(self.ended)

    def discard_old(self, now: float) -> None:
        """Drops the runs that are over and of which no call can arrive any more."""
        for request_id, until in list(self.ended.items()):
            if until > now:
                break
            del self.ended[request_id]
        for request_id, run in list(self.lost.items()):
            if run.expires + LATE_CALL_SECONDS <= now:
                del self.lost[request_id]

    def parent(self, request_id: str, now: float) -> RunningRequest | None:
        """Returns the parent request of a call, None if none that may be running here is known."""
        if not self.running and not self.lost:
            return None
        identifier = self.parent_identifier(request_id)
        if not identifier:
            return None
        run = self.running.get(identifier)
        if run is not None:
            return run
        run = self.lost.get(identifier)
        return run if run is not None and now <= run.expires else None

    def may_be_call(self, request_id: str, now: float) -> bool:
        """Returns whether a request without a known parent may be a call of a run all the same.

        The run may have just ended, or an earlier process of this node may have begun it.
        """
        identifier = self.parent_identifier(request_id)
        if not identifier:
            return False
        if now < self.earlier_runs_end() or now < self.ended.get(identifier, now):
            return True
        lost = self.lost.get(identifier)
        return lost is not None and now < lost.expires + LATE_CALL_SECONDS

    def note_timeouts(self, routes: Iterable[Route]) -> None:
        """Notes the time budgets that a configuration in force allows."""
        for route in routes:
            seconds = route.timeout_ms / 1000.0
            self.longest_run_seconds = max(self.longest_run_seconds, seconds)

    def earlier_runs_end(self) -> float:
        """Returns until when calls may arrive whose runs an earlier process of this node began."""
        return self.started_at + self.longest_run_seconds + LATE_CALL_SECONDS

    def note_call(self, parent: RunningRequest, route: str, now: float) -> None:
        """Records that a running request calls a route."""
        self.called_routes.setdefault(parent.route, {})[route] = now
        self.last_call_at = now

    def is_leaf(self, now: float) -> bool:
        """Returns whether the requests that run here have lately called no route."""
        return self.last_call_at is None or now - self.last_call_at >= CALLED_ROUTE_SECONDS

    def recently_called(self, route: str, now: float) -> list[str]:
        """Returns the routes that requests of a route have lately called."""
        called = self.called_routes.get(route)
        if not called:
            return []
        return [below for below, at in called.items() if now - at < CALLED_ROUTE_SECONDS]

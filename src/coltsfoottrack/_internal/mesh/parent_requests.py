"""Finds the parent request of a call made by the local backend server."""

from collections.abc import Callable
from dataclasses import dataclass

# A route counts as called for another for this long after the last call.
CALLED_ROUTE_SECONDS = 10.0


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
    """The requests running at the local backend server, and the routes that they have called.

    The identifier of a call may contain that of its parent request. It is accepted as the parent
    only while that request is running here; any other call counts as a new request.
    """

    def __init__(self, parent_identifier: Callable[[str], str]) -> None:
        # Returns the identifier of a call's parent request, or an empty string.
        self.parent_identifier = parent_identifier
        self.running: dict[str, RunningRequest] = {}
        # Route -> called route -> time of the last call.
        self.called_routes: dict[str, dict[str, float]] = {}
        self.last_call_at: float | None = None

    def begin(self, run: RunningRequest) -> None:
        """Adds a running request."""
        self.running[run.request_id] = run

    def end(self, request_id: str) -> None:
        """Removes a request that has ended."""
        self.running.pop(request_id, None)

    def parent(self, request_id: str) -> RunningRequest | None:
        """Returns the parent request of a call, None if it is not running here."""
        identifier = self.parent_identifier(request_id)
        return self.running.get(identifier) if identifier else None

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

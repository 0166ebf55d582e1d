"""Finds the request for which the local backend server makes a call."""

from collections.abc import Callable
from typing import NamedTuple


class RunningRequest(NamedTuple):
    """A request that runs at the local backend server."""

    route: str
    rank: int
    expires: float
    is_retry: bool
    request_id: str


class ParentRequests:
    """The runs of the local backend server, and which routes they have called.

    The identifier of a call may tell the identifier of the request that it is made for. That is
    believed only if this request runs here at the moment; any other call counts as a request of
    its own.
    """

    def __init__(self, parent_identifier: Callable[[str], str]) -> None:
        # Returns the identifier of the request that a call is made for, or an empty string.
        self.parent_identifier = parent_identifier
        self.runs: dict[str, RunningRequest] = {}
        # Route, then routes called for it with the time of the last call.
        self.called: dict[str, dict[str, float]] = {}

    def begin(self, run: RunningRequest) -> None:
        """Adds a run."""
        self.runs[run.request_id] = run

    def end(self, request_id: str) -> None:
        """Removes a run."""
        self.runs.pop(request_id, None)

    def parent(self, request_id: str) -> RunningRequest | None:
        """Returns the run that a call is made for, None if it is not known."""
        identifier = self.parent_identifier(request_id)
        return self.runs.get(identifier) if identifier else None

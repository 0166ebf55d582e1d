"""Relates the failure of a run to that of its calls.

The node beside a backend server originates the calls of its runs and so knows which of them failed.
A run that fails after one of its calls did is not worth a retry: retries one layer up would repeat
all of its calls, and use the retry budget of the services below.
"""

from coltsfoottrack._internal.mesh.backend_connection import (
    FIRST_FAILURE_STATUS,
    BackendResponse,
)
from coltsfoottrack._internal.mesh.clock import current_time
from coltsfoottrack._internal.mesh.entry_call import EntryCall
from coltsfoottrack._internal.mesh.parent_requests import ParentRequests
from coltsfoottrack._internal.mesh.runner_call import RunnerCall, RunResult
from coltsfoottrack._internal.schema.links_pb2 import RESULT_ANSWERED

# Reasons of unserved calls that show a lack of capacity, if the call has not run.
CAPACITY_REASONS = frozenset(("backend_refused", "overload", "repeat_budget", "expired"))


def note_failed_call(call: EntryCall, short_of_capacity: bool) -> None:
    """Records at the parent request, if any, that a call has failed."""
    parent = call.parent
    if parent is None:
        return
    parent.call_failed = True
    parent.short_of_capacity = parent.short_of_capacity or short_of_capacity


def note_refused_call(parent_requests: ParentRequests, request_id: str) -> None:
    """Records at the parent request, if any, that a call was refused before its route was known."""
    parent = parent_requests.parent(request_id, current_time())
    if parent is not None:
        parent.call_failed = True


def run_result(call: RunnerCall, answer: BackendResponse) -> RunResult:
    """Returns the result of a run that the backend server has answered."""
    failed = answer.status >= FIRST_FAILURE_STATUS
    return RunResult(
        RESULT_ANSWERED,
        "",
        answer.status,
        answer.head,
        answer.body,
        failed_below=failed and call.run.call_failed,
        short_of_capacity=failed and call.run.short_of_capacity,
    )

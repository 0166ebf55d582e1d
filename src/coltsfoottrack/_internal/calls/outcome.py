"""Outcomes of calls and the answers that report them."""

from enum import StrEnum
from http import HTTPStatus
from typing import NamedTuple


class Outcome(StrEnum):
    """The four outcomes that can be reported to a caller."""

    DONE = "done"
    REFUSED = "refused"
    FAILED = "failed"
    UNKNOWN = "unknown"


class Reason(StrEnum):
    """Why the outcome of a call is not ``done``."""

    NONE = ""
    OVERLOAD = "overload"
    EVICTED = "evicted"
    DEADLINE = "deadline"
    CANCELLED = "cancelled"
    LEAVING = "leaving"
    BACKEND_DOWN = "backend_down"
    BACKEND_SHED = "backend_shed"
    BACKEND_ERROR = "backend_error"
    BACKEND_LOST = "backend_lost"
    NO_NODE = "no_node"
    CONNECTION_LOST = "connection_lost"
    SILENT = "silent"
    HOME_GONE = "home_gone"
    KEY_REQUIRED = "key_required"
    KEY_REUSED = "key_reused"
    KEY_INVALID = "key_invalid"
    KEY_EXPIRED = "key_expired"
    KEYS_EXHAUSTED = "keys_exhausted"
    CLOSED = "closed"
    DUPLICATE = "duplicate"
    ANSWER_DROPPED = "answer_dropped"
    QUARANTINED = "quarantined"
    UNKNOWN_SERVICE = "unknown_service"
    BAD_REQUEST = "bad_request"
    TOO_LARGE = "too_large"
    WRONG_CLUSTER = "wrong_cluster"
    UNAUTHENTICATED = "unauthenticated"
    EARLY_REFUSAL = "early_refusal"
    SERVICE_ABSENT = "service_absent"
    NOT_READY = "not_ready"
    BUDGET_SPENT = "budget_spent"


_REFUSAL_STATUS = {
    Reason.KEY_REQUIRED: HTTPStatus.PRECONDITION_REQUIRED,
    Reason.KEY_REUSED: HTTPStatus.UNPROCESSABLE_ENTITY,
    Reason.KEY_INVALID: HTTPStatus.BAD_REQUEST,
    Reason.BAD_REQUEST: HTTPStatus.BAD_REQUEST,
    Reason.WRONG_CLUSTER: HTTPStatus.BAD_REQUEST,
    Reason.UNAUTHENTICATED: HTTPStatus.UNAUTHORIZED,
    Reason.TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    Reason.UNKNOWN_SERVICE: HTTPStatus.NOT_FOUND,
}


class Answer(NamedTuple):
    """The complete answer to a call.

    ``retry_useful`` is whether a resend may succeed, under a new key for a non-idempotent
    request. ``attempts_left`` is the unspent part of the attempt budget.
    """

    outcome: Outcome
    reason: Reason = Reason.NONE
    status: int = HTTPStatus.OK
    body: bytes = b""
    content_type: str = "application/octet-stream"
    retry_useful: bool = False
    retry_after_ms: int = 0
    attempts_left: int = 0
    admission_level: int = 0
    path_level: int = 0
    next_key: str = ""
    served_by: str = ""
    suspected_crashes: int = 0
    # False only if this copy of the call was certainly not forwarded to where it could run.
    copy_dispatched: bool = True
    node_leaving: bool = False
    # The service without an available node because of which the call was refused or failed.
    absent_service: str = ""
    # Services that the run of a finished call used.
    used_services: frozenset[str] = frozenset()
    # Time that the call waited for a slot, and that it ran on the backend server, in ms.
    queued_ms: float = 0.0
    running_ms: float = 0.0
    # Time that the slowest call path below waited for slots, over all of its hops, in ms.
    path_queued_ms: float = 0.0


def refused(reason: Reason, retry_useful: bool = False, text: str = "") -> Answer:
    """Returns the answer to a call that was not run and never will be under its key."""
    return Answer(
        outcome=Outcome.REFUSED,
        reason=reason,
        status=_REFUSAL_STATUS.get(reason, HTTPStatus.SERVICE_UNAVAILABLE),
        body=(text or f"not run: {reason}").encode(),
        content_type="text/plain; charset=utf-8",
        retry_useful=retry_useful,
        copy_dispatched=False,
    )


def failed(reason: Reason, body: bytes = b"", content_type: str = "text/plain") -> Answer:
    """Returns the answer to a call that ran and failed."""
    return Answer(
        outcome=Outcome.FAILED,
        reason=reason,
        status=HTTPStatus.BAD_GATEWAY,
        body=body or f"failed after running: {reason}".encode(),
        content_type=content_type,
    )


def unknown(reason: Reason, copy_dispatched: bool = True) -> Answer:
    """Returns the answer to a call that may have run and will not be run again."""
    return Answer(
        outcome=Outcome.UNKNOWN,
        reason=reason,
        status=HTTPStatus.GATEWAY_TIMEOUT,
        body=f"outcome unknown: {reason}".encode(),
        content_type="text/plain; charset=utf-8",
        copy_dispatched=copy_dispatched,
    )


def unconfirmed_refusal(answer: Answer, idempotency_key: str) -> Answer:
    """Changes the refusal of a keyed request to unknown if it was made without asking its home.

    An earlier copy under the key may have run, so only the home can report that it was not.
    Resending under the same key is safe and may return the outcome, except if the request is
    malformed: then the answer keeps its status and error message. Other answers are returned
    unchanged.
    """
    if not idempotency_key or answer.outcome is not Outcome.REFUSED:
        return answer
    is_bad_input = answer.status < HTTPStatus.INTERNAL_SERVER_ERROR
    detail = answer.body.decode("utf-8", "replace")
    return answer._replace(
        outcome=Outcome.UNKNOWN,
        status=answer.status if is_bad_input else HTTPStatus.GATEWAY_TIMEOUT,
        body=f"outcome unknown, but this copy was not sent on ({detail})".encode(),
        retry_useful=answer.retry_useful or not is_bad_input,
        copy_dispatched=False,
    )

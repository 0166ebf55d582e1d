"""What became of a call, as told to its caller."""

from enum import StrEnum
from http import HTTPStatus
from typing import NamedTuple


class Outcome(StrEnum):
    """The four outcomes that a caller can be told."""

    DONE = "done"
    REFUSED = "refused"
    FAILED = "failed"
    UNKNOWN = "unknown"


class Reason(StrEnum):
    """Why a call was not done."""

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
    """The whole answer to a call.

    ``retry_useful`` tells whether trying again, under a new key for a non-idempotent request,
    may succeed. ``attempts_left`` returns what is left of the attempt budget.
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
    # False only when this copy of the call was certainly not sent on to where it could run.
    copy_dispatched: bool = True
    node_leaving: bool = False
    # Service without a node that takes work, for which the call was refused or failed.
    absent_service: str = ""
    # Services below that a finished call has used.
    used_services: frozenset[str] = frozenset()
    # Time that the call waited for a slot, and that the backend server took, in ms.
    queued_ms: float = 0.0
    running_ms: float = 0.0
    # Time that the slowest of its calls spent waiting for slots at all hops further down, in ms.
    path_queued_ms: float = 0.0


def refused(reason: Reason, retry_useful: bool = False, text: str = "") -> Answer:
    """Builds the answer to a call that was not run and never will be under its key."""
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
    """Builds the answer to a call that ran and failed."""
    return Answer(
        outcome=Outcome.FAILED,
        reason=reason,
        status=HTTPStatus.BAD_GATEWAY,
        body=body or f"failed after running: {reason}".encode(),
        content_type=content_type,
    )


def unknown(reason: Reason, copy_dispatched: bool = True) -> Answer:
    """Builds the answer to a call that may have run and will not be run again."""
    return Answer(
        outcome=Outcome.UNKNOWN,
        reason=reason,
        status=HTTPStatus.GATEWAY_TIMEOUT,
        body=f"outcome unknown: {reason}".encode(),
        content_type="text/plain; charset=utf-8",
        copy_dispatched=copy_dispatched,
    )


def unconfirmed_refusal(answer: Answer, idempotency_key: str) -> Answer:
    """Corrects a refusal of a keyed request that was made without asking the key's home.

    An earlier copy under the key may have run, so only the home may say that it was not. Sending
    the same key again is safe and may bring the outcome, but not where the form of the request is
    at fault: then the answer keeps saying what is wrong with it.
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

"""Context of a call and its encoding in HTTP headers."""

from collections.abc import Mapping
from typing import NamedTuple

from coltsfoottrack._internal.calls.budget import AttemptBudget
from coltsfoottrack._internal.calls.deadline import Deadline
from coltsfoottrack._internal.calls.exceptions import BadRequestError
from coltsfoottrack._internal.calls.identifiers import (
    RANK_BUCKETS,
    check_identifier,
    is_identifier,
    new_call_id,
    new_request_id,
    rank_bucket,
)
from coltsfoottrack._internal.calls.outcome import Answer, Outcome, Reason

PROTOCOL_VERSION = 1

REQUEST_ID = "Request-Id"
CALL_ID = "Call-Id"
IDEMPOTENCY_KEY = "Idempotency-Key"
PRIORITY = "Priority"
DEADLINE_MS = "Deadline-Ms"
ATTEMPT_BUDGET = "Attempt-Budget"
ATTEMPT_REPEATED = "Attempt-Repeated"
SUSPECTED_CRASHES = "Suspected-Crashes"
HOP_DEPTH = "Hop-Depth"
DISPATCH_NUMBER = "Dispatch-Number"
# Sent only by a node to the backend server on the same instance: the deadline on the instance's
# monotonic clock, in seconds.
MONOTONIC_DEADLINE = "Monotonic-Deadline"
EVENT_CLOCK = "Event-Clock"
CLUSTER = "Cluster"
PROTOCOL = "Protocol-Version"

OUTCOME = "Outcome"
REASON = "Reason"
RETRY_USEFUL = "Retry-Useful"
RETRY_AFTER_MS = "Retry-After-Ms"
ATTEMPTS_LEFT = "Attempts-Left"
ADMISSION_LEVEL = "Admission-Level"
PATH_LEVEL = "Path-Level"
# In a 503 response of a backend server: the request was certainly not run.
SHED = "Shed"
# Time that a call and the slowest call path below it waited for slots, in ms.
QUEUED_MS = "Queued-Ms"
NEXT_KEY = "Next-Idempotency-Key"
SERVED_BY = "Served-By"
COPY_DISPATCHED = "Copy-Dispatched"
NODE_LEAVING = "Node-Leaving"
ABSENT_SERVICE = "Absent-Service"
USED_SERVICES = "Used-Services"

MAX_DEPTH = 32
MAX_USED_SERVICES = 64
# The deadline sent to the next hop is earlier by this margin, so that its refusal arrives before
# the sender's own deadline. With equal deadlines all layers timed out at once and callers got no
# outcome.
ANSWER_MARGIN_MS = 10.0
ANSWER_MARGIN_SHARE = 0.02
PRIORITY_NAMES = ("sheddable", "normal", "critical")
CRITICAL = PRIORITY_NAMES.index("critical")


class CallContext(NamedTuple):
    """Metadata of one copy of a call: everything that is sent with it except the body."""

    service: str
    operation: str
    request_id: str
    call_id: str
    deadline: Deadline
    budget: AttemptBudget
    priority: int = 0
    idempotency_key: str = ""
    suspected_crashes: int = 0
    depth: int = 0
    # True for calls from a node or an embedded client, which send the Cluster header.
    from_peer: bool = False
    # Above 0 if the home of the key handed this copy off to another node of the service.
    dispatch_number: int = 0

    @property
    def rank(self) -> int:
        """Rank for shedding: priority first, then a bucket that is the same at every layer.

        Within a priority and bucket, calls made for a parent request rank above calls at the
        entry, because other services have already worked on that request.
        """
        bucket = rank_bucket(self.request_id)
        return (self.priority * RANK_BUCKETS + bucket) * 2 + (1 if self.depth else 0)

    @property
    def priority_name(self) -> str:
        """The priority as it is written in headers."""
        return PRIORITY_NAMES[self.priority]

    def _next_hop_deadline_ms(self) -> int:
        remaining = self.deadline.remaining_ms()
        margin = min(ANSWER_MARGIN_MS, remaining * ANSWER_MARGIN_SHARE)
        return max(0, int(remaining - margin))

    def headers(self, cluster: str, event_clock: int) -> dict[str, str]:
        """Returns the HTTP headers that propagate this context to the next hop."""
        headers = {
            REQUEST_ID: self.request_id,
            CALL_ID: self.call_id,
            PRIORITY: self.priority_name,
            DEADLINE_MS: str(self._next_hop_deadline_ms()),
            ATTEMPT_BUDGET: str(self.budget.retries),
            HOP_DEPTH: str(self.depth),
            CLUSTER: cluster,
            PROTOCOL: str(PROTOCOL_VERSION),
            EVENT_CLOCK: str(event_clock),
        }
        if self.idempotency_key:
            headers[IDEMPOTENCY_KEY] = self.idempotency_key
        if self.budget.repeated:
            headers[ATTEMPT_REPEATED] = "yes"
        if self.suspected_crashes:
            headers[SUSPECTED_CRASHES] = str(self.suspected_crashes)
        if self.dispatch_number:
            headers[DISPATCH_NUMBER] = str(self.dispatch_number)
        return headers


class CallGrant(NamedTuple):
    """Limits that the configuration sets for an operation; headers cannot exceed them."""

    priority: int
    idempotent: bool
    default_deadline_ms: float
    max_deadline_ms: float
    attempt_budget: int


def parse_whole_number(headers: Mapping[str, str], name: str, default: int, maximum: int) -> int:
    """Returns a header's value as a whole number, at most ``maximum``, or ``default`` if absent.

    Raises BadRequestError if the header is present and not a whole number.
    """
    text = headers.get(name)
    if text is None:
        return default
    if not (text.isascii() and text.isdigit() and len(text) <= 20):
        raise BadRequestError(f"{name} must be a whole number from 0")
    return min(int(text), maximum)


def read_context(
    service: str, operation: str, headers: Mapping[str, str], grant: CallGrant
) -> CallContext:
    """Returns the context of an incoming call, capped by the limits of its operation.

    Raises BadRequestError if a header is malformed.
    """
    check_identifier(service, "service")
    check_identifier(operation, "operation")
    request_id = headers.get(REQUEST_ID)
    if request_id is None:
        request_id = new_request_id()
    else:
        check_identifier(request_id, REQUEST_ID)
    call_id = headers.get(CALL_ID)
    if call_id is None:
        call_id = new_call_id()
    else:
        check_identifier(call_id, CALL_ID)
    deadline_ms = parse_whole_number(
        headers, DEADLINE_MS, int(grant.default_deadline_ms), int(grant.max_deadline_ms)
    )
    retries = parse_whole_number(
        headers, ATTEMPT_BUDGET, grant.attempt_budget, grant.attempt_budget
    )
    from_peer = CLUSTER in headers
    return CallContext(
        service=service,
        operation=operation,
        request_id=request_id,
        call_id=call_id,
        deadline=Deadline.after_ms(deadline_ms),
        budget=AttemptBudget(retries, headers.get(ATTEMPT_REPEATED) == "yes"),
        priority=_granted_priority(headers, grant),
        idempotency_key=headers.get(IDEMPOTENCY_KEY, ""),
        suspected_crashes=parse_whole_number(headers, SUSPECTED_CRASHES, 0, 100),
        # Depth raises the rank within a priority, so it is ignored in calls from outside.
        depth=parse_whole_number(headers, HOP_DEPTH, 0, MAX_DEPTH) if from_peer else 0,
        from_peer=from_peer,
        dispatch_number=parse_whole_number(headers, DISPATCH_NUMBER, 0, 100),
    )


def _granted_priority(headers: Mapping[str, str], grant: CallGrant) -> int:
    name = headers.get(PRIORITY)
    if name is None:
        return grant.priority
    if name not in PRIORITY_NAMES:
        raise BadRequestError(f"{PRIORITY} must be one of {', '.join(PRIORITY_NAMES)}")
    return min(PRIORITY_NAMES.index(name), grant.priority)


def answer_headers(answer: Answer, event_clock: int) -> dict[str, str]:
    """Returns the HTTP headers of an answer."""
    headers = {
        OUTCOME: answer.outcome.value,
        RETRY_USEFUL: "yes" if answer.retry_useful else "no",
        ATTEMPTS_LEFT: str(answer.attempts_left),
        ADMISSION_LEVEL: str(answer.admission_level),
        PATH_LEVEL: str(answer.path_level),
        QUEUED_MS: str(int(answer.queued_ms + answer.path_queued_ms)),
        SERVED_BY: answer.served_by,
        EVENT_CLOCK: str(event_clock),
        "Content-Type": answer.content_type,
    }
    if answer.reason:
        headers[REASON] = answer.reason.value
    if answer.retry_after_ms:
        headers[RETRY_AFTER_MS] = str(answer.retry_after_ms)
    if answer.next_key:
        headers[NEXT_KEY] = answer.next_key
    if answer.suspected_crashes:
        headers[SUSPECTED_CRASHES] = str(answer.suspected_crashes)
    if not answer.copy_dispatched:
        headers[COPY_DISPATCHED] = "no"
    if answer.node_leaving:
        headers[NODE_LEAVING] = "yes"
    if answer.absent_service:
        headers[ABSENT_SERVICE] = answer.absent_service
    if answer.used_services:
        headers[USED_SERVICES] = ",".join(sorted(answer.used_services))
    return headers


def read_answer(status: int, headers: Mapping[str, str], body: bytes) -> Answer:
    """Returns the answer that a node's HTTP response contains.

    Raises BadRequestError if the response was not made by a node.
    """
    try:
        outcome = Outcome(headers.get(OUTCOME, ""))
        reason = Reason(headers.get(REASON, ""))
    except ValueError as error:
        raise BadRequestError("response does not come from a node") from error
    return Answer(
        outcome=outcome,
        reason=reason,
        status=status,
        body=body,
        content_type=headers.get("Content-Type", "application/octet-stream"),
        retry_useful=headers.get(RETRY_USEFUL) == "yes",
        retry_after_ms=parse_whole_number(headers, RETRY_AFTER_MS, 0, 3_600_000),
        attempts_left=parse_whole_number(headers, ATTEMPTS_LEFT, 0, 1_000),
        admission_level=parse_whole_number(headers, ADMISSION_LEVEL, 0, 10_000),
        path_level=parse_whole_number(headers, PATH_LEVEL, 0, 10_000),
        path_queued_ms=parse_whole_number(headers, QUEUED_MS, 0, 3_600_000),
        next_key=headers.get(NEXT_KEY, ""),
        served_by=headers.get(SERVED_BY, ""),
        suspected_crashes=parse_whole_number(headers, SUSPECTED_CRASHES, 0, 100),
        copy_dispatched=headers.get(COPY_DISPATCHED) != "no",
        node_leaving=headers.get(NODE_LEAVING) == "yes",
        absent_service=read_absent_service(headers),
        used_services=read_used_services(headers),
    )


def read_absent_service(headers: Mapping[str, str]) -> str:
    """Returns the absent service named in the headers, empty if missing or malformed."""
    name = headers.get(ABSENT_SERVICE, "")
    return name if is_identifier(name) else ""


def read_used_services(headers: Mapping[str, str]) -> frozenset[str]:
    """Returns the services that a finished call has used.

    A missing or malformed list counts as empty, so that no service counts as required.
    """
    names = frozenset(headers.get(USED_SERVICES, "").split(","))
    if len(names) > MAX_USED_SERVICES or not all(is_identifier(name) for name in names):
        return frozenset()
    return names

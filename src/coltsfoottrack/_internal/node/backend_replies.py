"""Builds answers from responses and crashes of a backend server."""

from coltsfoottrack._internal.calls.context import (
    ATTEMPTS_LEFT,
    PATH_LEVEL,
    QUEUED_MS,
    SHED,
    CallContext,
    parse_whole_number,
    read_absent_service,
    read_used_services,
)
from coltsfoottrack._internal.calls.exceptions import BadRequestError
from coltsfoottrack._internal.calls.outcome import Answer, Outcome, Reason, failed, refused, unknown
from coltsfoottrack._internal.routing.transport import HttpReply


def quarantined(context: CallContext, crashes: int) -> Answer:
    """Returns the refusal of a request that has crashed too many backend servers."""
    text = (
        f"not run: {crashes} backend servers of {context.service} crashed while they ran this "
        "request, so it is quarantined"
    )
    answer = refused(Reason.QUARANTINED, text=text)
    return answer._replace(suspected_crashes=crashes)


def crashed(context: CallContext, crashes: int) -> Answer:
    """Returns the answer to a request whose backend server crashed while it ran."""
    text = f"outcome unknown: the backend server of {context.service} crashed during this request"
    answer = unknown(Reason.BACKEND_LOST)
    return answer._replace(retry_useful=True, suspected_crashes=crashes, body=text.encode())


def read_reply(reply: HttpReply, context: CallContext, lent_retries: int) -> Answer:
    """Returns the answer for a backend server's response, and restores the retry budget.

    ``lent_retries`` is the number of retries that was sent along with the request.
    """
    content_type = reply.headers.get("Content-Type", "application/octet-stream")
    try:
        attempts_left = parse_whole_number(reply.headers, ATTEMPTS_LEFT, lent_retries, lent_retries)
        path_level = parse_whole_number(reply.headers, PATH_LEVEL, 0, 10_000)
        path_queued_ms = parse_whole_number(reply.headers, QUEUED_MS, 0, 3_600_000)
    except BadRequestError:
        attempts_left, path_level, path_queued_ms = 0, 0, 0
    if reply.status == 503 and SHED in reply.headers:
        context.budget.retries = lent_retries
        return refused(Reason.BACKEND_SHED, retry_useful=True)
    context.budget.retries = attempts_left
    if reply.status >= 500:
        answer = failed(Reason.BACKEND_ERROR, reply.body, content_type)
        return answer._replace(
            path_level=path_level,
            attempts_left=attempts_left,
            path_queued_ms=path_queued_ms,
            absent_service=read_absent_service(reply.headers),
        )
    return Answer(
        outcome=Outcome.DONE,
        status=reply.status,
        body=reply.body,
        content_type=content_type,
        path_level=path_level,
        attempts_left=attempts_left,
        path_queued_ms=path_queued_ms,
        used_services=read_used_services(reply.headers),
    )

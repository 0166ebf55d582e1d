"""Explains from events where one request waited, was refused or retried, and why."""

from typing import NamedTuple

from coltsfoottrack._internal.events.kinds import PROBLEM_KINDS, EventKind
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import Event

REASON_TEXTS = {
    "overload": "the node's queue was full of work at least as important",
    "evicted": "more important work took its place in the queue",
    "service_absent": "no node of a service that it needs accepted work, so it was refused early",
    "early_refusal": "the services below were shedding this priority, so it was refused early",
    "deadline": "its deadline passed before it could be answered",
    "backend_shed": "the backend server shed it without running it",
    "backend_down": "no backend server was running beside the node",
    "backend_error": "the backend server ran it and reported failure",
    "backend_lost": "the connection to the backend server broke while it ran",
    "connection_lost": "the connection to the next node broke after it was sent",
    "silent": "the connection to the next node became unresponsive",
    "home_gone": "the node that issued its idempotency key is gone",
    "leaving": "the node was leaving",
    "no_node": "no node of the service could be reached",
    "quarantined": "it crashed backend servers before",
    "caller_gone": "its caller closed the connection",
}
TIMEOUT_REASONS = frozenset(("deadline", "connection_lost", "silent"))


class Explanation(NamedTuple):
    """The cause of a request's outcome, its retries, and where it spent the most time."""

    verdict: str
    retries: list[str]
    times: list[str]


def explain_events(request_id: str, events: list[Event]) -> Explanation:
    """Explains one request from its events, which must be in causal order."""
    problems = [event for event in events if event.kind in PROBLEM_KINDS]
    retries = []
    for event in events:
        if event.kind == EventKind.RETRY:
            retries.append(f"retried towards {location(event)} after {event.reason or 'a failure'}")
        if event.kind == EventKind.RETRY_REFUSED:
            retries.append(
                f"not retried towards {location(event)} after {event.reason}: the attempt budget "
                "or the retry ratio was used up"
            )
    cancelled = [event for event in events if event.kind == EventKind.CANCELLED]
    if not problems:
        if cancelled:
            longest = max(cancelled, key=lambda event: event.duration_ms)
            verdict = (
                f"its caller disconnected after {longest.duration_ms:.1f} ms"
                f"{_last_position(cancelled)}"
            )
            return Explanation(f"request {request_id}: {verdict}", retries, [])
        return Explanation(
            f"request {request_id}: no trouble is recorded; it was answered in time, or its "
            "events are no longer stored",
            retries,
            [],
        )
    verdict = _verdict(request_id, problems)
    if problems[0].reason in TIMEOUT_REASONS:
        verdict += _last_position(cancelled)
    return Explanation(verdict, retries, _durations(problems + cancelled))


def _verdict(request_id: str, problems: list[Event]) -> str:
    # A callee records its answer before its caller, so the first event is the cause.
    cause, end = problems[0], problems[-1]
    why = REASON_TEXTS.get(cause.reason, cause.reason)
    if cause.kind in (EventKind.SLOW, EventKind.LATE):
        waited = cause.queued_ms > cause.running_ms
        part = "waiting for a slot" if waited else "running on the backend server"
        if not cause.queued_ms and not cause.running_ms:
            part = "in the calls below it"
        why = f"most of the time went into {part}"
    verdict = f"request {request_id} ({cause.priority}): {cause.kind} at {location(cause)}"
    verdict += f" after {cause.duration_ms:.1f} ms; {why}"
    if end is not cause:
        verdict += f"; its caller received {end.kind} from {location(end)}"
        if end.reason and end.reason != cause.reason:
            verdict += f", reason {end.reason}"
    return verdict


def _last_position(cancelled: list[Event]) -> str:
    """Returns a text on where a request was at its timeout: at the call that started last.

    All layers share one deadline, so the calls below are cancelled rather than answered late.
    """
    if not cancelled:
        return ""
    deepest = min(cancelled, key=lambda event: event.duration_ms)
    return f"; at that time it had been at {location(deepest)} for {deepest.duration_ms:.1f} ms"


def _durations(problems: list[Event]) -> list[str]:
    times = []
    for event in sorted(problems, key=lambda item: item.duration_ms, reverse=True)[:10]:
        other = max(0.0, event.duration_ms - event.queued_ms - event.running_ms)
        times.append(
            f"{location(event)}: {event.duration_ms:.1f} ms in all, {event.queued_ms:.1f} ms "
            f"waiting for a slot, {event.running_ms:.1f} ms on the backend server, "
            f"{other:.1f} ms other"
        )
    return times


def location(event: Event) -> str:
    """Returns where an event happened: service, operation and backend server or process."""
    target = f"{event.service}/{event.operation}"
    where = event.backend_server or event.node
    if event.process == "client":
        return f"{target}, called from the backend server of {event.node}"
    return f"{target} on {where}"

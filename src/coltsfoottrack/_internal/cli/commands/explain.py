"""``coltsfoottrack explain``: shows what happened to one request and why."""

from asyncio import run

from fire.decorators import SetParseFn

from coltsfoottrack._internal.cli.event_output import (
    event_document,
    event_line,
    fetch_events,
    missing_document,
    missing_lines,
)
from coltsfoottrack._internal.cli.output import check_output, emit
from coltsfoottrack._internal.events.explain import explain_events
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import EventsRequest

MAX_EVENTS = 4096


@SetParseFn(str)
def explain(request_id: str, node: str = "", platform: str = "", output: str = "text") -> None:
    """Explains where and why a request was queued, refused or retried.

    Args:
        request_id: Value of the request's Request-Id header.
        node: Peer address HOST:PORT of any node; default is COLTSFOOTTRACK_NODE.
        platform: Address HOST:PORT of the platform, to discover the nodes.
        output: text or json.
    """
    check_output(output)
    query = EventsRequest(request_id=request_id, limit=MAX_EVENTS)
    found = run(fetch_events(node, platform, query))
    explanation = explain_events(request_id, found.events)
    document = {
        "request_id": request_id,
        "verdict": explanation.verdict,
        "retries": explanation.retries,
        "times": explanation.times,
        "events": [event_document(event) for event in found.events],
    }
    document.update(missing_document(found))
    lines = [explanation.verdict]
    lines.extend(f"  {line}" for line in explanation.retries)
    if explanation.times:
        lines.append("where the time went:")
        lines.extend(f"  {line}" for line in explanation.times)
    if found.events:
        lines.append("events:")
        lines.extend(f"  {event_line(event)}" for event in found.events)
    lines.extend(missing_lines(found))
    emit(output, document, lines)

"""``coltsfoottrack timeline``: shows events of all processes in causal order."""

from asyncio import run

from fire.decorators import SetParseFn

from coltsfoottrack._internal.cli.event_output import (
    event_document,
    event_line,
    fetch_events,
    missing_document,
    missing_lines,
)
from coltsfoottrack._internal.cli.exceptions import EXIT_BAD_INPUT, CommandError
from coltsfoottrack._internal.cli.output import check_output, emit, parse_time
from coltsfoottrack._internal.events.kinds import KIND_NAMES
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import EventsRequest

MAX_LIMIT = 4096


@SetParseFn(str)
def timeline(
    request: str = "",
    service: str = "",
    kind: str = "",
    since: str = "",
    until: str = "",
    limit: str = "1000",
    node: str = "",
    platform: str = "",
    output: str = "text",
) -> None:
    """Shows events of all nodes and embedded clients in causal order.

    Args:
        request: Only events of this request identifier.
        service: Only events of calls to this service.
        kind: Only events of this kind, such as refused, late, slow, retry or unknown.
        since: Only events from this time on: an age such as 10m, or an RFC 3339 time.
        until: Only events up to this time: an age such as 10m, or an RFC 3339 time.
        limit: Maximum number of events per node, 1 to 4096; the oldest are omitted first.
        node: Peer address HOST:PORT of any node; default is COLTSFOOTTRACK_NODE.
        platform: Address HOST:PORT of the platform, to discover the nodes.
        output: text or json.
    """
    check_output(output)
    if kind and kind not in KIND_NAMES:
        accepted = ", ".join(sorted(KIND_NAMES))
        raise CommandError(f"--kind {kind!r} is unknown; accepted: {accepted}", EXIT_BAD_INPUT)
    if not (limit.isascii() and limit.isdigit() and 1 <= int(limit[:9]) <= MAX_LIMIT):
        raise CommandError(f"--limit must be a whole number from 1 to {MAX_LIMIT}", EXIT_BAD_INPUT)
    query = EventsRequest(
        request_id=request,
        service=service,
        kind=kind,
        from_ms=parse_time(since, "--since"),
        until_ms=parse_time(until, "--until"),
        limit=int(limit),
    )
    found = run(fetch_events(node, platform, query))
    document = {"events": [event_document(event) for event in found.events]}
    document.update(missing_document(found))
    lines = missing_lines(found)
    lines.extend(event_line(event) for event in found.events)
    emit(output, document, lines or ["no event matches"])

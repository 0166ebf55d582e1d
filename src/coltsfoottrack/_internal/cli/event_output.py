"""Fetches events from all nodes and formats them as text and JSON."""

from typing import Any, NamedTuple

from coltsfoottrack._internal.cli.fleet_client import FleetClient
from coltsfoottrack._internal.cli.output import format_time
from coltsfoottrack._internal.events.timeline import (
    Gap,
    NodeEvents,
    clock_to_ms,
    find_gaps,
    merge,
)
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import Event, EventsRequest


class FleetEvents(NamedTuple):
    """Merged events of all nodes that answered, with gaps and unreachable nodes."""

    events: list[Event]
    gaps: list[Gap]
    unreachable: list[str]
    notes: list[str]


async def fetch_events(node: str, platform: str, query: EventsRequest) -> FleetEvents:
    """Fetches the matching events of every known node and merges them in causal order."""
    fleet = FleetClient.from_config(node, platform)
    try:
        answers = await fleet.events(query)
    finally:
        fleet.close()
    groups, unreachable = [], []
    for answer in answers:
        if answer.reply is None:
            unreachable.append(f"{answer.name or 'node'} at {answer.address}: {answer.problem}")
            continue
        reply = answer.reply
        groups.append(
            NodeEvents(
                answer.name, list(reply.events), reply.dropped, reply.oldest_clock, reply.left_out
            )
        )
    return FleetEvents(merge(groups), find_gaps(groups), unreachable, fleet.notes)


def event_line(event: Event) -> str:
    """Returns the text line of an event."""
    parts = [format_time(clock_to_ms(event.event_clock)), event.node]
    if event.process == "client":
        parts.append("(client)")
    parts.append(event.kind)
    if event.service:
        parts.append(f"{event.service}/{event.operation}")
    if event.priority:
        parts.append(event.priority)
    if event.reason:
        parts.append(f"reason={event.reason}")
    if event.duration_ms:
        parts.append(f"{event.duration_ms:.1f}ms")
    if event.queued_ms or event.running_ms:
        parts.append(f"(queued {event.queued_ms:.1f}, running {event.running_ms:.1f})")
    if event.served_by:
        parts.append(f"answered by {event.served_by}")
    if event.request_id:
        parts.append(f"request={event.request_id}")
    if event.detail:
        parts.append(event.detail)
    return " ".join(parts)


def event_document(event: Event) -> dict[str, Any]:
    """Returns the JSON form of an event."""
    return {field.name: getattr(event, field.name) for field in event.DESCRIPTOR.fields}


def missing_lines(found: FleetEvents) -> list[str]:
    """Returns the lines that report notes, unreachable nodes and gaps of a listing."""
    lines = [f"note: {note}" for note in found.notes]
    for problem in found.unreachable:
        lines.append(f"unreachable, its events are missing: {problem}")
    for gap in found.gaps:
        time_text = format_time(clock_to_ms(gap.before_clock))
        lines.append(f"gap: {gap.missing} events of {gap.node} before {time_text} {gap.why}")
    return lines


def missing_document(found: FleetEvents) -> dict[str, Any]:
    """Returns the JSON form of the notes, unreachable nodes and gaps of a listing."""
    return {
        "notes": found.notes,
        "unreachable": found.unreachable,
        "gaps": [gap._asdict() for gap in found.gaps],
    }

"""Merges the events of several processes into one timeline, and finds the gaps in it."""

from typing import NamedTuple

from coltsfoottrack._internal.events.clock import LOGICAL_BITS
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import Event


class NodeEvents(NamedTuple):
    """The events that one node returned, oldest first, and the number that it dropped."""

    node: str
    events: list[Event]
    dropped: int = 0
    oldest_clock: int = 0
    left_out: int = 0


class Gap(NamedTuple):
    """Events of a node that are missing from a timeline before one event clock."""

    node: str
    missing: int
    before_clock: int
    why: str


def clock_to_ms(event_clock: int) -> int:
    """Returns the time part of an event clock, in ms since the epoch."""
    return event_clock >> LOGICAL_BITS


def merge(groups: list[NodeEvents]) -> list[Event]:
    """Returns all events in the order of the hybrid clock, causes before effects.

    Events of different processes with equal readings are unrelated; they are ordered by node name
    for a stable order.
    """
    events = []
    for group in groups:
        events.extend(group.events)
    events.sort(key=lambda event: (event.event_clock, event.node, event.process))
    return events


def find_gaps(groups: list[NodeEvents]) -> list[Gap]:
    """Returns where events are missing, so that a timeline does not look complete."""
    gaps = []
    for group in groups:
        if group.dropped:
            gaps.append(Gap(group.node, group.dropped, group.oldest_clock, "overwritten"))
        if group.left_out:
            before = group.events[0].event_clock if group.events else 0
            gaps.append(Gap(group.node, group.left_out, before, "beyond the limit"))
    return gaps

"""Bounded memory of a node's events."""

from collections import deque
from time import time

from coltsfoottrack._internal.calls.context import CallContext
from coltsfoottrack._internal.events.clock import HybridClock
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import Event

RING_CAPACITY = 4096


class EventRing:
    """The newest events of one process; the oldest are overwritten."""

    def __init__(self, node: str, clock: HybridClock, capacity: int = RING_CAPACITY) -> None:
        self.node = node
        self.clock = clock
        self.events: deque[Event] = deque(maxlen=capacity)
        self.dropped = 0

    def add(self, kind: str, **fields: str | float) -> None:
        """Records an event; fields are those of the schema's Event."""
        if len(self.events) == self.events.maxlen:
            self.dropped += 1
        self.events.append(
            Event(
                event_clock=self.clock.tick(),
                wall_ms=int(time() * 1000),
                node=self.node,
                kind=kind,
                **fields,
            )
        )

    def add_call(self, kind: str, context: CallContext, **fields: str | float) -> None:
        """Records an event of a call."""
        self.add(
            kind,
            request_id=context.request_id,
            call_id=context.call_id,
            service=context.service,
            operation=context.operation,
            priority=context.priority_name,
            **fields,
        )

"""Ring buffer for the events of one process."""

from collections import Counter, deque
from time import time
from typing import NamedTuple

from coltsfoottrack._internal.calls.context import CallContext
from coltsfoottrack._internal.events.clock import HybridClock
from coltsfoottrack._internal.events.kinds import KIND_NAMES, EventKind
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import Event

# About 400 bytes each, so that a full ring stays below 2 MB.
RING_CAPACITY = 4096
MAX_TEXT_LENGTH = 200
PROCESS_NODE = "node"
PROCESS_CLIENT = "client"


class EventFilter(NamedTuple):
    """Which events to return; empty and zero values match all."""

    request_id: str = ""
    service: str = ""
    kind: str = ""
    from_ms: int = 0
    until_ms: int = 0

    def matches(self, event: Event) -> bool:
        """Returns whether an event passes the filter."""
        if self.request_id and event.request_id != self.request_id:
            return False
        if self.service and event.service != self.service:
            return False
        if self.kind and event.kind != self.kind:
            return False
        if self.from_ms and event.wall_ms < self.from_ms:
            return False
        return not (self.until_ms and event.wall_ms > self.until_ms)


class EventRing:
    """Keeps the newest events of one process; counts the older ones that are overwritten."""

    def __init__(
        self,
        node: str,
        clock: HybridClock,
        capacity: int = RING_CAPACITY,
        process: str = PROCESS_NODE,
    ) -> None:
        self.node = node
        self.clock = clock
        self.process = process
        self.events: deque[Event] = deque(maxlen=capacity)
        self.dropped = 0
        self.counts: Counter[str] = Counter()

    def add(self, kind: str, **fields: str | float) -> None:
        """Records an event with fields of the schema's Event."""
        self.append(
            Event(
                event_clock=self.clock.tick(),
                wall_ms=int(time() * 1000),
                node=self.node,
                kind=kind,
                process=self.process,
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

    def append(self, event: Event) -> None:
        """Records a complete event, which may come from another process."""
        if len(self.events) == self.events.maxlen:
            self.dropped += 1
        self.events.append(event)
        self.counts[event.kind] += 1

    def add_reported(self, event: Event) -> None:
        """Records an event of the embedded client, with its texts truncated to a maximum length."""
        if event.kind not in KIND_NAMES:
            event.kind = EventKind.BACKEND.value
        for name in ("request_id", "call_id", "service", "operation", "priority", "reason"):
            text = getattr(event, name)
            if len(text) > MAX_TEXT_LENGTH:
                setattr(event, name, text[:MAX_TEXT_LENGTH])
        event.detail = event.detail[:MAX_TEXT_LENGTH]
        event.served_by = event.served_by[:MAX_TEXT_LENGTH]
        event.backend_server = event.backend_server[:MAX_TEXT_LENGTH]
        event.node = self.node
        event.process = PROCESS_CLIENT
        self.append(event)

    def take(self, limit: int) -> tuple[list[Event], int]:
        """Removes up to ``limit`` oldest events; returns them and the drops since the last call."""
        taken = []
        while self.events and len(taken) < limit:
            taken.append(self.events.popleft())
        dropped, self.dropped = self.dropped, 0
        return taken, dropped

    def put_back(self, events: list[Event], dropped: int) -> None:
        """Puts events that could not be sent back into the ring; drops the oldest if it is full."""
        self.dropped += dropped
        for event in reversed(events):
            if len(self.events) == self.events.maxlen:
                self.dropped += 1
                continue
            self.events.appendleft(event)

    def select(self, wanted: EventFilter, limit: int) -> tuple[list[Event], int]:
        """Returns the newest matching events in order, and the number of older ones left out."""
        matching = [event for event in self.events if wanted.matches(event)]
        left_out = max(0, len(matching) - limit)
        return matching[left_out:], left_out

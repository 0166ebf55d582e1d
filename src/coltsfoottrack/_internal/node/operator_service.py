"""gRPC service for operators: Status, Events and Drain."""

from time import time

from grpclib.server import Stream

from coltsfoottrack._internal.calls.outcome import Reason
from coltsfoottrack._internal.events.kinds import EventKind
from coltsfoottrack._internal.events.ring import EventFilter
from coltsfoottrack._internal.node.envelopes import check_cluster, check_envelope
from coltsfoottrack._internal.node.state import NodeState
from coltsfoottrack._internal.observability.process import resident_bytes
from coltsfoottrack._internal.schema.coltsfoottrack_grpc import OperatorBase
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import (
    DrainReply,
    DrainRequest,
    EventsReply,
    EventsRequest,
    StatusReply,
    StatusRequest,
)

DEFAULT_EVENT_LIMIT = 1000
MAX_EVENT_LIMIT = 4096
SHED_REASONS = frozenset(
    reason.value
    for reason in (Reason.OVERLOAD, Reason.EVICTED, Reason.EARLY_REFUSAL, Reason.BACKEND_SHED)
)


class OperatorService(OperatorBase):
    """Answers operators from this node's own state, without calls to the platform or peers."""

    def __init__(self, state: NodeState) -> None:
        self.state = state

    async def Status(  # noqa: N802 - name from the schema
        self, stream: Stream[StatusRequest, StatusReply]
    ) -> None:
        """Returns the status of this node.

        A request without a cluster name is answered too: it changes nothing, and an operator's
        command learns the name from the reply.
        """
        request = await stream.recv_message()
        if request.envelope.cluster:
            # A request without a signature must not advance the event clock.
            check_cluster(request.envelope, self.state)
        await stream.send_message(status_reply(self.state))

    async def Events(  # noqa: N802 - name from the schema
        self, stream: Stream[EventsRequest, EventsReply]
    ) -> None:
        """Returns the newest matching events in the order of the event clock."""
        request = await stream.recv_message()
        check_envelope(request.envelope, self.state)
        wanted = EventFilter(
            request.request_id, request.service, request.kind, request.from_ms, request.until_ms
        )
        ring = self.state.ring
        limit = min(request.limit or DEFAULT_EVENT_LIMIT, MAX_EVENT_LIMIT)
        events, left_out = ring.select(wanted, limit)
        reply = EventsReply(
            envelope=self.state.envelope(), events=events, dropped=ring.dropped, left_out=left_out
        )
        if ring.events:
            reply.oldest_clock = ring.events[0].event_clock
            reply.oldest_wall_ms = ring.events[0].wall_ms
        await stream.send_message(reply)

    async def Drain(  # noqa: N802 - name from the schema
        self, stream: Stream[DrainRequest, DrainReply]
    ) -> None:
        """Starts to drain the node: it takes no new work and completes the calls in flight."""
        request = await stream.recv_message()
        check_envelope(request.envelope, self.state)
        state = self.state
        if state.drain.node_leaving_since is None:
            state.ring.add(EventKind.DRAIN.value, detail=f"asked by {request.envelope.sender}")
            state.start_drain()
        await stream.send_message(
            DrainReply(envelope=state.envelope(), in_flight=state.drain.in_flight)
        )


def status_reply(state: NodeState) -> StatusReply:
    """Returns the status of a node."""
    checker = state.checker
    reply = StatusReply(
        envelope=state.envelope(),
        self=state.member,
        members=list(state.members.members.values()),
        configuration_generation=state.configuration.generation,
        configuration_change_id=state.configuration.record.change_id,
        configuration_since_ms=state.configuration.since_ms,
        configuration_problem=state.configuration.problem,
        concurrency_limit=int(state.limiter.limit),
        in_flight=state.limiter.in_flight,
        queued=len(state.admission.queue),
        admission_level=state.admission.level,
        shedding_since_ms=state.refusals.shedding_since_ms(SHED_REASONS),
        refusals=list(state.refusals.episodes.values()),
        violations=checker.total() + state.client_violations.total(),
        backend_ready=state.backend.is_ready,
        open_keys=len(state.ledger.records),
        unknown_outcomes=state.ring.counts[EventKind.UNKNOWN.value],
        good_calls=state.metrics.good_total,
        retries_sent=state.ring.counts[EventKind.RETRY.value],
        retries_refused=state.ring.counts[EventKind.RETRY_REFUSED.value],
        announced_slots=state.backend.slots,
        started_ms=state.started_ms,
        draining=state.drain.is_leaving,
        not_ready=state.not_ready_reason(),
        resident_bytes=resident_bytes(),
        platform_addresses=list(state.settings.platform_addresses),
        configuration_conflicts=state.configuration.conflicts,
        platform_reachable=state.platform.contact.reachable,
        platform_since_ms=state.platform.contact.since_ms,
        peer_authentication=state.authentication.mode,
        unauthenticated_messages=state.authentication.refused_count(),
    )
    reply.violations_by_invariant.extend(checker.counts())
    reply.violations_by_invariant.extend(state.client_violations.counts())
    return reply


def configuration_age_seconds(state: NodeState) -> float:
    """Returns how long the configuration has been in force, in seconds."""
    return max(0.0, time() - state.configuration.since_ms / 1000.0)

"""gRPC service for the backend server beside the node."""

from asyncio import FIRST_COMPLETED, ensure_future, sleep, wait

from grpclib.server import Stream

from coltsfoottrack._internal.events.kinds import EventKind
from coltsfoottrack._internal.node.envelopes import check_envelope
from coltsfoottrack._internal.node.state import NodeState
from coltsfoottrack._internal.schema.coltsfoottrack_grpc import BackendBase
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import (
    AnnounceReply,
    AnnounceRequest,
    Member,
    ReportEventsReply,
    ReportEventsRequest,
    RoutesUpdate,
    WatchRoutesRequest,
)

# Groups changes that follow each other closely into one update.
COALESCE_SECONDS = 0.02
MAX_REPORTED_EVENTS = 500


class BackendService(BackendBase):
    """Accepts announcements of the backend server and sends routes to its embedded client."""

    def __init__(self, state: NodeState) -> None:
        self.state = state

    async def Announce(  # noqa: N802 - name from the schema
        self, stream: Stream[AnnounceRequest, AnnounceReply]
    ) -> None:
        """Stores the state that the backend server announces."""
        request = await stream.recv_message()
        check_envelope(request.envelope, self.state)
        self.state.client_violations.update(request.incarnation, request.violations)
        self.state.backend.announce(request)
        self.state.publish_member()
        await stream.send_message(AnnounceReply(envelope=self.state.envelope()))

    async def ReportEvents(  # noqa: N802 - name from the schema
        self, stream: Stream[ReportEventsRequest, ReportEventsReply]
    ) -> None:
        """Adds events of the embedded client to this node's ring, where operators read them."""
        request = await stream.recv_message()
        check_envelope(request.envelope, self.state)
        ring = self.state.ring
        if request.dropped:
            detail = f"{request.dropped} events of the embedded client were dropped"
            ring.add(EventKind.GAP.value, reason="client_buffer_full", detail=detail)
        for event in request.events[:MAX_REPORTED_EVENTS]:
            ring.add_reported(event)
        await stream.send_message(ReportEventsReply(envelope=self.state.envelope()))

    async def WatchRoutes(  # noqa: N802 - name from the schema
        self, stream: Stream[WatchRoutesRequest, RoutesUpdate]
    ) -> None:
        """Sends all members and the configuration, then each change."""
        request = await stream.recv_message()
        check_envelope(request.envelope, self.state)
        state = self.state
        sent: dict[str, Member] = {}
        generation = 0
        while True:
            members_changed = ensure_future(state.members.changed.wait())
            configuration_changed = ensure_future(state.configuration.changed.wait())
            changed = []
            for key, member in list(state.members.members.items()):
                if sent.get(key) is not member:
                    changed.append(member)
                    sent[key] = member
            update = RoutesUpdate(envelope=state.envelope(), members=changed)
            if state.configuration.generation != generation:
                generation = state.configuration.generation
                update.configuration.CopyFrom(state.configuration.record)
            await stream.send_message(update)
            waiting = (members_changed, configuration_changed)
            try:
                await wait(waiting, return_when=FIRST_COMPLETED)
            finally:
                for future in waiting:
                    future.cancel()
            await sleep(COALESCE_SECONDS)

"""What the backend server beside the node asks of it, over gRPC."""

from asyncio import FIRST_COMPLETED, ensure_future, wait

from grpclib.server import Stream

from coltsfoottrack._internal.events.kinds import EventKind
from coltsfoottrack._internal.node.envelopes import check_envelope
from coltsfoottrack._internal.node.state import NodeState
from coltsfoottrack._internal.schema.coltsfoottrack_grpc import BackendBase
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import (
    AnnounceReply,
    AnnounceRequest,
    ReportEventsReply,
    ReportEventsRequest,
    RoutesUpdate,
    WatchRoutesRequest,
)

MAX_REPORTED_EVENTS = 500


class BackendService(BackendBase):
    """Announcement of the backend server, and the routes for its embedded client."""

    def __init__(self, state: NodeState) -> None:
        self.state = state

    async def Announce(  # noqa: N802 - name from the schema
        self, stream: Stream[AnnounceRequest, AnnounceReply]
    ) -> None:
        """Takes over what the backend server says of itself."""
        request = await stream.recv_message()
        check_envelope(request.envelope, self.state)
        self.state.backend.announce(request)
        self.state.publish_member()
        await stream.send_message(AnnounceReply(envelope=self.state.envelope()))

    async def ReportEvents(  # noqa: N802 - name from the schema
        self, stream: Stream[ReportEventsRequest, ReportEventsReply]
    ) -> None:
        """Takes over events of the embedded client, so that operators see them here."""
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
        """Sends members and configuration at once and on every change."""
        request = await stream.recv_message()
        check_envelope(request.envelope, self.state)
        state = self.state
        while True:
            members_changed = ensure_future(state.members.changed.wait())
            configuration_changed = ensure_future(state.configuration.changed.wait())
            await stream.send_message(
                RoutesUpdate(
                    envelope=state.envelope(),
                    members=list(state.members.members.values()),
                    configuration=state.configuration.record,
                )
            )
            waiting = (members_changed, configuration_changed)
            try:
                await wait(waiting, return_when=FIRST_COMPLETED)
            finally:
                for future in waiting:
                    future.cancel()

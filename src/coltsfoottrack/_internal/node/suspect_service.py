"""News of crashing requests between the nodes of a service, over gRPC."""

from asyncio import gather, timeout

from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Stream
from structlog import get_logger

from coltsfoottrack._internal.admission.suspects import SuspectReport
from coltsfoottrack._internal.membership.table import member_id, peer_address
from coltsfoottrack._internal.node.envelopes import check_envelope
from coltsfoottrack._internal.node.state import NodeState
from coltsfoottrack._internal.schema.coltsfoottrack_grpc import SuspectPeerBase, SuspectPeerStub
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import (
    MEMBER_STATUS_ALIVE,
    MEMBER_STATUS_SUSPECT,
    ReportSuspectsReply,
    ReportSuspectsRequest,
    Suspect,
)

# Answers of a crashed backend server wait for the reports, so that a copy that is sent again
# once the failure is known meets nodes that know of it.
REPORT_TIMEOUT_SECONDS = 0.5
MAX_DIGEST_BYTES = 64

logger = get_logger(__name__)


class SuspectService(SuspectPeerBase):
    """Takes reports of other nodes."""

    def __init__(self, state: NodeState) -> None:
        self.state = state

    async def ReportSuspects(  # noqa: N802 - name from the schema
        self, stream: Stream[ReportSuspectsRequest, ReportSuspectsReply]
    ) -> None:
        """Takes over suspects, and drops those that have run to their end."""
        request = await stream.recv_message()
        check_envelope(request.envelope, self.state)
        suspects = self.state.suspects
        for suspect in request.suspects:
            if suspect.service != self.state.settings.service:
                continue
            if len(suspect.digest) > MAX_DIGEST_BYTES:
                continue
            suspects.merge(SuspectReport(suspect.digest, suspect.crashes, suspect.age_ms))
        for digest in request.cleared:
            suspects.clear(digest)
        await stream.send_message(ReportSuspectsReply(envelope=self.state.envelope()))


class SuspectReporter:
    """Tells the other nodes of the service about suspects."""

    def __init__(self, state: NodeState) -> None:
        self.state = state

    async def report(self, suspects: list[SuspectReport], cleared: list[bytes]) -> None:
        """Sends a report to all nodes of the service; returns within 0.5 s."""
        request = ReportSuspectsRequest(envelope=self.state.envelope(), cleared=cleared)
        for suspect in suspects:
            request.suspects.append(
                Suspect(
                    digest=suspect.digest,
                    service=self.state.settings.service,
                    crashes=suspect.crashes,
                    age_ms=suspect.age_ms,
                )
            )
        sending = []
        for member in self.state.members.members.values():
            if member.service != self.state.settings.service:
                continue
            if member.status not in (MEMBER_STATUS_ALIVE, MEMBER_STATUS_SUSPECT):
                continue
            if member_id(member) == self.state.name:
                continue
            sending.append(self._send(peer_address(member), request))
        await gather(*sending)

    async def _send(self, address: str, request: ReportSuspectsRequest) -> None:
        stub = SuspectPeerStub(self.state.channels.channel(address))
        try:
            async with timeout(REPORT_TIMEOUT_SECONDS):
                await stub.ReportSuspects(request)
        except (OSError, GRPCError, StreamTerminatedError, TimeoutError) as error:
            # Copies that are routed there still carry the number of crashes.
            logger.warning("suspects_not_reported", peer=address, problem=repr(error))

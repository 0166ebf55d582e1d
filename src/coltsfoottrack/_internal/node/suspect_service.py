"""Exchange of reports on crashing requests between the nodes of a service, over gRPC."""

from asyncio import gather, sleep, timeout

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
    Member,
    ReportSuspectsReply,
    ReportSuspectsRequest,
    Suspect,
)

# Answers for a crashed backend server wait for the reports, so that a copy that is resent after
# the failure reaches nodes that know of the crash.
REPORT_TIMEOUT_SECONDS = 0.5
MAX_DIGEST_BYTES = 64
# Interval at which reports are repeated to nodes that have not confirmed them.
MISSING_REPORTS_INTERVAL_SECONDS = 0.5
# Limits the size of a report to a node that knows none of the suspects; later reports carry the
# rest.
MAX_SUSPECTS_IN_REPORT = 200

logger = get_logger(__name__)


class SuspectService(SuspectPeerBase):
    """Receives reports of other nodes."""

    def __init__(self, state: NodeState) -> None:
        self.state = state

    async def ReportSuspects(  # noqa: N802 - name from the schema
        self, stream: Stream[ReportSuspectsRequest, ReportSuspectsReply]
    ) -> None:
        """Merges reported suspects, and clears those that have completed a run."""
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
    """Reports suspects to the other nodes of the service until each has confirmed them."""

    def __init__(self, state: NodeState) -> None:
        self.state = state
        # Number of crashes that each process of a node has confirmed, by digest.
        self.confirmed: dict[tuple[str, int], dict[bytes, int]] = {}

    async def keep_up(self) -> None:
        """Sends reports to nodes that were unreachable, and to processes started since."""
        while True:
            await sleep(MISSING_REPORTS_INTERVAL_SECONDS)
            if self.state.suspects.entries:
                await gather(*(self._send_missing(member) for member in self._members()))
            else:
                self.confirmed.clear()

    async def _send_missing(self, member: Member) -> None:
        """Sends one node the suspects that it has not confirmed."""
        confirmed = self.confirmed.get((member_id(member), member.incarnation), {})
        missing = []
        for digest in list(self.state.suspects.entries):
            report = self.state.suspects.report(digest)
            if report is not None and report.crashes > confirmed.get(digest, 0):
                missing.append(report)
        if missing:
            await self._send(member, self._request(missing[:MAX_SUSPECTS_IN_REPORT], []))

    async def report(self, suspects: list[SuspectReport], cleared: list[bytes]) -> None:
        """Sends a report to all nodes of the service; returns within 0.5 s."""
        request = self._request(suspects, cleared)
        await gather(*(self._send(member, request) for member in self._members()))

    def _members(self) -> list[Member]:
        """Returns the other nodes of the service that are alive or suspected."""
        members = []
        for member in self.state.members.members.values():
            if member.service != self.state.settings.service:
                continue
            if member.status not in (MEMBER_STATUS_ALIVE, MEMBER_STATUS_SUSPECT):
                continue
            if member_id(member) == self.state.name:
                continue
            members.append(member)
        return members

    def _request(
        self, suspects: list[SuspectReport], cleared: list[bytes]
    ) -> ReportSuspectsRequest:
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
        return request

    async def _send(self, member: Member, request: ReportSuspectsRequest) -> None:
        address = peer_address(member)
        stub = SuspectPeerStub(self.state.channels.channel(address))
        try:
            async with timeout(REPORT_TIMEOUT_SECONDS):
                await stub.ReportSuspects(request)
        except (OSError, GRPCError, StreamTerminatedError, TimeoutError) as error:
            # Copies that are routed to this peer still carry the number of crashes.
            logger.warning("suspects_not_reported", peer=address, problem=repr(error))
            return
        confirmed = self.confirmed.setdefault((member_id(member), member.incarnation), {})
        for suspect in request.suspects:
            confirmed[suspect.digest] = max(suspect.crashes, confirmed.get(suspect.digest, 0))
        for digest in request.cleared:
            confirmed.pop(digest, None)

"""Client of the outcome service of other nodes: queries for the outcomes of calls."""

from asyncio import timeout
from typing import Protocol

from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from coltsfoottrack._internal.calls.context import PROTOCOL_VERSION
from coltsfoottrack._internal.calls.outcome import Answer
from coltsfoottrack._internal.calls.outcome_records import (
    Settlement,
    from_record,
    read_settlement,
)
from coltsfoottrack._internal.calls.peer_authentication import PeerAuthentication
from coltsfoottrack._internal.events.clock import HybridClock
from coltsfoottrack._internal.routing.exceptions import ConnectionLostError
from coltsfoottrack._internal.routing.peer_channels import open_channel
from coltsfoottrack._internal.schema.coltsfoottrack_grpc import OutcomePeerStub
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import (
    Envelope,
    FetchOutcomeRequest,
    SettleRequest,
)

SETTLE_TIMEOUT_SECONDS = 0.5
RPC_ERRORS = (OSError, GRPCError, ProtocolError, StreamTerminatedError, TimeoutError)


class OutcomeClient(Protocol):
    """Queries nodes for outcomes; tests replace it by an in-memory network."""

    async def settle(self, address: str, request: SettleRequest) -> Settlement:
        """Sends Settle to a peer address; raises ConnectionLostError without a reply."""

    async def fetch(self, address: str, key: str) -> Answer | None:
        """Returns the outcome that a backup node stores, None if it has none or does not reply."""


class PeerOutcomeClient:
    """Queries over a new connection each time, since open ones may be unresponsive."""

    def __init__(
        self, cluster: str, clock: HybridClock, authentication: PeerAuthentication
    ) -> None:
        self.cluster = cluster
        self.clock = clock
        self.authentication = authentication

    def _envelope(self) -> Envelope:
        return Envelope(
            cluster=self.cluster,
            protocol_version=PROTOCOL_VERSION,
            event_clock=self.clock.tick(),
        )

    async def settle(self, address: str, request: SettleRequest) -> Settlement:
        """Sends Settle to a peer address and returns the settlement of the call.

        Raises ConnectionLostError if there is no reply within 0.5 s.
        """
        request.envelope.CopyFrom(self._envelope())
        channel = open_channel(address, self.authentication)
        try:
            async with timeout(SETTLE_TIMEOUT_SECONDS):
                reply = await OutcomePeerStub(channel).Settle(request)
        except RPC_ERRORS as error:
            raise ConnectionLostError(f"no reply to Settle from {address}: {error!r}") from error
        finally:
            channel.close()
        self.clock.observe(reply.envelope.event_clock)
        return read_settlement(reply.record)

    async def fetch(self, address: str, key: str) -> Answer | None:
        """Returns the outcome that a backup node stores, None if it has none or does not reply."""
        request = FetchOutcomeRequest(envelope=self._envelope(), key=key)
        channel = open_channel(address, self.authentication)
        try:
            async with timeout(SETTLE_TIMEOUT_SECONDS):
                reply = await OutcomePeerStub(channel).FetchOutcome(request)
        except RPC_ERRORS:
            return None
        finally:
            channel.close()
        self.clock.observe(reply.envelope.event_clock)
        return from_record(reply.record) if reply.found else None

"""gRPC service for outcomes, used by other nodes and embedded clients."""

from grpclib.server import Stream

from coltsfoottrack._internal.calls.exceptions import InvalidKeyError
from coltsfoottrack._internal.calls.identifiers import IdempotencyKey
from coltsfoottrack._internal.calls.outcome_records import (
    CallState,
    Settlement,
    settlement_record,
)
from coltsfoottrack._internal.node.envelopes import check_envelope
from coltsfoottrack._internal.node.state import NodeState
from coltsfoottrack._internal.schema.coltsfoottrack_grpc import OutcomePeerBase
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import (
    FetchOutcomeReply,
    FetchOutcomeRequest,
    SettleReply,
    SettleRequest,
    StoreOutcomeReply,
    StoreOutcomeRequest,
)


class OutcomeService(OutcomePeerBase):
    """Settles calls with unknown outcome, and keeps outcome copies as a backup."""

    def __init__(self, state: NodeState) -> None:
        self.state = state

    async def StoreOutcome(  # noqa: N802 - name from the schema
        self, stream: Stream[StoreOutcomeRequest, StoreOutcomeReply]
    ) -> None:
        """Stores copies of outcomes on behalf of their home."""
        request = await stream.recv_message()
        check_envelope(request.envelope, self.state)
        self.state.outcome_copies.store(request.batch)
        await stream.send_message(StoreOutcomeReply(envelope=self.state.envelope()))

    async def FetchOutcome(  # noqa: N802 - name from the schema
        self, stream: Stream[FetchOutcomeRequest, FetchOutcomeReply]
    ) -> None:
        """Returns the copy of an outcome, if this node has one."""
        request = await stream.recv_message()
        check_envelope(request.envelope, self.state)
        record = self.state.outcome_copies.find(request.key)
        await stream.send_message(
            FetchOutcomeReply(
                envelope=self.state.envelope(), found=record is not None, record=record
            )
        )

    async def Settle(  # noqa: N802 - name from the schema
        self, stream: Stream[SettleRequest, SettleReply]
    ) -> None:
        """Returns the state of a call; one that was never seen is closed and cannot run later."""
        request = await stream.recv_message()
        check_envelope(request.envelope, self.state)
        settlement = settle(self.state, request)
        self.state.metrics.settlements.inc({"state": settlement.state.name.lower()})
        await stream.send_message(
            SettleReply(envelope=self.state.envelope(), record=settlement_record(settlement))
        )


def settle(state: NodeState, request: SettleRequest) -> Settlement:
    """Settles a key in the ledger of its home, or a dispatch or idempotent call in the registry."""
    if not request.key:
        return state.registry.settle(request.call_id, request.age_ms)
    try:
        if not request.dispatch_number:
            return state.ledger.settle(request.key)
        expires_at_ms = IdempotencyKey.parse(request.key).expires_at_ms
    except InvalidKeyError:
        return Settlement(CallState.UNCERTAIN)
    return state.registry.settle(request.call_id, request.age_ms, expires_at_ms)

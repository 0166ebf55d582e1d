"""Checks of signatures and envelopes in messages between processes."""

from grpclib.const import Status
from grpclib.events import RecvRequest, listen
from grpclib.exceptions import GRPCError
from grpclib.server import Server

from coltsfoottrack._internal.calls.context import PROTOCOL_VERSION
from coltsfoottrack._internal.calls.exceptions import UnauthenticatedPeerError
from coltsfoottrack._internal.calls.peer_authentication import (
    PEER_SIGNATURE_METADATA,
    MessageKind,
    PeerAuthentication,
    decode_signature,
)
from coltsfoottrack._internal.node.state import NodeState
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import Envelope

# Needs no signature: it changes nothing, and an operator's command learns the cluster name by it.
OPEN_METHODS = frozenset(("/coltsfoottrack.v1.Operator/Status",))


def require_signatures(server: Server, authentication: PeerAuthentication) -> None:
    """Makes a gRPC server refuse requests without a valid signature before reading them."""

    async def check(event: RecvRequest) -> None:
        if event.method_name in OPEN_METHODS:
            return
        # The signature is sent as hex: metadata allows binary values only under "-bin" names.
        signature = decode_signature(str(event.metadata.get(PEER_SIGNATURE_METADATA, "")))
        try:
            authentication.check(MessageKind.GRPC, signature, event.method_name.encode())
        except UnauthenticatedPeerError as error:
            raise GRPCError(Status.UNAUTHENTICATED, str(error)) from error

    listen(server, RecvRequest, check)


def check_cluster(envelope: Envelope, state: NodeState) -> None:
    """Raises GRPCError for a message of another cluster or protocol version."""
    if envelope.cluster != state.settings.cluster:
        raise GRPCError(
            Status.FAILED_PRECONDITION,
            f"message of cluster {envelope.cluster!r}, this is {state.settings.cluster!r}",
        )
    if envelope.protocol_version != PROTOCOL_VERSION:
        raise GRPCError(
            Status.FAILED_PRECONDITION,
            f"protocol version {envelope.protocol_version}, this node speaks {PROTOCOL_VERSION}",
        )


def check_envelope(envelope: Envelope, state: NodeState) -> None:
    """Checks cluster and protocol version, then advances the event clock to the sender's."""
    check_cluster(envelope, state)
    state.clock.observe(envelope.event_clock)

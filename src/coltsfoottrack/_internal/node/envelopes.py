"""Checks on the common part of messages between processes."""

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

# Changes nothing, and tells an operator's command the name of the cluster.
OPEN_METHODS = frozenset(("/coltsfoottrack.v1.Operator/Status",))


def require_signatures(server: Server, authentication: PeerAuthentication) -> None:
    """Makes a gRPC server refuse requests without a signature before it reads their message."""

    async def check(event: RecvRequest) -> None:
        if event.method_name in OPEN_METHODS:
            return
        # Binary values are possible in metadata, but only under names that end in "-bin".
        signature = decode_signature(str(event.metadata.get(PEER_SIGNATURE_METADATA, "")))
        try:
            authentication.check(MessageKind.GRPC, signature, event.method_name.encode())
        except UnauthenticatedPeerError as error:
            raise GRPCError(Status.UNAUTHENTICATED, str(error)) from error

    listen(server, RecvRequest, check)


def check_cluster(envelope: Envelope, state: NodeState) -> None:
    """Refuses messages of other clusters or protocol versions."""
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
    """Refuses messages of other clusters or protocol versions and follows the sender's clock."""
    check_cluster(envelope, state)
    state.clock.observe(envelope.event_clock)

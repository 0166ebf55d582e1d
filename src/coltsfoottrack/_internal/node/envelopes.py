"""Checks on the common part of messages between processes."""

from grpclib.const import Status
from grpclib.exceptions import GRPCError

from coltsfoottrack._internal.calls.context import PROTOCOL_VERSION
from coltsfoottrack._internal.node.state import NodeState
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import Envelope


def check_envelope(envelope: Envelope, state: NodeState) -> None:
    """Refuses messages of other clusters or protocol versions and follows the sender's clock."""
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
    state.clock.observe(envelope.event_clock)

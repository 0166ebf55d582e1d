"""gRPC service through which peers and operators read and push the configuration."""

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Stream

from coltsfoottrack._internal.node.envelopes import check_envelope
from coltsfoottrack._internal.node.state import NodeState
from coltsfoottrack._internal.schema.coltsfoottrack_grpc import ConfigurationPeerBase
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import (
    ConfigurationReply,
    FetchConfigurationRequest,
    PushConfigurationRequest,
)


class ConfigurationService(ConfigurationPeerBase):
    """Serves ConfigurationPeer."""

    def __init__(self, state: NodeState) -> None:
        self.state = state

    async def FetchConfiguration(  # noqa: N802 - name from the schema
        self, stream: Stream[FetchConfigurationRequest, ConfigurationReply]
    ) -> None:
        """Returns the record in force at this node."""
        request = await stream.recv_message()
        check_envelope(request.envelope, self.state)
        await stream.send_message(self._reply())

    async def PushConfiguration(  # noqa: N802 - name from the schema
        self, stream: Stream[PushConfigurationRequest, ConfigurationReply]
    ) -> None:
        """Adopts a record if it is newer, and returns the record then in force at this node."""
        request = await stream.recv_message()
        check_envelope(request.envelope, self.state)
        if not request.record.generation or not request.record.change_id:
            raise GRPCError(Status.INVALID_ARGUMENT, "record has no generation or change_id")
        self.state.configuration.offer(request.record, f"push by {request.envelope.sender}")
        await stream.send_message(self._reply())

    def _reply(self) -> ConfigurationReply:
        holder = self.state.configuration
        return ConfigurationReply(
            envelope=self.state.envelope(),
            record=holder.record,
            in_force_since_ms=holder.since_ms,
        )

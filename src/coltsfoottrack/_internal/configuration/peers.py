"""gRPC client for the configuration in force at other nodes."""

from collections.abc import Callable
from random import Random
from typing import Self

from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from coltsfoottrack._internal.calls.context import PROTOCOL_VERSION
from coltsfoottrack._internal.calls.peer_authentication import PeerAuthentication
from coltsfoottrack._internal.configuration.exceptions import PeerUnavailableError
from coltsfoottrack._internal.configuration.store import ConfigurationStore
from coltsfoottrack._internal.object_store.client import PlatformClient
from coltsfoottrack._internal.routing.peer_channels import PeerChannels
from coltsfoottrack._internal.schema.coltsfoottrack_grpc import ConfigurationPeerStub
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import (
    ConfigurationRecord,
    ConfigurationReply,
    Envelope,
    FetchConfigurationRequest,
    PushConfigurationRequest,
)

RPC_TIMEOUT_SECONDS = 1.0


class GrpcConfigurationPeers:
    """Fetches records from nodes and pushes records to them over shared channels."""

    def __init__(self, channels: PeerChannels, envelope: Callable[[], Envelope]) -> None:
        self.channels = channels
        self.envelope = envelope

    @classmethod
    def for_operator(cls, cluster: str, authentication: PeerAuthentication) -> Self:
        """Builds the client of a command; must be called inside an event loop."""

        def envelope() -> Envelope:
            return Envelope(cluster=cluster, protocol_version=PROTOCOL_VERSION, sender="operator")

        return cls(PeerChannels(authentication), envelope)

    async def fetch(self, address: str) -> ConfigurationRecord:
        """Returns the record in force at a node. Raises PeerUnavailableError."""
        return (await self._fetch(address)).record

    async def push(self, address: str, record: ConfigurationRecord) -> ConfigurationRecord:
        """Pushes a record to a node and returns the record in force there afterwards.

        Raises PeerUnavailableError.
        """
        request = PushConfigurationRequest(envelope=self.envelope(), record=record)
        stub = ConfigurationPeerStub(self.channels.channel(address))
        try:
            reply = await stub.PushConfiguration(request, timeout=RPC_TIMEOUT_SECONDS)
        except (OSError, GRPCError, ProtocolError, StreamTerminatedError, TimeoutError) as error:
            raise PeerUnavailableError(f"{address}: {error!r}") from error
        return reply.record

    async def _fetch(self, address: str) -> ConfigurationReply:
        request = FetchConfigurationRequest(envelope=self.envelope())
        stub = ConfigurationPeerStub(self.channels.channel(address))
        try:
            return await stub.FetchConfiguration(request, timeout=RPC_TIMEOUT_SECONDS)
        except (OSError, GRPCError, ProtocolError, StreamTerminatedError, TimeoutError) as error:
            raise PeerUnavailableError(f"{address}: {error!r}") from error

    def close(self) -> None:
        """Closes all channels."""
        self.channels.close()


def operator_store(
    platform_addresses: list[str], cluster: str, authentication: PeerAuthentication | None = None
) -> ConfigurationStore:
    """Builds the store of a command; must be called inside an event loop.

    The caller closes its ``peers`` after use.
    """
    return ConfigurationStore(
        PlatformClient.from_config(platform_addresses),
        GrpcConfigurationPeers.for_operator(cluster, authentication or PeerAuthentication()),
        Random(),
    )

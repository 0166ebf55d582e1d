"""Shared gRPC channels to other nodes."""

from collections import OrderedDict

from grpclib.client import Channel
from grpclib.config import Configuration
from grpclib.events import SendRequest, listen

from coltsfoottrack._internal.calls.peer_authentication import (
    PEER_SIGNATURE_METADATA,
    MessageKind,
    PeerAuthentication,
)

MAX_CHANNELS = 64
KEEPALIVE_SECONDS = 5.0
KEEPALIVE_TIMEOUT_SECONDS = 2.0


def open_channel(address: str, authentication: PeerAuthentication) -> Channel:
    """Returns a channel to HOST:PORT with its own connection; the caller closes it.

    Every request on it is signed with the cluster secret, if there is one.
    """
    host, _, port = address.rpartition(":")
    configuration = Configuration(
        _keepalive_time=KEEPALIVE_SECONDS,
        _keepalive_timeout=KEEPALIVE_TIMEOUT_SECONDS,
    )
    channel = Channel(host, int(port), config=configuration)

    async def sign(event: SendRequest) -> None:
        if authentication.enabled:
            signature = authentication.sign(MessageKind.GRPC, event.method_name.encode())
            event.metadata[PEER_SIGNATURE_METADATA] = signature.hex()

    listen(channel, SendRequest, sign)
    return channel


class PeerChannels:
    """Channels by peer address; the least recently used is closed above ``MAX_CHANNELS``."""

    def __init__(self, authentication: PeerAuthentication) -> None:
        self.authentication = authentication
        self.channels: OrderedDict[str, Channel] = OrderedDict()

    def channel(self, address: str) -> Channel:
        """Returns the channel to HOST:PORT, which connects at its first call."""
        channel = self.channels.pop(address, None)
        if channel is None:
            channel = open_channel(address, self.authentication)
        self.channels[address] = channel
        if len(self.channels) > MAX_CHANNELS:
            _, oldest = self.channels.popitem(last=False)
            oldest.close()
        return channel

    def discard(self, address: str) -> None:
        """Closes the channel to an address, so that the next call uses a new connection."""
        channel = self.channels.pop(address, None)
        if channel is not None:
            channel.close()

    def close(self) -> None:
        """Closes all channels."""
        for channel in self.channels.values():
            channel.close()
        self.channels.clear()

"""Anti-entropy exchange of the membership table with peers, over gRPC."""

from grpclib.server import Stream

from coltsfoottrack._internal.membership.sync import exchanged_buckets, members_of
from coltsfoottrack._internal.node.envelopes import check_envelope
from coltsfoottrack._internal.node.state import NodeState
from coltsfoottrack._internal.schema.coltsfoottrack_grpc import MembershipPeerBase
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import SyncReply, SyncRequest


class MembershipService(MembershipPeerBase):
    """Serves MembershipPeer."""

    def __init__(self, state: NodeState) -> None:
        self.state = state

    async def Sync(  # noqa: N802 - name from the schema
        self, stream: Stream[SyncRequest, SyncReply]
    ) -> None:
        """Returns the members of the buckets that differ, then applies those of the peer."""
        request = await stream.recv_message()
        check_envelope(request.envelope, self.state)
        table = self.state.members
        detector = self.state.cluster.detector
        buckets: list[int] = []
        # A joining node gets the whole table regardless of the budget; others can ask again.
        if request.digests and (
            not request.max_buckets or detector.disseminator.available_bytes() > 0
        ):
            buckets = exchanged_buckets(
                table, list(request.digests), request.max_buckets, detector.random
            )
        reply = SyncReply(
            envelope=self.state.envelope(),
            members=members_of(table, buckets),
            configuration_generation=self.state.configuration.generation,
            differing_buckets=buckets,
        )
        detector.disseminator.charge(reply.ByteSize())
        detector.apply_all(list(request.members))
        await stream.send_message(reply)

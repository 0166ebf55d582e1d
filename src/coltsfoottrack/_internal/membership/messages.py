"""Encoding and checks of membership datagrams."""

from collections.abc import Callable
from ipaddress import ip_address

from google.protobuf.message import DecodeError

from coltsfoottrack._internal.calls.context import PROTOCOL_VERSION
from coltsfoottrack._internal.events.clock import HybridClock
from coltsfoottrack._internal.membership.exceptions import (
    ForeignMessageError,
    MalformedMessageError,
)
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import (
    Datagram,
    Member,
    MemberChange,
    MemberStatus,
)

Address = tuple[str, int]

MAX_DATAGRAM_BYTES = 1400
MAX_NAME_LENGTH = 200
# Leaves room to raise a revision above any that is accepted.
MAX_COUNTER = 2**62
STATUSES = tuple(number for number in MemberStatus.values() if number)


def udp_address(member: Member) -> Address:
    """Returns the address for datagrams."""
    return (member.address, member.peer_port)


def is_plausible(member: Member) -> bool:
    """Tells whether a member entry has usable fields."""
    if not (member.name and member.service and member.status in STATUSES):
        return False
    if max(len(member.name), len(member.service), len(member.failure_domain)) > MAX_NAME_LENGTH:
        return False
    if not (0 < member.peer_port < 65536 and 0 < member.call_port < 65536):
        return False
    if member.revision >= MAX_COUNTER or member.start_order >= MAX_COUNTER:
        return False
    try:
        ip_address(member.address)
    except ValueError:
        return False
    return True


class DatagramCodec:
    """Builds and reads the datagrams of one cluster."""

    def __init__(
        self,
        cluster: str,
        sender: str,
        clock: HybridClock,
        configuration: Callable[[], tuple[int, str]],
    ) -> None:
        self.cluster = cluster
        self.sender = sender
        self.clock = clock
        self.configuration = configuration

    def encode(self, updates: list[Member], changes: list[MemberChange], **body: object) -> bytes:
        """Returns a datagram with news and at most one body, named as in the schema."""
        generation, change_id = self.configuration()
        return Datagram(
            cluster=self.cluster,
            protocol_version=PROTOCOL_VERSION,
            sender=self.sender,
            event_clock=self.clock.tick(),
            updates=updates,
            changes=changes,
            configuration_generation=generation,
            configuration_change_id=change_id,
            **body,
        ).SerializeToString()

    def decode(self, content: bytes) -> Datagram:
        """Reads a datagram. Raises ForeignMessageError or MalformedMessageError."""
        if len(content) > MAX_DATAGRAM_BYTES:
            raise MalformedMessageError(f"datagram of {len(content)} bytes")
        try:
            datagram = Datagram.FromString(content)
        except DecodeError as error:
            raise MalformedMessageError(str(error)) from error
        if datagram.cluster != self.cluster:
            raise ForeignMessageError(f"cluster {datagram.cluster!r}, not {self.cluster!r}")
        if datagram.protocol_version != PROTOCOL_VERSION:
            raise ForeignMessageError(
                f"protocol version {datagram.protocol_version}, not {PROTOCOL_VERSION}"
            )
        for update in datagram.updates:
            if not is_plausible(update):
                raise MalformedMessageError("update with an unusable field")
        for change in datagram.changes:
            if change.status not in STATUSES or change.revision >= MAX_COUNTER:
                raise MalformedMessageError("change with an unusable field")
        self.clock.observe(datagram.event_clock)
        return datagram

"""Encoding, decoding and validation of membership datagrams."""

from collections.abc import Callable
from ipaddress import ip_address

from google.protobuf.message import DecodeError

from coltsfoottrack._internal.calls.context import PROTOCOL_VERSION
from coltsfoottrack._internal.calls.exceptions import UnauthenticatedPeerError
from coltsfoottrack._internal.calls.peer_authentication import (
    SIGNATURE_BYTES,
    TIME_BYTES,
    MessageKind,
    PeerAuthentication,
)
from coltsfoottrack._internal.events.clock import HybridClock
from coltsfoottrack._internal.membership.exceptions import (
    ForeignMessageError,
    MalformedMessageError,
    UnsignedMessageError,
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
# Lower than the maximum of the field, so that any accepted revision can still be exceeded.
MAX_COUNTER = 2**62
# Field number and wire type of ``signature``, followed by its length.
SIGNATURE_START = bytes((15 << 3 | 2, TIME_BYTES + SIGNATURE_BYTES))
SIGNATURE_FIELD_BYTES = len(SIGNATURE_START) + TIME_BYTES + SIGNATURE_BYTES
STATUSES = tuple(number for number in MemberStatus.values() if number)


def udp_address(member: Member) -> Address:
    """Returns the member's address for datagrams."""
    return (member.address, member.peer_port)


def is_plausible(member: Member) -> bool:
    """Returns whether the fields of a member entry are valid."""
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
    """Encodes and decodes the datagrams of one cluster."""

    def __init__(
        self,
        cluster: str,
        sender: str,
        clock: HybridClock,
        configuration: Callable[[], tuple[int, str]],
        authentication: PeerAuthentication | None = None,
    ) -> None:
        self.authentication = authentication or PeerAuthentication()
        self.cluster = cluster
        self.sender = sender
        self.clock = clock
        self.configuration = configuration

    def encode(self, updates: list[Member], changes: list[MemberChange], **body: object) -> bytes:
        """Returns a datagram with updates, changes and at most one body, named as in the schema."""
        generation, change_id = self.configuration()
        content = Datagram(
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
        signature = self.authentication.sign(MessageKind.DATAGRAM, content)
        return content + SIGNATURE_START + signature if signature else content

    def decode(self, content: bytes) -> Datagram:
        """Returns a decoded and validated datagram.

        Raises ForeignMessageError, MalformedMessageError or UnsignedMessageError.
        """
        if len(content) > MAX_DATAGRAM_BYTES:
            raise MalformedMessageError(f"datagram of {len(content)} bytes is too long")
        if self.authentication.enabled:
            self._check_signature(content)
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
                raise MalformedMessageError("update has an invalid field")
        for change in datagram.changes:
            if change.status not in STATUSES or change.revision >= MAX_COUNTER:
                raise MalformedMessageError("change has an invalid field")
        self.clock.observe(datagram.event_clock)
        return datagram

    def _check_signature(self, content: bytes) -> None:
        signed, field = content[:-SIGNATURE_FIELD_BYTES], content[-SIGNATURE_FIELD_BYTES:]
        signature = b""
        if field.startswith(SIGNATURE_START):
            signature = field[len(SIGNATURE_START) :]
        try:
            self.authentication.check(MessageKind.DATAGRAM, signature, signed)
        except UnauthenticatedPeerError as error:
            raise UnsignedMessageError(str(error)) from error

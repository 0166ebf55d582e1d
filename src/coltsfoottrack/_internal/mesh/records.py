"""Conversion of member records to and from messages."""

from coltsfoottrack._internal.mesh.model import Member
from coltsfoottrack._internal.schema.links_pb2 import MemberRecord


def to_record(member: Member) -> MemberRecord:
    """Returns a member as a message."""
    return MemberRecord(**member._asdict())


def from_record(record: MemberRecord) -> Member:
    """Returns the member that a message describes."""
    values = []
    for name in Member._fields:
        values.append(getattr(record, name))
    return Member._make(values)

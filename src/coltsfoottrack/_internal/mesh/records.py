"""Member records as messages and back."""

from coltsfoottrack._internal.mesh.model import Member
from coltsfoottrack._internal.schema.links_pb2 import MemberRecord


def to_record(member: Member) -> MemberRecord:
    """Returns the message of a member."""
    return MemberRecord(**member._asdict())


def from_record(record: MemberRecord) -> Member:
    """Returns the member of a message."""
    values = []
    for name in Member._fields:
        values.append(getattr(record, name))
    return Member._make(values)

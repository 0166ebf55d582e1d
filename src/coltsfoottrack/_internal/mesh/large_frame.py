"""Receives frames with a large body; the body is kept apart from the message."""

from typing import NamedTuple, Self

from google.protobuf.message import DecodeError, Message

from coltsfoottrack._internal.mesh.body_buffer import BodyBuffer, LargeBody
from coltsfoottrack._internal.mesh.frames import BODY_FIELDS, LENGTH_BYTES, LENGTH_DELIMITED
from coltsfoottrack._internal.mesh.memory_account import MemoryAccount
from coltsfoottrack._internal.schema.links_pb2 import Frame, Reply, Request

# Wire types and the sizes of fields of fixed size.
VARINT = 0
FIXED_SIZES = {1: 8, 5: 4}
MESSAGE_TYPES: dict[str, type[Message]] = {"request": Request, "reply": Reply}
KINDS = {Frame.DESCRIPTOR.fields_by_name[kind].number: kind for kind in MESSAGE_TYPES}


class BodyPlace(NamedTuple):
    """Where the message of a frame and its body lie, in bytes from the start of the frame."""

    kind: str
    message_start: int
    field_start: int
    body_start: int
    body_end: int
    message_end: int


class _Fields:
    """Reads the fields of an encoded message. Its methods raise IndexError at the end."""

    def __init__(self, data: bytes | bytearray, position: int) -> None:
        self.data = data
        self.position = position

    def varint(self) -> int:
        """Reads a number."""
        value = 0
        shift = 0
        while True:
            byte = self.data[self.position]
            self.position += 1
            value |= (byte & 0x7F) << shift
            shift += 7
            if byte < 0x80:
                return value

    def skip(self, wire_type: int) -> None:
        """Skips the value of a field. Raises DecodeError if the type is not known."""
        if wire_type == VARINT:
            self.varint()
        elif wire_type == LENGTH_DELIMITED:
            size = self.varint()
            self.position += size
        elif wire_type in FIXED_SIZES:
            self.position += FIXED_SIZES[wire_type]
        else:
            raise DecodeError(f"wire type {wire_type}")


def locate_body(frame: bytes | bytearray) -> BodyPlace | None:
    """Returns the place of the body in the start of a frame, None if it cannot be told yet.

    Raises DecodeError if the start is invalid.
    """
    fields = _Fields(frame, LENGTH_BYTES)
    try:
        tag = fields.varint()
        kind = KINDS.get(tag >> 3)
        if kind is None:
            return None
        size = fields.varint()
        start = fields.position
        while True:
            field_start = fields.position
            tag = fields.varint()
            if tag >> 3 == BODY_FIELDS[kind]:
                break
            fields.skip(tag & 0x7)
        body_size = fields.varint()
    except IndexError:
        return None
    body_start = fields.position
    place = BodyPlace(kind, start, field_start, body_start, body_start + body_size, start + size)
    if place.body_end > place.message_end:
        raise DecodeError("the body is longer than its message")
    return place


class LargeFrame:
    """A frame that is being received."""

    def __init__(self, place: BodyPlace, head: bytes, account: MemoryAccount) -> None:
        self.kind = place.kind
        # The fields around the body.
        self.fields = bytearray(head)
        self.body_left = place.body_end - place.body_start
        self.tail_left = place.message_end - place.body_end
        self.account = account
        self.body = BodyBuffer(account, self._reserve)
        self.body.expected_bytes = self.body_left
        # There was no room for the body; the rest of it is skipped.
        self.refused = False

    @classmethod
    def from_start(cls, start: bytes | bytearray, account: MemoryAccount) -> Self | None:
        """Returns the frame that begins with these bytes, None if it has no body so far.

        Raises DecodeError if the start is invalid.
        """
        place = locate_body(start)
        if place is None:
            return None
        frame = cls(place, bytes(start[place.message_start : place.field_start]), account)
        frame.feed(bytes(start[place.body_start :]))
        return frame

    def _reserve(self, size: int) -> bool:
        if self.kind == "reply":
            return self.account.try_add_answer(size)
        return self.account.try_add_upload(self, size)

    def held_bytes(self) -> int:
        """Returns the memory that becomes free if the frame gives way."""
        return self.body.charged_bytes

    def give_way(self) -> None:
        """Drops the body; its sender is told once the frame is complete."""
        self.refused = True
        self.body.discard()

    def feed(self, data: bytes) -> bytes:
        """Adds received bytes; returns those that lie behind the frame."""
        part = data[: self.body_left]
        self.body_left -= len(part)
        if part and not self.refused and not self.body.append(part):
            self.give_way()
        rest = data[len(part) :]
        tail = rest[: self.tail_left]
        self.tail_left -= len(tail)
        self.fields += tail
        return rest[len(tail) :]

    def is_complete(self) -> bool:
        """Returns whether the whole frame was received."""
        return not self.body_left and not self.tail_left

    def finish(self) -> tuple[Message, LargeBody | bytes | None]:
        """Returns message and body, None if there was no room. Raises DecodeError."""
        self.account.end_upload(self)
        message = MESSAGE_TYPES[self.kind].FromString(bytes(self.fields))
        if self.refused:
            return message, None
        try:
            return message, self.body.finish()
        except MemoryError:
            return message, None

    def discard(self) -> None:
        """Frees the memory of a frame that will not be completed."""
        self.account.end_upload(self)
        self.body.discard()

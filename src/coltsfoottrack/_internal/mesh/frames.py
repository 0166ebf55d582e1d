"""Encoding of frames: a message with its length."""

from google.protobuf.message import Message

from coltsfoottrack._internal.schema.links_pb2 import Frame, Reply, Request

LENGTH_BYTES = 4
# Larger frames are written apart from their length, which costs a system call in place of a copy.
MAX_COPIED_BYTES = 32 * 1024
# Wire type of a field with a length.
LENGTH_DELIMITED = 2


def _varint(value: int) -> bytes:
    encoded = bytearray()
    while value > 0x7F:
        encoded.append(value & 0x7F | 0x80)
        value >>= 7
    encoded.append(value)
    return bytes(encoded)


def _tags() -> dict[str, bytes]:
    tags = {}
    for field in Frame.DESCRIPTOR.fields:
        tags[field.name] = _varint(field.number << 3 | LENGTH_DELIMITED)
    return tags


_TAGS = _tags()
# Number of the body's field in the messages that have one.
BODY_FIELDS = {
    "request": Request.DESCRIPTOR.fields_by_name["body"].number,
    "reply": Reply.DESCRIPTOR.fields_by_name["body"].number,
}


def encode(frame: Frame) -> list[bytes]:
    """Returns the parts of an encoded frame, in the order in which they are written."""
    return _with_length(b"", frame.SerializeToString())


def encode_message(kind: str, message: Message) -> list[bytes]:
    """Returns the same as ``encode`` for a frame with a message of this kind, without a copy."""
    content = message.SerializeToString()
    return _with_length(_TAGS[kind] + _varint(len(content)), content)


def encode_with_body(kind: str, message: Message, body_bytes: int) -> bytes:
    """Returns the start of a frame whose message has this many bytes of body, which follow it."""
    content = message.SerializeToString()
    content += _varint(BODY_FIELDS[kind] << 3 | LENGTH_DELIMITED) + _varint(body_bytes)
    size = len(content) + body_bytes
    head = _TAGS[kind] + _varint(size)
    return (len(head) + size).to_bytes(LENGTH_BYTES, "big") + head + content


def _with_length(head: bytes, content: bytes) -> list[bytes]:
    size = len(head) + len(content)
    head = size.to_bytes(LENGTH_BYTES, "big") + head
    if size > MAX_COPIED_BYTES:
        return [head, content]
    return [head + content]

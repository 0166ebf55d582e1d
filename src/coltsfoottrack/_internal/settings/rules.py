"""Access to the rules that the schema attaches to settings fields."""

from functools import cache

from google.protobuf.descriptor import Descriptor, FieldDescriptor
from google.protobuf.message import Message

from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import FieldRule
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import rule as rule_extension


def rule_of(field: FieldDescriptor) -> FieldRule:
    """Returns the rule of a schema field, or an empty rule if it has none."""
    return field.GetOptions().Extensions[rule_extension]


def number_or_default(message: Message, name: str) -> float:
    """Returns a numeric field of a message, or its default from the schema if it is absent."""
    if message.HasField(name):
        return getattr(message, name)
    return default_number(message.DESCRIPTOR, name)


@cache
def default_number(descriptor: Descriptor, name: str) -> float:
    """Returns the default of a numeric field.

    Cached, because reading a field's options takes 10 microseconds and policies are read per call.
    """
    return rule_of(descriptor.fields_by_name[name]).default_number


def milliseconds_to_seconds(message: Message, name: str) -> float:
    """Returns a millisecond field of a message, or its default, in seconds."""
    return number_or_default(message, name) / 1000.0

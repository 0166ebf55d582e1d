"""Access to the rules that the schema attaches to settings fields."""

from google.protobuf.descriptor import FieldDescriptor
from google.protobuf.message import Message

from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import FieldRule
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import rule as rule_extension


def rule_of(field: FieldDescriptor) -> FieldRule:
    """Returns the rule of a schema field, an empty one if the schema gives none."""
    return field.GetOptions().Extensions[rule_extension]


def number_or_default(message: Message, name: str) -> float:
    """Returns a numeric field of a message, or the default from the schema if it is absent."""
    if message.HasField(name):
        return getattr(message, name)
    return rule_of(message.DESCRIPTOR.fields_by_name[name]).default_number


def milliseconds_to_seconds(message: Message, name: str) -> float:
    """Returns a field that holds milliseconds, or its default, in seconds."""
    return number_or_default(message, name) / 1000.0

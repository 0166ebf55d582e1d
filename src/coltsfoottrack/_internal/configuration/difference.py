"""Differences between two configurations, field by field."""

from typing import NamedTuple

from google.protobuf.descriptor import FieldDescriptor
from google.protobuf.message import Message

from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import FleetConfiguration


class FieldChange(NamedTuple):
    """One field that differs; ``None`` stands for an absent value."""

    field: str
    before: str | None
    after: str | None

    def line(self) -> str:
        """Returns the change as one line of a diff."""
        if self.before is None:
            return f"+ {self.field}: {self.after}"
        if self.after is None:
            return f"- {self.field}: {self.before}"
        return f"~ {self.field}: {self.before} -> {self.after}"


def flatten(configuration: FleetConfiguration) -> dict[str, str]:
    """Returns the fields of a configuration by path; paths use the names of list items."""
    fields: dict[str, str] = {}
    _flatten_message(configuration.defaults, "defaults", fields)
    for operation in configuration.operations:
        path = f"operations[{operation.service}/{operation.operation}]"
        fields[f"{path}.priority"] = _enum_name(operation, "priority")
        fields[f"{path}.idempotent"] = str(operation.idempotent).lower()
    for exception in configuration.exceptions:
        _flatten_message(exception, f"exceptions[{exception.name}]", fields)
    return fields


def difference(before: FleetConfiguration, after: FleetConfiguration) -> list[FieldChange]:
    """Returns the fields that differ, sorted by path."""
    old, new = flatten(before), flatten(after)
    changes = []
    for field in sorted(old.keys() | new.keys()):
        if old.get(field) != new.get(field):
            changes.append(FieldChange(field, old.get(field), new.get(field)))
    return changes


def _flatten_message(message: Message, path: str, fields: dict[str, str]) -> None:
    for field, value in message.ListFields():
        name = f"{path}.{field.name}"
        if field.type == FieldDescriptor.TYPE_MESSAGE:
            _flatten_message(value, name, fields)
            continue
        fields[name] = f"{value:g}" if isinstance(value, float) else str(value)


def _enum_name(message: Message, name: str) -> str:
    field = message.DESCRIPTOR.fields_by_name[name]
    value = field.enum_type.values_by_number.get(getattr(message, name))
    if value is None:
        return str(getattr(message, name))
    return value.name.removeprefix("PRIORITY_").lower()

"""Loads YAML files into schema messages; errors name the file, line and field."""

from functools import singledispatch
from pathlib import Path
from typing import NamedTuple, TypeVar

from google.protobuf.descriptor import FieldDescriptor
from google.protobuf.message import Message
from yaml import SafeLoader, YAMLError, compose
from yaml.constructor import SafeConstructor
from yaml.nodes import MappingNode, Node, ScalarNode, SequenceNode

from coltsfoottrack._internal.settings.exceptions import SettingsError
from coltsfoottrack._internal.settings.rules import rule_of

MessageType = TypeVar("MessageType", bound=Message)

INTEGER_TYPES = (
    FieldDescriptor.TYPE_UINT32,
    FieldDescriptor.TYPE_UINT64,
    FieldDescriptor.TYPE_INT32,
    FieldDescriptor.TYPE_INT64,
)


class FieldLocation(NamedTuple):
    """Location of a value: file, path of field names, and schema field."""

    file: str
    path: str
    field: FieldDescriptor

    def error(self, node: Node, problem: str) -> SettingsError:
        """Returns the error for a value of this field."""
        return SettingsError(self.file, node.start_mark.line + 1, self.path, problem)


def load_file(path: str, message_type: type[MessageType]) -> MessageType:
    """Reads a YAML file into a message of the given type.

    Raises SettingsError if the file cannot be read, is not YAML or does not match the schema.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise SettingsError(path, 0, "file", f"cannot be read: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise SettingsError(path, 0, "file", "is not UTF-8 text") from error
    return load_text(text, message_type, path)


def load_text(text: str, message_type: type[MessageType], file: str) -> MessageType:
    """Reads YAML text into a message; ``file`` is its name in errors. Raises SettingsError."""
    try:
        root = compose(text, Loader=SafeLoader)
    except YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        line = mark.line + 1 if mark else 0
        problem = getattr(error, "problem", None) or str(error).splitlines()[0]
        raise SettingsError(file, line, "file", f"is not valid YAML: {problem}") from error
    except (RecursionError, ValueError) as error:
        raise SettingsError(file, 0, "file", f"is not valid YAML: {error}") from error
    if root is None:
        raise SettingsError(file, 1, "file", "is empty; a mapping of fields to values is accepted")
    message = message_type()
    _fill_message(message, root, file, "")
    return message


def _fill_message(message: Message, node: Node, file: str, prefix: str) -> None:
    descriptor = message.DESCRIPTOR
    line = node.start_mark.line + 1
    if not isinstance(node, MappingNode):
        raise SettingsError(file, line, prefix or "file", "must be a mapping of fields to values")
    seen = set()
    for key_node, value_node in node.value:
        name = str(key_node.value)
        path = f"{prefix}.{name}" if prefix else name
        key_line = key_node.start_mark.line + 1
        field = descriptor.fields_by_name.get(name)
        if field is None:
            accepted = ", ".join(sorted(descriptor.fields_by_name))
            raise SettingsError(file, key_line, path, f"unknown field; accepted: {accepted}")
        if name in seen:
            raise SettingsError(file, key_line, path, "given twice")
        seen.add(name)
        _fill_field(message, value_node, FieldLocation(file, path, field))
    for field in descriptor.fields:
        if not rule_of(field).required:
            continue
        if field.name in seen and getattr(message, field.name):
            continue
        path = f"{prefix}.{field.name}" if prefix else field.name
        raise SettingsError(file, line, path, f"missing; accepted: {accepted_values(field)}")


def _fill_field(message: Message, node: Node, location: FieldLocation) -> None:
    field = location.field
    if field.is_repeated:
        if not isinstance(node, SequenceNode):
            raise location.error(node, "must be a list")
        target = getattr(message, field.name)
        for index, item in enumerate(node.value):
            item_location = location._replace(path=f"{location.path}[{index}]")
            if field.type == FieldDescriptor.TYPE_MESSAGE:
                _fill_message(target.add(), item, location.file, item_location.path)
                continue
            target.append(_scalar(item, item_location))
        return
    if field.type == FieldDescriptor.TYPE_MESSAGE:
        child = getattr(message, field.name)
        child.SetInParent()
        _fill_message(child, node, location.file, location.path)
        return
    setattr(message, field.name, _scalar(node, location))


def _scalar(node: Node, location: FieldLocation) -> str | int | float | bool:
    if not isinstance(node, ScalarNode):
        raise location.error(
            node, f"must be a single value; accepted: {accepted_values(location.field)}"
        )
    try:
        value = SafeConstructor().construct_object(node)
    except (YAMLError, ValueError) as error:
        raise location.error(node, f"cannot be read: {error}") from error
    return _convert(value, node, location)


@singledispatch
def _convert(value: object, node: Node, location: FieldLocation) -> str | int | float | bool:
    raise location.error(node, f"wrong type; accepted: {accepted_values(location.field)}")


@_convert.register
def _(value: str, node: Node, location: FieldLocation) -> str | int:
    field = location.field
    if field.type == FieldDescriptor.TYPE_STRING:
        return value
    if field.type == FieldDescriptor.TYPE_ENUM:
        number = _enum_names(field).get(value)
        if number is not None:
            return number
    raise location.error(node, f"wrong type or value; accepted: {accepted_values(field)}")


@_convert.register
def _(value: bool, node: Node, location: FieldLocation) -> bool:
    if location.field.type == FieldDescriptor.TYPE_BOOL:
        return value
    raise location.error(node, f"wrong type; accepted: {accepted_values(location.field)}")


@_convert.register(int)
@_convert.register(float)
def _(value: int | float, node: Node, location: FieldLocation) -> int | float:
    field = location.field
    is_integer = field.type in INTEGER_TYPES and isinstance(value, int)
    if not is_integer and field.type != FieldDescriptor.TYPE_DOUBLE:
        raise location.error(node, f"wrong type; accepted: {accepted_values(field)}")
    rule = rule_of(field)
    # Written so that NaN is refused as well.
    if not rule.minimum <= value <= (rule.maximum or float(2**32 - 1)):
        raise location.error(node, f"{value} is out of range; accepted: {accepted_values(field)}")
    return value


def accepted_values(field: FieldDescriptor) -> str:
    """Returns a description of the values that a schema field accepts."""
    rule = rule_of(field)
    if field.type == FieldDescriptor.TYPE_ENUM:
        return ", ".join(_enum_names(field))
    if field.type == FieldDescriptor.TYPE_BOOL:
        return "true or false"
    if field.type == FieldDescriptor.TYPE_MESSAGE:
        return "a mapping"
    if field.type == FieldDescriptor.TYPE_STRING:
        return "text that is not empty" if rule.required else "text"
    kind = "a whole number" if field.type in INTEGER_TYPES else "a number"
    if not rule.maximum:
        return kind
    return f"{kind} from {rule.minimum:.10g} to {rule.maximum:.10g} {rule.unit}".rstrip()


def _enum_names(field: FieldDescriptor) -> dict[str, int]:
    """Returns the enumeration's values by name, in lower case and without the common prefix."""
    prefix = "PRIORITY_"
    names = {}
    for value in field.enum_type.values:
        names[value.name.removeprefix(prefix).lower()] = value.number
    return names

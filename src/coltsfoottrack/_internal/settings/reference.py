"""Generates the reference page of settings and configuration fields from the schema's rules."""

from google.protobuf.descriptor import Descriptor, FieldDescriptor

from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import (
    BackendSettings,
    FleetConfiguration,
    NodeSettings,
    PlatformSettings,
)
from coltsfoottrack._internal.schema.mesh_pb2 import MeshNodeSettings, RoutesFile
from coltsfoottrack._internal.settings.loader import accepted_values
from coltsfoottrack._internal.settings.rules import rule_of

INTRODUCTION = """# Settings and configuration

Made by `coltsfoottrack reference settings` from the rules in the schema; a test checks that it
is current. Settings belong to one process and are read from its YAML file at the start. A file
with a fault stops the process before it listens, with exit status 2 and one line that names
file, line, field and what is accepted. The fleet configuration is the same for all nodes and is
changed with `coltsfoottrack config set`.
"""
SECTIONS = (
    ("Settings of a node", "`coltsfoottrack node --settings FILE`", NodeSettings),
    ("Fleet configuration", "`coltsfoottrack config get|set|diff`", FleetConfiguration),
    ("Settings of a node of a mesh", "`coltsfoottrack mesh run --settings FILE`", MeshNodeSettings),
    ("Routes of a mesh", "`routes.yaml` in the shared directory of the nodes", RoutesFile),
    (
        "Settings of the backend server stand-in",
        "`coltsfoottrack standin backend --settings FILE`",
        BackendSettings,
    ),
    (
        "Settings of the platform stand-in",
        "`coltsfoottrack standin platform --settings FILE`",
        PlatformSettings,
    ),
)


def settings_reference() -> str:
    """Returns the reference page as Markdown."""
    lines = [INTRODUCTION]
    for title, used_by, message in SECTIONS:
        lines.extend((f"## {title}", "", f"Used by {used_by}.", ""))
        lines.extend(("| field | accepted | unit | default | meaning |", "|---|---|---|---|---|"))
        _add_rows(message.DESCRIPTOR, "", lines)
        lines.append("")
    return "\n".join(lines).rstrip() + "\n"


def fields_without_help() -> list[str]:
    """Returns the paths of all fields on the page that have no help text in the schema."""
    missing = []
    for _, _, message in SECTIONS:
        for path, field in _walk(message.DESCRIPTOR, ""):
            if not rule_of(field).help:
                missing.append(f"{message.DESCRIPTOR.name}.{path}")
    return missing


def _walk(descriptor: Descriptor, prefix: str) -> list[tuple[str, FieldDescriptor]]:
    found = []
    for field in descriptor.fields:
        path = f"{prefix}{field.name}" + ("[]" if field.is_repeated else "")
        found.append((path, field))
        if field.type == FieldDescriptor.TYPE_MESSAGE:
            found.extend(_walk(field.message_type, f"{path}."))
    return found


def _add_rows(descriptor: Descriptor, prefix: str, lines: list[str]) -> None:
    for path, field in _walk(descriptor, prefix):
        rule = rule_of(field)
        accepted = accepted_values(field)
        if field.is_repeated:
            accepted = f"a list, each {accepted}"
        lines.append(
            f"| `{path}` | {accepted} | {rule.unit or '-'} | {_default(field)} | {rule.help} |"
        )


def _default(field: FieldDescriptor) -> str:
    rule = rule_of(field)
    if rule.required:
        return "required"
    if field.is_repeated:
        return "empty"
    if field.type == FieldDescriptor.TYPE_STRING:
        return "empty text"
    if field.type == FieldDescriptor.TYPE_MESSAGE:
        return "the defaults of its fields"
    if field.type == FieldDescriptor.TYPE_BOOL:
        return "false"
    if field.type == FieldDescriptor.TYPE_ENUM:
        return field.enum_type.values[0].name.removeprefix("PRIORITY_").lower()
    return f"{rule.default_number:.10g}"

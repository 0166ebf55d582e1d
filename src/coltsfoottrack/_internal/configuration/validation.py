"""Validation of a fleet configuration, before it is stored and before it comes into force."""

from datetime import UTC, datetime, timedelta

from google.protobuf.descriptor import FieldDescriptor
from google.protobuf.message import Message

from coltsfoottrack._internal.configuration.exceptions import InvalidConfigurationError
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import (
    FleetConfiguration,
    OverloadPolicy,
    PolicyException,
    Priority,
)
from coltsfoottrack._internal.settings.rules import number_or_default, rule_of

# The platform stores values of up to 1 MB; the JSON form is larger than the binary one.
MAX_CONFIGURATION_BYTES = 400_000
MAX_NAME_LENGTH = 200
MAX_REASON_LENGTH = 2000
PRIORITIES = tuple(value.name for value in Priority.DESCRIPTOR.values)
MAX_EXPIRY = timedelta(days=3660)
NUMERIC_TYPES = (
    FieldDescriptor.TYPE_UINT32,
    FieldDescriptor.TYPE_UINT64,
    FieldDescriptor.TYPE_DOUBLE,
)


def find_problems(configuration: FleetConfiguration, now: datetime | None = None) -> list[str]:
    """Returns all problems of a configuration, each with its field and the accepted values.

    With ``now``, an expiry in the past or too far ahead is also a problem. Stored configurations
    are checked without it, because expiries pass while the configuration is in force.
    """
    problems: list[str] = []
    if configuration.ByteSize() > MAX_CONFIGURATION_BYTES:
        problems.append(
            f"configuration has {configuration.ByteSize()} bytes; accepted: up to "
            f"{MAX_CONFIGURATION_BYTES}"
        )
    _check_policy(configuration.defaults, "defaults", problems)
    operations = _check_operations(configuration, problems)
    services = {service for service, _ in operations}
    names = set()
    for index, exception in enumerate(configuration.exceptions):
        path = f"exceptions[{index}]"
        if exception.name in names:
            problems.append(f"{path}.name: {exception.name!r} is given twice")
        names.add(exception.name)
        _check_exception(exception, path, now, problems)
        if exception.service and exception.service not in services:
            problems.append(
                f"{path}.service: {exception.service!r} has no operation in this configuration; "
                f"accepted: {', '.join(sorted(services)) or 'none is listed'}"
            )
        elif exception.operation and (exception.service, exception.operation) not in operations:
            known = sorted(name for service, name in operations if service == exception.service)
            problems.append(
                f"{path}.operation: {exception.operation!r} is not an operation of "
                f"{exception.service!r}; accepted: {', '.join(known)}"
            )
    return problems


def validate(configuration: FleetConfiguration, now: datetime | None = None) -> None:
    """Raises InvalidConfigurationError with all problems if a configuration is invalid."""
    problems = find_problems(configuration, now)
    if problems:
        raise InvalidConfigurationError("; ".join(problems))


def parse_expiry(text: str) -> datetime:
    """Parses an expiry, an RFC 3339 time. Raises ValueError if it is malformed or has no offset."""
    expiry = datetime.fromisoformat(text)
    if expiry.tzinfo is None:
        raise ValueError("has no offset from UTC")
    return expiry.astimezone(UTC)


def _check_operations(
    configuration: FleetConfiguration, problems: list[str]
) -> set[tuple[str, str]]:
    operations = set()
    for index, operation in enumerate(configuration.operations):
        path = f"operations[{index}]"
        _check_texts(operation, path, problems)
        if operation.priority not in Priority.values():
            problems.append(
                f"{path}.priority: {operation.priority} is unknown; accepted: "
                f"{', '.join(name.removeprefix('PRIORITY_').lower() for name in PRIORITIES)}"
            )
        key = (operation.service, operation.operation)
        if key in operations:
            problems.append(f"{path}: {operation.service}/{operation.operation} is given twice")
        operations.add(key)
    return operations


def _check_exception(
    exception: PolicyException, path: str, now: datetime | None, problems: list[str]
) -> None:
    _check_texts(exception, path, problems)
    if not exception.policy.ListFields():
        problems.append(f"{path}.policy: changes nothing")
    _check_policy(exception.policy, f"{path}.policy", problems)
    if not exception.expires:
        return
    try:
        expiry = parse_expiry(exception.expires)
    except (ValueError, OverflowError) as error:
        problems.append(
            f"{path}.expires: {exception.expires!r} {error}; accepted: a time such as "
            "2026-12-31T18:00:00Z"
        )
        return
    if now is not None and expiry <= now:
        problems.append(f"{path}.expires: {exception.expires} has passed")
    if now is not None and expiry > now + MAX_EXPIRY:
        problems.append(f"{path}.expires: {exception.expires} is over ten years ahead")


def _check_texts(message: Message, path: str, problems: list[str]) -> None:
    for field in message.DESCRIPTOR.fields:
        if field.type != FieldDescriptor.TYPE_STRING:
            continue
        text = getattr(message, field.name)
        if rule_of(field).required and not text.strip():
            problems.append(f"{path}.{field.name}: missing; accepted: text that is not empty")
        longest = MAX_REASON_LENGTH if field.name == "reason" else MAX_NAME_LENGTH
        if len(text) > longest:
            problems.append(f"{path}.{field.name}: longer than {longest} characters")


def _check_policy(policy: OverloadPolicy, path: str, problems: list[str]) -> None:
    for field, value in policy.ListFields():
        if field.type not in NUMERIC_TYPES:
            continue
        rule = rule_of(field)
        # Written so that NaN is refused as well.
        if rule.minimum <= value <= rule.maximum:
            continue
        problems.append(
            f"{path}.{field.name}: {value:g} is out of range; accepted: from {rule.minimum:g} to "
            f"{rule.maximum:g} {rule.unit}".rstrip()
        )
    default_deadline = number_or_default(policy, "default_deadline_ms")
    max_deadline = number_or_default(policy, "max_deadline_ms")
    if policy.HasField("default_deadline_ms") and default_deadline > max_deadline:
        problems.append(
            f"{path}.default_deadline_ms: {default_deadline:g} is above max_deadline_ms "
            f"{max_deadline:g}"
        )

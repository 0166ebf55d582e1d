"""Applies the changes that the arguments of ``config set`` and ``config diff`` describe."""

from typing import NamedTuple

from yaml import safe_dump

from coltsfoottrack._internal.cli.exceptions import EXIT_BAD_INPUT, CommandError
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import (
    FleetConfiguration,
    OverloadPolicy,
    PolicyException,
)
from coltsfoottrack._internal.settings.exceptions import SettingsError
from coltsfoottrack._internal.settings.loader import load_file, load_text

SOURCE = "command line"


class EditRequest(NamedTuple):
    """A change that an operator requests."""

    assignments: tuple[str, ...] = ()
    exception: str = ""
    service: str = ""
    operation: str = ""
    reason: str = ""
    expires: str = ""
    remove: str = ""
    file: str = ""

    @property
    def is_empty(self) -> bool:
        """Returns whether no change is requested."""
        return not any(self)


def apply_edit(before: FleetConfiguration, edit: EditRequest) -> FleetConfiguration:
    """Returns a copy of the configuration with the change applied.

    Raises CommandError for invalid arguments and SettingsError for an invalid file.
    """
    if edit.file:
        if any(edit._replace(file="")):
            raise CommandError(
                "--file replaces the whole configuration; it cannot be combined with other changes",
                EXIT_BAD_INPUT,
            )
        return load_file(edit.file, FleetConfiguration)
    after = FleetConfiguration()
    after.CopyFrom(before)
    if edit.remove:
        _remove(after, edit.remove)
    if edit.exception:
        _set_exception(after, edit)
        return after
    scope = (edit.service, edit.operation, edit.reason, edit.expires)
    if any(scope):
        raise CommandError(
            "--service, --operation, --reason and --expires belong to an exception; name it with "
            "--exception",
            EXIT_BAD_INPUT,
        )
    _assign(after.defaults, edit.assignments)
    return after


def _set_exception(configuration: FleetConfiguration, edit: EditRequest) -> None:
    exception = None
    for candidate in configuration.exceptions:
        if candidate.name == edit.exception:
            exception = candidate
    # Each change needs its own reason, so the reason of the existing exception is not reused.
    if not edit.reason.strip():
        raise CommandError(
            f"exception {edit.exception!r} needs a written reason; give --reason TEXT",
            EXIT_BAD_INPUT,
        )
    if exception is None:
        exception = configuration.exceptions.add()
        exception.name = edit.exception
    _fill_exception(exception, edit)


def _fill_exception(exception: PolicyException, edit: EditRequest) -> None:
    exception.reason = edit.reason.strip()
    if edit.service:
        exception.service = edit.service
    if edit.operation:
        exception.operation = edit.operation
    if edit.expires:
        exception.expires = "" if edit.expires == "never" else edit.expires
    if not exception.service:
        raise CommandError(
            f"exception {edit.exception!r} needs the service it is for; give --service NAME",
            EXIT_BAD_INPUT,
        )
    _assign(exception.policy, edit.assignments)


def _remove(configuration: FleetConfiguration, name: str) -> None:
    for index, exception in enumerate(configuration.exceptions):
        if exception.name == name:
            del configuration.exceptions[index]
            return
    known = ", ".join(exception.name for exception in configuration.exceptions) or "none"
    raise CommandError(f"there is no exception {name!r}; known: {known}", EXIT_BAD_INPUT)


def _assign(policy: OverloadPolicy, assignments: tuple[str, ...]) -> None:
    for assignment in assignments:
        name, separator, value = assignment.partition("=")
        if not separator:
            raise CommandError(
                f"{assignment!r} is not FIELD=VALUE; an empty VALUE removes the field",
                EXIT_BAD_INPUT,
            )
        if name not in OverloadPolicy.DESCRIPTOR.fields_by_name:
            accepted = ", ".join(sorted(OverloadPolicy.DESCRIPTOR.fields_by_name))
            raise CommandError(f"unknown field {name!r}; accepted: {accepted}", EXIT_BAD_INPUT)
        if not value.strip():
            policy.ClearField(name)
            continue
        policy.MergeFrom(_read_value(name, value))


def _read_value(name: str, value: str) -> OverloadPolicy:
    try:
        return load_text(f"{name}: {value}", OverloadPolicy, SOURCE)
    except SettingsError as error:
        raise CommandError(f"{error.field}: {error.problem}", EXIT_BAD_INPUT) from error


def configuration_yaml(document: dict) -> str:
    """Returns a configuration document as YAML that ``config set --file`` accepts."""
    return safe_dump(document, sort_keys=False, allow_unicode=True).rstrip()

"""Steps of ``config set``: read, show the difference, write conditionally, wait for nodes."""

from coltsfoottrack._internal.cli.configuration_client import (
    ConfigurationClient,
    UnconfirmedNode,
    record_document,
)
from coltsfoottrack._internal.cli.configuration_edit import EditRequest, apply_edit
from coltsfoottrack._internal.cli.exceptions import (
    EXIT_BAD_INPUT,
    EXIT_CONFLICT,
    EXIT_NOT_CONFIRMED,
    EXIT_UNREACHABLE,
    CommandError,
)
from coltsfoottrack._internal.cli.fleet_client import operator_name
from coltsfoottrack._internal.cli.output import emit, format_since, format_time
from coltsfoottrack._internal.configuration.difference import FieldChange, difference
from coltsfoottrack._internal.configuration.exceptions import (
    ChangeUncertainError,
    ConfigurationConflictError,
    InvalidConfigurationError,
    StoreUnavailableError,
)
from coltsfoottrack._internal.configuration.store import ChangeResult, StoredConfiguration
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import (
    ConfigurationRecord,
    FleetConfiguration,
)

DEFAULT_WAIT_SECONDS = 10


async def change_configuration(
    edit: EditRequest, base: str, wait: str, node: str, platform: str, output: str
) -> None:
    """Stores a change and prints its result.

    A file that replaces the whole configuration needs a base generation, because it would undo
    changes stored after the file was made. Raises CommandError with EXIT_CONFLICT if another
    operator changed the configuration first, and with EXIT_NOT_CONFIRMED if the change is stored
    but not confirmed by all nodes, or if it is uncertain whether it was stored.
    """
    wait_seconds = _read_wait(wait)
    client = await ConfigurationClient.open(node, platform)
    try:
        stored = await _read_base(client, edit, base)
        changed = apply_edit(stored.record.configuration, edit)
        changes = difference(stored.record.configuration, changed)
        if output == "text":
            for change in changes:
                print(change.line())
        if not changes and not client.stored_is_unreadable:
            emit(output, {"changed": False, **record_document(stored.record)}, ["no difference"])
            return
        result = await _store(client, changed, stored)
        missing: list[UnconfirmedNode] = []
        if wait_seconds:
            missing = await client.wait_for_confirmation(result.record, wait_seconds)
    finally:
        client.close()
    _report(result, changes, missing, wait_seconds, output)


async def _read_base(
    client: ConfigurationClient, edit: EditRequest, base: str
) -> StoredConfiguration:
    """Returns the stored configuration that the change is applied to.

    Raises CommandError if it is not of the generation that the operator gave as the base.
    """
    if edit.file:
        stored = await client.base_for_replacement()
        _check_replacement(stored.record, base)
    else:
        stored = await client.stored()
    if base and base != str(stored.record.generation):
        seen = await client.generation(base)
        raise _conflict_error(stored.record, None if seen is None else seen.configuration)
    return stored


def _check_replacement(present: ConfigurationRecord, base: str) -> None:
    """Raises CommandError if a stored configuration would be replaced without a base generation."""
    if base or not present.generation:
        return
    raise CommandError(
        "--file replaces the whole configuration; give --base with the generation that the file "
        f"was made from, as config get shows it; generation {present.generation} is the newest",
        EXIT_BAD_INPUT,
    )


def _read_wait(wait: str) -> int:
    # Fire passes a flag without a value as True.
    if wait == "True":
        return DEFAULT_WAIT_SECONDS
    if not (wait.isascii() and wait.isdigit() and len(wait) <= 5):
        raise CommandError("--wait must be a whole number of seconds", EXIT_BAD_INPUT)
    return int(wait)


async def _store(
    client: ConfigurationClient, changed: FleetConfiguration, stored: StoredConfiguration
) -> ChangeResult:
    try:
        return await client.store.set(changed, operator_name(), stored)
    except InvalidConfigurationError as error:
        raise CommandError(f"refused, nothing was changed: {error}", EXIT_BAD_INPUT) from error
    except ConfigurationConflictError as error:
        raise _conflict_error(error.found, stored.record.configuration) from error
    except ChangeUncertainError as error:
        raise CommandError(
            f"{error}; look for it with: coltsfoottrack config history", EXIT_NOT_CONFIRMED
        ) from error
    except StoreUnavailableError as error:
        raise CommandError(
            f"{error}; nothing was changed, try again when the platform answers", EXIT_UNREACHABLE
        ) from error


def _conflict_error(found: ConfigurationRecord, before: FleetConfiguration | None) -> CommandError:
    """Returns the error that names the other operator's change and its difference to ``before``."""
    changes: list[FieldChange] = []
    if before is not None:
        changes = difference(before, found.configuration)
    lines = "; ".join(change.line() for change in changes)
    shown = f"; since then changed: {lines}" if lines else ""
    return CommandError(
        f"generation {found.generation} was stored by {found.author or 'unknown'} at "
        f"{format_time(found.written_at_ms)} (change {found.change_id}){shown}; nothing was "
        "changed; review it with config get and try again",
        EXIT_CONFLICT,
    )


def _report(
    result: ChangeResult,
    changes: list[FieldChange],
    missing: list[UnconfirmedNode],
    wait_seconds: int,
    output: str,
) -> None:
    record = result.record
    state = "accepted" if result.accepted else "stored, but too few nodes hold it yet"
    lines = [f"generation {record.generation} (change {record.change_id}): {state}"]
    if wait_seconds and not missing:
        lines.append("in force at every known node")
    for item in missing:
        held = f", generation {item.generation} in force since {format_since(item.since_ms)}"
        lines.append(f"not confirmed: {item.node}: {item.problem}{held if item.since_ms else ''}")
    document = {
        "changed": True,
        **record_document(record),
        "accepted": result.accepted,
        "holders": [holder.node for holder in result.holders],
        "changes": [change._asdict() for change in changes],
        "unconfirmed": [item._asdict() for item in missing],
    }
    emit(output, document, lines)
    if missing:
        names = ", ".join(item.node for item in missing)
        raise CommandError(
            f"not confirmed after {wait_seconds} s by {names}; follow it with config status",
            EXIT_NOT_CONFIRMED,
        )
    if not result.accepted:
        raise CommandError(
            "the change is stored but not accepted; keep the platform up and follow it with "
            "config status",
            EXIT_NOT_CONFIRMED,
        )

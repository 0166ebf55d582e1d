"""``coltsfoottrack config diff``: shows what a change would alter, or has altered."""

from asyncio import run

from fire.decorators import SetParseFn

from coltsfoottrack._internal.cli.configuration_client import ConfigurationClient
from coltsfoottrack._internal.cli.configuration_edit import EditRequest, apply_edit
from coltsfoottrack._internal.cli.exceptions import EXIT_BAD_INPUT, EXIT_UNREACHABLE, CommandError
from coltsfoottrack._internal.cli.output import check_output, emit
from coltsfoottrack._internal.configuration.difference import difference
from coltsfoottrack._internal.configuration.exceptions import StoreUnavailableError
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import ConfigurationRecord


@SetParseFn(str)
def diff_configuration(
    *assignments: str,
    exception: str = "",
    service: str = "",
    operation: str = "",
    reason: str = "",
    expires: str = "",
    remove: str = "",
    file: str = "",
    before: str = "",
    after: str = "",
    node: str = "",
    platform: str = "",
    output: str = "text",
) -> None:
    """Shows what a change would alter, or the difference between two generations.

    Args:
        assignments: FIELD=VALUE pairs, as for set.
        exception: Name of an exception, as for set.
        service: Service of the exception.
        operation: Operation of the exception.
        reason: Written reason of the exception.
        expires: Expiry of the exception.
        remove: Name of an exception to remove.
        file: YAML file with a whole configuration.
        before: Generation to compare from, which must be in the history.
        after: Generation to compare with; default is the newest.
        node: Peer address HOST:PORT of any node; default is COLTSFOOTTRACK_NODE.
        platform: Address HOST:PORT of the platform.
        output: text or json.
    """
    check_output(output)
    edit = EditRequest(assignments, exception, service, operation, reason, expires, remove, file)
    if edit.is_empty == (not before):
        raise CommandError(
            "give either a change as for set, or --before GENERATION", EXIT_BAD_INPUT
        )
    run(_diff(edit, before, after, (node, platform), output))


async def _diff(
    edit: EditRequest, before: str, after: str, addresses: tuple[str, str], output: str
) -> None:
    client = await ConfigurationClient.open(*addresses)
    try:
        if before:
            old = await _generation(client, before)
            new = await _generation(client, after) if after else (await client.newest()).record
            changes = difference(old.configuration, new.configuration)
        else:
            old = (await client.newest()).record
            changed = apply_edit(old.configuration, edit)
            client.store.validate(changed)
            changes = difference(old.configuration, changed)
    finally:
        client.close()
    lines = [f"note: {note}" for note in client.fleet.notes]
    lines.extend(change.line() for change in changes)
    emit(
        output,
        {"notes": client.fleet.notes, "changes": [change._asdict() for change in changes]},
        lines if changes else [*lines, "no difference"],
    )


async def _generation(client: ConfigurationClient, text: str) -> ConfigurationRecord:
    newest = (await client.newest()).record
    if text == str(newest.generation):
        return newest
    try:
        record = await client.generation(text)
    except StoreUnavailableError as error:
        raise CommandError(
            f"{error}; only the platform stores the history", EXIT_UNREACHABLE
        ) from error
    if record is None:
        raise CommandError(f"generation {text} is not in the history", EXIT_BAD_INPUT)
    return record

"""``coltsfoottrack config``: reads and changes the fleet configuration."""

from asyncio import run
from typing import Any

from fire.decorators import SetParseFn

from coltsfoottrack._internal.cli.commands.drain import refuse_unknown
from coltsfoottrack._internal.cli.configuration_access import (
    ConfigurationAccess,
    configuration_document,
    record_document,
)
from coltsfoottrack._internal.cli.configuration_change import change_configuration
from coltsfoottrack._internal.cli.configuration_edit import (
    EditRequest,
    apply_edit,
    configuration_yaml,
)
from coltsfoottrack._internal.cli.exceptions import (
    EXIT_BAD_INPUT,
    EXIT_NOT_CONFIRMED,
    EXIT_UNREACHABLE,
    CommandError,
)
from coltsfoottrack._internal.cli.output import check_output, clock_time, emit, since, table
from coltsfoottrack._internal.configuration.difference import difference
from coltsfoottrack._internal.configuration.exceptions import StoreUnavailableError
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import ConfigurationRecord

HISTORY_LIMIT = 50


class ConfigCommands:
    """Reads and changes the fleet configuration: defaults, and exceptions with reasons."""

    @SetParseFn(str)
    def get(self, node: str = "", platform: str = "", output: str = "text") -> None:
        """Shows the configuration, as YAML that ``config set --file`` accepts.

        Args:
            node: Peer address HOST:PORT of any node; default is COLTSFOOTTRACK_NODE.
            platform: Address HOST:PORT of the platform.
            output: text or json.
        """
        check_output(output)
        run(_get(node, platform, output))

    @SetParseFn(str)
    def set(
        self,
        *assignments: str,
        exception: str = "",
        service: str = "",
        operation: str = "",
        reason: str = "",
        expires: str = "",
        remove: str = "",
        file: str = "",
        base: str = "",
        wait: str = "0",
        node: str = "",
        platform: str = "",
        output: str = "text",
        **unknown: str,
    ) -> None:
        """Changes defaults or one exception, if nobody else changed the configuration meanwhile.

        Args:
            assignments: FIELD=VALUE pairs of the defaults or of the exception; an empty VALUE
                removes the field.
            exception: Name of the exception to make or change.
            service: Service of the exception.
            operation: Operation of the exception; none is all of the service.
            reason: Written reason of the exception; without one it is refused.
            expires: Expiry of the exception, an RFC 3339 time; never removes it.
            remove: Name of an exception to remove.
            file: YAML file with a whole configuration that replaces the present one.
            base: Generation that you saw; the change is refused if it is no longer the newest.
            wait: Seconds to wait until every known node confirms, at least 1; 0 does not wait,
                the flag without a number waits 10 s.
            node: Peer address HOST:PORT of any node; default is COLTSFOOTTRACK_NODE.
            platform: Address HOST:PORT of the platform; default is the nodes' own.
            output: text or json.
            unknown: Not accepted; an unknown flag stops the command before it does anything.
        """
        refuse_unknown(unknown)
        check_output(output)
        edit = EditRequest(
            assignments, exception, service, operation, reason, expires, remove, file
        )
        if edit.is_empty:
            raise CommandError(
                "nothing to change; give FIELD=VALUE, --remove NAME or --file FILE", EXIT_BAD_INPUT
            )
        run(change_configuration(edit, base, wait, node, platform, output))

    @SetParseFn(str)
    def diff(
        self,
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
            before: Generation to compare from, out of the history.
            after: Generation to compare with; default is the newest.
            node: Peer address HOST:PORT of any node; default is COLTSFOOTTRACK_NODE.
            platform: Address HOST:PORT of the platform.
            output: text or json.
        """
        check_output(output)
        edit = EditRequest(
            assignments, exception, service, operation, reason, expires, remove, file
        )
        if edit.is_empty == (not before):
            raise CommandError(
                "give either a change as for set, or --before GENERATION", EXIT_BAD_INPUT
            )
        run(_diff(edit, before, after, (node, platform), output))

    @SetParseFn(str)
    def history(
        self, limit: str = "20", node: str = "", platform: str = "", output: str = "text"
    ) -> None:
        """Lists the changes, newest first: generation, time, author and what differed.

        Args:
            limit: Greatest number of changes, 1 to 50.
            node: Peer address HOST:PORT of any node; default is COLTSFOOTTRACK_NODE.
            platform: Address HOST:PORT of the platform.
            output: text or json.
        """
        check_output(output)
        if not (limit.isascii() and limit.isdigit() and 1 <= int(limit[:6]) <= HISTORY_LIMIT):
            raise CommandError(f"--limit must be from 1 to {HISTORY_LIMIT}", EXIT_BAD_INPUT)
        run(_history(int(limit), node, platform, output))

    @SetParseFn(str)
    def status(self, node: str = "", platform: str = "", output: str = "text") -> None:
        """Shows which nodes hold the newest configuration, and names those that do not.

        Args:
            node: Peer address HOST:PORT of any node; default is COLTSFOOTTRACK_NODE.
            platform: Address HOST:PORT of the platform.
            output: text or json.
        """
        check_output(output)
        run(_status(node, platform, output))


async def _get(node: str, platform: str, output: str) -> None:
    access = await ConfigurationAccess.open(node, platform)
    try:
        record, source = await access.newest()
    finally:
        access.close()
    document = configuration_document(record.configuration)
    moment = clock_time(record.written_at_ms)
    lines = [f"# note: {note}" for note in access.fleet.notes]
    lines.append(
        f"# generation {record.generation}, change {record.change_id or '-'}, by "
        f"{record.author or '-'} at {moment}, read from {source or 'nowhere'}"
    )
    lines.append(configuration_yaml(document))
    emit(
        output,
        {
            **record_document(record),
            "source": source,
            "notes": access.fleet.notes,
            "configuration": document,
        },
        lines,
    )


async def _diff(
    edit: EditRequest, before: str, after: str, where: tuple[str, str], output: str
) -> None:
    access = await ConfigurationAccess.open(*where)
    try:
        if before:
            old = await _generation(access, before)
            new = await _generation(access, after) if after else (await access.newest()).record
            changes = difference(old.configuration, new.configuration)
        else:
            old = (await access.newest()).record
            changed = apply_edit(old.configuration, edit)
            access.store.validate(changed)
            changes = difference(old.configuration, changed)
    finally:
        access.close()
    lines = [f"note: {note}" for note in access.fleet.notes]
    lines.extend(change.line() for change in changes)
    emit(
        output,
        {"notes": access.fleet.notes, "changes": [change._asdict() for change in changes]},
        lines if changes else [*lines, "no difference"],
    )


async def _generation(access: ConfigurationAccess, text: str) -> ConfigurationRecord:
    newest = (await access.newest()).record
    if text == str(newest.generation):
        return newest
    try:
        record = await access.generation(text)
    except StoreUnavailableError as error:
        raise CommandError(f"{error}; the history is only there", EXIT_UNREACHABLE) from error
    if record is None:
        raise CommandError(f"generation {text} is not in the history", EXIT_BAD_INPUT)
    return record


async def _history(limit: int, node: str, platform: str, output: str) -> None:
    access = await ConfigurationAccess.open(node, platform)
    try:
        records = await access.store.history(limit + 1)
        newest = (await access.newest()).record
    except StoreUnavailableError as error:
        raise CommandError(f"{error}; the history is only there", EXIT_UNREACHABLE) from error
    finally:
        access.close()
    if newest.generation and all(item.generation != newest.generation for item in records):
        records.insert(0, newest)
    entries: list[dict[str, Any]] = []
    lines = []
    for index, record in enumerate(records[:limit]):
        older = records[index + 1] if index + 1 < len(records) else None
        changes = []
        if older is not None:
            changes = difference(older.configuration, record.configuration)
        entries.append(
            {**record_document(record), "changes": [change._asdict() for change in changes]}
        )
        lines.append(
            f"generation {record.generation} at {clock_time(record.written_at_ms)} by "
            f"{record.author or '-'} (change {record.change_id})"
        )
        lines.extend(f"  {change.line()}" for change in changes)
    emit(output, {"history": entries}, lines or ["no change is stored"])


async def _status(node: str, platform: str, output: str) -> None:
    access = await ConfigurationAccess.open(node, platform)
    try:
        record, source = await access.newest()
        missing = await access.unconfirmed(record)
    finally:
        access.close()
    lines = [f"note: {note}" for note in access.fleet.notes]
    lines.append(
        f"generation {record.generation} (change {record.change_id or '-'}) from {source}: "
        f"{len(access.answers) - len(missing)} of {len(access.answers)} nodes confirm"
    )
    rows = []
    for item in missing:
        rows.append((item.node, item.generation, since(item.since_ms), item.problem))
    if rows:
        lines.extend(table(("NODE", "GENERATION", "IN FORCE SINCE", "PROBLEM"), rows))
    emit(
        output,
        {
            **record_document(record),
            "source": source,
            "notes": access.fleet.notes,
            "nodes": len(access.answers),
            "unconfirmed": [item._asdict() for item in missing],
        },
        lines,
    )
    if missing:
        raise CommandError(f"{len(missing)} nodes have not confirmed", EXIT_NOT_CONFIRMED)

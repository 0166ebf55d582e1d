"""``coltsfoottrack config history``: lists changes with author and time."""

from asyncio import run
from typing import Any

from fire.decorators import SetParseFn

from coltsfoottrack._internal.cli.configuration_client import ConfigurationClient, record_document
from coltsfoottrack._internal.cli.exceptions import EXIT_BAD_INPUT, EXIT_UNREACHABLE, CommandError
from coltsfoottrack._internal.cli.output import check_output, emit, format_time
from coltsfoottrack._internal.configuration.difference import difference
from coltsfoottrack._internal.configuration.exceptions import StoreUnavailableError

HISTORY_LIMIT = 50


@SetParseFn(str)
def configuration_history(
    limit: str = "20", node: str = "", platform: str = "", output: str = "text"
) -> None:
    """Lists the changes, newest first, with generation, time, author and changed fields.

    Args:
        limit: Maximum number of changes, 1 to 50.
        node: Peer address HOST:PORT of any node; default is COLTSFOOTTRACK_NODE.
        platform: Address HOST:PORT of the platform.
        output: text or json.
    """
    check_output(output)
    if not (limit.isascii() and limit.isdigit() and 1 <= int(limit[:6]) <= HISTORY_LIMIT):
        raise CommandError(f"--limit must be from 1 to {HISTORY_LIMIT}", EXIT_BAD_INPUT)
    run(_history(int(limit), node, platform, output))


async def _history(limit: int, node: str, platform: str, output: str) -> None:
    client = await ConfigurationClient.open(node, platform)
    try:
        records = await client.store.history(limit + 1)
        newest = (await client.newest()).record
    except StoreUnavailableError as error:
        raise CommandError(
            f"{error}; only the platform stores the history", EXIT_UNREACHABLE
        ) from error
    finally:
        client.close()
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
            f"generation {record.generation} at {format_time(record.written_at_ms)} by "
            f"{record.author or '-'} (change {record.change_id})"
        )
        lines.extend(f"  {change.line()}" for change in changes)
    emit(output, {"history": entries}, lines or ["no change is stored"])

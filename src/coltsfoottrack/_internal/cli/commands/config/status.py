"""``coltsfoottrack config status``: shows which nodes have the newest configuration."""

from asyncio import run

from fire.decorators import SetParseFn

from coltsfoottrack._internal.cli.configuration_client import ConfigurationClient, record_document
from coltsfoottrack._internal.cli.exceptions import EXIT_NOT_CONFIRMED, CommandError
from coltsfoottrack._internal.cli.output import check_output, emit, format_since, table


@SetParseFn(str)
def configuration_status(node: str = "", platform: str = "", output: str = "text") -> None:
    """Shows how many nodes have confirmed the newest configuration, and lists the others.

    Args:
        node: Peer address HOST:PORT of any node; default is COLTSFOOTTRACK_NODE.
        platform: Address HOST:PORT of the platform.
        output: text or json.
    """
    check_output(output)
    run(_status(node, platform, output))


async def _status(node: str, platform: str, output: str) -> None:
    client = await ConfigurationClient.open(node, platform)
    try:
        record, source = await client.newest()
        missing = await client.unconfirmed(record)
    finally:
        client.close()
    lines = [f"note: {note}" for note in client.fleet.notes]
    lines.append(
        f"generation {record.generation} (change {record.change_id or '-'}) from {source}: "
        f"{len(client.answers) - len(missing)} of {len(client.answers)} nodes confirm"
    )
    rows = []
    for item in missing:
        rows.append((item.node, item.generation, format_since(item.since_ms), item.problem))
    if rows:
        lines.extend(table(("NODE", "GENERATION", "IN FORCE SINCE", "PROBLEM"), rows))
    emit(
        output,
        {
            **record_document(record),
            "source": source,
            "notes": client.fleet.notes,
            "nodes": len(client.answers),
            "unconfirmed": [item._asdict() for item in missing],
        },
        lines,
    )
    if missing:
        raise CommandError(f"{len(missing)} nodes have not confirmed", EXIT_NOT_CONFIRMED)

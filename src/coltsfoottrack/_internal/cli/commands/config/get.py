"""``coltsfoottrack config get``: shows the newest configuration."""

from asyncio import run

from fire.decorators import SetParseFn

from coltsfoottrack._internal.cli.configuration_client import (
    ConfigurationClient,
    configuration_document,
    record_document,
)
from coltsfoottrack._internal.cli.configuration_edit import configuration_yaml
from coltsfoottrack._internal.cli.output import check_output, emit, format_time


@SetParseFn(str)
def get_configuration(node: str = "", platform: str = "", output: str = "text") -> None:
    """Shows the newest configuration as YAML that ``config set --file`` accepts.

    Args:
        node: Peer address HOST:PORT of any node; default is COLTSFOOTTRACK_NODE.
        platform: Address HOST:PORT of the platform.
        output: text or json.
    """
    check_output(output)
    run(_get(node, platform, output))


async def _get(node: str, platform: str, output: str) -> None:
    client = await ConfigurationClient.open(node, platform)
    try:
        record, source = await client.newest()
    finally:
        client.close()
    document = configuration_document(record.configuration)
    time_text = format_time(record.written_at_ms)
    lines = [f"# note: {note}" for note in client.fleet.notes]
    lines.append(
        f"# generation {record.generation}, change {record.change_id or '-'}, by "
        f"{record.author or '-'} at {time_text}, read from {source or 'nowhere'}"
    )
    lines.append(configuration_yaml(document))
    emit(
        output,
        {
            **record_document(record),
            "source": source,
            "notes": client.fleet.notes,
            "configuration": document,
        },
        lines,
    )

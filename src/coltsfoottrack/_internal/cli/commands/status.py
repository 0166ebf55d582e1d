"""``coltsfoottrack status``: shows the load and the problems of the fleet."""

from asyncio import run

from fire.decorators import SetParseFn

from coltsfoottrack._internal.cli.fleet_client import FleetClient
from coltsfoottrack._internal.cli.output import check_output, emit
from coltsfoottrack._internal.cli.status_document import build_status
from coltsfoottrack._internal.cli.status_report import status_lines


@SetParseFn(str)
def status(node: str = "", platform: str = "", output: str = "text") -> None:
    """Shows services, backend servers, limits, load shedding and invariant violations.

    Args:
        node: Peer address HOST:PORT of any node; default is COLTSFOOTTRACK_NODE.
        platform: Address HOST:PORT of the platform, to discover the nodes.
        output: text or json.
    """
    check_output(output)
    run(_status(node, platform, output))


async def _status(node: str, platform: str, output: str) -> None:
    fleet = FleetClient.from_config(node, platform)
    try:
        document = build_status(fleet, await fleet.statuses())
    finally:
        fleet.close()
    emit(output, document, status_lines(document))

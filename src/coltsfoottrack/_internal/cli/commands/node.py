"""``coltsfoottrack node``: runs the node beside a backend server."""

from asyncio import run

from coltsfoottrack._internal.node.daemon import run_node
from coltsfoottrack._internal.observability.logs import configure_logs
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import NodeSettings
from coltsfoottrack._internal.settings.loader import load_file


def node(settings: str) -> None:
    """Runs a node until SIGTERM.

    Args:
        settings: Path of the node's YAML settings file.
    """
    loaded = load_file(str(settings), NodeSettings)
    configure_logs()
    run(run_node(loaded))

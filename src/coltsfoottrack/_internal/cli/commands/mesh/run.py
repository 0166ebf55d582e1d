"""``coltsfoottrack mesh run``: runs a node of a mesh whose nodes share a directory."""

from asyncio import run

from coltsfoottrack._internal.cli.exceptions import EXIT_BAD_INPUT, EXIT_FAILED, CommandError
from coltsfoottrack._internal.mesh.daemon import MeshNode
from coltsfoottrack._internal.mesh.decisions import DecisionLog
from coltsfoottrack._internal.mesh_local.adapter import local_adapter


def run_mesh_node(settings: str) -> None:
    """Runs a node until SIGTERM, with the routes in routes.yaml of the shared directory.

    Args:
        settings: Path of the YAML settings file of the node.
    """
    adapter = local_adapter(str(settings))
    try:
        loaded = adapter.read_settings()
    except ValueError as error:
        raise CommandError(str(error), EXIT_BAD_INPUT) from error
    node = MeshNode(loaded, adapter, DecisionLog(loaded.node))
    try:
        run(node.run())
    except OSError as error:
        raise CommandError(f"cannot listen: {error}", EXIT_FAILED) from error

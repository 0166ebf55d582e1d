"""Runs a node of the mesh on the users' platform."""

import sys
from asyncio import run

from coltsfoottrack._internal.mesh.daemon import MeshNode
from coltsfoottrack._internal.mesh.decisions import DecisionLog
from coltsfoottrack.platform.adapter import ADAPTER

EXIT_BAD_SETTINGS = 2
EXIT_CANNOT_LISTEN = 1


def run_node() -> int:
    """Runs a node until SIGTERM; returns the exit status."""
    try:
        settings = ADAPTER.read_settings()
    except (OSError, ValueError) as error:
        print(f"coltsfoottrack: {error}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    node = MeshNode(settings, ADAPTER, DecisionLog(settings.node))
    try:
        run(node.run())
    except OSError as error:
        print(f"coltsfoottrack: cannot listen: {error}", file=sys.stderr)
        return EXIT_CANNOT_LISTEN
    return 0

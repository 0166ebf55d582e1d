"""``coltsfoottrack mesh``: runs nodes of a mesh and shows their status."""

from coltsfoottrack._internal.cli.commands.mesh.run import run_mesh_node
from coltsfoottrack._internal.cli.commands.mesh.status import mesh_status


class MeshCommands:
    """Runs a node of a mesh without a platform, and shows the status of the nodes of any mesh."""

    run = staticmethod(run_mesh_node)
    status = staticmethod(mesh_status)

"""``coltsfoottrack mesh``: runs and looks at the nodes of a mesh."""

from coltsfoottrack._internal.cli.commands.mesh.run import run_mesh_node
from coltsfoottrack._internal.cli.commands.mesh.status import mesh_status


class MeshCommands:
    """Runs a node of a mesh without a platform, and shows what nodes of any mesh are doing."""

    run = staticmethod(run_mesh_node)
    status = staticmethod(mesh_status)

"""``coltsfoottrack config check``: checks a routes file before it is stored."""

from fire.decorators import SetParseFn

from coltsfoottrack._internal.cli.routing_check import check_routing
from coltsfoottrack._internal.mesh_local.routes import decode_routes


@SetParseFn(str)
def check_routes_file(
    file: str, in_force: str = "", strict: str = "false", output: str = "text"
) -> None:
    """Checks a routes file: errors, entries without effect, limits that contradict each other.

    The exit status is 2 if there are errors, 1 if there are warnings and --strict is given, and 0
    otherwise.

    Args:
        file: Routes of a mesh, in YAML.
        in_force: File with the version in force; what differs from it is shown.
        strict: Fail also if there are only warnings.
        output: text or json.
    """
    check_routing(decode_routes, file, in_force, strict, output)

"""``coltsfoottrack demo``: runs a fleet of stand-ins on this machine through a surge."""

from coltsfoottrack._internal.cli.exceptions import EXIT_BAD_INPUT, CommandError
from coltsfoottrack._internal.experiment.demo import run_demo
from coltsfoottrack._internal.experiment.deployments import WHEEL_WORKS, find_deployment
from coltsfoottrack._internal.experiment.exceptions import ExperimentError


def demo(deployment: str = WHEEL_WORKS.name) -> None:
    """Runs a scaled-down fleet through a surge and prints the outcomes of the requests.

    Args:
        deployment: wheel-works or nadrau.
    """
    try:
        selected = find_deployment(str(deployment))
    except ExperimentError as error:
        raise CommandError(str(error), EXIT_BAD_INPUT) from error
    violations = run_demo(selected)
    if violations:
        raise CommandError(f"{violations} invariant violations")

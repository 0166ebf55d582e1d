"""``coltsfoottrack demo``: a fleet of stand-ins on this machine, with a surge."""

from coltsfoottrack._internal.cli.exceptions import CommandError
from coltsfoottrack._internal.experiment.demo import run_demo


def demo() -> None:
    """Runs a scaled-down fleet through a surge and prints what became of the requests."""
    violations = run_demo()
    if violations:
        raise CommandError(f"{violations} invariant violations")

"""``python -m coltsfoottrack.platform check``: checks a configuration before it is stored."""

import sys

from fire import Fire
from fire.decorators import SetParseFn

from coltsfoottrack._internal.cli.exceptions import CommandError
from coltsfoottrack._internal.cli.routing_check import check_routing
from coltsfoottrack.platform.configuration import decode_configuration


@SetParseFn(str)
def check(file: str, in_force: str = "", strict: str = "false", output: str = "text") -> None:
    """Checks the operator's configuration: errors, entries without effect, contradicting limits.

    The exit status is 2 if there are errors, 1 if there are warnings and --strict is given, and 0
    otherwise.

    Args:
        file: Configuration in JSON, as it is to be stored.
        in_force: File with the version in force; what differs from it is shown.
        strict: Fail also if there are only warnings.
        output: text or json.
    """
    check_routing(decode_configuration, file, in_force, strict, output)


def run_check(words: list[str]) -> int:
    """Runs the command with its arguments; returns the exit status of a failure, 0 otherwise."""
    try:
        Fire(check, command=words, name="check")
    except CommandError as error:
        print(f"coltsfoottrack: {error}", file=sys.stderr)
        return error.exit_status
    return 0

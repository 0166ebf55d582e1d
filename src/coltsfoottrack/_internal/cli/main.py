"""Entry point of the ``coltsfoottrack`` command."""

import sys

from fire import Fire

from coltsfoottrack._internal.cli.commands.demo import demo
from coltsfoottrack._internal.cli.commands.experiment import experiment
from coltsfoottrack._internal.cli.commands.node import node
from coltsfoottrack._internal.cli.commands.standin import StandInCommands
from coltsfoottrack._internal.cli.exceptions import EXIT_BAD_INPUT, CommandError
from coltsfoottrack._internal.settings.exceptions import SettingsError

COMMANDS = {"demo": demo, "experiment": experiment, "node": node, "standin": StandInCommands}


def main() -> None:
    """Runs the command that the arguments name, and exits with its status."""
    try:
        Fire(COMMANDS, name="coltsfoottrack")
    except SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_BAD_INPUT)
    except CommandError as error:
        print(f"coltsfoottrack: {error}", file=sys.stderr)
        sys.exit(error.exit_status)

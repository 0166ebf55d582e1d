"""Entry point of the ``coltsfoottrack`` command."""

import sys

import fire.core
from fire import Fire

from coltsfoottrack._internal.calls.exceptions import SecretFileError
from coltsfoottrack._internal.cli.commands.config import ConfigCommands
from coltsfoottrack._internal.cli.commands.demo import demo
from coltsfoottrack._internal.cli.commands.drain import drain
from coltsfoottrack._internal.cli.commands.experiment import experiment
from coltsfoottrack._internal.cli.commands.explain import explain
from coltsfoottrack._internal.cli.commands.measure import MeasureCommands
from coltsfoottrack._internal.cli.commands.node import node
from coltsfoottrack._internal.cli.commands.reference import ReferenceCommands
from coltsfoottrack._internal.cli.commands.standin import StandInCommands
from coltsfoottrack._internal.cli.commands.status import status
from coltsfoottrack._internal.cli.commands.timeline import timeline
from coltsfoottrack._internal.cli.exceptions import EXIT_BAD_INPUT, EXIT_FAILED, CommandError
from coltsfoottrack._internal.configuration.exceptions import (
    ConfigurationError,
    InvalidConfigurationError,
)
from coltsfoottrack._internal.node.exceptions import ListenError
from coltsfoottrack._internal.settings.exceptions import SettingsError

COMMANDS = {
    "status": status,
    "timeline": timeline,
    "explain": explain,
    "drain": drain,
    "config": ConfigCommands,
    "node": node,
    "standin": StandInCommands,
    "reference": ReferenceCommands,
    "measure": MeasureCommands,
    "demo": demo,
    "experiment": experiment,
}
HELP_FLAGS = ("--help", "-h")


def main() -> None:
    """Runs the command that the arguments name, and exits with its status."""
    # Fire would start a pager for help, and a process of the product starts no other.
    fire.core.Display = _display
    try:
        Fire(COMMANDS, command=command_words(sys.argv[1:]), name="coltsfoottrack")
    except SettingsError as error:
        _fail(str(error), EXIT_BAD_INPUT)
    except SecretFileError as error:
        _fail(f"coltsfoottrack: cluster secret: {error}", EXIT_BAD_INPUT)
    except CommandError as error:
        _fail(f"coltsfoottrack: {error}", error.exit_status)
    except ListenError as error:
        _fail(f"coltsfoottrack: {error}", EXIT_FAILED)
    except InvalidConfigurationError as error:
        _fail(f"coltsfoottrack: refused, nothing was changed: {error}", EXIT_BAD_INPUT)
    except ConfigurationError as error:
        _fail(f"coltsfoottrack: {error}", EXIT_FAILED)


def command_words(arguments: list[str]) -> list[str]:
    """Returns the arguments with a request for help in the form that works for every command.

    Fire hands ``--help`` to a command that accepts any flag, and so would run it.
    """
    if not any(argument in HELP_FLAGS for argument in arguments):
        return arguments
    words = []
    for argument in arguments:
        if argument.startswith("-") or "=" in argument:
            break
        words.append(argument)
    return [*words, "--", "--help"]


def _display(lines: list[str], out: object) -> None:
    print("\n".join(lines), file=out)


def _fail(message: str, status: int) -> None:
    print(" ".join(message.splitlines()), file=sys.stderr)
    sys.exit(status)

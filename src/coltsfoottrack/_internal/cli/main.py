"""Entry point of the ``coltsfoottrack`` command."""

import sys
from importlib import import_module
from os import O_WRONLY, devnull, dup2
from os import open as open_file
from typing import Any

import fire.core
from fire import Fire

from coltsfoottrack._internal.calls.exceptions import SecretFileError
from coltsfoottrack._internal.cli.exceptions import EXIT_BAD_INPUT, EXIT_FAILED, CommandError
from coltsfoottrack._internal.configuration.exceptions import (
    ConfigurationError,
    InvalidConfigurationError,
)
from coltsfoottrack._internal.node.exceptions import ListenError
from coltsfoottrack._internal.settings.exceptions import SettingsError

COMMANDS_PACKAGE = "coltsfoottrack._internal.cli.commands"
# Module and attribute of each command. Only the module of the command that runs is imported:
# those of the other commands took 4.4 MB of a node's memory.
COMMANDS = {
    "status": ("status", "status"),
    "timeline": ("timeline", "timeline"),
    "explain": ("explain", "explain"),
    "logs": ("logs", "LogsCommands"),
    "drain": ("drain", "drain"),
    "config": ("config", "ConfigCommands"),
    "node": ("node", "node"),
    "mesh": ("mesh", "MeshCommands"),
    "standin": ("standin", "StandInCommands"),
    "reference": ("reference", "ReferenceCommands"),
    "measure": ("measure", "MeasureCommands"),
    "demo": ("demo", "demo"),
    "experiment": ("experiment", "experiment"),
}
HELP_FLAGS = ("--help", "-h")


def main() -> None:
    """Runs the command named by the arguments and exits with its status."""
    # By default Fire shows help in a pager, but coltsfoottrack must not start other processes.
    fire.core.Display = _print_help
    try:
        words = normalize_arguments(sys.argv[1:])
        Fire(load_commands(words), command=words, name="coltsfoottrack")
        sys.stdout.flush()
    except BrokenPipeError:
        # The reader of the output, such as a pager, has closed the pipe. Standard output now goes
        # to /dev/null, so that the flush at exit does not fail as well.
        dup2(open_file(devnull, O_WRONLY), sys.stdout.fileno())
        sys.exit(EXIT_FAILED)
    except SettingsError as error:
        _exit_with_error(str(error), EXIT_BAD_INPUT)
    except SecretFileError as error:
        _exit_with_error(f"coltsfoottrack: cluster secret: {error}", EXIT_BAD_INPUT)
    except CommandError as error:
        _exit_with_error(f"coltsfoottrack: {error}", error.exit_status)
    except ListenError as error:
        _exit_with_error(f"coltsfoottrack: {error}", EXIT_FAILED)
    except InvalidConfigurationError as error:
        _exit_with_error(f"coltsfoottrack: refused, nothing was changed: {error}", EXIT_BAD_INPUT)
    except ConfigurationError as error:
        _exit_with_error(f"coltsfoottrack: {error}", EXIT_FAILED)


def load_commands(words: list[str]) -> dict[str, Any]:
    """Imports the command named by the first word, or all commands if it names none."""
    names = words[:1] if words and words[0] in COMMANDS else list(COMMANDS)
    loaded = {}
    for name in names:
        module, attribute = COMMANDS[name]
        loaded[name] = getattr(import_module(f"{COMMANDS_PACKAGE}.{module}"), attribute)
    return loaded


def normalize_arguments(arguments: list[str]) -> list[str]:
    """Returns the arguments with ``--help`` moved behind a ``--`` separator.

    Fire passes a plain ``--help`` as a flag to commands that accept any flag, and would run them.
    """
    if not any(argument in HELP_FLAGS for argument in arguments):
        return arguments
    words = []
    for argument in arguments:
        if argument.startswith("-") or "=" in argument:
            break
        words.append(argument)
    return [*words, "--", "--help"]


def _print_help(lines: list[str], out: object) -> None:
    print("\n".join(lines), file=out)


def _exit_with_error(message: str, status: int) -> None:
    print(" ".join(message.splitlines()), file=sys.stderr)
    sys.exit(status)

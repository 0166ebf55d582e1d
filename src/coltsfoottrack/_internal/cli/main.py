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
# Module and name of each command. Only the module of the command that runs is loaded: those of
# the others took 4.4 MB of a node's memory.
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
    """Runs the command that the arguments name, and exits with its status."""
    # Fire would start a pager for help, and a process of the product starts no other.
    fire.core.Display = _print_help
    try:
        words = normalize_arguments(sys.argv[1:])
        Fire(load_commands(words), command=words, name="coltsfoottrack")
        sys.stdout.flush()
    except BrokenPipeError:
        # Whoever read the output, such as a pager, has ended; the rest has no reader.
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
    """Returns the command that the first word names, or all commands if it names none."""
    names = words[:1] if words and words[0] in COMMANDS else list(COMMANDS)
    loaded = {}
    for name in names:
        module, attribute = COMMANDS[name]
        loaded[name] = getattr(import_module(f"{COMMANDS_PACKAGE}.{module}"), attribute)
    return loaded


def normalize_arguments(arguments: list[str]) -> list[str]:
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


def _print_help(lines: list[str], out: object) -> None:
    print("\n".join(lines), file=out)


def _exit_with_error(message: str, status: int) -> None:
    print(" ".join(message.splitlines()), file=sys.stderr)
    sys.exit(status)

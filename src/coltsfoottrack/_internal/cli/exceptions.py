"""Errors and exit statuses of the command line.

| status | meaning |
|---|---|
| 0 | the command did what it says |
| 1 | it failed for the reason given, and altered nothing |
| 2 | the arguments or a settings file cannot be used; the message says what is accepted |
| 3 | another operator changed the configuration; it was shown and nothing was altered |
| 4 | no node, or not the platform that a change needs, could be reached |
| 5 | the change is stored, but not every known node has confirmed it, or it is not certain |
"""

EXIT_FAILED = 1
EXIT_BAD_INPUT = 2
EXIT_CONFLICT = 3
EXIT_UNREACHABLE = 4
EXIT_NOT_CONFIRMED = 5


class CommandError(Exception):
    """A command cannot be carried out; the message goes to standard error."""

    def __init__(self, message: str, exit_status: int = EXIT_FAILED) -> None:
        super().__init__(message)
        self.exit_status = exit_status

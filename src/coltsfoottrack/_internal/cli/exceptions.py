"""Errors and exit statuses of the command line.

| status | meaning |
|---|---|
| 0 | the command succeeded |
| 1 | the command failed for the reason given and changed nothing |
| 2 | the arguments or a settings file are invalid; the message says what is accepted |
| 3 | another operator changed the configuration; the change is shown and nothing was changed |
| 4 | no node could be reached, or not the platform, which a change needs |
| 5 | not every known node has confirmed the stored change, or its effect is uncertain |
"""

EXIT_FAILED = 1
EXIT_BAD_INPUT = 2
EXIT_CONFLICT = 3
EXIT_UNREACHABLE = 4
EXIT_NOT_CONFIRMED = 5


class CommandError(Exception):
    """Raised when a command fails; the message is printed to standard error."""

    def __init__(self, message: str, exit_status: int = EXIT_FAILED) -> None:
        super().__init__(message)
        self.exit_status = exit_status

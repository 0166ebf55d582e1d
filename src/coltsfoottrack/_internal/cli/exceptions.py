"""Errors and exit statuses of the command line."""

EXIT_OK = 0
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

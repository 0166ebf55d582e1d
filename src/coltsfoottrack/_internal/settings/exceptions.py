"""Errors of the settings layer."""


class SettingsError(Exception):
    """A settings file is missing, malformed or invalid.

    The message has the form ``FILE:LINE: FIELD: problem, and the accepted values``.
    """

    def __init__(self, file: str, line: int, field: str, problem: str) -> None:
        super().__init__(f"{file}:{line}: {field}: {problem}")
        self.file = file
        self.line = line
        self.field = field
        self.problem = problem

"""Errors of the admission layer."""

from coltsfoottrack._internal.calls.outcome import Reason


class NotAdmittedError(Exception):
    """A request was refused before it was dispatched, so it was not run."""

    def __init__(self, reason: Reason) -> None:
        super().__init__(f"not admitted: {reason}")
        self.reason = reason

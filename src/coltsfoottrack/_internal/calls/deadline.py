"""Deadlines, sent as remaining time so that clocks need not be synchronised."""

from time import monotonic
from typing import NamedTuple, Self


class Deadline(NamedTuple):
    """Time at which the caller stops waiting for an answer, on this process's monotonic clock."""

    expires_at: float

    @classmethod
    def after_ms(cls, milliseconds: float) -> Self:
        """Returns a deadline the given number of milliseconds from now."""
        return cls(monotonic() + milliseconds / 1000.0)

    def remaining_ms(self) -> float:
        """Returns the remaining time in milliseconds, negative once the deadline has passed."""
        return (self.expires_at - monotonic()) * 1000.0

    def remaining_seconds(self) -> float:
        """Returns the remaining time in seconds, negative once the deadline has passed."""
        return self.expires_at - monotonic()

    def has_passed(self) -> bool:
        """Returns whether the deadline has passed."""
        return monotonic() >= self.expires_at

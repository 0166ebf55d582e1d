"""Deadlines that travel as time left, so that clocks need not agree."""

from time import monotonic
from typing import NamedTuple, Self


class Deadline(NamedTuple):
    """The moment after which nobody waits for an answer, on this process's monotonic clock."""

    expires_at: float

    @classmethod
    def after_ms(cls, milliseconds: float) -> Self:
        """Returns the deadline that lies the given number of milliseconds ahead."""
        return cls(monotonic() + milliseconds / 1000.0)

    def remaining_ms(self) -> float:
        """Returns the time left in milliseconds, negative once the deadline has passed."""
        return (self.expires_at - monotonic()) * 1000.0

    def remaining_seconds(self) -> float:
        """Returns the time left in seconds, negative once the deadline has passed."""
        return self.expires_at - monotonic()

    def has_passed(self) -> bool:
        """Tells whether the deadline has passed."""
        return monotonic() >= self.expires_at

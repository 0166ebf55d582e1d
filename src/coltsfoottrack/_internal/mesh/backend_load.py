"""The load that the local backend server reports in its answers, and its speed of work."""

from math import exp
from typing import NamedTuple

from coltsfoottrack._internal.mesh.backend_state import BackendState, Lifetime

MAX_DIGITS = 9
USUAL_PERCENT = 100.0
# Bounds on the slowdown that is believed.
MIN_SLOWDOWN = 0.1
MAX_SLOWDOWN = 100.0
# A slowdown older than this fades until it counts as over: it changes many times a second.
FRESH_SECONDS = 0.3
FADE_SECONDS = 1.0
# The value ends with an answer without it that comes this long after the last one with it: single
# answers may lack it.
END_AFTER_SECONDS = 1.0
# Time constant of the mean speed that other nodes learn.
MEAN_SPEED_SECONDS = 2.0


class LoadReport(NamedTuple):
    """The load that one answer reports."""

    running: int
    waiting: int
    slots: int
    # How long work takes at present, in percent of the usual; 0 if this is not reported.
    slowdown_percent: int = 0


def parse_load(value: bytes) -> LoadReport | None:
    """Returns a reported load, None if the value is not three or four non-negative integers."""
    parts = value.split(b",")
    if len(parts) not in (3, 4):
        return None
    numbers = []
    for part in parts:
        digits = part.strip()
        if not digits.isdigit() or len(digits) > MAX_DIGITS:
            return None
        numbers.append(int(digits))
    return LoadReport(*numbers)


class BackendSpeed:
    """The slowdown of the local backend server, the newest and the mean."""

    def __init__(self, backend: BackendState) -> None:
        self.backend = backend
        # The process that reports its slowdown, None if none does.
        self.lifetime: Lifetime | None = None
        self.slowdown = 1.0
        self.reported_at = 0.0
        # Moving average of the speed; 1.0 is the usual one.
        self.mean_speed = 1.0
        # Time for which the backend server would have worked at its usual speed, in seconds.
        self.usual_seconds = 0.0

    @property
    def is_reported(self) -> bool:
        """Whether the present process of the backend server reports its slowdown."""
        lifetime = self.lifetime
        if lifetime is None:
            return False
        # Compares the fields, since the property of the backend server would build a new object
        # several times per request.
        backend = self.backend
        return lifetime.started_ms == backend.started_ms and (
            lifetime.backend == backend.identifier
        )

    def observe(self, report: LoadReport | None, lifetime: Lifetime | None, now: float) -> None:
        """Applies the load that a complete answer reports; ``lifetime`` is that of its sender."""
        percent = report.slowdown_percent if report is not None else 0
        if not percent:
            if self.lifetime is not None and now - self.reported_at > END_AFTER_SECONDS:
                self.lifetime = None
            return
        if lifetime is None or lifetime != self.backend.lifetime:
            return
        slowdown = max(MIN_SLOWDOWN, min(MAX_SLOWDOWN, percent / USUAL_PERCENT))
        if lifetime != self.lifetime:
            self.lifetime = lifetime
            self.mean_speed = 1.0 / slowdown
        else:
            self._advance(now)
        self.slowdown = slowdown
        self.reported_at = now

    def _advance(self, now: float) -> None:
        elapsed = now - self.reported_at
        speed = 1.0 / self.current(now)
        self.usual_seconds += elapsed * speed
        self.mean_speed += (1.0 - exp(-elapsed / MEAN_SPEED_SECONDS)) * (speed - self.mean_speed)

    def current(self, now: float) -> float:
        """Returns the factor by which work takes longer than usual; 1.0 if it is not known."""
        if not self.is_reported:
            return 1.0
        stale = now - self.reported_at - FRESH_SECONDS
        if stale <= 0.0:
            return self.slowdown
        return 1.0 + (self.slowdown - 1.0) * max(0.0, 1.0 - stale / FADE_SECONDS)

    def usual_time(self, now: float) -> float:
        """Returns a clock, in seconds, that runs as fast as the backend server works.

        The difference of two readings is how long the work between them usually takes.
        """
        if not self.is_reported:
            return 0.0
        return self.usual_seconds + (now - self.reported_at) / self.current(now)

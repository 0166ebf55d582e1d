"""How many requests a slowed backend server runs at a time.

Fewer at a time help only where the slowdown comes from the number of running requests. A server
that is slowed from outside fills up because it is slow, so a slowdown at many running requests
proves nothing; a slowdown that changes at once with their number does.
"""

from coltsfoottrack._internal.mesh.backend_load import USUAL_PERCENT, LoadReport

# Changes between two reports further apart than this have other causes too.
MAX_STEP_SECONDS = 0.1
STEP_WEIGHT = 0.05
# Number of changes of the running requests before the slope is used.
MIN_STEPS = 40
# Relative change of the slowdown for a relative change of the running requests, from which fewer
# at a time finish about as many: 1.0 where all share one processor, 0.0 where the cause is outside.
MIN_ELASTICITY = 0.8
# Slowdowns below this are left alone.
MIN_SLOWDOWN = 1.2
# Fraction of the slots that is always used.
MIN_FRACTION = 0.25


class SlowedLimit:
    """Learns how the slowdown depends on the running requests and derives a limit for them."""

    def __init__(self) -> None:
        self.last: LoadReport | None = None
        self.last_at = 0.0
        self.steps = 0
        # Moving averages of the squared changes and of the products of changes.
        self.squares = 0.0
        self.products = 0.0

    def observe(self, report: LoadReport, now: float) -> None:
        """Compares a report that has a slowdown with the one before it."""
        last = self.last
        if last is not None and now - self.last_at <= MAX_STEP_SECONDS:
            change = report.running - last.running
            if change:
                slowed = (report.slowdown_percent - last.slowdown_percent) / USUAL_PERCENT
                self.steps += 1
                self.squares += STEP_WEIGHT * (change * change - self.squares)
                self.products += STEP_WEIGHT * (change * slowed - self.products)
        self.last = report
        self.last_at = now

    def limit(self, slots: int, slowdown: float, allowed: float) -> int:
        """Returns how many requests to run at a time, ``slots`` if fewer would not help.

        ``allowed`` is the greatest slowdown at which requests keep their targets.
        """
        if slowdown < MIN_SLOWDOWN or slowdown <= allowed or self.steps < MIN_STEPS:
            return slots
        slope = self.products / self.squares
        running = self.last.running
        if slope <= 0.0 or running * slope / slowdown < MIN_ELASTICITY:
            return slots
        fewest = max(1, int(slots * MIN_FRACTION))
        return max(fewest, min(slots, int(running - (slowdown - allowed) / slope)))

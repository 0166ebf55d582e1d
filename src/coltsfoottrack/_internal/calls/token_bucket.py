"""A budget of bytes per second."""


class TokenBucket:
    """Grants a rate with a bounded burst; what is taken beyond it is paid back later."""

    def __init__(self, per_second: float, burst: float, now: float) -> None:
        self.per_second = per_second
        self.burst = burst
        self.level = burst
        self.updated = now

    def available(self, now: float) -> float:
        """Returns what may be taken now, below 0 while a debt is left."""
        earned = (now - self.updated) * self.per_second
        self.level = min(self.burst, self.level + max(0.0, earned))
        self.updated = max(self.updated, now)
        return self.level

    def take(self, amount: float) -> None:
        """Takes an amount, also more than is available."""
        self.level -= amount

    def seconds_until(self, amount: float, now: float) -> float:
        """Returns the time until an amount is available, in seconds."""
        return max(0.0, (amount - self.available(now)) / self.per_second)

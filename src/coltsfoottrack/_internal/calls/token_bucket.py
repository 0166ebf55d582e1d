"""Token bucket for a budget of bytes per second."""


class TokenBucket:
    """Limits a rate with a bounded burst; may be overdrawn, which delays later use."""

    def __init__(self, per_second: float, burst: float, now: float) -> None:
        self.per_second = per_second
        self.burst = burst
        self.level = burst
        self.updated = now

    def available(self, now: float) -> float:
        """Returns the available amount, negative while the bucket is overdrawn."""
        earned = (now - self.updated) * self.per_second
        self.level = min(self.burst, self.level + max(0.0, earned))
        self.updated = max(self.updated, now)
        return self.level

    def take(self, amount: float) -> None:
        """Takes an amount, even if it is more than available."""
        self.level -= amount

    def seconds_until(self, amount: float, now: float) -> float:
        """Returns the seconds until an amount is available."""
        return max(0.0, (amount - self.available(now)) / self.per_second)

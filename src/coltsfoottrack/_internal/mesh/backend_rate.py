"""Enforces the rate limit that the local backend server names; only this node sends to it."""

from math import inf

from coltsfoottrack._internal.calls.token_bucket import TokenBucket
from coltsfoottrack._internal.mesh.backend_state import BackendState, Lifetime
from coltsfoottrack._internal.mesh.clock import current_time
from coltsfoottrack._internal.mesh.decisions import DecisionLog

# Burst that may be sent after a pause: what the limit allows in this time, but at least this much.
BURST_SECONDS = 0.25
MIN_BURST_REQUESTS = 1.0
# Only an answer tells that the limit has changed, so a backend server that takes nothing still gets
# this many requests per second.
MIN_RATE_PER_SECOND = 0.5
# The limit ends with an answer without it that comes this long after the last one with it: single
# answers may lack it.
END_AFTER_SECONDS = 1.0


def parse_rate(value: bytes) -> float | None:
    """Returns a rate limit in requests per second, None if the value is not one."""
    try:
        rate = float(value)
    except ValueError:
        return None
    return rate if 0.0 <= rate < inf else None


class BackendRate:
    """Paces the requests to a backend server that names a rate limit."""

    def __init__(self, backend: BackendState, log: DecisionLog) -> None:
        self.backend = backend
        self.log = log
        # Requests per second, None while the backend server names no limit.
        self.limit: float | None = None
        self.named_at = 0.0
        # The process that named the limit, and the one that answered last.
        self.lifetime: Lifetime | None = None
        self.answered_lifetime: Lifetime | None = None
        self.bucket = TokenBucket(MIN_RATE_PER_SECOND, MIN_BURST_REQUESTS, current_time())

    def observe(
        self, limit: float | None, lifetime: Lifetime | None, arrivals_per_second: float
    ) -> None:
        """Applies the limit that a complete answer names; ``lifetime`` is that of its sender."""
        self.answered_lifetime = lifetime
        if limit is None and self.limit is None:
            return
        self._discard_earlier()
        now = current_time()
        if lifetime != self.backend.lifetime:
            return
        if limit is not None:
            self.lifetime = lifetime
            self.named_at = now
        elif now - self.named_at < END_AFTER_SECONDS:
            return
        if limit != self.limit:
            self._set(limit, now, arrivals_per_second)

    def adopt(self, limit: float, started_ms: int) -> None:
        """Applies the limit that a sender knows, unless the present process has answered here."""
        lifetime = self.backend.lifetime
        if self.answered_lifetime == lifetime or started_ms != lifetime.started_ms:
            return
        self.lifetime = lifetime
        self.named_at = current_time()
        if limit != self.limit:
            self._set(limit, self.named_at, 0.0)

    def _discard_earlier(self) -> None:
        """Drops the limit of an earlier process of the backend server."""
        if self.limit is not None and self.lifetime != self.backend.lifetime:
            self._set(None, current_time(), 0.0)

    def _set(self, limit: float | None, now: float, arrivals_per_second: float) -> None:
        self.log.request(
            "backend_rate_limit",
            backend=self.backend.identifier,
            limit_per_s=limit,
            before=self.limit,
            arrivals_per_s=round(arrivals_per_second, 1),
        )
        level = 0.0 if self.limit is None else self.bucket.available(now)
        self.limit = limit
        if limit is None:
            return
        rate = max(MIN_RATE_PER_SECOND, limit)
        self.bucket = TokenBucket(rate, max(MIN_BURST_REQUESTS, rate * BURST_SECONDS), now)
        self.bucket.level = min(self.bucket.burst, level)

    def seconds_until(self, requests: int, now: float) -> float:
        """Returns the time in seconds until this many requests may have been sent."""
        if self.limit is None:
            return 0.0
        self._discard_earlier()
        return 0.0 if self.limit is None else self.bucket.seconds_until(float(requests), now)

    def take(self) -> None:
        """Counts a request that is about to be sent."""
        if self.limit is not None:
            self.bucket.take(1.0)

    def give_back(self) -> None:
        """Takes back the count of a request that was not sent after all."""
        if self.limit is not None:
            self.bucket.take(-1.0)

    def seconds_per_request(self, mean_run_seconds: float, slots: int) -> float:
        """Returns the time between two requests at which the backend server is full, in seconds."""
        by_slots = mean_run_seconds / slots
        if self.limit is None:
            return by_slots
        return max(by_slots, 1.0 / max(MIN_RATE_PER_SECOND, self.limit))

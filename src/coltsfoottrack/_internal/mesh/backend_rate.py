"""The rate to which the local backend server limits the requests of all nodes together."""

from math import inf

from coltsfoottrack._internal.mesh.decisions import DecisionLog


def parse_rate(value: bytes) -> float | None:
    """Returns a rate limit in requests per second, None if the value is not one."""
    try:
        rate = float(value)
    except ValueError:
        return None
    return rate if 0.0 <= rate < inf else None


class BackendRate:
    """The rate limit that the backend server names in its answers."""

    def __init__(self, log: DecisionLog) -> None:
        self.log = log
        # Requests per second, None while the backend server names no limit.
        self.limit: float | None = None

    def observe(self, limit: float | None, backend: str, arrivals_per_second: float) -> None:
        """Records the limit that an answer names."""
        if limit == self.limit:
            return
        self.log.decision(
            "backend_rate_limit",
            backend=backend,
            limit_per_s=limit,
            before=self.limit,
            arrivals_per_s=round(arrivals_per_second, 1),
        )
        self.limit = limit

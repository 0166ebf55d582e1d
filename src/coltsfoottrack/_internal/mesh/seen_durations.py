"""The longest time that recent requests of each route have taken, from arrival to answer."""

# A maximum over fewer requests says little about the next one.
MIN_SEEN = 10
# Requests are remembered for one to two of these periods.
PERIOD_SECONDS = 30.0


class RouteDurations:
    """Number and longest duration of the requests of one route, in this period and the last."""

    __slots__ = ("count", "last_count", "last_longest", "longest", "since")

    def __init__(self, now: float) -> None:
        self.since = now
        self.count = 0
        self.longest = 0.0
        self.last_count = 0
        self.last_longest = 0.0

    def advance(self, now: float) -> None:
        """Begins a new period if the present one is over."""
        elapsed = now - self.since
        if elapsed < PERIOD_SECONDS:
            return
        is_next = elapsed < 2.0 * PERIOD_SECONDS
        self.last_count = self.count if is_next else 0
        self.last_longest = self.longest if is_next else 0.0
        self.since = now
        self.count = 0
        self.longest = 0.0


class SeenDurations:
    """Longest recent durations by route."""

    def __init__(self) -> None:
        self.routes: dict[str, RouteDurations] = {}

    def record(self, route: str, seconds: float, now: float) -> None:
        """Records a request that was answered, or ended unanswered, after this many seconds."""
        known = self.routes.get(route)
        if known is None:
            known = self.routes[route] = RouteDurations(now)
        known.advance(now)
        known.count += 1
        known.longest = max(known.longest, seconds)

    def longest(self, route: str, now: float) -> float | None:
        """Returns the longest recent duration in seconds, None if too few were seen."""
        known = self.routes.get(route)
        if known is None:
            return None
        known.advance(now)
        if known.count + known.last_count < MIN_SEEN:
            return None
        return max(known.longest, known.last_longest)

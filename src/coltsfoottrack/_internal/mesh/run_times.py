"""The usual run times of the local backend server by route, and the capacity that follows."""

# Weight of the newest run in the mean of a route; the first runs weigh equally.
RUN_WEIGHT = 0.01
# No capacity is derived from fewer runs.
MIN_RUNS = 10
# The counts that weigh the routes are halved at this many runs, so that they follow the demand.
MAX_COUNTED_RUNS = 400
# Runs whose share in the work is not measurable count as this long, in seconds.
MIN_RUN_SECONDS = 0.0001
# The mean over the routes is computed once for this time.
MEAN_SECONDS = 0.1


class RouteRuns:
    """Number of recent runs of one route and their usual time in seconds."""

    __slots__ = ("count", "runs", "seconds")

    def __init__(self) -> None:
        self.runs = 0
        self.count = 0.0
        self.seconds = 0.0

    def record(self, seconds: float) -> None:
        """Records the usual time of a run."""
        self.runs += 1
        self.count += 1.0
        self.seconds += max(RUN_WEIGHT, 1.0 / self.runs) * (seconds - self.seconds)


class RunTimes:
    """Usual run times by route."""

    def __init__(self) -> None:
        self.routes: dict[str, RouteRuns] = {}
        self.counted = 0.0
        self.runs = 0
        self.mean = 0.0
        self.mean_at = 0.0

    def record(self, route: str, seconds: float) -> None:
        """Records how long a run would have taken at the usual speed, in seconds."""
        known = self.routes.get(route)
        if known is None:
            known = self.routes[route] = RouteRuns()
        known.record(max(MIN_RUN_SECONDS, seconds))
        self.runs += 1
        self.counted += 1.0
        if self.counted >= MAX_COUNTED_RUNS:
            self._halve_counts()

    def _halve_counts(self) -> None:
        self.counted = 0.0
        for name, known in list(self.routes.items()):
            known.count /= 2.0
            if known.count < 0.5:
                del self.routes[name]
                continue
            self.counted += known.count

    def usual_seconds(self, route: str, now: float) -> float:
        """Returns the usual run time of a route, or the mean over all; 0.0 if it is not known."""
        known = self.routes.get(route)
        return known.seconds if known is not None else self.mean_seconds(now)

    def mean_seconds(self, now: float) -> float:
        """Returns the usual run time over the present mix of routes; 0.0 if it is not known."""
        if self.runs < MIN_RUNS:
            return 0.0
        if not self.mean or now - self.mean_at > MEAN_SECONDS:
            self.mean_at = now
            total = sum(known.count * known.seconds for known in self.routes.values())
            self.mean = total / max(1.0, sum(known.count for known in self.routes.values()))
        return self.mean

    def capacity(self, limit: int, mean_speed: float, now: float) -> float:
        """Returns the requests per second that this many at a time give; 0.0 if not known."""
        mean = self.mean_seconds(now)
        return limit * mean_speed / mean if mean else 0.0

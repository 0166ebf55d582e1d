"""Admission levels of routes from how many of their runs end for lack of capacity.

The load of a node does not show that a service further down refuses the calls of its runs: such a
run ends early and frees its slot. New requests of the least important ranks that would probably
fail in that way are refused before they use any capacity.
"""

from collections import deque

from coltsfoottrack._internal.mesh.levels import MIN_ADMITTED_SHARE, RANK_HOLD_SECONDS
from coltsfoottrack._internal.mesh.runner_call import RunnerCall, RunResult
from coltsfoottrack._internal.schema.links_pb2 import RESULT_NOT_RUN

INTERVAL_SECONDS = 0.1
BUCKET_SECONDS = 0.5
# The level falls by the runs of this time, and rises by those of the shorter time, since the few
# requests that are still admitted have to show soon that the failures have ended.
FALL_WINDOW_SECONDS = 2.0
RISE_WINDOW_SECONDS = 1.0
# Share of failed runs of a rank from which its requests are refused, and below which they are
# admitted again.
FALL_SHARE = 0.5
RISE_SHARE = 0.3
# Fewer runs show nothing.
MIN_RUNS = 3
FALL_PER_INTERVAL = 0.1
RISE_PER_INTERVAL = 0.15
# Refusing a rank ends if fewer runs finish than this share of those that finished before: where a
# service refuses calls whatever its load, refused requests only make its retry budget smaller.
MIN_THROUGHPUT_RATIO = 0.7
# Pause before the rank is refused again, doubled each time up to the limit.
PAUSE_SECONDS = 10.0
MAX_PAUSE_SECONDS = 60.0


class Outcomes:
    """Number of runs that ended, and of those that ended for lack of capacity, by rank."""

    def __init__(self, start: float) -> None:
        self.start = start
        self.ended: dict[int, int] = {}
        self.failed: dict[int, int] = {}


class RouteLevel:
    """Level of one route; ranks from 0, of which the most important present is never refused."""

    def __init__(self, ranks: int) -> None:
        self.ranks = ranks
        self.level = float(ranks)
        self.buckets: deque[Outcomes] = deque()
        # Since when all ranks that may be refused now are refused but for the minimum share.
        self.at_floor_since: float | None = None
        # Runs that finished per second before requests were refused, None while none are.
        self.finished_before: float | None = None
        self.paused_until = 0.0
        self.pause = PAUSE_SECONDS

    def record(self, rank: int, failed: bool, now: float) -> None:
        """Records the end of a run."""
        start = now - now % BUCKET_SECONDS
        if not self.buckets or self.buckets[-1].start != start:
            self.buckets.append(Outcomes(start))
        bucket = self.buckets[-1]
        bucket.ended[rank] = bucket.ended.get(rank, 0) + 1
        if failed:
            bucket.failed[rank] = bucket.failed.get(rank, 0) + 1

    def update(self, now: float) -> None:
        """Changes the level once per interval."""
        while self.buckets and now - self.buckets[0].start >= FALL_WINDOW_SECONDS:
            self.buckets.popleft()
        present: set[int] = set()
        for bucket in self.buckets:
            present.update(bucket.ended)
        ranks = sorted(present)
        if ranks:
            self.level = max(self.level, ranks[0] + 1.0)
        if self._has_lowered_throughput(now):
            self.level = float(self.ranks)
            self.paused_until = now + self.pause
            self.pause = min(MAX_PAUSE_SECONDS, 2.0 * self.pause)
        elif not self._rise(ranks, now) and now >= self.paused_until:
            self._fall(ranks, now)
        if self.level >= self.ranks:
            self.level = float(self.ranks)
            self.finished_before = None
            self.at_floor_since = None

    def _has_lowered_throughput(self, now: float) -> bool:
        """Returns whether refusing requests has made fewer runs finish."""
        if self.at_floor_since is None or not self._held(now):
            return False
        finished = self._finished_per_second(FALL_WINDOW_SECONDS, now)
        return finished < MIN_THROUGHPUT_RATIO * self.finished_before

    def _finished_per_second(self, seconds: float, now: float) -> float:
        """Returns how many runs per second did not end for lack of capacity."""
        finished = 0
        oldest = now
        for bucket in reversed(self.buckets):
            if now - bucket.start >= seconds:
                break
            oldest = bucket.start
            finished += sum(bucket.ended.values()) - sum(bucket.failed.values())
        return finished / max(BUCKET_SECONDS, now - oldest)

    def _rise(self, ranks: list[int], now: float) -> bool:
        """Admits more of the most important rank that is partly refused, if its runs succeed."""
        for rank in ranks:
            if self.level >= rank + 1:
                continue
            ended, failed = self._count(rank, RISE_WINDOW_SECONDS, now)
            if not ended or failed >= RISE_SHARE * ended:
                return False
            lowest = rank + MIN_ADMITTED_SHARE
            self.level = min(rank + 1.0, max(lowest, self.level) + RISE_PER_INTERVAL)
            self.at_floor_since = None
            return True
        # Every rank with requests is admitted.
        self.level += RISE_PER_INTERVAL
        return False

    def _fall(self, ranks: list[int], now: float) -> None:
        """Admits less of the least important rank that is not refused yet, if its runs fail."""
        for position in range(len(ranks) - 1, 0, -1):
            rank = ranks[position]
            floor = rank + MIN_ADMITTED_SHARE
            if self.level <= floor:
                continue
            ended, failed = self._count(rank, FALL_WINDOW_SECONDS, now)
            if ended < MIN_RUNS or failed < FALL_SHARE * ended:
                return
            if position < len(ranks) - 1 and not self._held(now):
                return
            if self.finished_before is None:
                self.finished_before = self._finished_per_second(RISE_WINDOW_SECONDS, now)
            self.level = max(floor, min(self.level, rank + 1.0) - FALL_PER_INTERVAL)
            if self.level == floor:
                self.at_floor_since = now
            return

    def _held(self, now: float) -> bool:
        """Returns whether refusing the less important ranks has had time to help."""
        since = self.at_floor_since
        return since is None or now - since >= RANK_HOLD_SECONDS

    def _count(self, rank: int, seconds: float, now: float) -> tuple[int, int]:
        """Returns how many runs of a rank have ended in the last seconds, and how many failed."""
        ended = failed = 0
        for bucket in self.buckets:
            if now - bucket.start < seconds:
                ended += bucket.ended.get(rank, 0)
                failed += bucket.failed.get(rank, 0)
        return ended, failed


class WholeRequests:
    """Levels of the routes that a node serves, from the runs of new requests.

    Calls are not counted: whether the request that made them fails shows at its own node.
    """

    def __init__(self) -> None:
        self.ranks = 1
        self.routes: dict[str, RouteLevel] = {}
        self.updated = 0.0

    def set_ranks(self, ranks: int) -> None:
        """Sets the number of ranks; a change admits everything."""
        if ranks != self.ranks:
            self.ranks = ranks
            self.routes.clear()

    def record(self, call: RunnerCall, result: RunResult, now: float) -> None:
        """Records the result of a run of a new request."""
        message = call.message
        if message.nested:
            return
        refused = result.result == RESULT_NOT_RUN and result.reason == "backend_refused"
        if refused and not message.repeat:
            # Its sender tries another member first.
            return
        self.record_outcome(message.route, call.rank, refused or result.short_of_capacity, now)

    def record_outcome(self, route: str, rank: int, failed: bool, now: float) -> None:
        """Records whether a run of a new request ended for lack of capacity."""
        known = self.routes.get(route)
        if known is None:
            known = self.routes[route] = RouteLevel(self.ranks)
        known.record(rank, failed, now)

    def level(self, route: str) -> float:
        """Returns the level of a route."""
        known = self.routes.get(route)
        return known.level if known is not None else float(self.ranks)

    def sheds(self) -> bool:
        """Returns whether requests of any route are refused."""
        return any(known.level < known.ranks for known in self.routes.values())

    def update(self, now: float) -> None:
        """Updates all levels once per interval; forgets routes without recent runs."""
        if now - self.updated < INTERVAL_SECONDS:
            return
        self.updated = now
        for route, known in list(self.routes.items()):
            known.update(now)
            if not known.buckets:
                del self.routes[route]

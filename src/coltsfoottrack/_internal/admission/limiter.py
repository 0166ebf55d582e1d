"""Adaptive concurrency limit of a backend server, from the node's own measurements."""

from collections.abc import Callable
from time import monotonic

INITIAL_LIMIT = 4.0
MINIMUM_LIMIT = 1.0
SHED_FACTOR = 0.9
SHED_INTERVAL_SECONDS = 0.25
# Completions in a throughput sample. With 8, a limit of 3 was kept for a backend server with 2
# slots.
MINIMUM_SAMPLE = 20
STEP_SHARE = 0.1
# A trial is kept if throughput changes by at least half of the relative change in the limit.
REQUIRED_GAIN_SHARE = 0.5
HOLD_SECONDS = 5.0
SMOOTHING_WEIGHT = 0.2
COLD_START_SHARE = 0.25
COLD_START_SECONDS = 5.0
# The limit of a cold start grows only while the smoothed service time is below this multiple of its
# minimum since the start. Above it, requests queue in the backend server. Service times that vary
# by 30% either way move the smoothed value by about 6%.
COLD_SLOWDOWN = 1.5
# The capacity estimate drops after this many mean completion intervals without a completion.
STALLED_INTERVALS = 3.0


class ConcurrencyLimiter:
    """Finds the concurrency limit by hill climbing on throughput.

    Throughput is measured only while all slots are in use. The announced slots set only the initial
    limit, and the load that the backend server reports is not used. The search follows the
    gradient idea of Netflix, "Performance Under Load" (2018).
    """

    def __init__(
        self,
        initial_limit: float = INITIAL_LIMIT,
        maximum: int = 1000,
        clock: Callable[[], float] = monotonic,
    ) -> None:
        self.limit = float(initial_limit)
        self.maximum = maximum
        self.clock = clock
        self.in_flight = 0
        # Whether all slots were in use at some time since the owner last reset this flag.
        self.was_full = False
        self.service_seconds: float | None = None
        self.last_finish = clock()
        self.cold_cap: float | None = None
        self.cold_until = 0.0
        self.cold_best_seconds: float | None = None
        self.last_shed = float("-inf")
        self.hold_until = 0.0
        self.trial_from: float | None = None
        self.trial_throughput = 0.0
        self.go_up = True
        self.sample_start: float | None = None
        self.sample_size = 0

    @property
    def effective_limit(self) -> int:
        """The limit in force, which is capped during a cold start."""
        limit = self.limit if self.cold_cap is None else min(self.limit, self.cold_cap)
        return int(max(MINIMUM_LIMIT, limit))

    def has_room(self) -> bool:
        """Returns whether one more request may run."""
        return self.in_flight < self.effective_limit

    def begin_cold(self, announced_slots: int) -> None:
        """Resets the limit and its measurements for a backend server that has just started."""
        if announced_slots:
            self.limit = float(min(self.maximum, announced_slots))
        self.service_seconds = None
        self.cold_cap = max(MINIMUM_LIMIT, self.limit * COLD_START_SHARE)
        self.cold_until = self.clock() + COLD_START_SECONDS
        self.cold_best_seconds = None
        self.trial_from = None
        self.sample_start = None

    def start(self) -> None:
        """Counts a dispatch."""
        if not self.in_flight:
            self.last_finish = self.clock()
        self.in_flight += 1
        if not self.has_room():
            self.was_full = True
        if self.sample_start is None and not self.has_room():
            self.sample_start = self.clock()
            self.sample_size = 0

    def finish(self, shed: bool, seconds: float | None = None) -> None:
        """Counts the end of a dispatch.

        ``shed`` is true if the backend server refused it. ``seconds`` is its service time if it
        completed.
        """
        self.in_flight -= 1
        now = self.clock()
        if shed:
            self._reduce_limit(now)
            return
        if seconds is None:
            return
        self.last_finish = now
        if self.service_seconds is None:
            self.service_seconds = seconds
        else:
            self.service_seconds += SMOOTHING_WEIGHT * (seconds - self.service_seconds)
        self._raise_cold_cap(now, self.service_seconds)
        self._sample_throughput(now)

    def idle_slot(self) -> None:
        """Discards the throughput sample: with a free slot, throughput only reflects demand."""
        self.sample_start = None

    def capacity_per_second(self) -> float | None:
        """Returns the capacity in requests per second, None before the first completion.

        The estimate drops below that of the last service times while the backend server completes
        no requests.
        """
        if self.service_seconds is None:
            return None
        limit = self.effective_limit
        seconds = self.service_seconds
        if self.in_flight:
            since_last_finish = self.clock() - self.last_finish
            seconds = max(seconds, since_last_finish * self.in_flight / STALLED_INTERVALS)
        return limit / max(seconds, 1e-6)

    def _reduce_limit(self, now: float) -> None:
        if now - self.last_shed < SHED_INTERVAL_SECONDS:
            return
        self.last_shed = now
        self.limit = max(MINIMUM_LIMIT, min(self.limit, self.in_flight * SHED_FACTOR))
        self.hold_until = now + HOLD_SECONDS
        self.trial_from = None
        self.sample_start = None

    def _raise_cold_cap(self, now: float, seconds: float) -> None:
        if self.cold_cap is None:
            return
        if self.cold_best_seconds is None or seconds < self.cold_best_seconds:
            self.cold_best_seconds = seconds
        is_queueing = seconds > COLD_SLOWDOWN * self.cold_best_seconds
        if not is_queueing:
            self.cold_cap += 1.0
        elif now >= self.cold_until:
            # Further trials start from the limit that the cold start has reached.
            self.limit = min(self.limit, self.cold_cap)
        if self.cold_cap >= self.limit or now >= self.cold_until:
            self.cold_cap = None

    def _sample_throughput(self, now: float) -> None:
        if self.sample_start is None or self.cold_cap is not None:
            return
        self.sample_size += 1
        if self.sample_size < max(MINIMUM_SAMPLE, 2 * self.limit):
            return
        throughput = self.sample_size / max(now - self.sample_start, 1e-6)
        self.sample_start = now
        self.sample_size = 0
        if self.trial_from is not None:
            self._evaluate_trial(now, throughput)
        elif now >= self.hold_until:
            self._begin_trial(throughput)

    def _evaluate_trial(self, now: float, throughput: float) -> None:
        change = self.limit / self.trial_from - 1.0
        throughput_followed = throughput >= self.trial_throughput * (
            1.0 + REQUIRED_GAIN_SHARE * change
        )
        if throughput_followed:
            self._begin_trial(throughput)
            return
        self.limit = self.trial_from
        self.trial_from = None
        self.go_up = not self.go_up
        self.hold_until = now + HOLD_SECONDS

    def _begin_trial(self, throughput: float) -> None:
        step = max(1.0, self.limit * STEP_SHARE)
        target = self.limit + step if self.go_up else self.limit - step
        # A trial below 2 would halve the throughput while it lasts.
        target = min(float(self.maximum), target)
        if target == self.limit or (target < self.limit and target < 2.0):
            self.trial_from = None
            self.go_up = not self.go_up
            return
        self.trial_from = self.limit
        self.trial_throughput = throughput
        self.limit = target

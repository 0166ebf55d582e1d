"""Draining: whether a node accepts new work, and its calls in flight."""

from asyncio import Event, wait_for
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from math import inf
from time import monotonic

from coltsfoottrack._internal.observability.invariants import Invariant, InvariantChecker

# The refusal and the assertion each read the clock, and the process may be delayed in between.
DISPATCH_MARGIN_SECONDS = 0.5


class Drain:
    """Drains a node that shuts down or whose backend server announced that it leaves.

    After the grace period the node refuses all new work. It uses only its own clock, so that
    this depends neither on the platform nor on a peer.
    """

    def __init__(self, grace_seconds: Callable[[], float], checker: InvariantChecker) -> None:
        self.grace_seconds = grace_seconds
        self.checker = checker
        self.node_leaving_since: float | None = None
        self.backend_leaving_since: float | None = None
        self.in_flight = 0
        self.idle = Event()
        self.idle.set()

    def start(self) -> None:
        """Starts to drain because the node shuts down; a second call changes nothing."""
        if self.node_leaving_since is None:
            self.node_leaving_since = monotonic()

    def set_backend_leaving(self, leaving: bool) -> None:
        """Sets whether the backend server leaves; a new backend server ends its drain."""
        if not leaving:
            self.backend_leaving_since = None
        elif self.backend_leaving_since is None:
            self.backend_leaving_since = monotonic()

    @property
    def is_leaving(self) -> bool:
        """Returns whether routers should choose other nodes."""
        return self.node_leaving_since is not None or self.backend_leaving_since is not None

    def seconds_past_grace(self) -> float:
        """Returns the seconds since the grace period ended, negative before or if not draining."""
        if not self.is_leaving:
            return -inf
        started = [
            since
            for since in (self.node_leaving_since, self.backend_leaving_since)
            if since is not None
        ]
        return monotonic() - min(started) - self.grace_seconds()

    def refuses_new_work(self) -> bool:
        """Returns whether the grace period has passed."""
        return self.seconds_past_grace() >= 0.0

    def check_dispatch(self, request_id: str) -> None:
        """Records a violation if a call goes to the backend server after the grace period.

        This check is separate from the refusals, so that a call that bypasses them is detected.
        """
        past = self.seconds_past_grace()
        self.checker.check(
            past < DISPATCH_MARGIN_SECONDS,
            Invariant.NO_WORK_WHEN_LEFT,
            f"{request_id} was dispatched {past:.2f} s after the grace period",
        )

    @contextmanager
    def track_call(self) -> Iterator[None]:
        """Counts a call as in flight from its arrival until its answer is ready."""
        self.in_flight += 1
        self.idle.clear()
        try:
            yield
        finally:
            self.in_flight -= 1
            if not self.in_flight:
                self.idle.set()

    async def wait_until_idle(self, seconds: float) -> None:
        """Waits for the calls in flight; records a violation if any outlasts the timeout."""
        try:
            await wait_for(self.idle.wait(), seconds)
        except TimeoutError:
            pass
        self.checker.check(
            self.in_flight == 0,
            Invariant.NO_CALL_CUT_OFF,
            f"{self.in_flight} calls in flight after {seconds:.1f} s",
        )

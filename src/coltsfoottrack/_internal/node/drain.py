"""Leaving: which calls are still taken, and which are in flight."""

from asyncio import Event, wait_for
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from math import inf
from time import monotonic

from coltsfoottrack._internal.observability.invariants import Invariant, InvariantChecker

# The refusal and the assertion read the clock at two moments; the process may be held up between.
DISPATCH_MARGIN_SECONDS = 0.5


class Drain:
    """Two reasons to leave: the node ends, or the backend server announced that it leaves.

    After the grace time the node refuses all new work by itself. It asks only its own clock, so
    that it depends neither on the platform nor on a peer.
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
        """Begins to drain because the node ends; a second time changes nothing."""
        if self.node_leaving_since is None:
            self.node_leaving_since = monotonic()

    def set_backend_leaving(self, leaving: bool) -> None:
        """Takes over whether the backend server leaves; a new one may take its place."""
        if not leaving:
            self.backend_leaving_since = None
        elif self.backend_leaving_since is None:
            self.backend_leaving_since = monotonic()

    @property
    def is_leaving(self) -> bool:
        """Tells whether routers should choose other nodes."""
        return self.node_leaving_since is not None or self.backend_leaving_since is not None

    def seconds_past_grace(self) -> float:
        """Returns the time since the grace time ended, negative before or if nothing leaves."""
        if not self.is_leaving:
            return -inf
        started = [
            since
            for since in (self.node_leaving_since, self.backend_leaving_since)
            if since is not None
        ]
        return monotonic() - min(started) - self.grace_seconds()

    def refuses_new_work(self) -> bool:
        """Tells whether the grace time has passed."""
        return self.seconds_past_grace() >= 0.0

    def check_dispatch(self, request_id: str) -> None:
        """Asserts, where a call goes to the backend server, that the grace time has not passed.

        Called apart from the refusals, so that a way around these shows as a violation.
        """
        past = self.seconds_past_grace()
        self.checker.check(
            past < DISPATCH_MARGIN_SECONDS,
            Invariant.NO_WORK_WHEN_LEFT,
            f"{request_id} was dispatched {past:.2f} s after the grace time",
        )

    @contextmanager
    def track_call(self) -> Iterator[None]:
        """Counts a call from its arrival until its answer is ready."""
        self.in_flight += 1
        self.idle.clear()
        try:
            yield
        finally:
            self.in_flight -= 1
            if not self.in_flight:
                self.idle.set()

    async def wait_until_idle(self, seconds: float) -> None:
        """Waits for the calls in flight; those that outlast the time count as cut off."""
        try:
            await wait_for(self.idle.wait(), seconds)
        except TimeoutError:
            pass
        self.checker.check(
            self.in_flight == 0,
            Invariant.NO_CALL_CUT_OFF,
            f"{self.in_flight} calls in flight after {seconds:.1f} s",
        )

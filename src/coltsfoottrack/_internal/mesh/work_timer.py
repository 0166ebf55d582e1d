"""Runs the periodic work of a node, less often while there is little to do."""

from asyncio import TimerHandle, get_running_loop
from collections.abc import Callable

# Interval while requests are in flight.
BUSY_SECONDS = 0.05
# Interval while no request is in flight but the averages of the last ones still change.
SETTLING_SECONDS = 0.1
# Interval while nothing changes.
IDLE_SECONDS = 1.0


class WorkTimer:
    """Calls a function that does the work and returns the seconds until it is due again."""

    def __init__(self, work: Callable[[], float]) -> None:
        self.work = work
        self.interval = BUSY_SECONDS
        # Loop time of the next call.
        self.due = 0.0
        self.handle: TimerHandle | None = None

    def start(self) -> None:
        """Starts the timer in the running event loop."""
        self._schedule(BUSY_SECONDS)

    def wake(self) -> bool:
        """Makes the work due within BUSY_SECONDS; returns whether the timer was idle.

        Called for each new request. The time of the next call moves by whole intervals, so that
        requests at a low rate do not shift the intervals of the averages.
        """
        if self.interval == BUSY_SECONDS or self.handle is None:
            return False
        was_idle = self.interval == IDLE_SECONDS
        self.interval = BUSY_SECONDS
        loop = get_running_loop()
        early = (self.due - loop.time()) // BUSY_SECONDS * BUSY_SECONDS
        if early > 0.0:
            self.handle.cancel()
            self._schedule_at(self.due - early)
        return was_idle

    def _schedule(self, seconds: float) -> None:
        self.interval = seconds
        self._schedule_at(get_running_loop().time() + seconds)

    def _schedule_at(self, due: float) -> None:
        self.due = due
        self.handle = get_running_loop().call_at(due, self._run)

    def _run(self) -> None:
        seconds = BUSY_SECONDS
        try:
            seconds = self.work()
        finally:
            # A close during the work ends the timer.
            if self.handle is not None:
                self._schedule(seconds)

    def close(self) -> None:
        """Stops the timer."""
        if self.handle is not None:
            self.handle.cancel()
            self.handle = None

"""An event loop with simulated time."""

from asyncio import SelectorEventLoop
from heapq import heappop


class VirtualLoop(SelectorEventLoop):
    """An event loop whose clock jumps to the next timer when nothing is ready."""

    def __init__(self) -> None:
        self.now = 1000.0
        super().__init__()

    def time(self) -> float:
        """Returns the simulated time in seconds."""
        return self.now

    def _run_once(self) -> None:
        while self._scheduled and self._scheduled[0]._cancelled:
            self._timer_cancelled_count -= 1
            heappop(self._scheduled)._scheduled = False
        if not self._ready and self._scheduled:
            self.now = max(self.now, self._scheduled[0]._when)
        super()._run_once()

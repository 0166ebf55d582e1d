"""An event loop with simulated time."""

from asyncio import SelectorEventLoop


class VirtualLoop(SelectorEventLoop):
    """An event loop whose clock jumps to the next timer when nothing is ready."""

    def __init__(self) -> None:
        self.now = 1000.0
        super().__init__()

    def time(self) -> float:
        """Returns the simulated time in seconds."""
        return self.now

    def _run_once(self) -> None:
        if not self._ready:
            due = [handle._when for handle in self._scheduled if not handle._cancelled]
            self.now = max(self.now, min(due, default=self.now))
        super()._run_once()

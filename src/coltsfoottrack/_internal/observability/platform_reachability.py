"""Whether the platform answers, and since when."""

from time import time


class PlatformReachability:
    """The result of the last call to the platform, and since when it has been the same.

    Written by the threads that call the platform; readers may see a state one call old.
    """

    def __init__(self) -> None:
        self.reachable = False
        self.since_ms = int(time() * 1000)

    def record(self, answered: bool) -> None:
        """Records whether a call was answered."""
        if answered == self.reachable:
            return
        self.reachable = answered
        self.since_ms = int(time() * 1000)

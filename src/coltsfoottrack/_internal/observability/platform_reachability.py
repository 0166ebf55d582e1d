"""Reachability of the platform."""

from time import time


class PlatformReachability:
    """Whether the last call to the platform was answered, and since when this has been so.

    The threads that call the platform write it, so readers may see the state before the last call.
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

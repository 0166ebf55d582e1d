"""Share of one runner in the budget of repeated sends to its service."""

from collections import deque

from coltsfoottrack._internal.mesh.model import RetryBounds

# Part of the bound that is used: calls of repeated runs count at the services below as well,
# where no node can tell them from others for certain.
USED_RATIO = 0.3
USED_SLACK = 0.25
SLOT_SECONDS = 0.5


class RepeatBudget:
    """Counts first and repeated sends of one node in a sliding window.

    Only the node beside a backend server sends to it, so the sums over the nodes of a service keep
    the bound of the service if each node keeps its share of it.
    """

    def __init__(self, bounds: RetryBounds) -> None:
        self.bounds = bounds
        # Start of a slot, first sends and repeats in it.
        self.slots: deque[list[float]] = deque()
        self.firsts = 0
        self.repeats = 0

    def _slot(self, moment: float) -> list[float]:
        start = moment - moment % SLOT_SECONDS
        while self.slots and self.slots[0][0] <= moment - self.bounds.window_seconds:
            _, firsts, repeats = self.slots.popleft()
            self.firsts -= firsts
            self.repeats -= repeats
        if not self.slots or self.slots[-1][0] != start:
            self.slots.append([start, 0, 0])
        return self.slots[-1]

    def count_first(self, moment: float) -> None:
        """Counts a first send."""
        self._slot(moment)[1] += 1
        self.firsts += 1

    def charge(self, moment: float) -> None:
        """Counts a repeat that cannot be refused: a call of a repeated run."""
        self._slot(moment)[2] += 1
        self.repeats += 1

    def take(self, moment: float, members: int) -> bool:
        """Takes a repeat from the budget; False if none is left.

        ``members`` is the number of nodes that share the service's slack.
        """
        slot = self._slot(moment)
        allowed = self.firsts * self.bounds.ratio * USED_RATIO
        allowed += self.bounds.slack * USED_SLACK / max(1, members)
        if self.repeats + 1 > allowed:
            return False
        slot[2] += 1
        self.repeats += 1
        return True

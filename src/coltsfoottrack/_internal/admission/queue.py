"""Queue of waiting requests, ordered by rank."""

from asyncio import Future, get_running_loop
from bisect import insort
from time import monotonic

from coltsfoottrack._internal.calls.context import CallContext


class Waiter:
    """A request that waits for a slot."""

    def __init__(self, context: CallContext) -> None:
        self.context = context
        self.rank = context.rank
        self.arrived = monotonic()
        self.admitted: Future[None] = get_running_loop().create_future()

    def sort_key(self) -> tuple[int, float]:
        """Sorts by ascending rank, and by descending time of arrival within a rank."""
        return (self.rank, -self.arrived)


class PriorityQueue:
    """Waiters sorted by rank: the highest is served first, the lowest is evicted first."""

    def __init__(self) -> None:
        self.waiters: list[Waiter] = []

    def __len__(self) -> int:
        return len(self.waiters)

    def add(self, waiter: Waiter) -> None:
        """Inserts a waiter in sort order."""
        insort(self.waiters, waiter, key=Waiter.sort_key)

    def lowest(self) -> Waiter | None:
        """Returns the waiter that would be evicted first."""
        return self.waiters[0] if self.waiters else None

    def pop_highest(self) -> Waiter | None:
        """Removes and returns the waiter to serve next."""
        return self.waiters.pop() if self.waiters else None

    def remove(self, waiter: Waiter) -> None:
        """Removes a waiter if it still waits."""
        if waiter in self.waiters:
            self.waiters.remove(waiter)

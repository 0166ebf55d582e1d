"""Waiting requests, the most important first."""

from asyncio import Future, get_running_loop
from bisect import insort

from coltsfoottrack._internal.calls.context import CallContext


class Waiter:
    """One waiting request."""

    def __init__(self, context: CallContext) -> None:
        self.context = context
        self.rank = context.rank
        self.admitted: Future[None] = get_running_loop().create_future()

    def service_key(self) -> tuple[int, float]:
        """Orders waiters for service: priority first, then the deadline that passes first."""
        return (self.context.priority, -self.context.deadline.expires_at)

    def shed_key(self) -> tuple[int, float]:
        """Orders waiters for eviction: the lowest rank first, then the one with most time left."""
        return (self.rank, -self.context.deadline.expires_at)


class PriorityQueue:
    """A bounded queue that serves priorities in order and evicts the lowest rank.

    Within a priority the deadline decides. Served by rank, critical calls of low buckets were
    overtaken by all others of their priority and waited up to 0.7 s for a slot.
    """

    def __init__(self) -> None:
        self.waiters: list[Waiter] = []

    def __len__(self) -> int:
        return len(self.waiters)

    def add(self, waiter: Waiter) -> None:
        """Adds a waiter in its place."""
        insort(self.waiters, waiter, key=Waiter.service_key)

    def lowest(self) -> Waiter | None:
        """Returns the waiter that would be evicted first."""
        return min(self.waiters, key=Waiter.shed_key, default=None)

    def pop_next(self) -> Waiter | None:
        """Removes and returns the waiter to serve next."""
        return self.waiters.pop() if self.waiters else None

    def remove(self, waiter: Waiter) -> None:
        """Removes a waiter if it still waits."""
        if waiter in self.waiters:
            self.waiters.remove(waiter)

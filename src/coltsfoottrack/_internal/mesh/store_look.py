"""Asks the store once whether it serves this node, when what the node knows is too old.

That other nodes do not reach the store is no proof that it turns this one away: only a call of its
own tells. The calls of all nodes together are bounded by rates that do not depend on their number.
"""

from asyncio import Task, get_running_loop
from random import uniform

from coltsfoottrack._internal.mesh.clock import current_time
from coltsfoottrack._internal.mesh.decisions import DecisionLog
from coltsfoottrack._internal.mesh.exceptions import StoreError
from coltsfoottrack._internal.mesh.store_watch import StoreWatch

# Expected looks a second of all nodes together: the first ones, and those of nodes that the store
# has turned away. A look costs a tenth of a call.
FIRST_LOOKS_PER_SECOND = 120.0
REPEATED_LOOKS_PER_SECOND = 8.0
# The first looks of a few nodes are spread over this time, as one that succeeds spares the others.
SPREAD_SECONDS = 0.35
# Random part of the pause before another look.
PAUSE_JITTER = 0.25


class StoreLook:
    """When this node looks at the store itself, and what it finds."""

    def __init__(self, watch: StoreWatch, log: DecisionLog) -> None:
        self.watch = watch
        self.log = log
        self.task: Task[None] | None = None
        # When the next look is due, None while the node's knowledge is young enough.
        self.due_at: float | None = None

    def update(self, now: float, is_overdue: bool, nodes: int) -> None:
        """Looks if it is due; ``nodes`` is the number of nodes that share the rates."""
        if not is_overdue:
            self.due_at = None
            return
        if self.task is not None and not self.task.done():
            return
        if self.due_at is None:
            self.due_at = now + uniform(0.0, max(SPREAD_SECONDS, nodes / FIRST_LOOKS_PER_SECOND))
        if now < self.due_at:
            return
        pause = nodes / REPEATED_LOOKS_PER_SECOND
        self.due_at = now + pause * uniform(1.0 - PAUSE_JITTER, 1.0 + PAUSE_JITTER)
        self.task = get_running_loop().create_task(self._look())

    async def _look(self) -> None:
        """Follows the store if it answers this node."""
        began = current_time()
        problem = ""
        try:
            await self.watch.look()
        except StoreError as error:
            problem = str(error)
        took_ms = int((current_time() - began) * 1000.0)
        self.log.decision("store_look", served=not problem, problem=problem, took_ms=took_ms)

    def close(self) -> None:
        """Ends a look."""
        if self.task is not None:
            self.task.cancel()

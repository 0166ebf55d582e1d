"""How often the store came back from an older copy of itself, as far as this node knows.

Each return loses what the store acknowledged after the copy was made, and revisions are given out a
second time, so neither revisions nor acknowledgements hold beyond the era in which they were given.
"""

from asyncio import get_running_loop
from collections.abc import Callable

from coltsfoottrack._internal.mesh.decisions import DecisionLog


class StoreEra:
    """The latest known era of the store."""

    def __init__(self, log: DecisionLog) -> None:
        self.log = log
        # None until the store or another node has told it.
        self.number: int | None = None
        # Called when the store has come back from an older copy, after the call that learnt it.
        self.on_restored: list[Callable[[], None]] = []

    def observe(self, number: int, source: str) -> None:
        """Learns the era that an answer of the store or a notice names."""
        before = self.number
        if before is not None and number <= before:
            return
        self.number = number
        if before is None:
            return
        self.log.decision("store_restored", era=number, before=before, source=source)
        for handle in self.on_restored:
            get_running_loop().call_soon(handle)

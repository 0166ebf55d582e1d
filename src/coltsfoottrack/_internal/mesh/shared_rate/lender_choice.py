"""Chooses the node that lends a shared rate.

Lenders are the first members of the order in which nodes become watchers; each name goes to one of
them by rendezvous hashing, so a lost lender moves only its own names.
"""

from collections.abc import Collection, Iterable
from functools import lru_cache

from coltsfoottrack._internal.mesh.model import Member
from coltsfoottrack._internal.mesh.shared_rate.terms import name_digest
from coltsfoottrack._internal.mesh.watchers import watcher_count, watcher_order

HASH_MASK = 2**64 - 1
# Odd constants that mix the bits of a hash.
FIRST_MULTIPLIER = 0xFF51AFD7ED558CCD
SECOND_MULTIPLIER = 0xC4CEB9FE1A85EC53
SHIFT_BITS = 33
# Number of nodes whose digests are kept.
MAX_NODES = 4096


def _mix(value: int) -> int:
    value = (value ^ (value >> SHIFT_BITS)) * FIRST_MULTIPLIER & HASH_MASK
    value = (value ^ (value >> SHIFT_BITS)) * SECOND_MULTIPLIER & HASH_MASK
    return value ^ (value >> SHIFT_BITS)


@lru_cache(MAX_NODES)
def _node_digest(node: str) -> int:
    return name_digest(node)


def lender_candidates(members: Iterable[Member]) -> list[Member]:
    """Returns the members that lend rates."""
    order = watcher_order(members)
    return order[: watcher_count(len(order))]


def choose_lender(
    digest: int, candidates: list[Member], excluded: Collection[str]
) -> Member | None:
    """Returns the lender of a name, None if all candidates are excluded."""
    best: Member | None = None
    best_hash = -1
    for member in candidates:
        if member.node in excluded:
            continue
        value = _mix(digest ^ _node_digest(member.node))
        if value > best_hash:
            best, best_hash = member, value
    return best

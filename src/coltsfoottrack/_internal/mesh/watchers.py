"""Chooses the nodes that follow the store on behalf of the others.

All nodes rank the members in the same order, so no coordinator is needed. Nodes that know different
members choose different watchers for a while, which costs calls to the store but nothing else. The
number of watchers grows with the number of nodes, and the subscribers of each stay bounded.
"""

from collections.abc import Collection, Iterable
from functools import lru_cache
from hashlib import blake2b
from math import ceil

from coltsfoottrack._internal.mesh.model import Member

NODES_PER_WATCHER = 16
MIN_WATCHERS = 4
# Watchers to which a node subscribes, and to which a watcher subscribes: it has more of them, since
# others depend on it while it does not reach the store.
SOURCES = 2
WATCHER_SOURCES = 3
HASH_BYTES = 8
MAX_CACHED_HASHES = 16_384


@lru_cache(maxsize=MAX_CACHED_HASHES)
def _hash(name: str) -> bytes:
    return blake2b(name.encode("utf-8"), digest_size=HASH_BYTES).digest()


def watcher_count(nodes: int) -> int:
    """Returns how many of a number of nodes follow the store."""
    return max(MIN_WATCHERS, ceil(nodes / NODES_PER_WATCHER))


def watcher_order(members: Iterable[Member]) -> list[Member]:
    """Returns the members in the order in which they become watchers.

    The order alternates between the failure domains, so that each has watchers of its own.
    """
    by_domain: dict[str, list[Member]] = {}
    for member in members:
        if not member.left:
            by_domain.setdefault(member.failure_domain, []).append(member)
    ranked = []
    for of_domain in by_domain.values():
        of_domain.sort(key=lambda member: _hash(member.node))
        for index, member in enumerate(of_domain):
            ranked.append((index, _hash(member.node), member))
    ranked.sort(key=lambda entry: entry[:2])
    return [entry[2] for entry in ranked]


def is_watcher(own: Member, order: list[Member]) -> bool:
    """Returns whether a node is among those that follow the store if all members are well."""
    return any(member.node == own.node for member in order[: watcher_count(len(order))])


def choose_sources(
    own: Member, order: list[Member], excluded: Collection[str], count: int
) -> list[Member]:
    """Returns the watchers to which a node subscribes, best first.

    Excluded members are passed over, and the next ones of the order take their place. A node
    prefers watchers of its own failure domain; a watcher prefers those of others, so that what one
    domain learns reaches all of them.
    """
    wanted = watcher_count(len(order))
    watches = is_watcher(own, order)
    if watches:
        wanted = max(count, wanted - 1)
    watchers: list[Member] = []
    for member in order:
        if len(watchers) == wanted:
            break
        if member.node != own.node and member.node not in excluded:
            watchers.append(member)

    def preference(member: Member) -> tuple[bool, bytes]:
        same_domain = member.failure_domain == own.failure_domain
        return same_domain == watches, _hash(f"{own.node} {member.node}")

    watchers.sort(key=preference)
    return watchers[:count]

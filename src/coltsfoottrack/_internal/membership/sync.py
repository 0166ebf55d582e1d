"""Anti-entropy between two nodes, by digests of buckets of members.

Two nodes with equal tables exchange 64 digests and no members. Otherwise they exchange only the
differing buckets, a few at a time unless one of them is joining. Sending a full table of 1,000
members every 60 s would exceed the 2 KB/s that a node may send.
"""

from hashlib import blake2b
from random import Random
from zlib import crc32

from coltsfoottrack._internal.membership.table import MembershipTable
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import MEMBER_STATUS_DEAD, Member

BUCKETS = 64
DIGEST_BYTES = 8


def bucket_of(key: str) -> int:
    """Returns the bucket to which a member's name belongs."""
    return crc32(key.encode()) % BUCKETS


def bucket_digests(table: MembershipTable) -> list[int]:
    """Returns a digest of each bucket over its members that are not dead.

    Nodes that joined later have no entries of dead members, so digests that included these would
    always differ.
    """
    hashers = [blake2b(digest_size=DIGEST_BYTES) for _ in range(BUCKETS)]
    for key in sorted(table.members):
        member = table.members[key]
        if member.status == MEMBER_STATUS_DEAD:
            continue
        state = (
            f"{key} {member.start_order} {member.incarnation} {member.revision} {member.status} "
            f"{member.backend_ready};"
        )
        hashers[bucket_of(key)].update(state.encode())
    return [int.from_bytes(hasher.digest(), "big") for hasher in hashers]


def differing_buckets(table: MembershipTable, digests: list[int]) -> list[int]:
    """Returns the buckets whose digests differ from the given ones."""
    if len(digests) != BUCKETS:
        return list(range(BUCKETS))
    own = bucket_digests(table)
    return [index for index in range(BUCKETS) if own[index] != digests[index]]


def exchanged_buckets(
    table: MembershipTable, digests: list[int], max_buckets: int, random: Random
) -> list[int]:
    """Returns the differing buckets to exchange now, at most ``max_buckets`` unless it is 0."""
    differing = differing_buckets(table, digests)
    if not max_buckets or len(differing) <= max_buckets:
        return differing
    return sorted(random.sample(differing, max_buckets))


def members_of(table: MembershipTable, buckets: list[int]) -> list[Member]:
    """Returns the members of the given buckets, including dead ones."""
    wanted = set(buckets)
    return [member for key, member in table.members.items() if bucket_of(key) in wanted]

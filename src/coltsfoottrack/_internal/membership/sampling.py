"""Random sampling of members that are not dead."""

from random import Random

from coltsfoottrack._internal.membership.table import MembershipTable
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import MEMBER_STATUS_DEAD, Member

# Random picks per requested member before the whole table is scanned.
TRIES_PER_MEMBER = 2
EXTRA_TRIES = 4


def other_member_names(table: MembershipTable, own: str) -> list[str]:
    """Returns the names of the members that are not dead, except ``own``."""
    found = []
    for key, member in table.members.items():
        if member.status != MEMBER_STATUS_DEAD and key != own:
            found.append(key)
    return found


def sample_members(
    table: MembershipTable, random: Random, number: int, exclude: set[str]
) -> list[Member]:
    """Returns random members that are not dead, usually without scanning the whole table."""
    keys = list(table.members)
    tries = min(len(keys), TRIES_PER_MEMBER * number + EXTRA_TRIES)
    picked = []
    for key in random.sample(keys, tries):
        member = table.members[key]
        if member.status != MEMBER_STATUS_DEAD and key not in exclude:
            picked.append(member)
        if len(picked) == number:
            return picked
    if tries == len(keys):
        return picked
    rest = [key for key in other_member_names(table, "") if key not in exclude]
    chosen = random.sample(rest, min(number, len(rest)))
    return [table.members[key] for key in chosen]

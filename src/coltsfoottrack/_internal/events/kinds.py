"""Kinds of events: a fixed set for metrics and filters."""

from enum import StrEnum


class EventKind(StrEnum):
    """What an event reports."""

    REFUSED = "refused"
    FAILED = "failed"
    UNKNOWN = "unknown"
    LATE = "late"
    SLOW = "slow"
    CANCELLED = "cancelled"
    RETRY = "retry"
    RETRY_REFUSED = "retry_refused"
    BAD_REQUEST = "bad_request"
    CONFIGURATION = "configuration"
    BACKEND = "backend"
    DRAIN = "drain"
    MEMBER = "member"
    GAP = "gap"


KIND_NAMES = frozenset(kind.value for kind in EventKind)
PROBLEM_KINDS = frozenset(
    (EventKind.REFUSED, EventKind.FAILED, EventKind.UNKNOWN, EventKind.LATE, EventKind.SLOW)
)

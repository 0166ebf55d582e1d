"""The calls that wait for a slot of the local backend server, the most important first."""

from heapq import heapify, heappop, heappush
from typing import NamedTuple

from coltsfoottrack._internal.mesh.runner_call import RunnerCall

# Calls made for a running request are queued ahead of new requests of their rank that arrived up
# to this long earlier.
CALL_HEAD_START_SECONDS = 0.15
# A request with less time left than this cannot finish and is not sent.
MIN_TIME_LEFT_SECONDS = 0.005
# Grace period before a call whose link was lost is dropped.
ORPHAN_GRACE_SECONDS = 0.3


class QueueEntry(NamedTuple):
    """A waiting call and what orders it among the others."""

    rank: int
    # Orders the calls of one rank.
    queued_as_of: float
    # Orders calls that are equal otherwise.
    arrival: int
    call: RunnerCall


class ExpiredCall(NamedTuple):
    """A waiting call that must not be started, and why."""

    call: RunnerCall
    reason: str


class CallQueue:
    """Waiting calls, ordered by rank and time of arrival."""

    def __init__(self) -> None:
        self.entries: list[QueueEntry] = []
        self.arrivals = 0

    def __len__(self) -> int:
        return len(self.entries)

    def push(self, call: RunnerCall) -> None:
        """Adds a call."""
        self.arrivals += 1
        # Running requests that wait for calls hold slots elsewhere, so calls go first, but a new
        # request does not wait for all calls that arrive later.
        queued_as_of = call.arrived - (CALL_HEAD_START_SECONDS if call.message.nested else 0.0)
        heappush(self.entries, QueueEntry(call.rank, queued_as_of, self.arrivals, call))

    def pop(self) -> RunnerCall:
        """Removes and returns the most important call."""
        return heappop(self.entries).call

    def remove_expired(self, now: float) -> list[ExpiredCall]:
        """Removes all calls that must not be started; returns those that are not done."""
        kept = []
        expired = []
        for entry in self.entries:
            if entry.call.done:
                continue
            reason = expiry_reason(entry.call, now)
            if reason:
                expired.append(ExpiredCall(entry.call, reason))
            else:
                kept.append(entry)
        if len(kept) < len(self.entries):
            heapify(kept)
            self.entries = kept
        return expired

    def remove_all(self) -> list[RunnerCall]:
        """Removes and returns all calls; some may be done."""
        calls = [entry.call for entry in self.entries]
        self.entries = []
        return calls


def expiry_reason(call: RunnerCall, now: float) -> str:
    """Returns why a waiting call must not be started, or an empty string."""
    if now > call.wait_until:
        return "overload"
    if call.expires - now < MIN_TIME_LEFT_SECONDS:
        return "expired"
    if call.orphaned_at is not None and now - call.orphaned_at > ORPHAN_GRACE_SECONDS:
        return "caller_gone"
    return ""

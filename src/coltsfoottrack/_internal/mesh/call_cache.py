"""Cache of a runner's calls, so that a call that is sent again does not run again."""

from collections import deque
from functools import lru_cache
from heapq import heappop, heappush
from typing import NamedTuple

from coltsfoottrack._internal.mesh.memory_account import MemoryAccount
from coltsfoottrack._internal.mesh.runner_call import CallKey, RunnerCall
from coltsfoottrack._internal.schema.links_pb2 import Request

# A caller's node that lost its link notices a silent one after 1 s, connects again within 0.6 s and
# asks. It sends idempotent calls again only if the link was broken.
ANSWER_RETENTION_SECONDS = 3.0
IDEMPOTENT_ANSWER_RETENTION_SECONDS = 0.8
# Calls are remembered for at least this long.
CALL_RETENTION_SECONDS = 15.0
# A sender may send a call again until it expires, by a clock that may run this much behind.
EXPIRY_MARGIN_SECONDS = 1.0
# Pause until a call that is due to be forgotten but still runs is looked at again.
RUNNING_PAUSE_SECONDS = 1.0
MAX_ROUTES = 1024


class HeldAnswer(NamedTuple):
    """A call whose answer is kept, and until when."""

    call: RunnerCall
    until: float


@lru_cache(MAX_ROUTES)
def _without_content(route: str, idempotent: bool) -> Request:
    """Returns the part of a request that is needed once it was answered or refused."""
    return Request(route=route, idempotent=idempotent)


class ForgetAt(NamedTuple):
    """When a call is to be forgotten, and its position among all calls."""

    at: float
    position: int
    call: RunnerCall


class CallCache:
    """Calls by key, for as long as their senders may send them again.

    Its size is bounded by the arrivals within the longest timeout of a route; a remembered call
    holds neither request nor answer.
    """

    def __init__(self, account: MemoryAccount | None = None) -> None:
        # Account that the requests of the calls are charged to.
        self.account = account or MemoryAccount()
        self.calls: dict[CallKey, RunnerCall] = {}
        self.forget_at: list[ForgetAt] = []
        self.added = 0
        # Whether a large answer may be among those that are kept.
        self.holds_large = False
        # Answered calls whose answers are kept, by whether they are idempotent, the oldest first.
        self.held: dict[bool, deque[HeldAnswer]] = {True: deque(), False: deque()}

    def add(self, call: RunnerCall) -> None:
        """Adds a call."""
        self.calls[call.key] = call
        self.added += 1
        retained = call.arrived + CALL_RETENTION_SECONDS
        if not call.message.idempotent:
            retained = max(retained, call.expires + EXPIRY_MARGIN_SECONDS)
        heappush(self.forget_at, ForgetAt(retained, self.added, call))

    def get(self, key: CallKey) -> RunnerCall | None:
        """Returns a call, None if it is not cached."""
        return self.calls.get(key)

    def release_request(self, call: RunnerCall) -> None:
        """Drops the content of a request that was answered or refused; it may be large."""
        call.message = _without_content(call.message.route, call.message.idempotent)
        call.body = None
        self.account.remove(call.charged_bytes)
        call.charged_bytes = 0

    def hold_answer(self, call: RunnerCall, now: float) -> None:
        """Keeps the answer of a call for a while."""
        idempotent = call.message.idempotent
        retention = IDEMPOTENT_ANSWER_RETENTION_SECONDS if idempotent else ANSWER_RETENTION_SECONDS
        self.held[idempotent].append(HeldAnswer(call, now + retention))
        if type(call.answer.body) is not bytes:
            self.holds_large = True

    def holds_answers(self) -> bool:
        """Returns whether any answer is kept."""
        return any(self.held.values())

    def drop_large_answers(self) -> None:
        """Drops the large answers that are kept in case their calls are sent again."""
        if not self.holds_large:
            return
        self.holds_large = False
        for held in self.held.values():
            for entry in held:
                answer = entry.call.answer
                if answer is not None and type(answer.body) is not bytes:
                    entry.call.answer = None

    def evict(self, now: float) -> None:
        """Evicts calls after the retention period, and answers earlier."""
        while self.forget_at and self.forget_at[0].at <= now:
            due = heappop(self.forget_at)
            if due.call.done:
                self.calls.pop(due.call.key, None)
                continue
            heappush(self.forget_at, due._replace(at=now + RUNNING_PAUSE_SECONDS))
        for held in self.held.values():
            while held and now >= held[0].until:
                held.popleft().call.answer = None

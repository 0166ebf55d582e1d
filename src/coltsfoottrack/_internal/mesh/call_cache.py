"""Cache of a runner's calls, so that a call that is sent again does not run again."""

from collections import OrderedDict, deque
from functools import lru_cache
from typing import NamedTuple

from coltsfoottrack._internal.mesh.runner_call import CallKey, RunnerCall
from coltsfoottrack._internal.schema.links_pb2 import Request

# A caller's node that lost its link notices a silent one after 1 s, connects again within 0.6 s and
# asks. It sends idempotent calls again only if the link was broken.
ANSWER_RETENTION_SECONDS = 3.0
IDEMPOTENT_ANSWER_RETENTION_SECONDS = 0.8
CALL_RETENTION_SECONDS = 15.0
MAX_ROUTES = 1024


class HeldAnswer(NamedTuple):
    """A call whose answer is kept, and until when."""

    call: RunnerCall
    until: float


@lru_cache(MAX_ROUTES)
def _without_content(route: str, idempotent: bool) -> Request:
    """Returns the part of a request that is needed once it was answered or refused."""
    return Request(route=route, idempotent=idempotent)


class CallCache:
    """Calls by key, the oldest first."""

    def __init__(self) -> None:
        self.calls: OrderedDict[CallKey, RunnerCall] = OrderedDict()
        # Answered calls whose answers are kept, by whether they are idempotent, the oldest first.
        self.held: dict[bool, deque[HeldAnswer]] = {True: deque(), False: deque()}

    def add(self, call: RunnerCall) -> None:
        """Adds a call."""
        self.calls[call.key] = call

    def get(self, key: CallKey) -> RunnerCall | None:
        """Returns a call, None if it is not cached."""
        return self.calls.get(key)

    def release_request(self, call: RunnerCall) -> None:
        """Drops the content of a request that was answered or refused; it may be large."""
        call.message = _without_content(call.message.route, call.message.idempotent)

    def hold_answer(self, call: RunnerCall, now: float) -> None:
        """Keeps the answer of a call for a while."""
        idempotent = call.message.idempotent
        retention = IDEMPOTENT_ANSWER_RETENTION_SECONDS if idempotent else ANSWER_RETENTION_SECONDS
        self.held[idempotent].append(HeldAnswer(call, now + retention))

    def holds_answers(self) -> bool:
        """Returns whether any answer is kept."""
        return any(self.held.values())

    def evict(self, now: float) -> None:
        """Evicts calls after the retention period, and answers earlier."""
        while self.calls:
            call = next(iter(self.calls.values()))
            if not call.done or now - call.arrived < CALL_RETENTION_SECONDS:
                break
            self.calls.popitem(last=False)
        for held in self.held.values():
            while held and now >= held[0].until:
                held.popleft().call.answer = None

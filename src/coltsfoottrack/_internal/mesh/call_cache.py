"""Cache of a runner's calls, so that a call that is sent again does not run again."""

from collections import OrderedDict, deque

from coltsfoottrack._internal.mesh.runner_call import CallKey, RunnerCall
from coltsfoottrack._internal.schema.links_pb2 import Request

# Answers are kept for this long for a caller's node that lost its link.
ANSWER_RETENTION_SECONDS = 3.0
CALL_RETENTION_SECONDS = 15.0
_EMPTY_REQUEST = Request()


class CallCache:
    """Calls by key, the oldest first."""

    def __init__(self) -> None:
        self.calls: OrderedDict[CallKey, RunnerCall] = OrderedDict()
        # Calls whose request and answer are still held, the oldest first.
        self.with_content: deque[RunnerCall] = deque()

    def add(self, call: RunnerCall) -> None:
        """Adds a call."""
        self.calls[call.key] = call
        self.with_content.append(call)

    def get(self, key: CallKey) -> RunnerCall | None:
        """Returns a call, None if it is not cached."""
        return self.calls.get(key)

    def evict(self, now: float) -> None:
        """Evicts calls after the retention period, and the bodies of answered calls earlier."""
        while self.calls:
            call = next(iter(self.calls.values()))
            if not call.done or now - call.arrived < CALL_RETENTION_SECONDS:
                break
            self.calls.popitem(last=False)
        for _ in range(len(self.with_content)):
            if now - self.with_content[0].arrived < ANSWER_RETENTION_SECONDS:
                break
            call = self.with_content.popleft()
            if not call.done:
                self.with_content.append(call)
            elif call.answer is not None and call.answer.body:
                call.answer = None
                call.message = _EMPTY_REQUEST

"""Registry of received calls by Call-Id, used to refuse late copies of a settled call."""

from asyncio import CancelledError
from collections import deque
from collections.abc import Awaitable, Callable
from heapq import heappop, heappush
from time import monotonic

from coltsfoottrack._internal.calls.context import CallContext
from coltsfoottrack._internal.calls.outcome import Answer, Outcome, Reason, refused, unknown
from coltsfoottrack._internal.calls.outcome_records import CallState, Settlement, without_body
from coltsfoottrack._internal.observability.invariants import Invariant, InvariantChecker

# 20,000 entries hold 60 s of 333 calls/s; a node is sized for 150.
MAX_ENTRIES = 20_000
MAX_ANSWER_BYTES = 4_000_000
# The sender's kernel drops a copy after 3 s (TCP user timeout); the rest covers bytes that are
# queued in the socket of a busy node.
RETENTION_SECONDS = 60.0
# Longer than the 0.5 s that a sender waits for the reply to Settle.
AGE_MARGIN_SECONDS = 2.0
# A pause of the process (such as SIGSTOP) counts towards retention for at most this long.
MAX_STEP_SECONDS = 1.0

CONNECTION_LOST = unknown(Reason.CONNECTION_LOST)

Runner = Callable[[CallContext, bytes], Awaitable[Answer]]


class CallEntry:
    """A call that was started or closed."""

    __slots__ = ("answer", "dispatched", "drop_at", "state")

    def __init__(self, state: CallState) -> None:
        self.state = state
        self.answer: Answer | None = None
        # True from the time when bytes may have reached the backend server, unless it refuses the
        # call.
        self.dispatched = False
        self.drop_at = 0.0


class CallRegistry:
    """Runs each Call-Id at most once and reports its outcome.

    Finished copies of idempotent calls may be evicted before their retention ends; settling a
    call from before that eviction returns UNCERTAIN. Closed calls and dispatches under an
    idempotency key are never evicted early: when they fill the table, new calls are refused.
    """

    def __init__(
        self,
        checker: InvariantChecker,
        wall_ms: Callable[[], int],
        clock: Callable[[], float] = monotonic,
        max_entries: int = MAX_ENTRIES,
    ) -> None:
        self.checker = checker
        self.wall_ms = wall_ms
        self.clock = clock
        self.max_entries = max_entries
        self.entries: dict[str, CallEntry] = {}
        self.finished: deque[str] = deque()
        self.closed: deque[str] = deque()
        # Heap of calls that are kept until the key of their dispatch expires.
        self.pinned: list[tuple[int, str]] = []
        self.answer_bytes = 0
        self.with_body: deque[str] = deque()
        self.last_observed = clock()
        self.running_seconds = 0.0
        # Calls sent before this time may have been evicted.
        self.complete_since = self.last_observed

    async def run(
        self,
        context: CallContext,
        body: bytes,
        runner: Runner,
        keep: bool,
        pinned_until_ms: int = 0,
    ) -> Answer:
        """Runs a call unless its Call-Id was received before.

        If ``keep`` is false, the call cannot be settled and its entry is removed once it has
        finished. ``pinned_until_ms`` is the expiry of a dispatch's key in wall clock ms. An
        expired dispatch is refused, because the entry that closed it may have been removed.
        """
        if pinned_until_ms and pinned_until_ms <= self.wall_ms():
            return refused(Reason.KEY_EXPIRED)
        call_id = context.call_id
        entry = self.entries.get(call_id)
        if entry is not None:
            if entry.state is CallState.CLOSED:
                return refused(Reason.CLOSED)
            return unknown(Reason.DUPLICATE)
        if not self._make_room():
            return refused(Reason.OVERLOAD, retry_useful=True)
        entry = CallEntry(CallState.RUNNING)
        self.entries[call_id] = entry
        answer = CONNECTION_LOST
        try:
            answer = await runner(context, body)
        except CancelledError:
            lost = unknown(Reason.CANCELLED)
            answer = lost if entry.dispatched else refused(Reason.CANCELLED)
            raise
        finally:
            self._finish(call_id, entry, answer, keep, pinned_until_ms)
        return answer

    def begin_dispatch(self, call_id: str) -> bool:
        """Marks a call as dispatched to the backend server.

        Returns False if it must not be sent; this counts as a violation of the at most once
        invariant.
        """
        entry = self.entries.get(call_id)
        allowed = entry is not None and entry.state is CallState.RUNNING and not entry.dispatched
        if not self.checker.check(
            allowed, Invariant.AT_MOST_ONCE, f"{call_id} must not be dispatched"
        ):
            return False
        entry.dispatched = True
        return True

    def mark_not_run(self, call_id: str) -> None:
        """Records that the backend server certainly did not run a dispatched call."""
        entry = self.entries.get(call_id)
        if entry is not None:
            entry.dispatched = False

    def settle(self, call_id: str, age_ms: float, pinned_until_ms: int = 0) -> Settlement:
        """Returns the state of a call; closes the call if it was certainly never received.

        ``age_ms`` is the time since the sender began to send the call. Returns UNCERTAIN for a
        call sent before this process started or before the last early eviction.
        """
        entry = self.entries.get(call_id)
        if entry is not None:
            return Settlement(entry.state, entry.answer)
        now = self.clock()
        age_seconds = age_ms / 1000.0 + AGE_MARGIN_SECONDS
        if age_seconds >= min(now - self.complete_since, RETENTION_SECONDS):
            return Settlement(CallState.UNCERTAIN)
        if not self._make_room():
            return Settlement(CallState.UNCERTAIN)
        entry = CallEntry(CallState.CLOSED)
        self.entries[call_id] = entry
        self._keep(call_id, entry, self.closed, pinned_until_ms)
        return Settlement(CallState.CLOSED)

    def _finish(
        self, call_id: str, entry: CallEntry, answer: Answer, keep: bool, pinned_until_ms: int
    ) -> None:
        self.checker.check(
            not (entry.dispatched and answer.outcome is Outcome.REFUSED),
            Invariant.NOT_RUN_MEANS_NOT_RUN,
            f"{call_id} refused after it was dispatched",
        )
        if not keep:
            del self.entries[call_id]
            return
        entry.state = CallState.FINISHED
        entry.answer = answer
        self._keep(call_id, entry, self.finished, pinned_until_ms)
        if not answer.body:
            return
        self.answer_bytes += len(answer.body)
        self.with_body.append(call_id)
        while self.answer_bytes > MAX_ANSWER_BYTES or len(self.with_body) > self.max_entries:
            self._drop_body(self.with_body.popleft())

    def _keep(
        self, call_id: str, entry: CallEntry, queue: deque[str], pinned_until_ms: int
    ) -> None:
        if pinned_until_ms:
            heappush(self.pinned, (pinned_until_ms, call_id))
            return
        entry.drop_at = self._running_time() + RETENTION_SECONDS
        queue.append(call_id)

    def _drop_body(self, call_id: str) -> None:
        entry = self.entries.get(call_id)
        if entry is None or entry.answer is None:
            return
        self.answer_bytes -= len(entry.answer.body)
        entry.answer = without_body(entry.answer)._replace(body=b"")

    def _running_time(self) -> float:
        """Returns how long this process has run without its pauses, in seconds.

        A copy that arrives during a pause is read from the socket only after the process resumes.
        """
        now = self.clock()
        self.running_seconds += min(now - self.last_observed, MAX_STEP_SECONDS)
        self.last_observed = now
        return self.running_seconds

    def _make_room(self) -> bool:
        now = self._running_time()
        for queue in (self.finished, self.closed):
            while queue and self.entries[queue[0]].drop_at <= now:
                self._remove(queue.popleft())
        while self.pinned and self.pinned[0][0] <= self.wall_ms():
            self._remove(heappop(self.pinned)[1])
        if len(self.entries) < self.max_entries:
            return True
        if not self.finished:
            return False
        self._remove(self.finished.popleft())
        self.complete_since = self.clock()
        return True

    def _remove(self, call_id: str) -> None:
        entry = self.entries.pop(call_id)
        if entry.answer is not None:
            self.answer_bytes -= len(entry.answer.body)

"""Runs requests on the local backend server; all requests to it go through the runner.

Keeps the number of running requests within the slots, starts the most important first, and records
for each request whether it was sent to the backend server.
"""

from asyncio import Task, TimerHandle, get_running_loop
from collections.abc import Callable

from coltsfoottrack._internal.mesh.backend_connection import (
    BackendConnection,
    BackendPool,
    BackendResponse,
)
from coltsfoottrack._internal.mesh.backend_rate import BackendRate
from coltsfoottrack._internal.mesh.backend_state import BackendState, Lifetime
from coltsfoottrack._internal.mesh.call_cache import CallCache
from coltsfoottrack._internal.mesh.call_queue import (
    MIN_TIME_LEFT_SECONDS,
    ORPHAN_GRACE_SECONDS,
    CallQueue,
    expiry_reason,
)
from coltsfoottrack._internal.mesh.caller_request import REQUEST_BYTES
from coltsfoottrack._internal.mesh.clock import current_time
from coltsfoottrack._internal.mesh.crash_watch import CrashWatch
from coltsfoottrack._internal.mesh.decisions import DecisionLog
from coltsfoottrack._internal.mesh.levels import OwnLevel
from coltsfoottrack._internal.mesh.model import HeaderNames
from coltsfoottrack._internal.mesh.own_capacity import OwnCapacity
from coltsfoottrack._internal.mesh.parent_requests import ParentRequests, RunningRequest
from coltsfoottrack._internal.mesh.retry_budget import RetryBudget
from coltsfoottrack._internal.mesh.run_outcome import run_result
from coltsfoottrack._internal.mesh.runner_call import CallKey, RunnerCall, RunResult
from coltsfoottrack._internal.mesh.runner_log import RunnerLog
from coltsfoottrack._internal.mesh.whole_requests import WholeRequests
from coltsfoottrack._internal.observability.plain_histogram import PlainHistogram
from coltsfoottrack._internal.schema.links_pb2 import (
    RESULT_ANSWERED,
    RESULT_NOT_RUN,
    RESULT_UNKNOWN,
)

# Grace period after the deadline, at which the backend server itself answers, before the run is
# abandoned.
OVERDUE_GRACE_SECONDS = 0.25
# Timeout for the answer to a claim; after it the sender or the link to it counts as lost.
CLAIM_TIMEOUT_SECONDS = 1.0
# A reset this soon after sending shows that the backend server had dropped the idle connection.
DROPPED_RESET_SECONDS = 0.005
# Upper bound, per slot, on the load that is reported while the rate limit is the bottleneck.
MAX_REPORTED_LOAD = 10.0
# Weight of the newest run in the moving average of run times.
MEAN_TIME_WEIGHT = 0.02
# A request is declined, if its sender allows it, when it would probably wait for longer than this.
# Another node is reached within a few milliseconds.
DECLINE_WAIT_SECONDS = 0.008
# Replies carry the capacity in this fraction of a request per second.
CAPACITY_UNIT = 10
# Greatest value of the field.
MAX_REPORTED_CAPACITY = 2**32 - 1
# Reason of a declined request.
BUSY = "busy"
# Reason of a call for which this node has no memory.
MEMORY = "memory"
# Reason of a call that was sent again and is not remembered.
CALL_FORGOTTEN = "call_forgotten"


class Runner:
    """Queues and runs the calls of one backend server."""

    def __init__(
        self,
        backend: BackendState,
        pool: BackendPool,
        retry_budget: RetryBudget,
        parent_requests: ParentRequests,
        names: HeaderNames,
        log: DecisionLog,
        run_time: PlainHistogram,
    ) -> None:
        self.backend = backend
        self.pool = pool
        self.retry_budget = retry_budget
        self.parent_requests = parent_requests
        self.names = names
        self.run_time = run_time
        self.level = OwnLevel()
        self.whole_requests = WholeRequests()
        self.log = RunnerLog(log, backend, self.level)
        self.rate = BackendRate(backend, log)
        self.capacity = OwnCapacity(backend)
        # Starts the next call once the rate limit allows it.
        self.start_timer: TimerHandle | None = None
        self.crash_watch = CrashWatch(log)
        backend.on_replaced = self._handle_end
        self.call_cache = CallCache(pool.account)
        self.queue = CallQueue()
        self.running: set[RunnerCall] = set()
        # Time of the last request by route.
        self.served_routes: dict[str, float] = {}
        self.tasks: set[Task[None]] = set()
        # Moving average of the run time, in seconds.
        self.mean_seconds = 0.0
        # Returns the number of nodes that share the service's retry budget.
        self.node_count: Callable[[], int] = lambda: 1
        # Called for each submitted call.
        self.on_work: Callable[[], None] = lambda: None

    @property
    def load(self) -> int:
        """Number of running and waiting requests, or the slots that the rate limit keeps busy."""
        requests = len(self.running) + len(self.queue)
        if self.rate.limit is None:
            return requests
        return max(requests, int(min(self.level.load, MAX_REPORTED_LOAD) * self.backend.slots))

    def reported_capacity(self) -> int:
        """Returns the capacity that replies carry, in units of 1 / CAPACITY_UNIT per second."""
        per_second = self.capacity.per_second(current_time())
        if not per_second:
            return 0
        if self.rate.limit is not None:
            per_second = min(per_second, self.rate.limit)
        return max(1, min(MAX_REPORTED_CAPACITY, int(per_second * CAPACITY_UNIT)))

    def submit(self, call: RunnerCall) -> None:
        """Runs, queues or refuses a call; its result is passed to ``deliver``."""
        self.on_work()
        message = call.message
        if message.HasField("known_rate_limit"):
            known_limit = message.known_rate_limit
            self.rate.adopt(known_limit.per_second, known_limit.backend_started_ms)
        known = self.call_cache.get(call.key)
        if known is not None:
            self._attach(known, call)
            return
        self.call_cache.add(call)
        if message.resent and not message.idempotent:
            self._end_unknown(call)
            return
        if not self._charge(call):
            self._refuse(call, MEMORY)
            return
        self.served_routes[message.route] = call.arrived
        if not self.backend.accepting:
            self._refuse(call, self.backend.refusal)
        elif message.backend and message.backend != self.backend.identifier:
            self._refuse(call, "other_backend")
        elif self.crash_watch.is_quarantined(call):
            self._refuse(call, "quarantined")
        elif message.may_decline and self.expected_wait() > DECLINE_WAIT_SECONDS:
            self._refuse(call, BUSY)
        elif message.repeat and not self._try_take_retry(call):
            self._refuse(call, "repeat_budget")
        else:
            self.level.count_arrival()
            if self._can_start(call.arrived):
                self._start(call)
            else:
                self.queue.push(call)
                self._start_next()

    def _charge(self, call: RunnerCall) -> bool:
        """Charges the memory of a call's request; returns False if there is no room."""
        message = call.message
        size = REQUEST_BYTES + len(message.head) + len(message.body)
        if not self.pool.account.try_add(size):
            return False
        call.charged_bytes = size
        return True

    def _try_take_retry(self, call: RunnerCall) -> bool:
        return self.retry_budget.try_take(call.arrived, self.node_count(), call.rank)

    def expected_wait(self) -> float:
        """Returns the time in seconds that a new request would probably wait for a slot."""
        now = current_time()
        if self._can_start(now):
            return 0.0
        requests = len(self.queue) + 1
        for_slot = 0.0
        limit = self.capacity.limit(now)
        if self.queue or len(self.running) >= limit:
            for_slot = requests * self.capacity.run_seconds(self.mean_seconds, now) / limit
        return max(for_slot, self.rate.seconds_until(requests, now))

    def _can_start(self, now: float) -> bool:
        """Returns whether a new request may be started at once."""
        if self.queue or len(self.running) >= self.capacity.limit(now):
            return False
        return self.rate.seconds_until(1, now) <= 0.0

    def _attach(self, known: RunnerCall, call: RunnerCall) -> None:
        """Delivers the result of the first copy to a call that was sent again."""
        known.deliver = call.deliver
        known.orphaned_at = None
        if known.claim is not None:
            known.claim = call.claim
            if known in self.running:
                self._send_claim(known)
        if not known.done:
            return
        if known.answer is None:
            known.answer = RunResult(RESULT_UNKNOWN, "answer_forgotten")
        call.deliver(known)

    def _start(self, call: RunnerCall) -> None:
        self.running.add(call)
        self.rate.take()
        if call.claim is None:
            self._dispatch(call)
        else:
            self._send_claim(call)

    def _send_claim(self, call: RunnerCall) -> None:
        call.claimed_at = current_time()
        call.claim(call)

    def grant(self, key: CallKey, granted: bool) -> None:
        """Handles the answer to a claim: sends the non-idempotent call or drops it."""
        call = self.call_cache.get(key)
        if call is None or call.done or call.claim is None or call not in self.running:
            return
        if not granted:
            self._finish(call, RunResult(RESULT_NOT_RUN, "withdrawn"))
            return
        call.claim = None
        self._dispatch(call)

    def _dispatch(self, call: RunnerCall) -> None:
        message = call.message
        connection = self.pool.take(message.idempotent, message.request_id.encode("latin-1"))
        if connection is not None:
            self._send(call, connection)
            return
        task = get_running_loop().create_task(self._connect(call))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _connect(self, call: RunnerCall) -> None:
        try:
            connection = await self.pool.connect()
        except (OSError, TimeoutError) as error:
            if isinstance(error, ConnectionRefusedError):
                self.handle_backend_crash("connection_refused")
            if not call.done:
                self._finish(call, RunResult(RESULT_NOT_RUN, "backend_unreachable"))
            return
        if call.done:
            self.pool.give_back(connection)
            return
        self._send(call, connection)

    def _send(self, call: RunnerCall, connection: BackendConnection) -> None:
        """Sends the request to the backend server unless it must no longer run there."""
        now = current_time()
        message = call.message
        refusal = ""
        if not self.backend.accepting:
            refusal = self.backend.refusal
        elif message.backend and message.backend != self.backend.identifier:
            refusal = "other_backend"
        elif call.expires - now < MIN_TIME_LEFT_SECONDS:
            refusal = "expired"
        if refusal:
            connection.idle_since = now
            self.pool.give_back(connection)
            self._finish(call, RunResult(RESULT_NOT_RUN, refusal))
            return
        if message.of_repeated_run:
            self.retry_budget.charge(now)
        elif not message.repeat:
            self.retry_budget.count_first(now, call.rank)
        call.sent_at = now
        call.lifetime = self.backend.lifetime
        self.capacity.start(call, now)
        call.connection = connection
        call.run = RunningRequest(
            message.route,
            call.rank,
            call.expires,
            message.repeat or message.of_repeated_run,
            message.request_id,
            message.customer,
        )
        self.parent_requests.begin(call.run)
        names = self.names
        request = b"".join(
            (
                message.head,
                names.deadline_ms,
                b": %d\r\n" % int((call.expires - now) * 1000.0),
                names.expected_backend,
                b": ",
                self.backend.identifier.encode("latin-1"),
                b"\r\n\r\n",
                message.body,
            )
        )
        body = call.body
        is_head = message.head.startswith(b"HEAD ")
        connection.send(
            request,
            message.request_id.encode("latin-1"),
            is_head,
            lambda answer, reason: self._handle_response(call, connection, answer, reason),
            body,
        )

    def _handle_response(
        self,
        call: RunnerCall,
        connection: BackendConnection,
        answer: BackendResponse | None,
        reason: str,
    ) -> None:
        self.pool.give_back(connection)
        if answer is not None:
            self.crash_watch.answered(call)
            self.rate.observe(answer.rate_limit, call.lifetime, self.level.rate)
            self.capacity.observe(call, answer, current_time())
            if answer.leaving:
                self.backend.leave_by_answer(call.lifetime)
        if call.done:
            return
        if answer is None:
            if reason in ("connection_reset", "connection_closed"):
                self.crash_watch.connection_lost(call, current_time())
                if connection.was_idle_seconds and not connection.received:
                    self._check_dropped(connection, call)
            self._finish(call, RunResult(RESULT_UNKNOWN, reason))
        elif answer.not_run:
            self._finish(call, RunResult(RESULT_NOT_RUN, "backend_refused", answer.status))
        else:
            self._record_run_time(call)
            self._finish(call, run_result(call, answer))
            self.call_cache.hold_answer(call, current_time())

    def _check_dropped(self, connection: BackendConnection, call: RunnerCall) -> None:
        """Records a reused connection that the backend server had already dropped."""
        if current_time() - call.sent_at < DROPPED_RESET_SECONDS:
            self.pool.record_dropped(connection.was_idle_seconds)

    def _record_run_time(self, call: RunnerCall) -> None:
        took = current_time() - call.sent_at
        self.run_time.observe(took)
        if not self.mean_seconds:
            self.mean_seconds = took
        self.mean_seconds += MEAN_TIME_WEIGHT * (took - self.mean_seconds)

    def _refuse(self, call: RunnerCall, reason: str) -> None:
        if reason == BUSY:
            self.log.declined()
        else:
            self._log_outcome("run_refused", call, reason)
        call.answer = RunResult(RESULT_NOT_RUN, reason)
        call.done = True
        call.deliver(call)
        self.call_cache.release_request(call)

    def _end_unknown(self, call: RunnerCall) -> None:
        """Ends a call that this process does not know although its claim was granted.

        An earlier process may have run it, or this one before it forgot the call.
        """
        self._log_outcome("run_without_answer", call, CALL_FORGOTTEN)
        call.answer = RunResult(RESULT_UNKNOWN, CALL_FORGOTTEN)
        call.done = True
        call.deliver(call)
        self.call_cache.release_request(call)

    def _finish(self, call: RunnerCall, result: RunResult) -> None:
        """Delivers the result of a started call and starts the next ones."""
        if call.sent_at is None:
            self.rate.give_back()
        else:
            self._end_run(call, result)
            self.whole_requests.record(call, result, current_time())
        self.running.discard(call)
        if result.result != RESULT_ANSWERED:
            self._log_outcome("run_without_answer", call, result.reason)
        call.connection = None
        call.answer = result
        call.done = True
        call.deliver(call)
        # Also without an answer: the call stays in the cache, and its body may be large.
        self.call_cache.release_request(call)
        self._start_next()

    def _end_run(self, call: RunnerCall, result: RunResult) -> None:
        # Without an answer, the backend server may still be at work.
        if result.result == RESULT_UNKNOWN:
            self.parent_requests.lose(call.run)
        else:
            self.parent_requests.end(call.run, current_time())

    def _log_outcome(self, event: str, call: RunnerCall, reason: str) -> None:
        self.log.outcome(event, call, reason, len(self.running), len(self.queue))

    def _start_next(self) -> None:
        queue = self.queue
        if not queue:
            return
        now = current_time()
        while queue and len(self.running) < self.capacity.limit(now):
            wait = self.rate.seconds_until(1, now)
            if wait > 0.0:
                self._start_next_after(wait)
                return
            call = queue.pop()
            if call.done:
                continue
            refusal = expiry_reason(call, now)
            if refusal:
                self._refuse(call, refusal)
                continue
            self._start(call)

    def _start_next_after(self, seconds: float) -> None:
        if self.start_timer is not None:
            return
        self.start_timer = get_running_loop().call_later(seconds, self._handle_start_timer)

    def _handle_start_timer(self) -> None:
        self.start_timer = None
        self._start_next()

    def cancel(self, key: CallKey) -> None:
        """Drops a call whose caller has disconnected; a non-idempotent run continues."""
        call = self.call_cache.get(key)
        if call is None or call.done:
            return
        call.deliver = _discard_result
        self._abandon(call, "caller_gone")

    def _abandon(self, call: RunnerCall, reason: str) -> None:
        if call.sent_at is None:
            if call in self.running:
                self._finish(call, RunResult(RESULT_NOT_RUN, reason))
            else:
                self._refuse(call, reason)
            return
        if call.message.idempotent:
            call.connection.abort()
            self._finish(call, RunResult(RESULT_UNKNOWN, reason))

    def tick(self, now: float) -> None:
        """Drops calls that waited too long, abandons overdue runs and updates the level."""
        if self.queue:
            for call, refusal in self.queue.remove_expired(now):
                if not call.done:
                    self._refuse(call, refusal)
            self._start_next()
        for call in list(self.running):
            if call.done:
                continue
            if now > call.expires + OVERDUE_GRACE_SECONDS and call.connection is not None:
                call.connection.abort()
                self._finish(call, RunResult(RESULT_UNKNOWN, "overdue"))
            elif call.claim is not None and now - call.claimed_at > CLAIM_TIMEOUT_SECONDS:
                self._finish(call, RunResult(RESULT_NOT_RUN, "claim_unanswered"))
            elif call.orphaned_at is not None and now - call.orphaned_at > ORPHAN_GRACE_SECONDS:
                self._abandon(call, "caller_gone")
        self._update_level(now)
        if self.whole_requests.routes:
            self.whole_requests.update(now)
            self.log.note_routes(self.whole_requests)
        self.retry_budget.set_leaf(self.parent_requests.is_leaf(now))
        self.call_cache.evict(now)

    def is_settled(self) -> bool:
        """Returns whether a tick would change nothing while no call arrives."""
        if self.whole_requests.routes or self.call_cache.holds_answers():
            return False
        return self.level.is_settled()

    def _update_level(self, now: float) -> None:
        waiting = len(self.queue)
        interval = self.rate.seconds_per_request(self.mean_seconds, self.backend.limit)
        self.level.update(interval, waiting, now, len(self.running))
        self.log.note_level(self.mean_seconds, waiting)

    def refuse_waiting(self) -> None:
        """Refuses all waiting calls; used when the backend server or the node leaves."""
        for call in self.queue.remove_all():
            if not call.done:
                self._refuse(call, self.backend.refusal)

    def handle_backend_crash(self, reason: str) -> None:
        """Handles a crash of the backend server."""
        if not self.backend.mark_crashed(reason):
            return
        self._handle_end(self.backend.lifetime, self.backend.left)
        self.pool.close()
        self.refuse_waiting()

    def _handle_end(self, lifetime: Lifetime, has_left: bool) -> None:
        """Handles the end of a process, seen by a refused connection or by a later process."""
        if has_left:
            self.crash_watch.backend_left(lifetime)
        else:
            self.crash_watch.backend_crashed(lifetime)


def _discard_result(call: RunnerCall) -> None:
    pass

"""Idempotency key records at the home node, which allow at most one run per key."""

from asyncio import Future, get_running_loop, shield, timeout
from collections import deque
from collections.abc import Awaitable, Callable
from hashlib import blake2b
from secrets import randbits, token_bytes

from coltsfoottrack._internal.calls.context import CallContext
from coltsfoottrack._internal.calls.exceptions import InvalidKeyError
from coltsfoottrack._internal.calls.identifiers import IdempotencyKey
from coltsfoottrack._internal.calls.outcome import Answer, Outcome, Reason, refused, unknown
from coltsfoottrack._internal.calls.outcome_records import CallState, Settlement, without_body
from coltsfoottrack._internal.ledger.exceptions import KeysExhaustedError
from coltsfoottrack._internal.ledger.key_history import KeyHistory
from coltsfoottrack._internal.ledger.wall_clock import WallClock
from coltsfoottrack._internal.observability.invariants import Invariant, InvariantChecker

MAX_OPEN_RECORDS = 20_000
MAX_ANSWER_BYTES = 8_000_000
DIGEST_BYTES = 16
# A refusal for an expired deadline is made at the deadline itself. Without this grace period the
# wait for the result would time out first and report "unknown".
ANSWER_GRACE_SECONDS = 0.05

CONNECTION_LOST = unknown(Reason.CONNECTION_LOST)

Runner = Callable[[CallContext, bytes], Awaitable[Answer]]
# Called with the key, answer and priority of a finished request.
FinishedHook = Callable[[IdempotencyKey, Answer, int], None]


def request_digest(service: str, operation: str, body: bytes) -> bytes:
    """Returns a digest of the service, operation and body of a request."""
    hasher = blake2b(digest_size=DIGEST_BYTES)
    for part in (service.encode(), operation.encode(), body):
        hasher.update(len(part).to_bytes(8, "big"))
        hasher.update(part)
    return hasher.digest()


class KeyRecord:
    """State of one used key at its home."""

    __slots__ = ("digest", "dispatched", "expires_at_ms", "pending", "result")

    def __init__(self, digest: bytes, expires_at_ms: int) -> None:
        self.digest = digest
        self.expires_at_ms = expires_at_ms
        self.dispatched = False
        self.result: Answer | None = None
        # Set while the request runs; copies of the request await it.
        self.pending: Future[Answer] | None = None


class Ledger:
    """Issues idempotency keys and is the only authority on the outcome of each of them."""

    def __init__(
        self,
        service: str,
        home: str,
        home_call_address: str,
        home_peer_address: str,
        checker: InvariantChecker,
        wall_ms: Callable[[], int] | None = None,
        choose_backup: Callable[[], str] = str,
        on_finished: FinishedHook | None = None,
        max_records: int = MAX_OPEN_RECORDS,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
    ) -> None:
        self.service = service
        self.home = home
        self.home_call_address = home_call_address
        self.home_peer_address = home_peer_address
        self.checker = checker
        self.wall_ms = WallClock().now_ms if wall_ms is None else wall_ms
        self.choose_backup = choose_backup
        self.on_finished = on_finished
        self.max_records = max_records
        self.max_answer_bytes = max_answer_bytes
        self.incarnation = randbits(63)
        self.secret = token_bytes(32)
        self.records: dict[int, KeyRecord] = {}
        self.finished: deque[int] = deque()
        self.with_body: deque[int] = deque()
        self.answer_bytes = 0
        self.history = KeyHistory()
        self.next_number = 1
        self.unknown_count = 0

    def issue(self, lifetime_ms: float, backup_peer_address: str = "") -> str:
        """Returns a new key that is valid for ``lifetime_ms``.

        Raises KeysExhaustedError while the number of running requests is at the limit of records.
        """
        if len(self.records) - len(self.finished) >= self.max_records:
            raise KeysExhaustedError(f"{len(self.records)} keys are open")
        key = IdempotencyKey(
            service=self.service,
            home=self.home,
            home_call_address=self.home_call_address,
            home_peer_address=self.home_peer_address,
            incarnation=self.incarnation,
            backup_peer_address=backup_peer_address or self.choose_backup(),
            number=self.next_number,
            expires_at_ms=int(self.wall_ms() + lifetime_ms),
        )
        self.next_number += 1
        return key.sign(self.secret).encode()

    def is_home(self, key: IdempotencyKey) -> bool:
        """Returns whether this node process issued the key."""
        return key.incarnation == self.incarnation

    async def run(self, context: CallContext, body: bytes, runner: Runner) -> Answer:
        """Runs a request under its key unless the key was used before.

        A second copy waits for the answer of the first one until its own deadline. The run
        continues if the caller disconnects, so that a resend gets the outcome.
        """
        try:
            key = self.check_key(context.idempotency_key)
        except InvalidKeyError as error:
            return refused(Reason.KEY_INVALID, text=str(error))
        if key is None:
            return unknown(Reason.HOME_GONE, copy_dispatched=False)
        if key.service != context.service:
            return refused(Reason.KEY_INVALID, text="key was issued for another service")
        digest = request_digest(context.service, context.operation, body)
        record = self.records.get(key.number)
        if record is not None:
            if record.digest and record.digest != digest:
                return refused(Reason.KEY_REUSED, text="key was used for another request")
            return await self._wait(record, context)
        previous = self._answer_without_record(key)
        if previous is not None:
            return previous
        if not self._make_room():
            # A copy that arrives when there is room again must be refused as well.
            self._close(key)
            return refused(Reason.KEYS_EXHAUSTED, retry_useful=True)
        record = self._open(key, digest)
        record.pending = get_running_loop().create_future()
        task = get_running_loop().create_task(self._run_once(key, record, context, body, runner))
        task.add_done_callback(lambda done: done.cancelled() or done.exception())
        return await self._wait(record, context)

    def settle(self, text: str) -> Settlement:
        """Returns the outcome of a key; closes the key if it was never used.

        Copies of the request that arrive after the key was closed are refused. Raises
        InvalidKeyError if the text is malformed or was not signed by this node.
        """
        key = self.check_key(text)
        if key is None:
            return Settlement(CallState.UNCERTAIN)
        record = self.records.get(key.number)
        if record is not None:
            if record.result is None:
                return Settlement(CallState.RUNNING)
            return Settlement(CallState.FINISHED, record.result)
        previous = self._answer_without_record(key)
        if previous is not None:
            return Settlement(CallState.FINISHED, previous)
        self._close(key)
        return Settlement(CallState.CLOSED)

    def _close(self, key: IdempotencyKey) -> None:
        """Closes a key that was never used, which needs only the two bits of the history."""
        self.history.mark_used(key.number)
        self.history.mark_refused(key.number)

    def check_key(self, text: str) -> IdempotencyKey | None:
        """Returns the key, or None if another incarnation issued it.

        Raises InvalidKeyError if the key is malformed, or names this incarnation without being
        signed by it.
        """
        key = IdempotencyKey.parse(text)
        if not self.is_home(key):
            return None
        if not key.is_signed_by(self.secret):
            raise InvalidKeyError("key was not issued by this node")
        return key

    def _answer_without_record(self, key: IdempotencyKey) -> Answer | None:
        """Returns the answer for a key without a record, or None if its request may run."""
        if not self.history.covers(key.number):
            return unknown(Reason.KEY_EXPIRED)
        if self.history.was_refused(key.number):
            return refused(Reason.CLOSED)
        if self.history.was_used(key.number):
            return unknown(Reason.ANSWER_DROPPED)
        if key.expires_at_ms <= self.wall_ms():
            # The clock never steps back, so later copies are refused as well.
            return refused(Reason.KEY_EXPIRED, retry_useful=True)
        return None

    def _open(self, key: IdempotencyKey, digest: bytes) -> KeyRecord:
        self.checker.check(
            not self.history.was_used(key.number),
            Invariant.AT_MOST_ONCE,
            f"key {key.number} of {self.home} opened twice",
        )
        self.history.mark_used(key.number)
        record = KeyRecord(digest, key.expires_at_ms)
        self.records[key.number] = record
        return record

    async def _wait(self, record: KeyRecord, context: CallContext) -> Answer:
        if record.result is not None:
            return record.result
        seconds = max(0.0, context.deadline.remaining_seconds()) + ANSWER_GRACE_SECONDS
        try:
            async with timeout(seconds):
                return await shield(record.pending)
        except TimeoutError:
            return unknown(Reason.DEADLINE)

    async def _run_once(
        self,
        key: IdempotencyKey,
        record: KeyRecord,
        context: CallContext,
        body: bytes,
        runner: Runner,
    ) -> None:
        self.checker.check(
            not record.dispatched, Invariant.AT_MOST_ONCE, f"{context.request_id} dispatched twice"
        )
        record.dispatched = True
        answer = CONNECTION_LOST
        try:
            answer = await runner(context, body)
        finally:
            self._finish(key, record, answer, context.priority)

    def _finish(
        self, key: IdempotencyKey, record: KeyRecord, answer: Answer, priority: int
    ) -> None:
        self.checker.check(
            record.result is None, Invariant.AT_MOST_ONCE, f"key {key.number} finished twice"
        )
        record.result = answer
        if answer.outcome is Outcome.REFUSED:
            self.history.mark_refused(key.number)
        if answer.outcome is Outcome.UNKNOWN:
            self.unknown_count += 1
        self.finished.append(key.number)
        if answer.body:
            self.with_body.append(key.number)
            self.answer_bytes += len(answer.body)
        pending, record.pending = record.pending, None
        if pending is not None and not pending.done():
            pending.set_result(answer)
        if self.on_finished is not None:
            self.on_finished(key, answer, priority)
        while self.answer_bytes > self.max_answer_bytes and self.with_body:
            self._drop_body(self.with_body.popleft())

    def _drop_body(self, number: int) -> None:
        record = self.records.get(number)
        if record is None or record.result is None:
            return
        self.answer_bytes -= len(record.result.body)
        record.result = without_body(record.result)._replace(body=b"")

    def _make_room(self) -> bool:
        """Drops the oldest finished record if the limit is reached; returns whether there is room.

        The history keeps two bits for each dropped key.
        """
        self.drop_expired()
        if len(self.records) < self.max_records:
            return True
        if not self.finished:
            return False
        self._drop_record(self.finished.popleft())
        return True

    def drop_expired(self) -> None:
        """Drops the records of finished keys that have expired."""
        now_ms = self.wall_ms()
        while self.finished and self.records[self.finished[0]].expires_at_ms <= now_ms:
            self._drop_record(self.finished.popleft())

    def _drop_record(self, number: int) -> None:
        record = self.records.pop(number)
        self.answer_bytes -= len(record.result.body)
        # Both queues are in order of completion.
        if self.with_body and self.with_body[0] == number:
            self.with_body.popleft()

    def unknown_outcomes(self) -> int:
        """Returns the number of unknown outcomes since the process started."""
        return self.unknown_count

"""Replication of outcomes from the home to a backup node."""

from asyncio import Event, Task, create_task, get_running_loop, timeout
from bisect import bisect_right
from collections import Counter, OrderedDict, deque
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import NamedTuple

from coltsfoottrack._internal.calls.exceptions import InvalidKeyError
from coltsfoottrack._internal.calls.identifiers import IdempotencyKey
from coltsfoottrack._internal.calls.outcome import Answer, Outcome
from coltsfoottrack._internal.calls.token_bucket import TokenBucket
from coltsfoottrack._internal.ledger.outcome_batch import (
    PackedNumbers,
    delta_encode,
    encode_answer,
    find_answer,
    pack,
)
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import (
    CALL_OUTCOME_DONE,
    CALL_OUTCOME_FAILED,
    PRIORITY_CRITICAL,
    OutcomeBatch,
    OutcomeRecord,
)

# A node may send 2,000 bytes/s in all, of which membership and configuration take 868.
BYTES_PER_SECOND = 1000.0
BURST_BYTES = 3000.0
# A batch is sent once this many bytes of budget are available, so that more than half of them
# carry outcomes. Under load a home that crashes loses the outcomes of its last 1.5 s.
BATCH_BYTES = 1500.0
# Charged for a batch while membership needs the bandwidth: one of about 750 bytes in 3 s.
THROTTLED_BATCH_BYTES = 3000.0
# Overhead of one gRPC call in both directions, including TCP and IP headers. With 600,
# `measure copies` showed up to 100 bytes/s over the budget.
RPC_BYTES = 720
# Each number takes at most two bytes unless it is more than 16,383 above its predecessor.
MAX_BATCH_KEYS = 256
# Larger answers are copied without their body, which would use the budget of a whole batch.
MAX_BODY_BYTES = 1000
MAX_QUEUED = 2000
MAX_STORED_BYTES = 600_000
# The Python objects of a stored batch take 375 bytes; rounded up.
STORED_BATCH_OVERHEAD_BYTES = 450

SendBatch = Callable[[str, OutcomeBatch], Awaitable[bool]]


class StoredBatch:
    """A batch at the backup node; answers are decompressed only when one is requested."""

    __slots__ = ("answers", "done", "expires_at_ms", "failed", "size")

    def __init__(self, batch: OutcomeBatch) -> None:
        self.expires_at_ms = batch.expires_at_ms
        self.done = PackedNumbers(batch.done_steps)
        self.failed = PackedNumbers(batch.failed_steps)
        self.answers = batch.answers
        self.size = (
            STORED_BATCH_OVERHEAD_BYTES + len(batch.answers) + self.done.size + self.failed.size
        )


class OutcomeCopies:
    """Outcomes received from other homes, dropped on expiry or above a memory limit."""

    def __init__(self, wall_ms: Callable[[], int], max_bytes: int = MAX_STORED_BYTES) -> None:
        self.wall_ms = wall_ms
        self.max_bytes = max_bytes
        # By incarnation of the home, in order of arrival.
        self.batches: dict[int, deque[StoredBatch]] = {}
        self.arrivals: deque[int] = deque()
        self.stored_bytes = 0

    def store(self, batch: OutcomeBatch) -> None:
        """Stores a batch and drops the oldest ones above the memory limit."""
        self.drop_expired()
        stored = StoredBatch(batch)
        if stored.expires_at_ms <= self.wall_ms():
            return
        self.batches.setdefault(batch.incarnation, deque()).append(stored)
        self.arrivals.append(batch.incarnation)
        self.stored_bytes += stored.size
        while self.stored_bytes > self.max_bytes:
            self._drop_oldest()

    def drop_expired(self) -> None:
        """Drops the oldest batches whose keys have all expired."""
        now_ms = self.wall_ms()
        while self.arrivals and self.batches[self.arrivals[0]][0].expires_at_ms <= now_ms:
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        incarnation = self.arrivals.popleft()
        home_batches = self.batches[incarnation]
        self.stored_bytes -= home_batches.popleft().size
        if not home_batches:
            del self.batches[incarnation]

    def find(self, text: str) -> OutcomeRecord | None:
        """Returns the outcome of a key, without its body if that was not copied, or None."""
        try:
            key = IdempotencyKey.parse(text)
        except InvalidKeyError:
            return None
        for stored in self.batches.get(key.incarnation, ()):
            if key.number in stored.done:
                return OutcomeRecord(outcome=CALL_OUTCOME_DONE, body_dropped=True)
            if key.number in stored.failed:
                return OutcomeRecord(outcome=CALL_OUTCOME_FAILED, body_dropped=True)
            if not stored.answers:
                continue
            try:
                record = find_answer(stored.answers, key.number, text)
            except ValueError:
                continue
            if record is not None:
                return record
        return None


class QueuedOutcome(NamedTuple):
    """An outcome that is queued for its backup node."""

    key: IdempotencyKey
    answer: Answer
    priority: int


class CopySender:
    """Sends outcomes to backup nodes in the background, within a budget of bytes per second.

    A batch names every finished key and holds as many complete answers as the budget allows,
    critical ones first. Copies are best effort: if one is lost or dropped and the home fails, the
    reported outcome is unknown, never wrong.
    """

    def __init__(self, send: SendBatch, is_throttled: Callable[[], bool] = bool) -> None:
        self.send = send
        # Returns whether membership needs most of the node's bandwidth; batches then carry no
        # answers.
        self.is_throttled = is_throttled
        self.bucket: TokenBucket | None = None
        # By address of the backup node; more than one only after a membership change.
        self.queues: OrderedDict[str, list[QueuedOutcome]] = OrderedDict()
        self.queued = 0
        self.task: Task[None] | None = None
        self.closing = Event()
        self.counts: Counter[str] = Counter()

    def enqueue(self, key: IdempotencyKey, answer: Answer, priority: int) -> None:
        """Queues the outcome of a key for its backup node."""
        if not key.backup_peer_address or answer.outcome not in (Outcome.DONE, Outcome.FAILED):
            return
        queue = self.queues.setdefault(key.backup_peer_address, [])
        queue.append(QueuedOutcome(key, answer, priority))
        self.queued += 1
        if self.queued > MAX_QUEUED:
            self._drop_queued()
        if self.task is None or self.task.done():
            self.task = create_task(self._send_queued())

    def _drop_queued(self) -> None:
        """Drops the oldest outcome that is not critical, or the oldest if all are."""
        queue = max(self.queues.values(), key=len)
        dropped = 0
        for index, call in enumerate(queue):
            if call.priority < PRIORITY_CRITICAL:
                dropped = index
                break
        del queue[dropped]
        self.queued -= 1
        self.counts["dropped"] += 1

    async def _send_queued(self) -> None:
        clock = get_running_loop().time
        if self.bucket is None:
            self.bucket = TokenBucket(BYTES_PER_SECOND, BURST_BYTES, clock())
        while self.queues:
            with suppress(TimeoutError):
                async with timeout(self.bucket.seconds_until(BATCH_BYTES, clock())):
                    await self.closing.wait()
            await self._send_next(max(BATCH_BYTES, self.bucket.available(clock())))

    async def _send_next(self, budget: float) -> None:
        address, queue = self.queues.popitem(last=False)
        # The sort is stable, so older outcomes of a priority are sent first.
        queue.sort(key=lambda call: -call.priority)
        calls, rest = queue[:MAX_BATCH_KEYS], queue[MAX_BATCH_KEYS:]
        if rest:
            self.queues[address] = rest
        self.queued -= len(calls)
        is_throttled = self.is_throttled()
        batch, answers = self._build(calls, 0.0 if is_throttled else budget - RPC_BYTES)
        if self.bucket is not None:
            cost = RPC_BYTES + batch.ByteSize()
            self.bucket.take(max(cost, THROTTLED_BATCH_BYTES) if is_throttled else cost)
        if not await self.send(address, batch):
            self.counts["lost"] += len(calls)
            return
        self.counts["sent"] += answers
        self.counts["sent_without_answer"] += len(calls) - answers

    def _build(self, calls: list[QueuedOutcome], room: float) -> tuple[OutcomeBatch, int]:
        """Returns a batch of the outcomes and how many complete answers it holds."""
        room -= 2 * len(calls)
        small = [call for call in calls if len(call.answer.body) <= MAX_BODY_BYTES]
        entries = [encode_answer(call.key, call.answer) for call in small]
        # The compressed size is known only after compressing: a binary search takes 8 tries for
        # 256 answers.
        count = bisect_right(
            range(1, len(entries) + 1), room, key=lambda number: len(pack(entries[:number]))
        )
        content = pack(entries[:count])
        with_answer = {call.key.number for call in small[:count]}
        done, failed = [], []
        for call in calls:
            if call.key.number not in with_answer:
                numbers = done if call.answer.outcome is Outcome.DONE else failed
                numbers.append(call.key.number)
        batch = OutcomeBatch(
            incarnation=calls[0].key.incarnation,
            expires_at_ms=max(call.key.expires_at_ms for call in calls),
            done_steps=delta_encode(done),
            failed_steps=delta_encode(failed),
            answers=content,
        )
        return batch, count

    async def close(self) -> None:
        """Sends all queued outcomes regardless of the budget, before the process exits."""
        self.closing.set()
        if self.task is not None:
            await self.task

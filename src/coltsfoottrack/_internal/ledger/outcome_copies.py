"""Copies of finished outcomes: kept at a backup node, sent there by the home."""

from asyncio import Task, create_task
from collections import Counter, OrderedDict, deque
from collections.abc import Awaitable, Callable

from coltsfoottrack._internal.calls.identifiers import IdempotencyKey
from coltsfoottrack._internal.calls.outcome import Answer, Outcome
from coltsfoottrack._internal.calls.outcome_records import to_record
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import OutcomeRecord

MAX_COPIES = 20_000
MAX_COPY_BYTES = 8_000_000
# Larger answers are copied without their body.
MAX_BODY_BYTES = 65_536
MAX_QUEUED = 2000
MAX_QUEUED_BYTES = 2_000_000
BATCH = 64

SendRecords = Callable[[str, list[OutcomeRecord]], Awaitable[bool]]


class OutcomeCopies:
    """Outcomes that other homes sent here. The first record of a key is final."""

    def __init__(self, wall_ms: Callable[[], int]) -> None:
        self.wall_ms = wall_ms
        self.records: OrderedDict[str, OutcomeRecord] = OrderedDict()
        self.body_bytes = 0

    def store(self, record: OutcomeRecord) -> None:
        """Takes over a record unless its key has one; drops the oldest when there are too many."""
        if record.key in self.records or record.expires_at_ms <= self.wall_ms():
            return
        self.records[record.key] = record
        self.body_bytes += len(record.body)
        while len(self.records) > MAX_COPIES or self.body_bytes > MAX_COPY_BYTES:
            _, oldest = self.records.popitem(last=False)
            self.body_bytes -= len(oldest.body)

    def find(self, key: str) -> OutcomeRecord | None:
        """Returns the record of a key."""
        return self.records.get(key)


class CopySender:
    """Sends outcomes to the backup nodes after the run, without delaying the answer.

    Copies are best effort: a lost or dropped one makes an outcome unknown after the home has
    gone, never wrong.
    """

    def __init__(self, send: SendRecords) -> None:
        self.send = send
        self.queue: deque[tuple[IdempotencyKey, Answer]] = deque()
        self.queued_bytes = 0
        self.task: Task[None] | None = None
        self.counts: Counter[str] = Counter()

    def offer(self, key: IdempotencyKey, answer: Answer) -> None:
        """Queues the outcome of a key for its backup node."""
        if not key.backup_peer_address or answer.outcome not in (Outcome.DONE, Outcome.FAILED):
            return
        self.queue.append((key, answer))
        self.queued_bytes += len(answer.body)
        while len(self.queue) > MAX_QUEUED or self.queued_bytes > MAX_QUEUED_BYTES:
            self._take()
            self.counts["dropped"] += 1
        if self.task is None or self.task.done():
            self.task = create_task(self._flush())

    def _take(self) -> tuple[IdempotencyKey, Answer]:
        key, answer = self.queue.popleft()
        self.queued_bytes -= len(answer.body)
        return key, answer

    async def _flush(self) -> None:
        while self.queue:
            batches: dict[str, list[OutcomeRecord]] = {}
            for _ in range(min(BATCH, len(self.queue))):
                key, answer = self._take()
                # Built here, since encoding it would delay the answer to the caller.
                record = to_record(answer, key.encode(), key.expires_at_ms)
                if len(record.body) > MAX_BODY_BYTES:
                    record.body = b""
                    record.body_dropped = True
                batches.setdefault(key.backup_peer_address, []).append(record)
            for address, records in batches.items():
                sent = await self.send(address, records)
                self.counts["sent" if sent else "lost"] += len(records)

    def close(self) -> None:
        """Stops sending."""
        if self.task is not None:
            self.task.cancel()

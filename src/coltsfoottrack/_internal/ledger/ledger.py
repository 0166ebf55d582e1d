"""Records of idempotency keys at their home node: at most one run for each key."""

from asyncio import Future, get_running_loop, shield
from collections.abc import Awaitable, Callable
from hashlib import blake2b
from secrets import randbits, token_bytes
from time import time

from coltsfoottrack._internal.calls.context import CallContext
from coltsfoottrack._internal.calls.exceptions import InvalidKeyError
from coltsfoottrack._internal.calls.identifiers import IdempotencyKey
from coltsfoottrack._internal.calls.outcome import Answer, Outcome, Reason, refused, unknown
from coltsfoottrack._internal.ledger.exceptions import KeysExhaustedError
from coltsfoottrack._internal.observability.invariants import Invariant, InvariantChecker

MAX_OPEN_RECORDS = 20_000
DIGEST_BYTES = 16

Runner = Callable[[CallContext, bytes], Awaitable[Answer]]


def request_digest(service: str, operation: str, body: bytes) -> bytes:
    """Returns a digest that names a request by what it asks for."""
    hasher = blake2b(digest_size=DIGEST_BYTES)
    for part in (service.encode(), operation.encode(), body):
        hasher.update(len(part).to_bytes(8, "big"))
        hasher.update(part)
    return hasher.digest()


class KeyRecord:
    """What the home knows about one key that has been used."""

    def __init__(self, digest: bytes, expires_at_ms: int) -> None:
        self.digest = digest
        self.expires_at_ms = expires_at_ms
        self.answer: Future[Answer] = get_running_loop().create_future()
        self.dispatched = False


class Ledger:
    """Issues keys and decides, alone and finally, what becomes of each of them."""

    def __init__(
        self,
        service: str,
        home: str,
        home_call_address: str,
        home_peer_address: str,
        checker: InvariantChecker,
    ) -> None:
        self.service = service
        self.home = home
        self.home_call_address = home_call_address
        self.home_peer_address = home_peer_address
        self.checker = checker
        self.incarnation = randbits(63)
        self.secret = token_bytes(32)
        self.records: dict[int, KeyRecord] = {}
        self.next_number = 1

    def issue(self, lifetime_ms: float, backup_peer_address: str = "") -> str:
        """Returns a new key that is valid for the given time.

        Raises KeysExhaustedError while the ledger is full.
        """
        if len(self.records) >= MAX_OPEN_RECORDS:
            self.forget_expired()
        if len(self.records) >= MAX_OPEN_RECORDS:
            raise KeysExhaustedError(f"{len(self.records)} keys are open")
        key = IdempotencyKey(
            service=self.service,
            home=self.home,
            home_call_address=self.home_call_address,
            home_peer_address=self.home_peer_address,
            incarnation=self.incarnation,
            backup_peer_address=backup_peer_address,
            number=self.next_number,
            expires_at_ms=int(time() * 1000 + lifetime_ms),
        )
        self.next_number += 1
        return key.sign(self.secret).encode()

    def is_home(self, key: IdempotencyKey) -> bool:
        """Tells whether this node process issued the key."""
        return key.incarnation == self.incarnation

    async def run(self, context: CallContext, body: bytes, runner: Runner) -> Answer:
        """Runs a request under its key unless the key was used before.

        A second copy waits for the first one's answer. The run goes on when a caller has gone,
        so that a copy sent later learns the outcome.
        """
        try:
            key = IdempotencyKey.parse(context.idempotency_key)
        except InvalidKeyError as error:
            return refused(Reason.KEY_INVALID, text=str(error))
        if not self.is_home(key):
            return unknown(Reason.HOME_GONE, copy_dispatched=False)
        if not key.is_signed_by(self.secret) or key.service != context.service:
            return refused(Reason.KEY_INVALID, text="key was not issued by this node")
        digest = request_digest(context.service, context.operation, body)
        record = self.records.get(key.number)
        if record is not None:
            if record.digest != digest:
                return refused(Reason.KEY_REUSED, text="key was used for another request")
            return await shield(record.answer)
        if key.expires_at_ms <= time() * 1000:
            # Expired records are forgotten, so the key may have been used.
            return unknown(Reason.KEY_EXPIRED)
        record = KeyRecord(digest, key.expires_at_ms)
        self.records[key.number] = record
        task = get_running_loop().create_task(self._run_once(record, context, body, runner))
        task.add_done_callback(lambda done: done.exception())
        return await shield(record.answer)

    async def _run_once(
        self, record: KeyRecord, context: CallContext, body: bytes, runner: Runner
    ) -> None:
        self.checker.check(
            not record.dispatched, Invariant.AT_MOST_ONCE, f"{context.request_id} dispatched twice"
        )
        record.dispatched = True
        try:
            answer = await runner(context, body)
        except BaseException:
            record.answer.set_result(unknown(Reason.CONNECTION_LOST))
            raise
        record.answer.set_result(answer)

    def forget_expired(self) -> None:
        """Drops the records of expired keys that have an outcome."""
        now_ms = time() * 1000
        for number, record in list(self.records.items()):
            if record.expires_at_ms > now_ms or not record.answer.done():
                continue
            del self.records[number]

    def unknown_outcomes(self) -> int:
        """Counts the kept records whose outcome is unknown."""
        count = 0
        for record in self.records.values():
            if not record.answer.done() or record.answer.cancelled():
                continue
            if record.answer.result().outcome is Outcome.UNKNOWN:
                count += 1
        return count

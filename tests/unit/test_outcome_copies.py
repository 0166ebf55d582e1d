"""Copies of outcomes at a backup node: bandwidth budget and reported outcomes."""

from asyncio import sleep
from collections import Counter
from random import Random
from unittest import TestCase

from hypothesis import given
from hypothesis import strategies as st

from coltsfoottrack._internal.calls.identifiers import IdempotencyKey
from coltsfoottrack._internal.calls.outcome import Answer, Outcome, Reason, failed
from coltsfoottrack._internal.calls.outcome_records import from_record
from coltsfoottrack._internal.experiment.virtual_time import VirtualLoop
from coltsfoottrack._internal.ledger.outcome_copies import (
    BURST_BYTES,
    BYTES_PER_SECOND,
    MAX_QUEUED,
    RPC_BYTES,
    CopySender,
    OutcomeCopies,
)
from coltsfoottrack._internal.membership.backup import BackupSelector
from coltsfoottrack._internal.membership.table import MembershipTable, member_id
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import (
    MEMBER_STATUS_DEAD,
    PRIORITY_CRITICAL,
    PRIORITY_NORMAL,
    OutcomeBatch,
)
from tests.unit.fakes import make_member

SEED = 43
SECRET = b"s" * 32
LIFETIME_MS = 300_000


class SimulatedHome:
    """A home that sends copies to one backup over a link that may lose batches."""

    def __init__(self) -> None:
        self.loop = VirtualLoop()
        self.random = Random(SEED)
        self.is_throttled = False
        self.sender = CopySender(self.store, lambda: self.is_throttled)
        self.copies = OutcomeCopies(self.wall_ms)
        self.link_broken = False
        self.bytes_by_second: Counter[int] = Counter()
        self.keys: list[IdempotencyKey] = []

    def wall_ms(self) -> int:
        return int(self.loop.time() * 1000)

    async def store(self, _address: str, batch: OutcomeBatch) -> bool:
        self.bytes_by_second[int(self.loop.time())] += RPC_BYTES + batch.ByteSize()
        if self.link_broken:
            return False
        self.copies.store(OutcomeBatch.FromString(batch.SerializeToString()))
        return True

    async def finish_call(self, answer: Answer, priority: int = PRIORITY_NORMAL) -> str:
        number = len(self.keys) + 1
        expiry = self.wall_ms() + LIFETIME_MS
        key = IdempotencyKey("s", "s/a", "a:1", "a:2", 77, "b:2", number, expiry).sign(SECRET)
        self.keys.append(key)
        self.sender.enqueue(key, answer, priority)
        return key.encode()

    def run_call(self, answer: Answer, priority: int = PRIORITY_NORMAL) -> str:
        return self.loop.run_until_complete(self.finish_call(answer, priority))

    def wait(self, seconds: float) -> None:
        self.loop.run_until_complete(sleep(seconds))

    def reported(self, key: str) -> Answer | None:
        """Returns the outcome that the backup reports after the home has failed."""
        record = self.copies.find(key)
        return None if record is None else from_record(record)


class OutcomeCopiesTest(TestCase):
    """Guards against false outcomes from a backup and against copies over the budget."""

    def setUp(self) -> None:
        self.home = SimulatedHome()
        self.addCleanup(self.home.loop.close)

    def answer(self, size: int = 200) -> Answer:
        return Answer(Outcome.DONE, body=self.home.random.randbytes(size))

    def test_complete_answer_is_copied(self) -> None:
        """Guards against copies that lack a part of the answer."""
        answer = self.answer()._replace(status=201, content_type="text/plain")
        key = self.home.run_call(answer)
        error = self.home.run_call(failed(Reason.BACKEND_ERROR, b"broken"))
        self.home.wait(3)
        self.assertEqual(self.home.reported(key), answer)
        self.assertEqual(self.home.reported(error), failed(Reason.BACKEND_ERROR, b"broken"))

    def test_answer_without_its_body_is_never_reported_as_done(self) -> None:
        """Guards against an empty body that is reported to the caller as the answer."""
        key = self.home.run_call(self.answer(5000))
        error = self.home.run_call(failed(Reason.BACKEND_ERROR, b"x" * 5000))
        self.home.wait(3)
        reported = self.home.reported(key)
        self.assertEqual(
            (reported.outcome, reported.reason), (Outcome.UNKNOWN, Reason.ANSWER_DROPPED)
        )
        reported = self.home.reported(error)
        self.assertEqual(
            (reported.outcome, reported.reason), (Outcome.FAILED, Reason.ANSWER_DROPPED)
        )

    def test_copies_stay_within_the_budget_and_name_every_key(self) -> None:
        """Guards against copies over the budget, and against keys left out when it is spent."""
        for rate in (5, 15, 50, 150):
            home = SimulatedHome()
            keys = []
            for _ in range(20 * rate):
                keys.append(home.run_call(self.answer()))
                home.wait(1 / rate)
            home.wait(5)
            with self.subTest(rate):
                total = sum(home.bytes_by_second.values())
                self.assertLessEqual(total, 25 * BYTES_PER_SECOND + BURST_BYTES)
                reported = Counter(home.reported(key).reason for key in keys)
                self.assertEqual(reported.total(), len(keys))
                self.assertLessEqual(set(reported), {Reason.NONE, Reason.ANSWER_DROPPED})
            home.loop.close()

    def test_answers_are_left_out_while_membership_needs_the_bandwidth(self) -> None:
        """Guards against copies and member changes that together exceed the bandwidth limit."""
        self.home.is_throttled = True
        keys = []
        for _ in range(300):
            keys.append(self.home.run_call(self.answer()))
            self.home.wait(1 / 15)
        self.home.wait(6)
        # The limit of 2,000 bytes/s minus the 1,600 that membership may use meanwhile.
        self.assertLessEqual(sum(self.home.bytes_by_second.values()), 26 * 400)
        self.assertEqual({self.home.reported(key).reason for key in keys}, {Reason.ANSWER_DROPPED})

    def test_critical_answers_are_sent_first(self) -> None:
        """Guards against critical answers that are left out in favour of others."""
        keys = {PRIORITY_NORMAL: [], PRIORITY_CRITICAL: []}
        for index in range(1000):
            priority = PRIORITY_NORMAL if index % 50 else PRIORITY_CRITICAL
            keys[priority].append(self.home.run_call(self.answer(), priority))
            self.home.wait(0.02)
        self.home.wait(5)
        whole = {}
        for priority, priority_keys in keys.items():
            found = [self.home.reported(key).outcome is Outcome.DONE for key in priority_keys]
            whole[priority] = sum(found) / len(found)
        self.assertEqual(whole[PRIORITY_CRITICAL], 1.0)
        self.assertLess(whole[PRIORITY_NORMAL], 0.2)

    def test_full_queue_drops_critical_outcomes_last(self) -> None:
        """Guards against an unbounded queue, and against drops that are not counted."""

        async def fill() -> tuple[str, str]:
            critical = await self.home.finish_call(self.answer(), PRIORITY_CRITICAL)
            normal = await self.home.finish_call(self.answer())
            for _ in range(MAX_QUEUED + 98):
                await self.home.finish_call(self.answer())
            return critical, normal

        critical, normal = self.home.loop.run_until_complete(fill())
        self.assertEqual(self.home.sender.counts["dropped"], 100)
        self.home.wait(60)
        self.assertEqual(self.home.reported(critical).outcome, Outcome.DONE)
        self.assertIsNone(self.home.reported(normal))

    def test_lost_batch_leaves_its_keys_without_outcome(self) -> None:
        """Guards against an outcome that is reported for a copy that never arrived."""
        self.home.link_broken = True
        lost = self.home.run_call(self.answer())
        self.home.wait(3)
        self.home.link_broken = False
        kept = self.home.run_call(self.answer())
        self.home.wait(3)
        self.assertIsNone(self.home.reported(lost))
        self.assertEqual(self.home.reported(kept).outcome, Outcome.DONE)
        self.assertEqual(self.home.sender.counts["lost"], 1)

    def test_close_sends_all_queued_outcomes(self) -> None:
        """Guards against outcomes lost in a graceful shutdown because the budget was spent."""
        keys = [self.home.run_call(self.answer()) for _ in range(30)]
        self.home.loop.run_until_complete(self.home.sender.close())
        self.assertNotIn(None, [self.home.reported(key) for key in keys])

    def test_forged_key_gets_no_answer(self) -> None:
        """Guards against callers that get the answers of others by guessing key numbers."""
        self.home.run_call(self.answer())
        self.home.wait(3)
        forged = self.home.keys[0].sign(b"another secret".ljust(32)).encode()
        self.assertIsNone(self.home.reported(forged))
        self.assertIsNone(self.home.reported("no key"))

    def test_copies_are_dropped_on_expiry_and_at_the_memory_limit(self) -> None:
        """Guards against a backup whose memory grows without bound."""
        self.home.copies.max_bytes = 10_000
        for _ in range(300):
            self.home.run_call(self.answer())
            self.home.wait(0.5)
        self.assertLessEqual(self.home.copies.stored_bytes, 10_000)
        last = self.home.keys[-1].encode()
        self.home.wait(3)
        self.assertIsNotNone(self.home.reported(last))
        self.home.wait(LIFETIME_MS / 1000)
        self.home.copies.drop_expired()
        self.assertEqual((self.home.copies.stored_bytes, self.home.copies.batches), (0, {}))

    @given(st.binary(max_size=60), st.lists(st.integers(0, 2**64 - 1), max_size=4))
    def test_damaged_batch_gives_no_false_outcome(self, content: bytes, steps: list[int]) -> None:
        """Guards against a damaged batch that raises an error or gives a false outcome."""
        home = SimulatedHome()
        batch = OutcomeBatch(
            incarnation=77, expires_at_ms=2**62, answers=content, failed_steps=steps
        )
        home.copies.store(batch)
        key = IdempotencyKey("s", "s/a", "a:1", "a:2", 77, "b:2", 2**62 + 5, 1).sign(SECRET)
        reported = home.reported(key.encode())
        self.assertTrue(reported is None or reported.outcome is Outcome.FAILED)
        home.loop.close()


class BackupSelectorTest(TestCase):
    """Selection of backup nodes on the hash ring."""

    def test_each_node_backs_up_few_homes(self) -> None:
        """Guards against one backup for many homes, whose copies would exceed its memory."""
        table = MembershipTable()
        for index in range(40):
            member = make_member(index)
            member.service = "stores"
            member.failure_domain = f"domain-{index % 6}"
            table.merge(member)
        loads: Counter[str] = Counter()
        for member in table.members.values():
            selector = BackupSelector(table, "stores", member_id(member), member.failure_domain)
            loads[selector.choose()] += 1
        self.assertLessEqual(max(loads.values()), 4)

    def test_selection_changes_when_the_backup_dies(self) -> None:
        """Guards against keys that name a dead backup."""
        table = MembershipTable()
        for index in range(6):
            member = make_member(index)
            member.service = "stores"
            member.failure_domain = f"domain-{index % 3}"
            table.merge(member)
        selector = BackupSelector(table, "stores", "stores/n0", "domain-0")
        first = selector.choose()
        for member in list(table.members.values()):
            dead = make_member(0)
            dead.CopyFrom(member)
            dead.status = MEMBER_STATUS_DEAD
            if first == f"{member.address}:{member.peer_port}":
                table.merge(dead)
        selector.refresh_at = 0.0
        self.assertNotIn(selector.choose(), ("", first))

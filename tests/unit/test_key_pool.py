"""Pool of unused idempotency keys for later calls."""

from time import monotonic
from unittest import IsolatedAsyncioTestCase

from coltsfoottrack._internal.calls.budget import AttemptBudget
from coltsfoottrack._internal.calls.context import CallContext
from coltsfoottrack._internal.calls.deadline import Deadline
from coltsfoottrack._internal.calls.identifiers import IdempotencyKey
from coltsfoottrack._internal.configuration.policy import PolicyTable
from coltsfoottrack._internal.events.clock import HybridClock
from coltsfoottrack._internal.membership.table import MembershipTable
from coltsfoottrack._internal.routing.http_connection import HttpReply
from coltsfoottrack._internal.routing.keys import KEY_BATCH, KeyPool, UnusedKey
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import (
    MEMBER_STATUS_ALIVE,
    FleetConfiguration,
    Member,
)

ADDRESS = "127.0.0.1:7"
CONTEXT = CallContext("stores", "order", "r", "c", Deadline.after_ms(60_000), AttemptBudget(0))


class KeyPoolTest(IsolatedAsyncioTestCase):
    """Guards against the use of keys for which the home can only report unknown."""

    def setUp(self) -> None:
        self.incarnation = 1
        self.issued = 0
        members = MembershipTable()
        self.members = members
        self.announce()
        policies = PolicyTable(FleetConfiguration())
        self.pool = KeyPool(
            "test", HybridClock(), self, lambda _service, _tried: ADDRESS, members, lambda: policies
        )

    def announce(self) -> None:
        self.members.merge(
            Member(
                service="stores",
                name="a",
                address="127.0.0.1",
                call_port=7,
                incarnation=self.incarnation,
                start_order=self.incarnation,
                status=MEMBER_STATUS_ALIVE,
                backend_ready=True,
            )
        )

    async def send(self, *_request: object) -> HttpReply:
        """Answers as the home, which issues a batch of keys."""
        keys = []
        for _ in range(KEY_BATCH):
            self.issued += 1
            key = IdempotencyKey(
                "stores", "stores/a", ADDRESS, ADDRESS, self.incarnation, "", self.issued, 2**42
            )
            keys.append(key.encode())
        return HttpReply(200, {}, "\n".join(keys).encode())

    async def take(self) -> IdempotencyKey:
        return IdempotencyKey.parse(await self.pool.take(CONTEXT))

    async def test_held_keys_are_handed_out_once(self) -> None:
        numbers = {(await self.take()).number for _ in range(KEY_BATCH)}
        self.assertEqual((len(numbers), self.issued), (KEY_BATCH, KEY_BATCH))

    async def test_keys_of_a_replaced_process_are_dropped(self) -> None:
        await self.take()
        self.incarnation = 2
        self.announce()
        self.assertEqual((await self.take()).incarnation, 2)

    async def test_old_keys_are_dropped(self) -> None:
        await self.take()
        held = self.pool.keys["stores"]
        self.pool.keys["stores"] = [UnusedKey(key.text, monotonic() - 200.0) for key in held]
        self.assertGreater((await self.take()).number, KEY_BATCH)

    async def test_keys_of_an_unavailable_home_are_dropped(self) -> None:
        await self.take()
        self.pool.is_unavailable = lambda name: name == "stores/a"
        self.assertGreater((await self.take()).number, KEY_BATCH)

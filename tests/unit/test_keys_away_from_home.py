"""Requests with an idempotency key at a node that is not the home of the key."""

from asyncio import StreamReader, StreamWriter, start_server
from random import Random
from unittest import IsolatedAsyncioTestCase

from coltsfoottrack._internal.calls.budget import AttemptBudget
from coltsfoottrack._internal.calls.context import CallContext
from coltsfoottrack._internal.calls.deadline import Deadline
from coltsfoottrack._internal.calls.identifiers import IdempotencyKey
from coltsfoottrack._internal.calls.outcome import Answer, Outcome, Reason
from coltsfoottrack._internal.calls.outcome_records import CallState, Settlement
from coltsfoottrack._internal.configuration.policy import PolicyTable
from coltsfoottrack._internal.events.clock import HybridClock
from coltsfoottrack._internal.events.ring import EventRing
from coltsfoottrack._internal.membership.table import MembershipTable
from coltsfoottrack._internal.observability.invariants import InvariantChecker
from coltsfoottrack._internal.routing.router import Router
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import (
    MEMBER_STATUS_ALIVE,
    FleetConfiguration,
    Member,
)


def make_keyed_context(address: str, deadline_ms: int = 500) -> CallContext:
    key = IdempotencyKey("stores", "stores/a", address, address, 1, address, 1, 2**42, "x")
    return CallContext(
        service="stores",
        operation="order",
        request_id="r",
        call_id="c",
        deadline=Deadline.after_ms(deadline_ms),
        budget=AttemptBudget(0),
        idempotency_key=key.encode(),
    )


class ScriptedPeers:
    """Answers Settle and FetchOutcome in place of a home and a backup."""

    def __init__(self, settlement: Settlement, copy: Answer | None) -> None:
        self.settlement = settlement
        self.copy = copy

    async def settle(self, _address: str, _request: object) -> Settlement:
        """Answers as the home."""
        return self.settlement

    async def fetch(self, _address: str, _key: str) -> Answer | None:
        """Answers as the backup."""
        return self.copy


class KeyAtOtherNodeTest(IsolatedAsyncioTestCase):
    """Guards against requests to forged addresses, and against refusals made without the home.

    Only the home can report that a request under its key did not run.
    """

    async def asyncSetUp(self) -> None:
        self.connections = 0
        self.server = await start_server(self.accept, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        clock = HybridClock()
        self.router = Router(
            cluster="test",
            members=MembershipTable(),
            policies=lambda: PolicyTable(FleetConfiguration()),
            clock=clock,
            ring=EventRing("test", clock),
            random=Random(1),
            checker=InvariantChecker(),
        )

    async def asyncTearDown(self) -> None:
        await self.router.close()
        self.server.close()

    async def accept(self, _reader: StreamReader, writer: StreamWriter) -> None:
        self.connections += 1
        writer.close()

    async def test_request_with_a_key_of_an_unknown_home_is_not_sent(self) -> None:
        answer = await self.router.call(make_keyed_context(f"127.0.0.1:{self.port}"), b"body")
        self.assertEqual((answer.outcome, answer.reason), (Outcome.UNKNOWN, Reason.HOME_GONE))
        self.assertFalse(answer.copy_dispatched)
        self.assertEqual(self.connections, 0)

    async def test_known_home_is_contacted_even_if_its_service_sheds(self) -> None:
        member = Member(
            service="stores",
            name="a",
            address="127.0.0.1",
            call_port=self.port,
            status=MEMBER_STATUS_ALIVE,
            backend_ready=True,
        )
        self.router.members.merge(member)
        address = f"127.0.0.1:{self.port}"
        # Two reports, since a node under early refusal sometimes lets a call through as a probe.
        for _ in range(2):
            self.router.levels.record("stores/order", address, 700)
            answer = await self.router.call(make_keyed_context(address), b"body")
            self.assertEqual(answer.outcome, Outcome.UNKNOWN)
        self.assertEqual(self.connections, 2)

    async def test_passed_deadline_is_not_reported_as_refused(self) -> None:
        answer = await self.router.call(make_keyed_context("127.0.0.1:9", deadline_ms=0), b"body")
        self.assertEqual((answer.outcome, answer.reason), (Outcome.UNKNOWN, Reason.DEADLINE))
        self.assertFalse(answer.copy_dispatched)

    async def test_backup_is_queried_if_another_process_has_the_address_of_the_home(self) -> None:
        # The process that now has the home's address has no record of the key.
        finished = Answer(Outcome.DONE, body=b"whole")
        peers = ScriptedPeers(Settlement(CallState.UNCERTAIN), finished)
        self.router.exchange.outcome_client = peers
        member = Member(
            service="stores",
            name="a",
            address="127.0.0.1",
            call_port=self.port,
            peer_port=self.port,
            status=MEMBER_STATUS_ALIVE,
            backend_ready=True,
        )
        self.router.members.merge(member)
        answer = await self.router.call(make_keyed_context(f"127.0.0.1:{self.port}"), b"body")
        self.assertEqual((answer.outcome, answer.body), (Outcome.DONE, b"whole"))
        # A copy lists no used services, which must not count as a run that needed none.
        self.assertNotIn("stores/order", self.router.absent_services.dependencies)

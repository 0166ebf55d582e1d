"""Addresses inside idempotency keys, which come from outside."""

from asyncio import StreamReader, StreamWriter, start_server
from random import Random
from unittest import IsolatedAsyncioTestCase

from coltsfoottrack._internal.calls.budget import AttemptBudget
from coltsfoottrack._internal.calls.context import CallContext
from coltsfoottrack._internal.calls.deadline import Deadline
from coltsfoottrack._internal.calls.identifiers import IdempotencyKey
from coltsfoottrack._internal.calls.outcome import Outcome, Reason
from coltsfoottrack._internal.configuration.policy import PolicyTable
from coltsfoottrack._internal.events.clock import HybridClock
from coltsfoottrack._internal.events.ring import EventRing
from coltsfoottrack._internal.membership.table import MembershipTable
from coltsfoottrack._internal.observability.invariants import InvariantChecker
from coltsfoottrack._internal.routing.router import Router
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import FleetConfiguration


class KeyAddressTest(IsolatedAsyncioTestCase):
    """Guards against a made-up key that makes a node connect to an address of the caller's."""

    async def test_key_of_an_unknown_home_is_sent_nowhere(self) -> None:
        connections = []

        async def accept(_reader: StreamReader, writer: StreamWriter) -> None:
            connections.append(writer)
            writer.close()

        server = await start_server(accept, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        clock = HybridClock()
        router = Router(
            cluster="test",
            members=MembershipTable(),
            policies=lambda: PolicyTable(FleetConfiguration()),
            clock=clock,
            ring=EventRing("test", clock),
            random=Random(1),
            checker=InvariantChecker(),
        )
        key = IdempotencyKey("stores", "stores/a", address, address, 1, address, 1, 2**42, "x")
        context = CallContext(
            service="stores",
            operation="order",
            request_id="r",
            call_id="c",
            deadline=Deadline.after_ms(500),
            budget=AttemptBudget(0),
            idempotency_key=key.encode(),
        )
        answer = await router.call(context, b"body")
        await router.close()
        server.close()
        self.assertEqual((answer.outcome, answer.reason), (Outcome.UNKNOWN, Reason.HOME_GONE))
        self.assertFalse(answer.copy_dispatched)
        self.assertEqual(connections, [])

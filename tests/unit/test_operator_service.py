"""Operator and Backend gRPC services of a node in this process."""

from asyncio import create_task, wait_for
from unittest import IsolatedAsyncioTestCase

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.testing import ChannelFor

from coltsfoottrack._internal.calls.context import PROTOCOL_VERSION
from coltsfoottrack._internal.cli.fleet_client import FleetClient, NodeAnswer
from coltsfoottrack._internal.cli.status_document import build_status
from coltsfoottrack._internal.cli.status_report import status_lines
from coltsfoottrack._internal.node.admin_server import refresh_gauges
from coltsfoottrack._internal.node.backend_service import MAX_REPORTED_EVENTS, BackendService
from coltsfoottrack._internal.node.change_events import ChangeRecorder
from coltsfoottrack._internal.node.operator_service import OperatorService, status_reply
from coltsfoottrack._internal.node.state import NodeState
from coltsfoottrack._internal.observability.invariants import Invariant
from coltsfoottrack._internal.routing.client import CallClient
from coltsfoottrack._internal.schema.coltsfoottrack_grpc import BackendStub, OperatorStub
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import (
    AnnounceRequest,
    ConfigurationRecord,
    DrainRequest,
    Envelope,
    Event,
    EventsRequest,
    NodeSettings,
    ReportEventsRequest,
    StatusRequest,
)


def envelope(cluster: str = "demo", version: int = PROTOCOL_VERSION) -> Envelope:
    return Envelope(cluster=cluster, protocol_version=version, sender="operator test")


class OperatorServiceTest(IsolatedAsyncioTestCase):
    """Guards against nodes that hide problems or obey an operator of another cluster."""

    async def asyncSetUp(self) -> None:
        settings = NodeSettings(cluster="demo", name="a", service="stores", address="127.0.0.1")
        self.state = NodeState.from_config(settings)
        self.state.ready = True

    async def asyncTearDown(self) -> None:
        await self.state.close()

    async def test_messages_of_another_cluster_or_version_are_refused(self) -> None:
        cases = (
            (envelope("prod"), "message of cluster 'prod', this is 'demo'"),
            (envelope(version=9), "protocol version 9, this node speaks 1"),
        )
        async with ChannelFor([OperatorService(self.state)]) as channel:
            stub = OperatorStub(channel)
            for foreign, text in cases:
                for call, request in (
                    (stub.Status, StatusRequest(envelope=foreign)),
                    (stub.Events, EventsRequest(envelope=foreign)),
                    (stub.Drain, DrainRequest(envelope=foreign)),
                ):
                    with self.assertRaises(GRPCError) as caught:
                        await call(request)
                    self.assertEqual(caught.exception.status, Status.FAILED_PRECONDITION)
                    self.assertEqual(caught.exception.message, text)
            with self.assertRaises(GRPCError):
                await stub.Drain(DrainRequest())
            reply = await stub.Status(StatusRequest())
        self.assertEqual((reply.envelope.cluster, self.state.drain.is_leaving), ("demo", False))

    async def test_reported_events_are_limited_and_gaps_are_shown(self) -> None:
        events = [Event(kind="retry", node="stores/b") for _ in range(MAX_REPORTED_EVENTS + 50)]
        async with ChannelFor([BackendService(self.state), OperatorService(self.state)]) as channel:
            request = ReportEventsRequest(envelope=envelope(), events=events, dropped=7)
            await BackendStub(channel).ReportEvents(request)
            stub = OperatorStub(channel)
            all_of_them = await stub.Events(EventsRequest(envelope=envelope(), limit=4096))
            some = await stub.Events(EventsRequest(envelope=envelope(), kind="retry", limit=10))
        self.assertEqual(all_of_them.events[0].kind, "gap")
        self.assertEqual({event.node for event in all_of_them.events}, {"stores/a"})
        self.assertEqual(len(all_of_them.events), MAX_REPORTED_EVENTS + 1)
        self.assertEqual((len(some.events), some.left_out), (10, MAX_REPORTED_EVENTS - 10))

    async def test_status_shows_shedding_violations_and_unconfirmed_configuration(self) -> None:
        state = self.state
        state.refusals.count("sheddable", "overload")
        state.checker.check(False, Invariant.SHED_ORDER, "test")
        state.configuration.report_unreadable("generation 9: nonsense", "test")
        fleet = FleetClient(["127.0.0.1:1"], [])
        answers = [
            NodeAnswer("127.0.0.1:1", "stores/a", status_reply(state)),
            NodeAnswer("127.0.0.1:2", "stores/b", None, "no answer within 2 s"),
        ]
        text = "\n".join(status_lines(build_status(fleet, answers)))
        for part in (
            "VIOLATION shed_order at stores/a: 1 since",
            "UNREACHABLE stores/b at 127.0.0.1:2: no answer within 2 s",
            "SHED stores: sheddable, reason overload, 1 in all, since",
            "UNCONFIRMED configuration at stores/a: generation 0",
            "nonsense",
        ):
            self.assertIn(part, text)
        refresh_gauges(state)
        self.assertEqual(state.metrics.violations.get({"invariant": "shed_order"}), 1)

    async def announce(self, client: CallClient) -> None:
        """Makes a client announce itself to the node once."""
        async with ChannelFor([BackendService(self.state)]) as channel:
            client.node = BackendStub(channel)
            request = AnnounceRequest(service="stores", name="a", address="127.0.0.1", port=9)
            announced = self.state.backend.announced
            announcing = create_task(client.announce_forever(request))
            await wait_for(announced.wait(), 5.0)
            announcing.cancel()

    async def test_violations_of_the_embedded_client_are_reported_by_the_node(self) -> None:
        """Guards against violations that are visible only in a backend server's own log."""
        client = CallClient("demo", "stores/a", "127.0.0.1:9")
        client.checker.check(False, Invariant.BOUNDED_RETRIES, "test")
        client.checker.check(False, Invariant.BOUNDED_RETRIES, "test")
        # A duplicate report counts once.
        await self.announce(client)
        await self.announce(client)
        # The violations of an ended process remain.
        client.incarnation += 1
        client.checker.violations.clear()
        client.checker.check(False, Invariant.BOUNDED_RETRIES, "test")
        await self.announce(client)
        await client.close()
        reply = status_reply(self.state)
        self.assertEqual(reply.violations, 3)
        fleet = FleetClient(["127.0.0.1:1"], [])
        document = build_status(fleet, [NodeAnswer("127.0.0.1:1", "stores/a", reply)])
        self.assertIn(
            "VIOLATION bounded_retries at stores/a (embedded client): 3 since",
            "\n".join(status_lines(document)),
        )
        refresh_gauges(self.state)
        labels = {"invariant": "bounded_retries"}
        self.assertEqual(self.state.metrics.client_violations.get(labels), 3)
        self.assertEqual(self.state.metrics.violations.get(labels), 0)

    async def test_configuration_changes_are_recorded_as_events(self) -> None:
        recorder = ChangeRecorder(self.state)
        record = ConfigurationRecord(generation=4, change_id="c", author="operator x")
        self.state.configuration.offer(record, "test")
        recorder.compare()
        recorder.compare()
        details = [event.detail for event in self.state.ring.events]
        self.assertEqual(details, ["generation 4, change c, operator x"])

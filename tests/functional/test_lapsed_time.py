"""Processes that are paused or restarted while a call is in flight."""

from asyncio import create_task, run, sleep
from itertools import count
from pathlib import Path
from tempfile import TemporaryDirectory
from time import monotonic
from unittest import TestCase

from coltsfoottrack._internal.calls.context import CALL_ID, DEADLINE_MS, OUTCOME, REQUEST_ID
from coltsfoottrack._internal.calls.outcome_records import CallState, Settlement
from coltsfoottrack._internal.calls.peer_authentication import PeerAuthentication
from coltsfoottrack._internal.events.clock import HybridClock
from coltsfoottrack._internal.experiment.fleet import Fleet
from coltsfoottrack._internal.experiment.shapes import FleetShape, OperationShape, ServiceShape
from coltsfoottrack._internal.routing.exceptions import ConnectionLostError, NotSentError
from coltsfoottrack._internal.routing.outcome_client import PeerOutcomeClient
from coltsfoottrack._internal.routing.transport import HttpReply, Transport
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import PRIORITY_CRITICAL, SettleRequest

LOOKUP = OperationShape("lookup", PRIORITY_CRITICAL, True)
SHAPE = FleetShape("one", ("east",), (ServiceShape("stores", 1, 8, 5, (LOOKUP,)),), 1)
DEADLINE = 2000
WAIT_SECONDS = 20.0


class PausedProcessTest(TestCase):
    """Guards against work that starts after its deadline, and runs reported as not run."""

    def setUp(self) -> None:
        directory = TemporaryDirectory(prefix="coltsfoottrack-")
        self.addCleanup(directory.cleanup)
        self.fleet = Fleet.from_config(SHAPE, Path(directory.name))
        self.addCleanup(self.fleet.stop)
        self.fleet.start()
        (self.pair,) = self.fleet.pairs

    async def send(self, name: str) -> HttpReply | None:
        """Sends a call with its name as its Call-Id; returns None if the answer was lost."""
        headers = {REQUEST_ID: name, CALL_ID: name, DEADLINE_MS: str(DEADLINE)}
        transport = Transport()
        path = "/v1/services/stores/lookup"
        try:
            return await transport.send(
                "POST", self.pair.call_address, path, headers, b"", WAIT_SECONDS
            )
        except (NotSentError, ConnectionLostError):
            return None
        finally:
            await transport.close()

    def was_run(self, name: str) -> bool:
        log = self.fleet.run_log
        return log.exists() and f'"{name}"' in log.read_text(encoding="utf-8")

    async def settle(self, call_id: str, began: float) -> Settlement:
        outcome_client = PeerOutcomeClient("demo", HybridClock(), PeerAuthentication())
        expiry = monotonic() + WAIT_SECONDS
        while True:
            age_ms = int((monotonic() - began) * 1000.0) + 1
            request = SettleRequest(call_id=call_id, age_ms=age_ms)
            try:
                return await outcome_client.settle(self.pair.peer_address, request)
            except ConnectionLostError:
                self.assertLess(monotonic(), expiry, "the node does not answer")
                await sleep(0.1)

    def test_call_delayed_on_the_way_to_the_backend_server_does_not_start_late(self) -> None:
        """The remaining time that the node sent is outdated when the backend server reads it."""

        async def scenario() -> None:
            self.assertEqual((await self.send("in-time")).headers[OUTCOME], "done")
            self.fleet.pause(self.pair.backend_process)
            late = create_task(self.send("late"))
            await sleep(0.5)
            # A running node would close its connection at the deadline.
            self.fleet.pause(self.pair.node_process)
            await sleep(DEADLINE / 1000.0)
            self.fleet.resume(self.pair.backend_process)
            await sleep(1.0)
            self.fleet.resume(self.pair.node_process)
            await late

        run(scenario())
        self.assertTrue(self.was_run("in-time"))
        self.assertFalse(self.was_run("late"), "started after its deadline")

    def test_restarted_node_does_not_report_an_earlier_call_as_not_run(self) -> None:
        """A process that started after the call cannot know whether it ran."""

        async def scenario() -> None:
            began = monotonic()
            self.assertEqual((await self.send("before")).headers[OUTCOME], "done")
            self.fleet.kill(self.pair.node_process)
            self.fleet.restart(self.pair.node_process)
            settlement = await self.settle("before", began)
            self.assertIs(settlement.state, CallState.UNCERTAIN)
            # A node that always answered UNCERTAIN would pass too, so a later call must be closed.
            expiry = monotonic() + WAIT_SECONDS
            for number in count():
                settlement = await self.settle(f"after-{number}", monotonic())
                if settlement.state is CallState.CLOSED:
                    break
                self.assertLess(monotonic(), expiry, "no call is closed")
                await sleep(0.2)

        run(scenario())
        self.assertTrue(self.was_run("before"))

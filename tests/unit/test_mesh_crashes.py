"""Requests that crash the backend server, found by its next process or by a refused connection."""

from unittest import TestCase

from coltsfoottrack._internal.mesh.backend_state import Lifetime
from coltsfoottrack._internal.mesh.crash_watch import MAX_LOST_RUNS, CrashWatch
from coltsfoottrack._internal.mesh.decisions import DecisionLog, LineWriter
from coltsfoottrack._internal.mesh.runner_call import CallKey, RunnerCall
from coltsfoottrack._internal.schema.links_pb2 import Request
from tests.standins.mesh import MeshTestCase, encode

CRASHING = b"two pallets"


class CrashTest(MeshTestCase):
    """A node whose backend server is back before anything else is sent to it."""

    async def crash(self, number: int) -> int:
        """Sends the request and lets the backend server crash by it; returns the status."""
        node, backend = self.nodes[0], self.backends[0]
        backend.fault = "crash"
        before = backend.runs.total()
        request = encode("/order/", f"c{number}", "POST", CRASHING)
        status = (await self.send_request(node, request)).status
        if backend.runs.total() > before:
            backend.fault = ""
            await backend.restart()
            await backend.report(node.settings.report_address)
        return status

    # BUDGET: a crash counted only if a connection was refused before the server was back.
    async def test_request_is_quarantined_though_no_connection_was_refused(self):
        await self.start("one")
        await self.wait_for_members(1)
        self.assertEqual(await self.crash(1), 502)
        entries = self.nodes[0].runner.crash_watch.suspects.entries
        self.assertEqual([entry.crashes for entry in entries.values()], [1])
        self.assertEqual(await self.crash(2), 502)
        self.assertEqual(await self.crash(3), 503)
        self.assertEqual(self.backends[0].runs.total(), 2)

    async def test_lost_connection_of_a_server_that_goes_on_is_no_crash(self):
        """Guards against suspects for each answer that is lost."""
        await self.start("one")
        await self.wait_for_members(1)
        node, backend = self.nodes[0], self.backends[0]
        watch = node.runner.crash_watch
        backend.fault = "lose"
        await self.send_request(node, encode("/order/", "o1", "POST", b"x"))
        self.assertEqual(len(watch.lost), 1)
        backend.fault = ""
        await self.send_request(node, encode("/read/", "r1"))
        self.assertEqual(watch.lost, [])
        backend.started_ms += 1000
        await backend.report(node.settings.report_address)
        self.assertEqual(len(watch.suspects.entries), 0)

    async def test_server_that_left_has_not_crashed(self):
        """Guards against suspects after an end that was announced."""
        await self.start("one")
        await self.wait_for_members(1)
        node, backend = self.nodes[0], self.backends[0]
        backend.fault = "lose"
        await self.send_request(node, encode("/order/", "o1", "POST", b"x"))
        await backend.report(node.settings.report_address, "draining")
        backend.started_ms += 1000
        await backend.report(node.settings.report_address)
        self.assertEqual(len(node.runner.crash_watch.suspects.entries), 0)
        self.assertEqual(node.runner.crash_watch.lost, [])


class LostRunsTest(TestCase):
    """What is kept of lost runs."""

    def test_lost_runs_are_bounded(self):
        """Guards against memory that grows while a server loses all answers."""
        watch = CrashWatch(DecisionLog("node", LineWriter(2)))
        lifetime = Lifetime("i-1", 1)
        for number in range(MAX_LOST_RUNS + 50):
            message = Request(request_id=f"r{number}", route="read")
            call = RunnerCall(CallKey("node", 1, number), message, lambda done: None)
            call.lifetime = lifetime
            watch.connection_lost(call, 1.0)
        self.assertEqual(len(watch.lost), MAX_LOST_RUNS)
        self.assertEqual(watch.lost[-1].request_id, f"r{MAX_LOST_RUNS + 49}")

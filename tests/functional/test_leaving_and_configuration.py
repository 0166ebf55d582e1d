"""Draining, shutdown and a configuration change, with real processes on loopback."""

from asyncio import create_task, gather, open_connection, run, sleep, wait_for
from json import loads
from pathlib import Path
from tempfile import TemporaryDirectory
from time import monotonic, time
from unittest import TestCase

from coltsfoottrack._internal.calls.context import (
    DEADLINE_MS,
    IDEMPOTENCY_KEY,
    NODE_LEAVING,
    OUTCOME,
    REASON,
    REQUEST_ID,
)
from coltsfoottrack._internal.configuration.peers import operator_store
from coltsfoottrack._internal.experiment.fleet import LOOPBACK, READY_SECONDS, Fleet, NodePair
from coltsfoottrack._internal.experiment.load import LoadGenerator, Phase, RequestKind
from coltsfoottrack._internal.experiment.shapes import FleetShape, OperationShape, ServiceShape
from coltsfoottrack._internal.routing.exceptions import ConnectionLostError, NotSentError
from coltsfoottrack._internal.routing.transport import HttpReply, Transport
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import (
    PRIORITY_CRITICAL,
    PRIORITY_SHEDDABLE,
)

SEED = 5
GRACE_SECONDS = 3.0
# Announcements come every second; a call accepted in time may wait for its slot.
DISPATCH_MARGIN_SECONDS = 1.5
IN_FORCE_SECONDS = 6.0
LONG_DEADLINE_MS = 15_000
# The maximum that run_node states: grace period 3 s, longest deadline 15 s, and 16 s.
END_SECONDS = 34.0


def small_fleet(directory: Path) -> Fleet:
    lookup = OperationShape("lookup", PRIORITY_SHEDDABLE, True)
    order = OperationShape("order", PRIORITY_CRITICAL, False)
    service = ServiceShape("stores", 3, 8, 20, (lookup, order))
    shape = FleetShape("small", ("east", "west", "south"), (service,), 1)
    return Fleet.from_config(shape, directory)


class FleetTestCase(TestCase):
    """Starts three nodes with their backend servers for each test."""

    def setUp(self) -> None:
        directory = TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.fleet = small_fleet(Path(directory.name))
        self.addCleanup(self.fleet.stop)
        self.fleet.start()
        self.first, self.second, self.third = self.fleet.pairs
        self.wait_for_backend_servers()

    def wait_for_backend_servers(self) -> None:
        """Waits for the backend servers, as a signal must not reach one that is still starting."""
        expiry = monotonic() + READY_SECONDS
        for pair in self.fleet.pairs:
            url = f"http://{LOOPBACK}:{pair.admin_port}/ready"
            while self.fleet.http.request("GET", url, timeout=5.0).status != 200:
                self.assertLess(monotonic(), expiry, f"{pair.node_process} is not ready")
                run(sleep(0.05))

    def wait_for_end(self, process: str) -> int:
        return self.fleet.processes[process].wait(END_SECONDS)

    async def change_defaults(self, field: str, value: int) -> set[int]:
        """Changes the configuration as an operator does, then takes the platform down.

        Returns the generations in force at the nodes as soon as they agree, or at the latest
        after IN_FORCE_SECONDS.
        """
        store = operator_store([self.fleet.platform_address], self.fleet.cluster)
        base = await store.read()
        configuration = base.record.configuration
        setattr(configuration.defaults, field, value)
        result = await store.set(configuration, "tester", base)
        self.fleet.set_faults(down=True)
        self.assertTrue(result.accepted)
        expiry = monotonic() + IN_FORCE_SECONDS
        generations: set[int] = set()
        addresses = [pair.peer_address for pair in self.fleet.pairs]
        while generations != {2} and monotonic() < expiry:
            records = await gather(*(store.peers.fetch(address) for address in addresses))
            generations = {record.generation for record in records}
            await sleep(0.05)
        store.peers.close()
        return generations

    def violations(self) -> list[str]:
        found = []
        for log in sorted(self.fleet.directory.glob("node-*.log")):
            for line in log.read_text(encoding="utf-8").splitlines():
                if "invariant_violated" in line or "Traceback" in line:
                    found.append(line)
        return found

    def runs_at(self, pair: NodePair) -> list[float]:
        times = []
        for line in self.fleet.run_log.read_text(encoding="utf-8").splitlines():
            entry = loads(line)
            if entry["backend"] == pair.name:
                times.append(entry["wall"])
        return times


async def send(
    transport: Transport, pair: NodePair, operation: str, key: str = "", deadline_ms: int = 4000
) -> HttpReply | None:
    headers = {REQUEST_ID: f"{operation}-{monotonic()}", DEADLINE_MS: str(deadline_ms)}
    if key:
        headers[IDEMPOTENCY_KEY] = key
    path = f"/v1/services/stores/{operation}"
    try:
        return await transport.send("POST", pair.call_address, path, headers, b"", 20.0)
    except (NotSentError, ConnectionLostError):
        return None


class LeavingTest(FleetTestCase):
    """Invariants 6 and 7 while the platform is down and a peer receives nothing."""

    def test_leaving_node_refuses_new_work_itself(self) -> None:
        """Guards against a leaving node that relies on others to stop sending it work."""
        run(self.change_defaults("max_deadline_ms", LONG_DEADLINE_MS))
        self.fleet.set_faults(down=True)
        self.fleet.pause(self.third.node_process)
        leaver = self.first
        began, slow, answers = run(self._leave_with_a_slow_call(leaver))
        self.assertEqual(0, self.wait_for_end(leaver.node_process))
        self.assertEqual("done", slow.headers[OUTCOME], "the call in flight was cut off")
        last = began + GRACE_SECONDS + DISPATCH_MARGIN_SECONDS
        self.assertEqual([], [at for at in self.runs_at(leaver) if at > last])
        leaving = [reply for _, reply in answers if reply and NODE_LEAVING in reply.headers]
        self.assertTrue(leaving)
        refused = [reply for reply in leaving if reply.headers.get(REASON) == "leaving"]
        self.assertTrue(refused, "no call was refused after the grace period")
        self.assertEqual([], self.violations())

    async def _leave_with_a_slow_call(self, leaver: NodePair) -> tuple:
        transport = Transport()
        self.fleet.slow_backend(leaver, 300.0)
        slow = create_task(send(transport, leaver, "lookup", deadline_ms=LONG_DEADLINE_MS))
        await sleep(0.3)
        self.fleet.slow_backend(leaver, 1.0)
        self.fleet.terminate(leaver.node_process)
        began = time()
        answers = []
        while time() - began < GRACE_SECONDS + 1.0:
            answers.append((time(), await send(transport, leaver, "lookup", deadline_ms=1000)))
            await sleep(0.05)
        reply = await slow
        await transport.close()
        return began, reply, answers

    def test_leaving_node_serves_in_its_grace_period_and_closes_connections(self) -> None:
        """Guards against a closed port for callers that do not know yet that the node is leaving.

        With no call in flight only the grace period keeps the port open. A connection that stayed
        open would be reset when the node exits.
        """
        statuses, kept, closed = run(self._call_in_grace_period())
        self.assertIn(b"Outcome: done", kept)
        self.assertNotIn(b"connection: close", kept.lower())
        self.assertIn(b"Node-Leaving: yes", closed)
        self.assertIn(b"connection: close", closed.lower())
        self.assertTrue(statuses, "no call was answered within the grace period")
        self.assertEqual({"done"}, set(statuses))
        self.assertEqual(0, self.wait_for_end(self.first.node_process))
        self.assertEqual([], self.violations())

    async def _call_in_grace_period(self) -> tuple[list[str], bytes, bytes]:
        """Returns the outcomes in the grace period, and two answers on one connection."""
        reader, writer = await open_connection(LOOPBACK, self.first.call_port)
        call = b"POST /v1/services/stores/lookup HTTP/1.1\r\nHost: n\r\nContent-Length: 0\r\n\r\n"
        writer.write(call)
        kept = await reader.readuntil(b"\r\n\r\n")
        length = int(kept.lower().split(b"content-length:")[1].split()[0])
        await reader.readexactly(length)
        self.fleet.terminate(self.first.node_process)
        began = monotonic()
        transport = Transport()
        outcomes = []
        leaving = False
        while not leaving:
            reply = await send(transport, self.first, "lookup")
            self.assertIsNotNone(reply, "the port was closed at once")
            leaving = NODE_LEAVING in reply.headers
        # read() returns when the node closes the connection after its answer.
        writer.write(call)
        closed = await wait_for(reader.read(), END_SECONDS)
        writer.close()
        while monotonic() - began < GRACE_SECONDS - 1.0:
            reply = await send(transport, self.first, "lookup")
            # Late answers are ignored, as the machine may have been busy.
            if monotonic() - began < GRACE_SECONDS - 1.0:
                outcomes.append("port closed" if reply is None else reply.headers[OUTCOME])
            await sleep(0.05)
        await transport.close()
        return outcomes, kept, closed

    def test_draining_backend_server_gets_no_new_work(self) -> None:
        """Guards against work for a backend server that announced that it is draining."""
        self.fleet.set_faults(down=True)
        self.fleet.terminate(self.first.backend_process)
        began = time()

        async def keep_calling() -> list[HttpReply | None]:
            transport = Transport()
            replies = []
            while time() - began < GRACE_SECONDS + 2.0:
                replies.append(await send(transport, self.second, "lookup"))
                replies.append(await send(transport, self.first, "lookup"))
                await sleep(0.02)
            await transport.close()
            return replies

        replies = run(keep_calling())
        self.assertNotIn(None, replies)
        self.assertTrue([r for r in replies if r.headers.get(NODE_LEAVING)])
        refused = [r for r in replies if r.headers.get(REASON) == "leaving"]
        self.assertTrue(refused, "no call was refused after the grace period")
        last = began + 1.0 + GRACE_SECONDS + DISPATCH_MARGIN_SECONDS
        self.assertEqual([], [at for at in self.runs_at(self.first) if at > last])
        self.assertEqual(0, self.wait_for_end(self.first.backend_process))
        self.assertEqual([], self.violations())


class ShutdownTest(FleetTestCase):
    """Invariant 7, and a process that always exits."""

    def test_no_call_is_cut_off_under_load(self) -> None:
        """Guards against connections closed while an answer is outstanding."""
        kinds = [
            RequestKind("stores", "lookup", "sheddable", True, 0.8),
            RequestKind("stores", "order", "critical", False, 0.2),
        ]
        entries = [pair.call_address for pair in self.fleet.pairs]
        load = LoadGenerator(kinds, entries, 2000, SEED)

        # About seven calls are in flight at each node when the signal arrives.
        for pair in self.fleet.pairs:
            self.fleet.slow_backend(pair, 10.0)

        async def play() -> list:
            task = create_task(load.play([Phase("load", 6.0, 100)]))
            await sleep(1.0)
            self.fleet.terminate(self.first.node_process)
            self.fleet.terminate(self.first.backend_process)
            return await task

        results = run(play())
        self.assertEqual(0, self.wait_for_end(self.first.node_process))
        self.assertEqual(0, self.wait_for_end(self.first.backend_process))
        cut_off = [r for r in results if r.answer.outcome == "unknown"]
        self.assertEqual([], [(r.request_id, r.answer.reason, r.started) for r in cut_off])
        self.assertEqual([], self.violations())

    def test_second_sigterm_and_sigterm_during_start(self) -> None:
        """Guards against a second signal that aborts calls, and a start that ignores SIGTERM."""

        async def slow_call_and_two_signals() -> HttpReply | None:
            transport = Transport()
            self.fleet.slow_backend(self.first, 100.0)
            slow = create_task(send(transport, self.first, "lookup"))
            await sleep(0.3)
            for _ in range(2):
                self.fleet.terminate(self.first.node_process)
                await sleep(0.3)
            reply = await slow
            await transport.close()
            return reply

        reply = run(slow_call_and_two_signals())
        self.assertEqual("done", reply.headers[OUTCOME])
        self.assertEqual(0, self.wait_for_end(self.first.node_process))
        for down in (False, True):
            self.fleet.set_faults(down=down)
            for delay in (0.3, 0.8):
                with self.subTest(delay=delay, platform_down=down):
                    self.fleet.restart(self.first.node_process)
                    run(sleep(delay))
                    self.fleet.terminate(self.first.node_process)
                    # -15: the signal arrived before the interpreter had run the node's first line.
                    self.assertIn(self.wait_for_end(self.first.node_process), (0, -15))
        self.assertEqual([], self.violations())


class ConfigurationTest(FleetTestCase):
    """Invariant 8 with real nodes."""

    def test_change_reaches_all_nodes_while_the_platform_is_down(self) -> None:
        """Guards against changes that reach only the nodes that watch the platform."""
        generations = run(self.change_defaults("attempt_budget", 1))
        self.assertEqual({2}, generations)

        async def call_all() -> list[HttpReply | None]:
            transport = Transport()
            replies = [await send(transport, pair, "lookup") for pair in self.fleet.pairs]
            await transport.close()
            return replies

        left = {reply.headers.get("Attempts-Left") for reply in run(call_all())}
        self.assertEqual({"1"}, left)

"""One request crashes at most two backend servers of a service, and innocent ones finish."""

from asyncio import CancelledError, Event, create_task, gather, run, sleep, wait_for
from collections import Counter
from random import Random
from unittest import TestCase

from hypothesis import given, settings
from hypothesis.strategies import integers
from multidict import CIMultiDict, CIMultiDictProxy

from coltsfoottrack._internal.admission.suspects import (
    MAX_SUSPECTS,
    SuspectReport,
    SuspectTable,
)
from coltsfoottrack._internal.calls.budget import AttemptBudget
from coltsfoottrack._internal.calls.context import CallContext
from coltsfoottrack._internal.calls.deadline import Deadline
from coltsfoottrack._internal.calls.outcome import Answer, Outcome, Reason
from coltsfoottrack._internal.events.clock import HybridClock
from coltsfoottrack._internal.ledger.ledger import request_digest
from coltsfoottrack._internal.node.backend_link import BackendLink
from coltsfoottrack._internal.routing.exceptions import ConnectionLostError
from coltsfoottrack._internal.routing.transport import HttpReply
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import AnnounceRequest

NODES = 5
RESTART_SECONDS = 0.03
CRASHING = b"crash"


class BackendServer:
    """A backend server in memory that crashes on a crashing request, and restarts."""

    def __init__(self, random: Random, crashes: Counter[bytes]) -> None:
        self.random = random
        self.crashes = crashes
        self.link = BackendLink(
            "test", HybridClock(), SuspectTable(lambda: 600_000.0), lambda: self
        )
        self.link.refuses_connections = self.refuses_connections
        self.link.address = "127.0.0.1:9"
        # Long, so that a stall of the test machine does not end the time a suspect runs alone.
        self.link.isolation_seconds = 10.0
        self.up = True
        self.ended = Event()
        self.crash_detected = Event()
        self.link.on_backend_down = self.crash_detected.set

    async def refuses_connections(self, _address: str) -> bool:
        return not self.up

    async def send(self, _method, _address, _path, _headers, body, _seconds) -> HttpReply:
        ended = self.ended
        await sleep(self.random.uniform(0.0, 0.004))
        if body.startswith(CRASHING) and not ended.is_set():
            self.crashes[body] += 1
            self.up = False
            ended.set()
            self.restarting = create_task(self.restart())
        await sleep(self.random.uniform(0.0, 0.004))
        if ended.is_set():
            raise ConnectionLostError("ended")
        return HttpReply(200, CIMultiDictProxy(CIMultiDict()), body)

    async def restart(self) -> None:
        # A crash of a server that restarts before its node checks it would not be detected.
        await self.crash_detected.wait()
        self.crash_detected.clear()
        await sleep(RESTART_SECONDS)
        self.ended = Event()
        self.up = True
        self.link.address = "127.0.0.1:9"

    async def close(self) -> None:
        pass


class QuicklyRestartedServer(BackendServer):
    """A backend server that restarts before its node can check it, and then announces itself."""

    def __init__(self, random: Random, crashes: Counter[bytes]) -> None:
        super().__init__(random, crashes)
        self.announce()

    def announce(self) -> None:
        request = AnnounceRequest(address="127.0.0.1", port=9, slots=8)
        request.incarnation = self.random.getrandbits(63) + 1
        self.link.announce(request)

    async def restart(self) -> None:
        self.ended = Event()
        self.up = True
        # Longer than the node's two checks, which find that it accepts connections.
        await sleep(0.1)
        self.announce()

    def forget(self, _address: str) -> None:
        pass


class Service:
    """Nodes of one service that report suspects to each other; some reports are lost."""

    def __init__(self, seed: int, loss: float, kind: type[BackendServer] = BackendServer) -> None:
        self.random = Random(seed)
        self.loss = loss
        self.crashes: Counter[bytes] = Counter()
        self.servers = [kind(self.random, self.crashes) for _ in range(NODES)]
        for server in self.servers:
            server.link.report = self.report

    async def report(self, suspects: list[SuspectReport], cleared: list[bytes]) -> None:
        await sleep(self.random.uniform(0.0, 0.003))
        for server in self.servers:
            if self.random.random() < self.loss:
                continue
            for suspect in suspects:
                server.link.suspects.merge(suspect)
            for digest in cleared:
                server.link.suspects.clear(digest)

    async def send_until_resolved(self, body: bytes) -> Answer:
        """Sends a request to random nodes, and resends it after each failure."""
        crashes = 0
        while True:
            await sleep(self.random.uniform(0.0, 0.01))
            context = CallContext(
                service="stores",
                operation="lookup",
                request_id="r",
                call_id="c",
                deadline=Deadline.after_ms(5_000),
                budget=AttemptBudget(0),
                suspected_crashes=crashes,
            )
            answer = await self.random.choice(self.servers).link.run(context, body)
            if answer.outcome is Outcome.DONE or answer.reason is Reason.QUARANTINED:
                return answer
            if self.loss:
                # Without lost reports, the nodes must know the suspects from reports alone.
                crashes = max(crashes, answer.suspected_crashes)


async def simulate(
    seed: int, loss: float, kind: type[BackendServer] = BackendServer
) -> tuple[Service, list[Answer], list[Answer]]:
    service = Service(seed, loss, kind)
    innocent = [b"innocent %d" % (number % 12) for number in range(30)]
    crashing = [b"crash %d" % number for number in range(2)]
    pending = [create_task(service.send_until_resolved(body)) for body in innocent + crashing]
    answers = await wait_for(gather(*pending), 30)
    return service, answers[: len(innocent)], answers[len(innocent) :]


class CrashBoundTest(TestCase):
    """Guards against a request that crashes one backend server after another."""

    @settings(max_examples=25, deadline=None)
    @given(seed=integers(0, 2**32), loss=integers(0, 1))
    def test_crashing_requests_are_stopped_and_innocent_ones_finish(
        self, seed: int, loss: int
    ) -> None:
        service, innocent, crashing = run(simulate(seed, loss * 0.3))
        self.assertLessEqual(max(service.crashes.values()), 2, service.crashes)
        self.assertEqual({answer.reason for answer in crashing}, {Reason.QUARANTINED})
        self.assertEqual({answer.outcome for answer in innocent}, {Outcome.DONE})

    def test_crash_is_detected_when_the_server_restarts_at_once(self) -> None:
        for seed in range(4):
            service, innocent, crashing = run(simulate(seed, 0.0, QuicklyRestartedServer))
            self.assertLessEqual(max(service.crashes.values()), 2, service.crashes)
            self.assertEqual({answer.reason for answer in crashing}, {Reason.QUARANTINED})
            self.assertEqual({answer.outcome for answer in innocent}, {Outcome.DONE})

    def test_same_process_after_a_broken_connection_makes_no_suspects(self) -> None:
        async def scenario() -> tuple[Answer, int]:
            service = Service(1, 0.0, QuicklyRestartedServer)
            server = service.servers[0]
            request = AnnounceRequest(address="127.0.0.1", port=9, incarnation=5)
            server.link.announce(request)
            server.ended.set()
            context = CallContext(
                "stores", "lookup", "r", "c", Deadline.after_ms(5_000), AttemptBudget(0)
            )
            sending = create_task(server.link.run(context, b"innocent"))
            await sleep(0.15)
            server.link.announce(request)
            answer = await sending
            # The next process starts after a drain, so the lost connection was not a crash of it.
            request.incarnation = 6
            server.link.announce(request)
            return answer, server.link.crashes

        answer, crashes = run(scenario())
        self.assertEqual((answer.reason, answer.suspected_crashes), (Reason.BACKEND_LOST, 0))
        self.assertEqual(crashes, 0)

    def test_second_crash_before_the_first_announcement_is_counted(self) -> None:
        """Guards against a run that crashes the next process and does not become a suspect."""

        async def scenario() -> list[int]:
            server = Service(1, 0.0, QuicklyRestartedServer).servers[0]
            server.ended.set()
            context = CallContext(
                "stores", "lookup", "r", "c", Deadline.after_ms(5_000), AttemptBudget(0)
            )
            sent = [create_task(server.link.run(context, b"one"))]
            await sleep(0.03)
            sent.append(create_task(server.link.run(context, b"two")))
            await sleep(0.15)
            server.announce()
            await gather(*sent)
            digests = [request_digest("stores", "lookup", body) for body in (b"one", b"two")]
            return [server.link.suspects.crashes(digest) for digest in digests]

        self.assertEqual(run(scenario()), [1, 1])

    def test_refusal_of_a_quarantined_request_names_the_crashes(self) -> None:
        _, _, crashing = run(simulate(1, 0.0))
        self.assertIn(b"2 backend servers of stores crashed", crashing[0].body)
        self.assertEqual(crashing[0].suspected_crashes, 2)


class SuspectTableTest(TestCase):
    """Guards against unbounded memory, entries that never expire and an early end of quarantine."""

    def setUp(self) -> None:
        self.now = 1000.0
        self.table = SuspectTable(lambda: 600_000.0, lambda: self.now)

    def test_entries_expire(self) -> None:
        self.table.record_crash(b"a")
        self.table.record_crash(b"a", known_crashes=1)
        self.now += 599.0
        self.assertEqual(self.table.crashes(b"a"), 2)
        self.now += 2.0
        self.assertEqual(self.table.crashes(b"a"), 0)

    def test_success_clears_probation_but_not_quarantine(self) -> None:
        self.table.record_crash(b"a")
        self.assertTrue(self.table.clear(b"a"))
        self.table.record_crash(b"b", known_crashes=1)
        self.assertFalse(self.table.clear(b"b"))
        self.assertEqual((self.table.crashes(b"a"), self.table.quarantined()), (0, 1))

    def test_run_that_started_unsuspected_does_not_lead_to_quarantine(self) -> None:
        """Guards against the quarantine of an innocent request for two crashes by another."""
        self.table.merge(SuspectReport(b"a", 1, 0))
        self.assertEqual(self.table.record_crash(b"a", known_crashes=0), 1)

    def test_old_and_lower_reports_change_nothing(self) -> None:
        self.table.record_crash(b"a", known_crashes=1)
        self.table.merge(SuspectReport(b"a", 1, 0))
        self.table.merge(SuspectReport(b"b", 2, 700_000))
        self.assertEqual((self.table.crashes(b"a"), self.table.crashes(b"b")), (2, 0))

    def test_memory_is_bounded(self) -> None:
        for number in range(MAX_SUSPECTS + 100):
            self.table.record_crash(str(number).encode())
        self.assertEqual(len(self.table.entries), MAX_SUSPECTS)


class ReportTest(TestCase):
    """Guards against an answer that is sent before other nodes have received the suspects."""

    def test_every_answer_to_a_crash_waits_for_the_report(self) -> None:
        async def scenario() -> list[Answer]:
            service = Service(1, 0.0)
            link = service.servers[0].link
            report_delivered = Event()
            answered_early = []

            async def report(_suspects: list[SuspectReport], _cleared: list[bytes]) -> None:
                await sleep(0.05)
                report_delivered.set()

            async def send(body: bytes) -> Answer:
                context = CallContext(
                    "stores", "lookup", "r", "c", Deadline.after_ms(5_000), AttemptBudget(0)
                )
                answer = await link.run(context, body)
                answered_early.append(not report_delivered.is_set())
                return answer

            link.report = report
            answers = await gather(*(send(b"crash %d" % number) for number in range(4)))
            self.assertEqual(answered_early, [False] * 4)
            return answers

        self.assertEqual({answer.suspected_crashes for answer in run(scenario())}, {1})


class ProbationTest(TestCase):
    """Guards against a suspect on probation that is cancelled or times out and blocks the node."""

    def test_crashes_reported_while_a_call_waits_apply_to_it(self) -> None:
        """Guards against a third crash by a copy that waited for a suspect to run alone."""

        async def scenario(known_crashes: int) -> Answer:
            service = Service(1, 0.0)
            link = service.servers[0].link
            link.isolation_seconds = 0.2
            context = CallContext(
                "stores", "lookup", "r", "c", Deadline.after_ms(5_000), AttemptBudget(0)
            )
            link.idle.clear()
            link.dispatch_allowed.clear()
            copy = context._replace(suspected_crashes=known_crashes)
            sending = create_task(link.run(copy, b"crash"))
            await sleep(0.01)
            digest = request_digest("stores", "lookup", b"crash")
            link.suspects.merge(SuspectReport(digest, 2, 0))
            link.dispatch_allowed.set()
            link.idle.set()
            answer = await sending
            self.assertEqual(service.crashes.total(), 0)
            return answer

        for known_crashes in (0, 1):
            self.assertEqual(run(scenario(known_crashes)).reason, Reason.QUARANTINED)

    def test_cancelled_and_late_suspects_leave_the_node_open(self) -> None:
        async def scenario() -> Answer:
            service = Service(1, 0.0)
            link = service.servers[0].link
            context = CallContext(
                "stores", "lookup", "r", "c", Deadline.after_ms(200), AttemptBudget(0), 0, "", 1
            )
            sent = [create_task(link.run(context, b"%d" % number)) for number in range(4)]
            await sleep(0.001)
            for sending in sent[:2]:
                sending.cancel()
            for result in await gather(*sent, return_exceptions=True):
                self.assertIsInstance(result, CancelledError | Answer)
            self.assertTrue(link.dispatch_allowed.is_set())
            self.assertFalse(link.probation_lock.locked())
            return await link.run(context._replace(suspected_crashes=0), b"another")

        self.assertEqual(run(scenario()).outcome, Outcome.DONE)

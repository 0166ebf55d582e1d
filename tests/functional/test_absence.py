"""Refusals and outcomes while a service or a key's home is unavailable, with real processes."""

from asyncio import gather, run, sleep, to_thread
from collections import Counter
from json import loads
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from unittest import TestCase

from coltsfoottrack._internal.calls.context import DEADLINE_MS, REQUEST_ID, read_answer
from coltsfoottrack._internal.calls.outcome import Answer, Outcome, Reason
from coltsfoottrack._internal.experiment.fleet import Fleet, NodePair
from coltsfoottrack._internal.experiment.sending import RequestSender
from coltsfoottrack._internal.experiment.shapes import FleetShape, OperationShape, ServiceShape
from coltsfoottrack._internal.routing.absent_services import CERTAIN_CALLS
from coltsfoottrack._internal.routing.transport import Transport
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import PRIORITY_CRITICAL, PRIORITY_NORMAL

LOOKUP = OperationShape("lookup", PRIORITY_NORMAL, True, ("fitments/fitting",))
COUNT = OperationShape("count", PRIORITY_NORMAL, True)
ORDER = OperationShape("order", PRIORITY_CRITICAL, False)
FITTING = OperationShape("fitting", PRIORITY_NORMAL, True)
STORES = ServiceShape("stores", 3, 8, 10, (LOOKUP, COUNT, ORDER))
FITMENTS = ServiceShape("fitments", 3, 8, 10, (FITTING,))
SHAPE = FleetShape("absence", ("east", "west", "south"), (STORES, FITMENTS), 1)
REQUESTS = 60
WARM_UP_CALLS = 12 * CERTAIN_CALLS
RECOVERY_SECONDS = 15


class AbsenceTest(TestCase):
    """Guards against wasted upstream runs while a service is down, and against lost keys."""

    def setUp(self) -> None:
        directory = TemporaryDirectory(prefix="coltsfoottrack-")
        self.addCleanup(directory.cleanup)
        self.fleet = Fleet.from_config(SHAPE, Path(directory.name))
        self.addCleanup(self.fleet.stop)
        self.fleet.start()
        self.entries = [pair.call_address for pair in self.fleet.pairs_of("stores")]
        self.random = Random(1)
        self.sent = 0

    async def call(self, operation: str) -> Answer:
        self.sent += 1
        headers = {REQUEST_ID: f"call-{operation}-{self.sent}", DEADLINE_MS: "1000"}
        entry = self.random.choice(self.entries)
        path = f"/v1/services/stores/{operation}"
        reply = await self.transport.send("POST", entry, path, headers, b"", 2.0)
        return read_answer(reply.status, reply.headers, reply.body)

    async def kill(self, pairs: list[NodePair]) -> None:
        for pair in pairs:
            await to_thread(self.fleet.kill, pair.node_process)
            await to_thread(self.fleet.kill, pair.backend_process)

    def runs(self, service: str, operation: str) -> Counter[str]:
        found: Counter[str] = Counter()
        for line in self.fleet.run_log.read_text(encoding="utf-8").splitlines():
            entry = loads(line)
            if (entry["service"], entry["operation"]) == (service, operation):
                found[entry["request_id"]] += 1
        return found

    def test_entry_node_refuses_while_a_downstream_service_is_unavailable(self) -> None:
        async def scenario() -> None:
            self.transport = Transport()
            await gather(*(self.call("lookup") for _ in range(WARM_UP_CALLS)))
            await self.kill(self.fleet.pairs_of("fitments"))
            for _ in range(4):
                await self.call("lookup")
            before = self.runs("stores", "lookup").total()
            answers = [await self.call("lookup") for _ in range(REQUESTS)]
            refusals = [answer for answer in answers if answer.outcome is Outcome.REFUSED]
            wasted = self.runs("stores", "lookup").total() - before
            # The rest are probes, at most one per second and node, and the runs from which each
            # of the three nodes learns that the operation needs the service.
            self.assertGreaterEqual(len(refusals), REQUESTS - 6)
            self.assertLessEqual(wasted, 6)
            for answer in refusals:
                self.assertEqual(answer.reason, Reason.SERVICE_ABSENT)
                self.assertEqual((answer.absent_service, answer.retry_useful), ("fitments", True))
            without = [await self.call("count") for _ in range(10)]
            self.assertEqual({answer.outcome for answer in without}, {Outcome.DONE})
            for pair in self.fleet.pairs_of("fitments"):
                self.fleet.restart(pair.node_process)
                self.fleet.restart(pair.backend_process)
            await self.wait_until_lookups_succeed()
            await self.transport.close()

        run(scenario())

    async def wait_until_lookups_succeed(self) -> None:
        done = 0
        for _ in range(RECOVERY_SECONDS * 10):
            answer = await self.call("lookup")
            done = done + 1 if answer.outcome is Outcome.DONE else 0
            if done == 10:
                return
            await sleep(0.1)
        self.fail(f"lookups are still refused: {answer}")

    def test_caller_uses_new_keys_after_their_home_failed(self) -> None:
        async def order(name: str) -> Answer:
            sender = RequestSender(self.transport, self.entries[1:], self.random, idempotent=False)
            entry = self.random.choice(self.entries[1:])
            return await sender.send(entry, "/v1/services/stores/order", name, b"", 2.0, 2.0)

        async def scenario() -> None:
            self.transport = Transport()
            await gather(*(order(f"before-{index}") for index in range(20)))
            await self.kill(self.fleet.pairs_of("stores")[:1])
            answers = await gather(*(order(f"after-{index}") for index in range(20)))
            runs = self.runs("stores", "order")
            self.assertLessEqual(max(runs.values()), 1, runs)
            for index, answer in enumerate(answers):
                self.assertEqual(answer.outcome, Outcome.DONE, answer)
                self.assertEqual(runs[f"after-{index}"], 1)
            await self.transport.close()

        run(scenario())

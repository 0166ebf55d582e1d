"""At most once with real processes: what callers were told against what backend servers ran."""

from asyncio import create_task, gather, run, sleep, to_thread
from collections import Counter
from collections.abc import Awaitable, Callable
from json import loads
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import NamedTuple
from unittest import TestCase

from coltsfoottrack._internal.calls.context import (
    DEADLINE_MS,
    IDEMPOTENCY_KEY,
    REQUEST_ID,
    read_answer,
)
from coltsfoottrack._internal.calls.outcome import Answer, Outcome, Reason, unknown
from coltsfoottrack._internal.experiment.fleet import Fleet, NodePlace
from coltsfoottrack._internal.experiment.shapes import FleetShape, OperationShape, ServiceShape
from coltsfoottrack._internal.routing.exceptions import ConnectionLostError, NotSentError
from coltsfoottrack._internal.routing.transport import Transport
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import PRIORITY_CRITICAL

SERVICE = "stores"
SERVICE_TIME_MS = 300
SHAPE = FleetShape(
    name="outcomes",
    failure_domains=("east", "west", "south"),
    scale=1,
    services=(
        ServiceShape(
            SERVICE, 3, 4, SERVICE_TIME_MS, (OperationShape("order", PRIORITY_CRITICAL, False),)
        ),
    ),
)


class Told(NamedTuple):
    """What a caller was told about one copy."""

    request_id: str
    body: bytes
    answer: Answer


class OutcomesTest(TestCase):
    """Guards against second runs and untrue outcomes while nodes die, stop and go on."""

    def setUp(self) -> None:
        directory = TemporaryDirectory(prefix="coltsfoottrack-")
        self.addCleanup(directory.cleanup)
        self.fleet = Fleet.from_config(SHAPE, Path(directory.name))
        self.addCleanup(self.fleet.stop)
        self.fleet.start()
        self.home, self.second, self.third = self.fleet.places_of(SERVICE)
        self.told: list[Told] = []

    async def send(self, entry: NodePlace, key: str, name: str, deadline_ms: int = 2000) -> Answer:
        body = f"body of {name}".encode()
        headers = {REQUEST_ID: name, DEADLINE_MS: str(deadline_ms), IDEMPOTENCY_KEY: key}
        path = f"/v1/services/{SERVICE}/order"
        seconds = deadline_ms / 1000.0 + 3.0
        try:
            reply = await self.transport.send(
                "POST", entry.call_address, path, headers, body, seconds
            )
            answer = read_answer(reply.status, reply.headers, reply.body)
        except (NotSentError, ConnectionLostError):
            answer = unknown(Reason.CONNECTION_LOST)
        self.told.append(Told(name, body, answer))
        return answer

    async def keys(self, count: int) -> list[str]:
        path = f"/v1/services/{SERVICE}/keys?count={count}"
        reply = await self.transport.send("POST", self.home.call_address, path, {}, b"", 2.0)
        return reply.body.decode().split()

    def play(self, scene: Callable[[], Awaitable[None]]) -> None:
        async def with_transport() -> None:
            self.transport = Transport()
            try:
                await scene()
            finally:
                await self.transport.close()

        run(with_transport())
        self.check_against_run_log()

    def check_against_run_log(self) -> None:
        runs: Counter[str] = Counter()
        if self.fleet.run_log.exists():
            for line in self.fleet.run_log.read_text(encoding="utf-8").splitlines():
                runs[loads(line)["request_id"]] += 1
        self.assertLessEqual(max(runs.values(), default=0), 1, runs)
        for told in self.told:
            if told.answer.outcome is Outcome.REFUSED:
                self.assertEqual(runs[told.request_id], 0, told)
            if told.answer.outcome is Outcome.DONE:
                self.assertEqual(runs[told.request_id], 1, told)
                self.assertEqual(told.answer.body, told.request_id.encode() + b" " + told.body)

    def test_copies_to_all_nodes_with_the_platform_down(self) -> None:
        async def scene() -> None:
            keys = await self.keys(4)
            self.fleet.kill("platform")
            copies = []
            for index, key in enumerate(keys):
                for entry in (self.home, self.second, self.third, self.home):
                    copies.append(self.send(entry, key, f"concurrent-{index}"))
            answers = await gather(*copies)
            self.assertEqual({answer.outcome for answer in answers}, {Outcome.DONE})
            late = await self.send(self.third, keys[0], "concurrent-0")
            self.assertEqual(late.outcome, Outcome.DONE)

        self.play(scene)

    def test_home_killed_before_during_and_after_the_run(self) -> None:
        async def scene() -> None:
            before, during, after = await self.keys(3)
            finished = await self.send(self.second, after, "after")
            self.assertEqual(finished.outcome, Outcome.DONE)
            await sleep(0.2)
            running = create_task(self.send(self.second, during, "during"))
            await sleep(0.15)
            self.fleet.kill(self.home.node_process)
            self.assertEqual((await running).outcome, Outcome.UNKNOWN)
            never_sent = await self.send(self.third, before, "before")
            self.assertFalse(never_sent.copy_dispatched)
            # The backup node in another failure domain holds the outcome.
            copy = await self.send(self.third, after, "after")
            self.assertEqual((copy.outcome, copy.body), (finished.outcome, finished.body))
            self.fleet.restart(self.home.node_process)
            await sleep(1.5)
            for key, name in ((before, "before"), (during, "during")):
                again = await self.send(self.home, key, name)
                self.assertEqual(again.outcome, Outcome.UNKNOWN)

        self.play(scene)

    def test_home_stopped_past_the_deadline_and_continued(self) -> None:
        async def scene() -> None:
            first, second = await self.keys(2)
            self.fleet.pause(self.home.node_process)
            answers = await gather(
                self.send(self.second, first, "stopped", 800),
                self.send(self.home, second, "direct", 800),
            )
            self.fleet.resume(self.home.node_process)
            self.assertEqual(answers[0].outcome, Outcome.UNKNOWN)
            await sleep(1.0)
            for key, name in ((first, "stopped"), (second, "direct")):
                await self.send(self.third, key, name)

        self.play(scene)

    def test_backend_server_gone_is_handed_to_another_node(self) -> None:
        async def scene() -> None:
            keys = await self.keys(4)
            await to_thread(self.fleet.kill, self.home.backend_process)
            answers = await gather(
                *(self.send(self.second, key, f"handed-{at}") for at, key in enumerate(keys))
            )
            self.assertEqual({answer.outcome for answer in answers}, {Outcome.DONE})

        self.play(scene)

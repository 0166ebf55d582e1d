"""At most once with real processes: reported outcomes against the runs of backend servers."""

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
from coltsfoottrack._internal.experiment.fleet import Fleet, NodePair
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


class ReportedOutcome(NamedTuple):
    """The outcome reported for one copy of a request."""

    request_id: str
    body: bytes
    answer: Answer


class OutcomesTest(TestCase):
    """Guards against second runs and wrong outcomes while nodes crash, pause and resume."""

    def setUp(self) -> None:
        directory = TemporaryDirectory(prefix="coltsfoottrack-")
        self.addCleanup(directory.cleanup)
        self.fleet = Fleet.from_config(SHAPE, Path(directory.name))
        self.addCleanup(self.fleet.stop)
        self.fleet.start()
        self.home, self.second, self.third = self.fleet.pairs_of(SERVICE)
        self.reported: list[ReportedOutcome] = []

    async def send(self, entry: NodePair, key: str, name: str, deadline_ms: int = 2000) -> Answer:
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
        self.reported.append(ReportedOutcome(name, body, answer))
        return answer

    async def keys(self, count: int) -> list[str]:
        path = f"/v1/services/{SERVICE}/keys?count={count}"
        reply = await self.transport.send("POST", self.home.call_address, path, {}, b"", 2.0)
        return reply.body.decode().split()

    def play(self, scenario: Callable[[], Awaitable[None]]) -> None:
        async def with_transport() -> None:
            self.transport = Transport()
            try:
                await scenario()
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
        for reported in self.reported:
            if reported.answer.outcome is Outcome.REFUSED:
                self.assertEqual(runs[reported.request_id], 0, reported)
            if reported.answer.outcome is Outcome.DONE:
                self.assertEqual(runs[reported.request_id], 1, reported)
                self.assertEqual(
                    reported.answer.body, reported.request_id.encode() + b" " + reported.body
                )

    def test_concurrent_copies_run_once_while_the_platform_is_down(self) -> None:
        async def scenario() -> None:
            keys = await self.keys(4)
            self.fleet.kill("platform")
            copies = []
            for index, key in enumerate(keys):
                for entry in (self.home, self.second, self.third, self.home):
                    copies.append(self.send(entry, key, f"concurrent-{index}"))
            answers = await gather(*copies)
            self.assertEqual({answer.outcome for answer in answers}, {Outcome.DONE}, answers)
            late = await self.send(self.third, keys[0], "concurrent-0")
            self.assertEqual(late.outcome, Outcome.DONE)

        self.play(scenario)

    def test_home_killed_before_during_and_after_the_run(self) -> None:
        async def scenario() -> None:
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

        self.play(scenario)

    def test_home_paused_past_the_deadline_and_resumed(self) -> None:
        async def scenario() -> None:
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

        self.play(scenario)

    def test_call_is_dispatched_elsewhere_when_the_home_has_no_backend_server(self) -> None:
        async def scenario() -> None:
            keys = await self.keys(4)
            await to_thread(self.fleet.kill, self.home.backend_process)
            copies = []
            for index, key in enumerate(keys):
                copies.append(self.send(self.second, key, f"handed-{index}"))
            answers = await gather(*copies)
            self.assertEqual({answer.outcome for answer in answers}, {Outcome.DONE}, answers)

        self.play(scenario)

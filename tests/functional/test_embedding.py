"""A backend server that uses only the public modules, with a real node."""

import sys
from asyncio import create_task, gather, run, sleep
from collections import Counter
from itertools import count
from pathlib import Path
from signal import SIGTERM
from subprocess import Popen
from tempfile import TemporaryDirectory
from time import monotonic
from unittest import TestCase

from coltsfoottrack._internal.calls.context import DEADLINE_MS, REQUEST_ID, read_answer
from coltsfoottrack._internal.calls.outcome import Answer, Outcome
from coltsfoottrack._internal.experiment.fleet import LOOPBACK, Fleet
from coltsfoottrack._internal.experiment.shapes import FleetShape, OperationShape, ServiceShape
from coltsfoottrack._internal.routing.transport import Transport
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import PRIORITY_NORMAL

EXAMPLE = Path(__file__).parents[2] / "examples" / "embedded_backend.py"
LOOKUP = (OperationShape("lookup", PRIORITY_NORMAL, True),)
SHAPE = FleetShape(
    name="embedding",
    failure_domains=("east",),
    scale=1,
    services=(ServiceShape("stores", 1, 8, 5, LOOKUP), ServiceShape("fitments", 1, 8, 50, LOOKUP)),
)
START_SECONDS = 20.0
END_SECONDS = 15.0


class EmbeddingTest(TestCase):
    """Guards against public modules that are insufficient for embedding, and lost requests."""

    def setUp(self) -> None:
        directory = TemporaryDirectory(prefix="coltsfoottrack-")
        self.addCleanup(directory.cleanup)
        self.fleet = Fleet.from_config(SHAPE, Path(directory.name))
        self.addCleanup(self.fleet.stop)
        self.fleet.start()
        self.pair = self.fleet.pairs_of("stores")[0]
        self.fleet.kill(self.pair.backend_process)
        arguments = [str(EXAMPLE), str(self.pair.backend_port), self.pair.peer_address]
        self.example = Popen([sys.executable, *arguments])
        self.addCleanup(self.example.wait)
        self.addCleanup(self.example.kill)

    async def call(self, name: str) -> Answer:
        headers = {REQUEST_ID: name, DEADLINE_MS: "2000"}
        reply = await self.transport.send(
            "POST", self.pair.call_address, "/v1/services/stores/lookup", headers, b"wheel", 4.0
        )
        return read_answer(reply.status, reply.headers, reply.body)

    async def wait_until_served(self) -> None:
        expiry = monotonic() + START_SECONDS
        for number in count():
            # Each attempt is a new request, since attempts of one request share its attempt budget.
            answer = await self.call(f"first-{number}")
            if answer.outcome is Outcome.DONE:
                return
            self.assertLess(monotonic(), expiry, answer)
            await sleep(0.1)

    def test_embedded_backend_serves_and_drains_without_losing_requests(self) -> None:
        async def scenario() -> None:
            self.transport = Transport()
            try:
                await self.wait_until_served()
                answers = await gather(*(self.call(f"whole-{number}") for number in range(8)))
                bodies = [answer.body.decode() for answer in answers]
                expected = [f"stores has whole-{number} wheel" for number in range(8)]
                self.assertEqual(bodies, expected)
                await self.check_bad_request()
                await self.check_leaving()
            finally:
                await self.transport.close()

        run(scenario())
        self.assertEqual(self.example.wait(END_SECONDS), 0)

    async def check_bad_request(self) -> None:
        address = f"{LOOPBACK}:{self.pair.backend_port}"
        for headers in ({DEADLINE_MS: "soon"}, {"Monotonic-Deadline": "nan"}):
            reply = await self.transport.send("POST", address, "/lookup", headers, b"", 4.0)
            self.assertEqual(reply.status, 400)

    async def check_leaving(self) -> None:
        calls = []
        for number in range(60):
            if number == 10:
                self.example.send_signal(SIGTERM)
            calls.append(create_task(self.call(f"leaving-{number}")))
            await sleep(0.05)
        outcomes = Counter([answer.outcome for answer in await gather(*calls)])
        self.assertGreaterEqual(outcomes[Outcome.DONE], 10, outcomes)
        self.assertEqual(set(outcomes) - {Outcome.DONE, Outcome.REFUSED}, set(), outcomes)

"""Each answer is complete and belongs to its call, whatever faults the server has."""

from asyncio import (
    CancelledError,
    StreamReader,
    StreamWriter,
    create_task,
    gather,
    run,
    sleep,
    start_server,
)
from random import Random
from unittest import TestCase

from coltsfoottrack._internal.admission.suspects import SuspectTable
from coltsfoottrack._internal.calls.budget import AttemptBudget
from coltsfoottrack._internal.calls.context import CALL_ID, OUTCOME, CallContext
from coltsfoottrack._internal.calls.deadline import Deadline
from coltsfoottrack._internal.calls.outcome import Outcome
from coltsfoottrack._internal.events.clock import HybridClock
from coltsfoottrack._internal.node.backend_link import BackendLink
from coltsfoottrack._internal.observability.invariants import Invariant, InvariantChecker
from coltsfoottrack._internal.routing.exceptions import RoutingError
from coltsfoottrack._internal.routing.transport import Transport

CALLS = 150
ECHOING_FAULTS = ("foreign", "swapped", "stale")
FAULTS = ("whole", "whole", "whole", "late", "truncated", "no length", "doubled", "doubled late")


class FaultyServer:
    """An HTTP/1.1 server over raw TCP that injects random faults into its responses."""

    def __init__(self, seed: int, echoes: bool) -> None:
        self.random = Random(seed)
        self.echoes = echoes
        self.faults = FAULTS + (ECHOING_FAULTS if echoes else ())
        self.earlier: list[tuple[str, bytes]] = [("earlier", b"earlier")]
        self.connections = 0
        self.max_requests_per_connection = 0

    async def __aenter__(self) -> "FaultyServer":
        self.server = await start_server(self.serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self

    async def __aexit__(self, *_error: object) -> None:
        self.server.close()

    def response(self, call_id: str, body: bytes, length: bool = True) -> bytes:
        lines = [b"HTTP/1.1 200 OK", b"Outcome: done"]
        if self.echoes:
            lines.append(b"Call-Id: " + call_id.encode())
        if length:
            lines.append(b"Content-Length: %d" % len(body))
        return b"\r\n".join(lines) + b"\r\n\r\n" + body

    async def serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        self.connections += 1
        requests = 0
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                fields = dict(line.split(": ", 1) for line in head.splitlines()[1:] if ": " in line)
                body = await reader.readexactly(int(fields["Content-Length"]))
                requests += 1
                self.max_requests_per_connection = max(self.max_requests_per_connection, requests)
                if not await self.answer(writer, fields["Call-Id"], b"answer to " + body):
                    break
        except (EOFError, OSError):
            pass
        writer.close()

    async def answer(self, writer: StreamWriter, call_id: str, body: bytes) -> bool:
        """Answers one request; returns whether the connection stays open."""
        fault = self.random.choice(self.faults)
        earlier_id, earlier_body = self.random.choice(self.earlier[-20:])
        self.earlier.append((call_id, body))
        whole = self.response(call_id, body)
        if fault == "late":
            await sleep(self.random.uniform(0.0, 0.02))
        elif fault == "truncated":
            writer.write(whole[: -self.random.randint(1, len(body))])
            return False
        elif fault == "no length":
            # A body that ends when the connection closes, possibly truncated.
            cut = self.response(call_id, body, length=False)
            writer.write(cut[: -self.random.randint(0, len(body) - 1) or None])
            return False
        elif fault == "doubled":
            writer.write(whole)
        elif fault == "doubled late":
            writer.write(whole)
            await sleep(self.random.uniform(0.0, 0.01))
        elif fault == "foreign":
            whole = self.response(earlier_id, earlier_body)
        elif fault == "swapped":
            await sleep(self.random.uniform(0.0, 0.01))
            whole = self.response(*self.random.choice(self.earlier[-5:]))
        elif fault == "stale":
            writer.write(whole)
            whole = self.response(earlier_id, earlier_body)
        writer.write(whole)
        return True


def context(number: int) -> CallContext:
    return CallContext(
        service="stores",
        operation="read",
        request_id=f"request-{number}",
        call_id=f"call-{number}",
        deadline=Deadline.after_ms(2_000),
        budget=AttemptBudget(0),
    )


class Caller:
    """Makes calls through a backend link or directly through a transport, and cancels some."""

    def __init__(self, server: FaultyServer, seed: int) -> None:
        self.random = Random(seed)
        self.checker = InvariantChecker()
        self.link = BackendLink(
            "test", HybridClock(), SuspectTable(lambda: 0.0), lambda: Transport(self.checker)
        )
        self.link.address = server.address
        self.server = server
        self.done = 0
        self.wrong_answers = 0

    async def call_through_link(self, number: int) -> bytes | None:
        self.link.address = self.server.address
        answer = await self.link.run(context(number), b"%d" % number)
        return answer.body if answer.outcome is Outcome.DONE else None

    async def call_through_transport(self, number: int) -> bytes | None:
        headers = {CALL_ID: f"call-{number}"}
        try:
            reply = await self.link.transport.send(
                "POST", self.server.address, "/read", headers, b"%d" % number, 2.0
            )
        except RoutingError:
            return None
        return reply.body if reply.headers.get(OUTCOME) == "done" else None

    async def call_one(self, number: int) -> None:
        await sleep(self.random.uniform(0.0, 0.2))
        send = self.call_through_link if number % 2 else self.call_through_transport
        calling = create_task(send(number))
        if self.random.random() < 0.2:
            await sleep(self.random.uniform(0.0, 0.01))
            calling.cancel()
        try:
            body = await calling
        except CancelledError:
            return
        if body is None:
            return
        self.done += 1
        self.wrong_answers += body != b"answer to %d" % number


async def simulate(seed: int, echoes: bool) -> tuple[Caller, FaultyServer]:
    async with FaultyServer(seed, echoes) as server:
        caller = Caller(server, seed)
        await gather(*(caller.call_one(number) for number in range(CALLS)))
        await caller.link.close()
        return caller, server


class WholeAnswersTest(TestCase):
    """Guards against a truncated answer, and against the answer to another call."""

    def test_no_wrong_answer_from_a_server_that_echoes_call_ids(self) -> None:
        for seed in range(4):
            caller, _ = run(simulate(seed, echoes=True))
            self.assertEqual(caller.wrong_answers, 0, f"seed {seed}")
            self.assertGreater(caller.done, 10)
            self.assertGreater(caller.checker.violations[Invariant.ANSWER_TO_ITS_CALLER], 0)

    def test_no_wrong_answer_from_a_server_that_does_not_echo_call_ids(self) -> None:
        for seed in range(4):
            caller, server = run(simulate(seed, echoes=False))
            self.assertEqual(caller.wrong_answers, 0, f"seed {seed}")
            self.assertGreater(caller.done, 10)
            # Without the echo, no connection is reused.
            self.assertEqual(server.max_requests_per_connection, 1)

    def test_connections_to_a_server_that_echoes_are_reused(self) -> None:
        """Guards against a new connection for each call."""

        async def scenario() -> FaultyServer:
            async with FaultyServer(1, echoes=True) as server:
                server.faults = ("whole",)
                caller = Caller(server, 1)
                for number in range(50):
                    self.assertIsNotNone(await caller.call_through_link(number))
                await caller.link.close()
                return server

        self.assertEqual(run(scenario()).connections, 2)

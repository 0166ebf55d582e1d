"""Open-loop load: requests start on schedule whether or not earlier ones have finished."""

from asyncio import Task, create_task, gather, sleep
from random import Random
from time import perf_counter
from typing import NamedTuple

from coltsfoottrack._internal.calls.context import (
    DEADLINE_MS,
    IDEMPOTENCY_KEY,
    NEXT_KEY,
    REQUEST_ID,
    read_answer,
)
from coltsfoottrack._internal.calls.exceptions import BadRequestError
from coltsfoottrack._internal.calls.outcome import Answer, Outcome, Reason, refused, unknown
from coltsfoottrack._internal.routing.exceptions import ConnectionLostError, NotSentError
from coltsfoottrack._internal.routing.transport import Transport

GRACE_SECONDS = 0.5


class RequestKind(NamedTuple):
    """One kind of request in the mix, with its share of the load."""

    service: str
    operation: str
    priority: str
    idempotent: bool
    share: float


class Phase(NamedTuple):
    """A stretch of time with a constant rate."""

    name: str
    seconds: float
    requests_per_second: float


class RequestResult(NamedTuple):
    """What became of one request, as its caller saw it."""

    phase: str
    kind: RequestKind
    request_id: str
    started: float
    seconds: float
    answer: Answer
    on_time: bool
    wrong_answer: bool


class LoadGenerator:
    """Plays phases against entry nodes, with a seed that fixes kinds and entries."""

    def __init__(
        self, kinds: list[RequestKind], entries: list[str], deadline_ms: int, seed: int
    ) -> None:
        self.kinds = kinds
        self.entries = entries
        self.deadline_ms = deadline_ms
        self.random = Random(seed)
        self.seed = seed
        self.results: list[RequestResult] = []
        self.sent = 0
        self.started = 0.0

    async def play(self, phases: list[Phase]) -> list[RequestResult]:
        """Plays the phases and returns the result of every request."""
        transport = Transport()
        tasks: list[Task[None]] = []
        self.started = perf_counter()
        offset = 0.0
        for phase in phases:
            count = int(phase.seconds * phase.requests_per_second)
            for index in range(count):
                due = self.started + offset + index / phase.requests_per_second
                delay = due - perf_counter()
                if delay > 0:
                    await sleep(delay)
                tasks.append(create_task(self._one(transport, phase)))
            offset += phase.seconds
            rest = self.started + offset - perf_counter()
            if rest > 0:
                await sleep(rest)
        await gather(*tasks)
        await transport.close()
        return self.results

    async def _one(self, transport: Transport, phase: Phase) -> None:
        weights = [kind.share for kind in self.kinds]
        kind = self.random.choices(self.kinds, weights)[0]
        entry = self.random.choice(self.entries)
        self.sent += 1
        request_id = f"load-{self.seed}-{self.sent}"
        body = f"order {self.sent}".encode()
        started = perf_counter()
        answer = await self._send(transport, entry, kind, request_id, body)
        seconds = perf_counter() - started
        expected = request_id.encode() + b" " + body
        self.results.append(
            RequestResult(
                phase=phase.name,
                kind=kind,
                request_id=request_id,
                started=started - self.started,
                seconds=seconds,
                answer=answer,
                on_time=seconds * 1000.0 <= self.deadline_ms,
                wrong_answer=answer.outcome is Outcome.DONE and answer.body != expected,
            )
        )

    async def _send(
        self, transport: Transport, entry: str, kind: RequestKind, request_id: str, body: bytes
    ) -> Answer:
        """Sends a request; a non-idempotent one is sent again with the key it is told to use."""
        headers = {REQUEST_ID: request_id, DEADLINE_MS: str(self.deadline_ms)}
        path = f"/v1/services/{kind.service}/{kind.operation}"
        seconds = self.deadline_ms / 1000.0 + GRACE_SECONDS
        answer = refused(Reason.NO_NODE)
        for _ in range(2):
            try:
                reply = await transport.send("POST", entry, path, headers, body, seconds)
                answer = read_answer(reply.status, reply.headers, reply.body)
            except NotSentError:
                return refused(Reason.NO_NODE)
            except (ConnectionLostError, BadRequestError):
                return unknown(Reason.CONNECTION_LOST)
            if answer.reason is not Reason.KEY_REQUIRED:
                return answer
            headers[IDEMPOTENCY_KEY] = reply.headers.get(NEXT_KEY, "")
        return answer

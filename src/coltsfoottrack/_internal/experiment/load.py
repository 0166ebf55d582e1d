"""Open-loop load: requests start on schedule whether or not earlier ones have finished."""

from asyncio import Task, create_task, gather, sleep
from random import Random
from time import perf_counter
from typing import NamedTuple

from coltsfoottrack._internal.calls.outcome import Answer, Outcome, Reason
from coltsfoottrack._internal.experiment.sending import RequestSender
from coltsfoottrack._internal.routing.transport import Transport

GRACE_SECONDS = 0.5
RESEND_TIMEOUT_SECONDS = 0.5


class RequestKind(NamedTuple):
    """One kind of request in the mix, with its share of the load."""

    service: str
    operation: str
    priority: str
    idempotent: bool
    share: float


class Phase(NamedTuple):
    """A period with a constant request rate."""

    name: str
    seconds: float
    requests_per_second: float
    # Maximum of immediate resends by a caller after a refusal or no answer.
    resends: int = 0


class RequestResult(NamedTuple):
    """The result of one request as its caller saw it."""

    phase: str
    kind: RequestKind
    request_id: str
    started: float
    seconds: float
    answer: Answer
    on_time: bool
    wrong_answer: bool
    resends: int = 0
    # An earlier send got no answer, so the request may have run before the last one.
    earlier_unanswered: bool = False
    body: bytes = b""
    # The last key that was sent, and whether a copy under it may have run.
    key: str = ""
    may_have_run: bool = True


class LoadGenerator:
    """Sends requests to entry nodes in phases; the seed determines kinds and entry nodes."""

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

    async def play(self, phases: list[Phase], start_at: float | None = None) -> list[RequestResult]:
        """Runs the phases and returns the result of every request.

        ``start_at`` is a reading of ``perf_counter``, which on Linux is the same in all processes.
        """
        transport = Transport()
        tasks: list[Task[None]] = []
        self.started = perf_counter() if start_at is None else start_at
        offset = 0.0
        for phase in phases:
            count = int(phase.seconds * phase.requests_per_second)
            for index in range(count):
                due = self.started + offset + index / phase.requests_per_second
                delay = due - perf_counter()
                if delay > 0:
                    await sleep(delay)
                tasks.append(create_task(self._send_one(transport, phase)))
            offset += phase.seconds
            rest = self.started + offset - perf_counter()
            if rest > 0:
                await sleep(rest)
        await gather(*tasks)
        await transport.close()
        return self.results

    async def _send_one(self, transport: Transport, phase: Phase) -> None:
        weights = [kind.share for kind in self.kinds]
        kind = self.random.choices(self.kinds, weights)[0]
        entry = self.random.choice(self.entries)
        self.sent += 1
        request_id = f"load-{self.seed}-{self.sent}"
        body = f"order {self.sent}".encode()
        path = f"/v1/services/{kind.service}/{kind.operation}"
        started = perf_counter()
        resends = 0
        earlier_unanswered = False
        while True:
            left = self.deadline_ms / 1000.0 - (perf_counter() - started)
            answer_timeout = left + GRACE_SECONDS
            if phase.resends:
                answer_timeout = min(left, RESEND_TIMEOUT_SECONDS)
            sender = RequestSender(transport, self.entries, self.random, kind.idempotent)
            answer = await sender.send(entry, path, request_id, body, left, answer_timeout)
            unanswered = answer.reason is Reason.CONNECTION_LOST
            if answer.outcome is not Outcome.REFUSED and not (unanswered and kind.idempotent):
                break
            out_of_time = perf_counter() - started >= self.deadline_ms / 1000.0
            if resends == phase.resends or out_of_time:
                break
            resends += 1
            earlier_unanswered = earlier_unanswered or unanswered
            entry = self.random.choice(self.entries)
        seconds = perf_counter() - started
        expected = request_id.encode() + b" " + body
        self.results.append(
            RequestResult(
                phase=phase.name,
                kind=kind,
                request_id=request_id,
                started=started - self.started,
                seconds=seconds,
                answer=answer._replace(body=b""),
                on_time=seconds * 1000.0 <= self.deadline_ms,
                wrong_answer=answer.outcome is Outcome.DONE and answer.body != expected,
                resends=resends,
                earlier_unanswered=earlier_unanswered,
                body=body,
                key=sender.key,
                may_have_run=sender.may_have_run,
            )
        )

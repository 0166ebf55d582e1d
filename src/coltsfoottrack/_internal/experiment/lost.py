"""Classifies lost critical requests by what is known about their execution."""

from asyncio import gather, run
from collections import Counter
from json import loads
from pathlib import Path
from typing import NamedTuple

from coltsfoottrack._internal.calls.context import (
    DEADLINE_MS,
    IDEMPOTENCY_KEY,
    REQUEST_ID,
    read_answer,
)
from coltsfoottrack._internal.calls.exceptions import BadRequestError
from coltsfoottrack._internal.calls.outcome import Outcome
from coltsfoottrack._internal.experiment.load import RequestResult
from coltsfoottrack._internal.experiment.report import is_good
from coltsfoottrack._internal.routing.exceptions import ConnectionLostError, NotSentError
from coltsfoottrack._internal.routing.transport import Transport

RESEND_TIMEOUT_SECONDS = 2.0
NEVER_DISPATCHED = "never dispatched"
FINISHED = "finished, told when asked again"
RAN = "ran, outcome lost"
OTHER = "told refused, failed or late"
IN_DOUBT = "in doubt, not run"


def lost_critical(results: list[RequestResult]) -> list[RequestResult]:
    """Returns the critical requests that did not succeed on time."""
    lost = []
    for result in results:
        if result.kind.priority == "critical" and not is_good(result):
            lost.append(result)
    return lost


def resend_unknown(results: list[RequestResult], entry: str) -> dict[str, Outcome]:
    """Resends requests with an unknown outcome; returns the outcomes reported by request id.

    A used key never runs again, so this is safe. Requests whose key was never sent are skipped.
    """
    unknown = []
    for result in lost_critical(results):
        if result.answer.outcome is Outcome.UNKNOWN and result.key and result.may_have_run:
            unknown.append(result)
    return run(_resend_all(unknown, entry)) if unknown else {}


async def _resend_all(results: list[RequestResult], entry: str) -> dict[str, Outcome]:
    transport = Transport()
    outcomes = await gather(*(_resend(transport, result, entry) for result in results))
    await transport.close()
    return {result.request_id: outcome for result, outcome in zip(results, outcomes, strict=True)}


async def _resend(transport: Transport, result: RequestResult, entry: str) -> Outcome:
    headers = {
        REQUEST_ID: result.request_id,
        IDEMPOTENCY_KEY: result.key,
        DEADLINE_MS: str(int(RESEND_TIMEOUT_SECONDS * 1000)),
    }
    path = f"/v1/services/{result.kind.service}/{result.kind.operation}"
    try:
        reply = await transport.send(
            "POST", entry, path, headers, result.body, RESEND_TIMEOUT_SECONDS + 1.0
        )
        return read_answer(reply.status, reply.headers, reply.body).outcome
    except (NotSentError, ConnectionLostError, BadRequestError):
        return Outcome.UNKNOWN


class LostRow(NamedTuple):
    """Number of lost critical requests of one kind and with one reported outcome."""

    kind: str
    told: str
    count: int


def lost_rows(
    results: list[RequestResult], resent: dict[str, Outcome], run_log: Path
) -> list[LostRow]:
    """Counts the lost critical requests by kind and reported outcome."""
    ran = set()
    for line in run_log.read_text(encoding="utf-8").splitlines():
        entry = loads(line)
        ran.add((entry["request_id"], entry["service"]))
    counts: Counter[tuple[str, str]] = Counter()
    for result in lost_critical(results):
        answer = result.answer
        has_run = (result.request_id, result.kind.service) in ran
        if answer.outcome is not Outcome.UNKNOWN:
            kind = OTHER
        elif not result.may_have_run:
            kind = NEVER_DISPATCHED
        elif resent.get(result.request_id) in (Outcome.DONE, Outcome.FAILED):
            kind = FINISHED
        else:
            kind = RAN if has_run else IN_DOUBT
        counts[(kind, f"{answer.outcome}: {answer.reason}")] += 1
    return [LostRow(kind, told, count) for (kind, told), count in sorted(counts.items())]

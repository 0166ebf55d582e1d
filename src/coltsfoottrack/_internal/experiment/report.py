"""Computes statistics from the results of a load."""

from collections import Counter
from collections.abc import Iterable
from json import loads
from pathlib import Path
from typing import NamedTuple

from coltsfoottrack._internal.calls.outcome import Outcome
from coltsfoottrack._internal.experiment.load import RequestResult

RECOVERY_STEP_SECONDS = 0.25
RECOVERY_SPAN_SECONDS = 1.0
RECOVERED_SHARE = 0.99


class OutcomeRow(NamedTuple):
    """Counts of one phase and priority."""

    phase: str
    priority: str
    sent: int
    done: int
    late: int
    refused: int
    failed: int
    unknown: int
    p50_ms: float
    p99_ms: float


class RunCheck(NamedTuple):
    """Violations found by comparing the results with the run log of the backend servers."""

    run_twice: int
    run_though_refused: int
    wrong_answers: int

    @property
    def violations(self) -> int:
        """Number of violations of all kinds."""
        return self.run_twice + self.run_though_refused + self.wrong_answers


def percentile(values: list[float], share: float) -> float:
    """Returns the value below which the given share of the values lies, 0 for none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


def is_good(result: RequestResult) -> bool:
    """Returns whether a request succeeded on time with the expected answer."""
    return result.answer.outcome is Outcome.DONE and result.on_time and not result.wrong_answer


def outcome_rows(results: list[RequestResult]) -> list[OutcomeRow]:
    """Counts outcomes by phase and priority, in order of first occurrence."""
    groups: dict[tuple[str, str], list[RequestResult]] = {}
    for result in results:
        groups.setdefault((result.phase, result.kind.priority), []).append(result)
    rows = []
    for (phase, priority), group in groups.items():
        outcomes = Counter(result.answer.outcome for result in group)
        good = [result for result in group if is_good(result)]
        latencies = [result.seconds * 1000.0 for result in good]
        rows.append(
            OutcomeRow(
                phase=phase,
                priority=priority,
                sent=len(group),
                done=len(good),
                late=outcomes[Outcome.DONE] - len(good),
                refused=outcomes[Outcome.REFUSED],
                failed=outcomes[Outcome.FAILED],
                unknown=outcomes[Outcome.UNKNOWN],
                p50_ms=percentile(latencies, 0.5),
                p99_ms=percentile(latencies, 0.99),
            )
        )
    return rows


def goodput(results: Iterable[RequestResult], phase: str, seconds: float) -> float:
    """Returns the good requests per second of a phase."""
    good = [result for result in results if result.phase == phase and is_good(result)]
    return len(good) / seconds


def recovery_seconds(
    results: list[RequestResult], normal_phase: str, trigger_end: float
) -> float | None:
    """Returns the seconds after the trigger's end until goodput is back at 99% of its normal share.

    The share must be reached over the requests that start within the next second, and over all
    later requests. Returns None if it never is.
    """
    normal = [is_good(result) for result in results if result.phase == normal_phase]
    needed = RECOVERED_SHARE * sum(normal) / max(1, len(normal))
    later = sorted((r.started - trigger_end, is_good(r)) for r in results)
    last = later[-1][0]
    moment = 0.0
    while moment + RECOVERY_SPAN_SECONDS <= last:
        rest = [good for start, good in later if start >= moment]
        span = [good for start, good in later if 0 <= start - moment < RECOVERY_SPAN_SECONDS]
        if span and sum(span) >= needed * len(span) and sum(rest) >= needed * len(rest):
            return moment
        moment += RECOVERY_STEP_SECONDS
    return None


def check_runs(results: list[RequestResult], run_log: Path) -> RunCheck:
    """Compares the reported outcomes with the runs in the backend servers' run log."""
    runs: Counter[tuple[str, str]] = Counter()
    if run_log.exists():
        for line in run_log.read_text(encoding="utf-8").splitlines():
            run = loads(line)
            runs[(run["request_id"], f"{run['service']}/{run['operation']}")] += 1
    run_twice = 0
    run_though_refused = 0
    wrong_answers = 0
    for result in results:
        count = runs[(result.request_id, f"{result.kind.service}/{result.kind.operation}")]
        if not result.kind.idempotent and count > 1:
            run_twice += 1
        reported_not_run = (
            result.answer.outcome is Outcome.REFUSED and not result.earlier_unanswered
        )
        if reported_not_run and count:
            run_though_refused += 1
        if result.wrong_answer:
            wrong_answers += 1
    return RunCheck(run_twice, run_though_refused, wrong_answers)

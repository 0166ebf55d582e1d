"""Runs one scenario against one variant of the product and reports its statistics."""

from asyncio import run
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from json import loads
from multiprocessing import get_context
from pathlib import Path
from tempfile import TemporaryDirectory
from time import perf_counter, sleep
from typing import NamedTuple

from coltsfoottrack._internal.calls.outcome import Outcome
from coltsfoottrack._internal.experiment.capacity import capacity_per_second
from coltsfoottrack._internal.experiment.deployments import WHEEL_WORKS, Deployment
from coltsfoottrack._internal.experiment.fleet import Fleet, FleetVariant
from coltsfoottrack._internal.experiment.load import (
    LoadGenerator,
    Phase,
    RequestKind,
    RequestResult,
)
from coltsfoottrack._internal.experiment.lost import (
    LostRow,
    lost_critical,
    lost_rows,
    resend_unknown,
)
from coltsfoottrack._internal.experiment.outage import (
    PairRecovery,
    possible_goodput,
    wait_for_recovery,
)
from coltsfoottrack._internal.experiment.report import (
    OutcomeRow,
    RunCheck,
    check_runs,
    is_good,
    outcome_rows,
    recovery_seconds,
)
from coltsfoottrack._internal.experiment.scenarios import (
    COLD_START_MS,
    LYING_SLOTS_FACTOR,
    NORMAL_LOAD_FACTOR,
    Scenario,
)
from coltsfoottrack._internal.experiment.shapes import FleetShape

SEED = 20261204
DEADLINE_MS = 1000
# Service times are doubled so that the load generator stays below half of the machine's cores.
TIME_FACTOR = 2
LOAD_PROCESSES = 3
START_DELAY_SECONDS = 1.5
BEFORE_SECONDS = 4.0
DURING_SECONDS = 6.0
AFTER_SECONDS = 5.0


class TrialReport(NamedTuple):
    """Statistics of one trial; rates in end-to-end requests per second, times in seconds."""

    variant: str
    capacity: float
    capacity_during: float
    offered_before: float
    offered_during: float
    goodput_before: float
    goodput_during: float
    goodput_after: float
    recovery: float | None
    wasted_during: float
    wasted_total: float
    critical_lost: int
    check: RunCheck
    rows: list[OutcomeRow]
    reasons: dict[str, int]
    violations_logged: int
    lost: list[LostRow]
    # Mean goodput that was possible while a service was down and cold; None in other scenarios.
    possible_during: float | None = None
    # Seconds from the trigger until each node pair of that service served again.
    returns: tuple[PairRecovery, ...] = ()

    @property
    def goodput_share(self) -> float:
        """Goodput during the trigger as a share of what capacity and load allow."""
        return self.goodput_during / min(self.capacity_during, self.offered_during)


def run_trial(
    scenario: Scenario, variant: FleetVariant, deployment: Deployment = WHEEL_WORKS
) -> TrialReport:
    """Starts a fleet, runs the scenario and stops the fleet."""
    shape = deployment.shape(TIME_FACTOR)
    with TemporaryDirectory(prefix="coltsfoottrack-") as directory:
        fleet = Fleet.from_config(shape, Path(directory), variant)
        if scenario.lying_load and variant.source is None:
            slots = fleet.service_shape(deployment.deep_service).slots
            fleet.backend_settings[deployment.deep_service] = {
                "announced_slots": slots * LYING_SLOTS_FACTOR,
                "load_report_factor": 0,
            }
        phases = _phases(scenario, shape, deployment.mix)
        try:
            fleet.start()
            results, returns = _play(scenario, fleet, phases, deployment)
            resent = resend_unknown(results, fleet.pairs[0].call_address)
        finally:
            fleet.kill_all()
        report = _report(scenario, variant, fleet, phases, results, resent, deployment)
    if not returns:
        return report
    possible = possible_goodput(
        shape,
        deployment.mix,
        deployment.deep_service,
        returns,
        COLD_START_MS / 1000.0,
        DURING_SECONDS,
        report.offered_during,
    )
    return report._replace(possible_during=possible, returns=tuple(returns))


def _phases(scenario: Scenario, shape: FleetShape, mix: list[RequestKind]) -> list[Phase]:
    capacity = capacity_per_second(shape, mix)
    normal = capacity * NORMAL_LOAD_FACTOR
    return [
        Phase("before", BEFORE_SECONDS, normal),
        Phase("during", DURING_SECONDS, capacity * scenario.load_factor, scenario.resends),
        Phase("after", AFTER_SECONDS, normal),
    ]


def play_share(
    mix: list[RequestKind], entries: list[str], phases: list[Phase], seed: int, start_at: float
) -> list[RequestResult]:
    """Generates one process's share of the load; runs in a separate process."""
    return run(LoadGenerator(mix, entries, DEADLINE_MS, seed).play(phases, start_at))


def _play(
    scenario: Scenario, fleet: Fleet, phases: list[Phase], deployment: Deployment
) -> tuple[list[RequestResult], list[PairRecovery]]:
    """Returns the results, and the recovery times of the node pairs that the scenario restarts."""
    entries = [pair.call_address for pair in fleet.pairs]
    shares = []
    for phase in phases:
        rate = phase.requests_per_second / LOAD_PROCESSES
        shares.append(phase._replace(requests_per_second=rate))
    results: list[RequestResult] = []
    with ProcessPoolExecutor(LOAD_PROCESSES, mp_context=get_context("spawn")) as pool:
        start_at = perf_counter() + START_DELAY_SECONDS
        pending = []
        for index in range(LOAD_PROCESSES):
            # Staggered, so that the processes do not send at the same instants.
            offset = index / phases[0].requests_per_second
            pending.append(
                pool.submit(
                    play_share, deployment.mix, entries, shares, SEED + index, start_at + offset
                )
            )
        _sleep_until(start_at + BEFORE_SECONDS)
        returns = _start_trigger(scenario, fleet, deployment)
        _sleep_until(start_at + BEFORE_SECONDS + DURING_SECONDS)
        _end_trigger(scenario, fleet, deployment.deep_service)
        for share in pending:
            results.extend(share.result())
    return results, returns


def _sleep_until(moment: float) -> None:
    sleep(max(0.0, moment - perf_counter()))


def _start_trigger(scenario: Scenario, fleet: Fleet, deployment: Deployment) -> list[PairRecovery]:
    if scenario.slow_factor != 1.0:
        for pair in fleet.pairs_of(deployment.deep_service):
            fleet.slow_backend(pair, scenario.slow_factor)
    if scenario.lose_domain:
        for pair in fleet.pairs:
            if pair.failure_domain == deployment.lost_domain:
                fleet.kill(pair.node_process)
                fleet.kill(pair.backend_process)
    if not scenario.cold_start:
        return []
    trigger = perf_counter()
    fleet.backend_settings[deployment.deep_service] = {"cold_start_ms": COLD_START_MS}
    for pair in fleet.pairs_of(deployment.deep_service):
        fleet.kill(pair.node_process)
        fleet.kill(pair.backend_process)
    for pair in fleet.pairs_of(deployment.deep_service):
        fleet.start_node(pair)
        fleet.start_backend(pair)
    return wait_for_recovery(fleet.pairs_of(deployment.deep_service), trigger)


def _end_trigger(scenario: Scenario, fleet: Fleet, deep_service: str) -> None:
    if scenario.slow_factor != 1.0:
        for pair in fleet.pairs_of(deep_service):
            fleet.slow_backend(pair, 1.0)


def _capacity_during(scenario: Scenario, shape: FleetShape, deployment: Deployment) -> float:
    slow = {deployment.deep_service: scenario.slow_factor}
    return capacity_per_second(shape, deployment.mix, slow, 1 if scenario.lose_domain else 0)


def _report(
    scenario: Scenario,
    variant: FleetVariant,
    fleet: Fleet,
    phases: list[Phase],
    results: list[RequestResult],
    resent: dict[str, Outcome],
    deployment: Deployment,
) -> TrialReport:
    before, during, after = phases
    reasons: Counter[str] = Counter()
    for result in results:
        if result.answer.reason:
            reasons[f"{result.answer.outcome}: {result.answer.reason}"] += 1
    # A failed domain stays down, so recovery is measured from its failure.
    trigger_end = before.seconds + (0.0 if scenario.lose_domain else during.seconds)
    wasted_during, wasted_total = _wasted(results, fleet.run_log, during.name)
    logged = 0
    for log in fleet.directory.glob("node-*.log"):
        logged += log.read_text(encoding="utf-8", errors="replace").count("invariant_violated")
    return TrialReport(
        variant=variant.name,
        capacity=capacity_per_second(fleet.shape, deployment.mix),
        capacity_during=_capacity_during(scenario, fleet.shape, deployment),
        offered_before=before.requests_per_second,
        offered_during=during.requests_per_second,
        goodput_before=_finished_per_second(results, 0.0, before.seconds),
        goodput_during=_finished_per_second(results, before.seconds, during.seconds),
        goodput_after=_finished_per_second(results, before.seconds + during.seconds, after.seconds),
        recovery=recovery_seconds(results, before.name, trigger_end),
        wasted_during=wasted_during,
        wasted_total=wasted_total,
        critical_lost=len(lost_critical(results)),
        check=check_runs(results, fleet.run_log),
        rows=outcome_rows(results),
        reasons=dict(reasons.most_common()),
        violations_logged=logged,
        lost=lost_rows(results, resent, fleet.run_log),
    )


def _finished_per_second(results: list[RequestResult], start: float, seconds: float) -> float:
    """Returns the good requests per second that finished within a period."""
    finished = 0
    for result in results:
        if is_good(result) and start <= result.started + result.seconds < start + seconds:
            finished += 1
    return finished / seconds


def _wasted(results: list[RequestResult], run_log: Path, phase: str) -> tuple[float, float]:
    """Returns the share of runs for requests that were not good, in a phase and overall."""
    good = {result.request_id: is_good(result) for result in results}
    phases = {result.request_id: result.phase for result in results}
    runs: Counter[tuple[bool, bool]] = Counter()
    for line in run_log.read_text(encoding="utf-8").splitlines():
        request_id = loads(line)["request_id"]
        if request_id in good:
            runs[(phases[request_id] == phase, good[request_id])] += 1
    of_phase = runs[(True, True)] + runs[(True, False)]
    lost = runs[(True, False)] + runs[(False, False)]
    return runs[(True, False)] / max(1, of_phase), lost / max(1, runs.total())

"""The demonstration behind ``make run``: a load surge against a fleet, and its outcomes."""

from asyncio import run
from collections import Counter
from pathlib import Path
from tempfile import TemporaryDirectory

from coltsfoottrack._internal.experiment.deployments import WHEEL_WORKS, Deployment
from coltsfoottrack._internal.experiment.fleet import Fleet
from coltsfoottrack._internal.experiment.load import (
    LoadGenerator,
    Phase,
    RequestResult,
)
from coltsfoottrack._internal.experiment.node_metrics import read_fleet_metrics
from coltsfoottrack._internal.experiment.report import (
    check_runs,
    goodput,
    outcome_rows,
    recovery_seconds,
)

SEED = 20261204
DEADLINE_MS = 1000
# The capacity of both deployments is 300/s, computed from their shapes.
PHASES = [
    Phase("before", 5.0, 150),
    Phase("surge", 6.0, 900),
    Phase("after", 6.0, 150),
]


def run_demo(deployment: Deployment = WHEEL_WORKS) -> int:
    """Runs the demonstration and prints its results; returns the number of violations."""
    with TemporaryDirectory(prefix="coltsfoottrack-") as directory:
        return _run_in(Path(directory), deployment)


def _run_in(directory: Path, deployment: Deployment) -> int:
    shape = deployment.shape(1)
    fleet = Fleet.from_config(shape, directory)
    total = sum(service.backend_servers for service in shape.services)
    print(
        f"{shape.name}: {total} backend servers, {total} nodes and a platform stand-in, in "
        f"{len(shape.failure_domains)} failure domains; slots scaled down by {shape.scale}"
    )
    try:
        fleet.start()
        entries = [pair.call_address for pair in fleet.pairs]
        load = LoadGenerator(deployment.demo_mix, entries, DEADLINE_MS, SEED)
        results = run(load.play(PHASES))
        metrics = read_fleet_metrics(fleet)
    finally:
        killed = fleet.stop()
    _print_outcomes(results)
    print("where the time went, mean of all calls that were admitted:")
    for row in metrics.waiting:
        print(
            f"  {row.service:9}{row.calls:6} calls, waited {row.mean_wait_ms:6.1f} ms for a slot, "
            f"ran {row.mean_run_ms:6.1f} ms with the calls below"
        )
    check = check_runs(results, fleet.run_log)
    print(
        f"run twice: {check.run_twice}, run though refused: {check.run_though_refused}, "
        f"wrong answers: {check.wrong_answers}, violations counted by nodes: "
        f"{metrics.violations}, processes that had to be killed: {len(killed)}"
    )
    return check.violations + metrics.violations


def _print_outcomes(results: list[RequestResult]) -> None:
    print(
        f"{'phase':8}{'priority':11}{'sent':>6}{'done':>6}{'late':>6}{'refused':>9}"
        f"{'failed':>8}{'unknown':>9}{'p50 ms':>8}{'p99 ms':>8}"
    )
    for row in outcome_rows(results):
        print(
            f"{row.phase:8}{row.priority:11}{row.sent:6}{row.done:6}{row.late:6}"
            f"{row.refused:9}{row.failed:8}{row.unknown:9}{row.p50_ms:8.1f}{row.p99_ms:8.1f}"
        )
    for phase in PHASES:
        rate = goodput(results, phase.name, phase.seconds)
        print(f"goodput {phase.name}: {rate:.0f}/s of {phase.requests_per_second:.0f}/s sent")
    recovered = recovery_seconds(results, PHASES[0].name, PHASES[0].seconds + PHASES[1].seconds)
    print("recovery: not reached" if recovered is None else f"recovery: {recovered:.2f} s")
    reasons: Counter[str] = Counter()
    for result in results:
        if result.answer.reason:
            reasons[f"{result.answer.outcome}: {result.answer.reason}"] += 1
    for reason, count in reasons.most_common():
        print(f"  {reason}: {count}")

"""``coltsfoottrack experiment``: measures overload control with real processes."""

from pathlib import Path

from coltsfoottrack._internal.cli.exceptions import EXIT_BAD_INPUT, CommandError
from coltsfoottrack._internal.experiment.comparison import to_json, to_text
from coltsfoottrack._internal.experiment.deployments import WHEEL_WORKS, find_deployment
from coltsfoottrack._internal.experiment.exceptions import ExperimentError
from coltsfoottrack._internal.experiment.fleet import FleetVariant
from coltsfoottrack._internal.experiment.scenarios import find_scenario
from coltsfoottrack._internal.experiment.trial import run_trial


def experiment(
    scenario: str,
    against: str = "",
    output: str = "text",
    baseline: bool = True,
    deployment: str = WHEEL_WORKS.name,
) -> None:
    """Runs an overload scenario and prints goodput, recovery time, outcomes and wasted work.

    Args:
        scenario: slow, surge, retries, all, domain, cold or lying.
        against: Directory of another checkout to measure for comparison.
        output: text or json.
        baseline: Also measure this checkout without admission, early refusal and retry limits.
        deployment: wheel-works or nadrau.
    """
    if output not in ("text", "json"):
        raise CommandError(f"--output {output!r} is neither text nor json", EXIT_BAD_INPUT)
    variants = [FleetVariant()]
    if baseline:
        variants.append(FleetVariant("decisions off", decisions_off=True))
    if against:
        source = Path(str(against)).resolve()
        if not (source / "src" / "coltsfoottrack").is_dir():
            raise CommandError(f"{source} is not a checkout of coltsfoottrack", EXIT_BAD_INPUT)
        variants.append(FleetVariant(f"checkout {source}", source))
    try:
        selected_scenario = find_scenario(str(scenario))
        selected_deployment = find_deployment(str(deployment))
        reports = [
            run_trial(selected_scenario, variant, selected_deployment) for variant in variants
        ]
    except ExperimentError as error:
        raise CommandError(str(error), EXIT_BAD_INPUT) from error
    print(
        to_json(selected_scenario, reports)
        if output == "json"
        else to_text(selected_scenario, reports)
    )
    violations = reports[0].check.violations + reports[0].violations_logged
    if violations:
        raise CommandError(f"{violations} invariant violations")

"""Overload scenarios of the experiment command."""

from typing import NamedTuple

from coltsfoottrack._internal.experiment.exceptions import ExperimentError

SLOW_FACTOR = 4.0
SURGE_FACTOR = 3.0
# Resends start only after refusals, so their trigger is a load just above capacity.
RETRY_LOAD_FACTOR = 1.5
NORMAL_LOAD_FACTOR = 0.6
RESENDS = 5
COLD_START_MS = 3000
# The announced slots are ten times the real slots, and the load endpoint reports no load.
LYING_SLOTS_FACTOR = 10


class Scenario(NamedTuple):
    """One trigger: what changes when it starts and is reverted when it ends."""

    name: str
    summary: str
    # Load during the trigger, as a multiple of the normal capacity.
    load_factor: float = NORMAL_LOAD_FACTOR
    slow_factor: float = 1.0
    resends: int = 0
    lose_domain: bool = False
    cold_start: bool = False
    lying_load: bool = False


SCENARIOS = [
    Scenario("slow", "a deep service runs at a quarter of its speed", slow_factor=SLOW_FACTOR),
    Scenario("surge", "three times the capacity is asked for", load_factor=SURGE_FACTOR),
    Scenario(
        "retries",
        "callers above capacity send again at once, up to 5 times",
        load_factor=RETRY_LOAD_FACTOR,
        resends=RESENDS,
    ),
    Scenario(
        "all",
        "slow, surge and retries at once",
        load_factor=SURGE_FACTOR,
        slow_factor=SLOW_FACTOR,
        resends=RESENDS,
    ),
    Scenario("domain", "a failure domain is lost, nodes and backend servers", lose_domain=True),
    Scenario("cold", "a whole service is restarted and starts cold", cold_start=True),
    Scenario(
        "lying",
        "surge, while load endpoints and announced slots are false",
        load_factor=SURGE_FACTOR,
        lying_load=True,
    ),
]


def find_scenario(name: str) -> Scenario:
    """Returns a scenario by name.

    Raises ExperimentError, naming the known scenarios, if there is none.
    """
    for scenario in SCENARIOS:
        if scenario.name == name:
            return scenario
    known = ", ".join(scenario.name for scenario in SCENARIOS)
    raise ExperimentError(f"scenario {name!r} is not one of {known}")

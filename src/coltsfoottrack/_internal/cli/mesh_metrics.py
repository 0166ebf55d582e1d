"""Fetches the metrics of the nodes of a mesh and computes rates."""

from collections import defaultdict
from typing import NamedTuple

from prometheus_client.parser import text_string_to_metric_families
from urllib3 import PoolManager, Retry, Timeout
from urllib3.exceptions import HTTPError

from coltsfoottrack._internal.mesh.metrics import METRIC_PREFIX
from coltsfoottrack._internal.mesh_local.names import METRICS_PATH

READ_TIMEOUT_SECONDS = 2.0
# Reason label of answers that come from the backend server.
ANSWERED = "answered"


class NodeMetrics(NamedTuple):
    """Metrics of one node at one time."""

    address: str
    # Metrics without labels by name, without the common prefix.
    values: dict[str, float]
    # Answers by route and reason.
    answers: dict[tuple[str, str], float]
    # Why the metrics could not be fetched, empty if they were.
    problem: str


class RouteRates(NamedTuple):
    """Answers of one route per second, summed over all nodes."""

    route: str
    answered: float
    # Answers that do not come from a backend server, by reason.
    others: dict[str, float]


def fetch_metrics(addresses: list[str]) -> list[NodeMetrics]:
    """Fetches the metrics of all nodes; ``problem`` is set for a node that does not answer."""
    pool = PoolManager(timeout=Timeout(READ_TIMEOUT_SECONDS), retries=Retry(0))
    return [_fetch_node_metrics(pool, address) for address in addresses]


def _fetch_node_metrics(pool: PoolManager, address: str) -> NodeMetrics:
    try:
        answer = pool.request("GET", f"http://{address}{METRICS_PATH}")
        if answer.status != 200:
            return NodeMetrics(address, {}, {}, f"status {answer.status}")
        return parse_metrics(address, answer.data.decode("utf-8"))
    except (HTTPError, ValueError) as error:
        return NodeMetrics(address, {}, {}, str(error))


def parse_metrics(address: str, text: str) -> NodeMetrics:
    """Parses a node's metrics. Raises ValueError if they are malformed or not of a mesh node."""
    values: dict[str, float] = {}
    answers: dict[tuple[str, str], float] = {}
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            name = sample.name.removeprefix(f"{METRIC_PREFIX}_")
            if name == sample.name:
                continue
            if name == "answers_total":
                answers[(sample.labels["route"], sample.labels["reason"])] = sample.value
            elif not sample.labels:
                values[name] = sample.value
    if not values:
        raise ValueError("no metrics of a node of a mesh")
    return NodeMetrics(address, values, answers, "")


def counter_increase(before: float, after: float) -> float:
    """Returns the increase of a counter; the counter of a restarted node starts from 0."""
    return after - before if after >= before else after


def relative_loads(metrics: list[NodeMetrics]) -> list[float]:
    """Returns arrivals relative to capacity of the nodes whose capacity is known."""
    loads = []
    for node in metrics:
        capacity = node.values.get("capacity", 0.0)
        if capacity:
            loads.append(node.values.get("arrivals", 0.0) / capacity)
    return loads


def total_increase(before: list[NodeMetrics], after: list[NodeMetrics], name: str) -> float:
    """Returns the increase of a counter over all nodes that answered both fetches."""
    total = 0.0
    for earlier, later in zip(before, after, strict=True):
        if earlier.problem or later.problem:
            continue
        total += counter_increase(earlier.values.get(name, 0.0), later.values.get(name, 0.0))
    return total


def mean_load_age(before: list[NodeMetrics], after: list[NodeMetrics]) -> float | None:
    """Returns the mean age in seconds of reported loads at choices between two fetches."""
    count = total_increase(before, after, "load_age_seconds_count")
    return total_increase(before, after, "load_age_seconds_sum") / count if count else None


def route_rates(
    before: list[NodeMetrics], after: list[NodeMetrics], seconds: float
) -> list[RouteRates]:
    """Returns the rates of all routes between two fetches from the same nodes."""
    rates: dict[str, dict[str, float]] = defaultdict(lambda: defaultdict(float))
    for earlier, later in zip(before, after, strict=True):
        if earlier.problem or later.problem:
            continue
        for (route, reason), count in later.answers.items():
            increase = counter_increase(earlier.answers.get((route, reason), 0.0), count)
            rates[route][reason] += increase / seconds
    found = []
    for route, reasons in sorted(rates.items()):
        others = {reason: rate for reason, rate in reasons.items() if reason != ANSWERED and rate}
        found.append(RouteRates(route, reasons.get(ANSWERED, 0.0), others))
    return found

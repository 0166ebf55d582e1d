"""Reads the metrics of a fleet's nodes from their admin ports."""

from collections import Counter
from typing import NamedTuple

from coltsfoottrack._internal.experiment.fleet import LOOPBACK, Fleet, NodePair

QUEUE_DELAY = "coltsfoottrack_queue_delay_seconds"
SERVICE_TIME = "coltsfoottrack_service_time_seconds"
VIOLATIONS = "coltsfoottrack_violations"


class WaitingRow(NamedTuple):
    """Mean queue delay and service time of one service's calls, from its nodes' metrics."""

    service: str
    calls: int
    mean_wait_ms: float
    mean_run_ms: float


class FleetMetrics(NamedTuple):
    """Metrics of all nodes of a fleet."""

    waiting: list[WaitingRow]
    violations: int


def read_fleet_metrics(fleet: Fleet) -> FleetMetrics:
    """Reads the metrics of every node; all of them must be running."""
    rows = []
    violations = 0.0
    for service in fleet.shape.services:
        sums: Counter[str] = Counter()
        for pair in fleet.pairs_of(service.name):
            sums.update(_metrics(fleet, pair))
        calls = sums[f"{QUEUE_DELAY}_count"]
        rows.append(
            WaitingRow(
                service=service.name,
                calls=int(calls),
                mean_wait_ms=1000.0 * sums[f"{QUEUE_DELAY}_sum"] / max(1.0, calls),
                mean_run_ms=1000.0 * sums[f"{SERVICE_TIME}_sum"] / max(1.0, calls),
            )
        )
        violations += sums[VIOLATIONS]
    return FleetMetrics(rows, int(violations))


def _metrics(fleet: Fleet, pair: NodePair) -> Counter[str]:
    """Returns the metrics of one node, summed over their labels."""
    reply = fleet.http.request("GET", f"http://{LOOPBACK}:{pair.admin_port}/metrics", timeout=5.0)
    values: Counter[str] = Counter()
    for line in reply.data.decode("utf-8").splitlines():
        if line.startswith("#") or not line.strip():
            continue
        name, _, value = line.rpartition(" ")
        values[name.partition("{")[0]] += float(value)
    return values

"""Computes the goodput that was possible while a service was down and then cold."""

from socket import create_connection
from time import perf_counter, sleep
from typing import NamedTuple

from urllib3 import PoolManager
from urllib3.exceptions import HTTPError

from coltsfoottrack._internal.experiment.capacity import capacity_per_second
from coltsfoottrack._internal.experiment.fleet import LOOPBACK, NodePair
from coltsfoottrack._internal.experiment.load import RequestKind
from coltsfoottrack._internal.experiment.shapes import FleetShape
from coltsfoottrack._internal.standins.backend import COLD_START_FACTOR

POLL_SECONDS = 0.01
RECOVERY_TIMEOUT_SECONDS = 5.0
STEP_SECONDS = 0.01


class PairRecovery(NamedTuple):
    """When a node and its backend server recovered, in seconds since the trigger, or None."""

    # The backend server listens; its cold period starts here.
    started: float | None
    # The node serves and has a backend server.
    ready: float | None


def wait_for_recovery(pairs: list[NodePair], trigger: float) -> list[PairRecovery]:
    """Waits until restarted nodes serve again; ``trigger`` is a reading of ``perf_counter``."""
    http = PoolManager(retries=False, timeout=1.0)
    started: dict[str, float] = {}
    ready: dict[str, float] = {}
    while len(ready) < len(pairs) and perf_counter() - trigger < RECOVERY_TIMEOUT_SECONDS:
        for pair in pairs:
            if pair.name not in started and _listens(pair.backend_port):
                started[pair.name] = perf_counter() - trigger
            if pair.name not in ready and _is_ready(http, pair.admin_port):
                ready[pair.name] = perf_counter() - trigger
        sleep(POLL_SECONDS)
    return [PairRecovery(started.get(pair.name), ready.get(pair.name)) for pair in pairs]


def _listens(port: int) -> bool:
    try:
        create_connection((LOOPBACK, port), timeout=1.0).close()
    except OSError:
        return False
    return True


def _is_ready(http: PoolManager, port: int) -> bool:
    try:
        return http.request("GET", f"http://{LOOPBACK}:{port}/ready").status == 200
    except HTTPError:
        return False


def possible_goodput(
    shape: FleetShape,
    mix: list[RequestKind],
    service: str,
    returns: list[PairRecovery],
    cold_seconds: float,
    seconds: float,
    offered: float,
) -> float:
    """Returns the mean goodput that load and capacity allowed after the trigger.

    A pair has no capacity until it is ready, then its share of the cold service's capacity until
    its cold period ends, and then its share of the full capacity. Every request of the mix is
    assumed to need the service. Requests that are queued from one step to the next are ignored.
    """
    warm = capacity_per_second(shape, mix) / len(returns)
    cold = capacity_per_second(shape, mix, {service: COLD_START_FACTOR}) / len(returns)
    total = 0.0
    steps = round(seconds / STEP_SECONDS)
    for step in range(steps):
        moment = step * STEP_SECONDS
        capacity = 0.0
        for recovery in returns:
            if recovery.started is None or recovery.ready is None or moment < recovery.ready:
                continue
            capacity += cold if moment < recovery.started + cold_seconds else warm
        total += min(offered, capacity)
    return total / steps

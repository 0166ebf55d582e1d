"""Computes the goodput that was possible while a service was down and then cold."""

from socket import create_connection
from time import perf_counter, sleep
from typing import NamedTuple

from urllib3 import PoolManager
from urllib3.exceptions import HTTPError

from coltsfoottrack._internal.experiment.capacity import capacity_per_second
from coltsfoottrack._internal.experiment.fleet import LOOPBACK, NodePlace
from coltsfoottrack._internal.experiment.load import RequestKind
from coltsfoottrack._internal.experiment.shapes import FleetShape
from coltsfoottrack._internal.standins.backend import COLD_START_FACTOR

POLL_SECONDS = 0.01
RECOVERY_TIMEOUT_SECONDS = 5.0
STEP_SECONDS = 0.01


class PlaceRecovery(NamedTuple):
    """When a node and its backend server recovered, in seconds since the trigger, or None."""

    # The backend server listens; its cold period starts here.
    started: float | None
    # The node serves and has a backend server.
    ready: float | None


def wait_for_recovery(places: list[NodePlace], trigger: float) -> list[PlaceRecovery]:
    """Waits until restarted nodes serve again; ``trigger`` is a reading of ``perf_counter``."""
    http = PoolManager(retries=False, timeout=1.0)
    started: dict[str, float] = {}
    ready: dict[str, float] = {}
    while len(ready) < len(places) and perf_counter() - trigger < RECOVERY_TIMEOUT_SECONDS:
        for place in places:
            if place.name not in started and _listens(place.backend_port):
                started[place.name] = perf_counter() - trigger
            if place.name not in ready and _is_ready(http, place.admin_port):
                ready[place.name] = perf_counter() - trigger
        sleep(POLL_SECONDS)
    return [PlaceRecovery(started.get(place.name), ready.get(place.name)) for place in places]


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
    returns: list[PlaceRecovery],
    cold_seconds: float,
    seconds: float,
    offered: float,
) -> float:
    """Returns the mean goodput that load and capacity allowed after the trigger.

    A place has no capacity until it is ready, then its share of the cold service's capacity until
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
        for place in returns:
            if place.started is None or place.ready is None or moment < place.ready:
                continue
            capacity += cold if moment < place.started + cold_seconds else warm
        total += min(offered, capacity)
    return total / steps

"""Capacity of a fleet, computed from its shape."""

from collections import Counter
from collections.abc import Mapping

from coltsfoottrack._internal.experiment.load import RequestKind
from coltsfoottrack._internal.experiment.shapes import FleetShape, OperationShape, ServiceShape


def capacity_per_second(
    shape: FleetShape,
    mix: list[RequestKind],
    slow_factors: Mapping[str, float] | None = None,
    lost_domains: int = 0,
) -> float:
    """Returns the end-to-end requests per second that the slots of the shape can serve.

    A slot is held for the service time plus the longest downstream call. Time on the network
    and in nodes is ignored, so the result is an upper bound.
    """
    slow = {} if slow_factors is None else slow_factors
    held: Counter[str] = Counter()
    for kind in mix:
        _add_held_seconds(shape, f"{kind.service}/{kind.operation}", kind.share, slow, held)
    remaining = 1.0 - lost_domains / len(shape.failure_domains)
    rates = []
    for service in shape.services:
        if held[service.name]:
            slots = service.backend_servers * remaining * service.slots
            rates.append(slots / held[service.name])
    return min(rates)


def _add_held_seconds(
    shape: FleetShape, call: str, share: float, slow: Mapping[str, float], held: Counter[str]
) -> float:
    """Adds the slot seconds of a call and its downstream calls; returns the call's duration."""
    service, operation = _find(shape, call)
    below = 0.0
    for target in operation.calls:
        below = max(below, _add_held_seconds(shape, target, share, slow, held))
    seconds = service.service_time_ms / 1000.0 * slow.get(service.name, 1.0) + below
    held[service.name] += share * seconds
    return seconds


def _find(shape: FleetShape, call: str) -> tuple[ServiceShape, OperationShape]:
    service_name, _, operation_name = call.partition("/")
    for service in shape.services:
        for operation in service.operations:
            if (service.name, operation.name) == (service_name, operation_name):
                return service, operation
    raise LookupError(f"shape {shape.name!r} has no operation {call!r}")

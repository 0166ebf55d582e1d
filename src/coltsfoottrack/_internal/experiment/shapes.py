"""Shapes of fleets for experiments: services, operations and the calls between them."""

from typing import NamedTuple

from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import (
    PRIORITY_CRITICAL,
    PRIORITY_NORMAL,
    PRIORITY_SHEDDABLE,
    FleetConfiguration,
    OperationPolicy,
)


class OperationShape(NamedTuple):
    """One operation and the calls that it makes."""

    name: str
    priority: int
    idempotent: bool
    calls: tuple[str, ...] = ()


class ServiceShape(NamedTuple):
    """One service: number of backend servers, and the slots and operations of each."""

    name: str
    backend_servers: int
    slots: int
    service_time_ms: int
    operations: tuple[OperationShape, ...]


class FleetShape(NamedTuple):
    """Services in failure domains, scaled down by a factor."""

    name: str
    failure_domains: tuple[str, ...]
    services: tuple[ServiceShape, ...]
    scale: int

    def configuration(self) -> FleetConfiguration:
        """Returns the initial fleet configuration: priority and idempotency of each operation."""
        configuration = FleetConfiguration()
        for service in self.services:
            for operation in service.operations:
                configuration.operations.append(
                    OperationPolicy(
                        service=service.name,
                        operation=operation.name,
                        priority=operation.priority,
                        idempotent=operation.idempotent,
                    )
                )
        configuration.defaults.SetInParent()
        return configuration


def wheel_works(time_factor: int = 1) -> FleetShape:
    """Returns the Wheel Works with slots scaled down by 10 and call chains three services deep.

    ``time_factor`` multiplies the service times, which lowers the capacity in requests per second.
    """
    lookup = OperationShape("lookup", PRIORITY_SHEDDABLE, True, ("fitments/fitting_lookup",))
    availability = OperationShape(
        "availability", PRIORITY_NORMAL, True, ("fitments/fitting_availability",)
    )
    allocate = OperationShape("allocate", PRIORITY_CRITICAL, True, ("fitments/fitting",))
    return FleetShape(
        name="wheel-works",
        failure_domains=("east", "west", "south"),
        scale=10,
        services=(
            ServiceShape("stores", 3, 8, 10 * time_factor, (lookup, availability, allocate)),
            ServiceShape(
                "casting",
                3,
                8,
                10 * time_factor,
                (OperationShape("order", PRIORITY_CRITICAL, False, ("stores/allocate",)),),
            ),
            ServiceShape(
                "shipping",
                3,
                8,
                10 * time_factor,
                (OperationShape("dispatch", PRIORITY_CRITICAL, False, ("stores/allocate",)),),
            ),
            ServiceShape(
                "fitments",
                3,
                2,
                20 * time_factor,
                (
                    OperationShape("fitting_lookup", PRIORITY_SHEDDABLE, True),
                    OperationShape("fitting_availability", PRIORITY_NORMAL, True),
                    OperationShape("fitting", PRIORITY_CRITICAL, True),
                ),
            ),
        ),
    )


def nadrau(time_factor: int = 1) -> FleetShape:
    """Returns Nadrau with slots scaled down by 10 and call chains three services deep.

    The sizes are those of the deployment. Operations and service times model its three kinds of
    work that must take effect once, with call chains as deep as those of the Wheel Works.
    """
    stock = OperationShape("stock", PRIORITY_SHEDDABLE, True, ("tracer/trace_stock",))
    status = OperationShape("status", PRIORITY_NORMAL, True, ("tracer/trace_status",))
    confirm = OperationShape("confirm", PRIORITY_CRITICAL, False, ("supply/reserve",))
    reserve = OperationShape("reserve", PRIORITY_CRITICAL, True, ("tracer/trace",))
    reorder = OperationShape("reorder", PRIORITY_CRITICAL, False, ("tracer/trace",))
    release = OperationShape("release", PRIORITY_CRITICAL, False, ("tracer/trace",))
    return FleetShape(
        name="nadrau",
        failure_domains=("lautoka", "nadi", "ba"),
        scale=10,
        services=(
            ServiceShape("storefront", 4, 7, 10 * time_factor, (stock, status, confirm)),
            ServiceShape("supply", 3, 9, 10 * time_factor, (reserve, reorder)),
            ServiceShape("dyehouse", 3, 9, 10 * time_factor, (release,)),
            ServiceShape(
                "tracer",
                3,
                2,
                20 * time_factor,
                (
                    OperationShape("trace_stock", PRIORITY_SHEDDABLE, True),
                    OperationShape("trace_status", PRIORITY_NORMAL, True),
                    OperationShape("trace", PRIORITY_CRITICAL, True),
                ),
            ),
        ),
    )

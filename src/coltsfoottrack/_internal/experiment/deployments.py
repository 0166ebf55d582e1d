"""Deployments for experiments and the demonstration: shape, request mix and what fails."""

from collections.abc import Callable
from typing import NamedTuple

from coltsfoottrack._internal.experiment.exceptions import ExperimentError
from coltsfoottrack._internal.experiment.load import RequestKind
from coltsfoottrack._internal.experiment.shapes import FleetShape, nadrau, wheel_works


class Deployment(NamedTuple):
    """One deployment, scaled down, with the mix of requests that its callers send."""

    name: str
    # Returns the shape, with service times multiplied by a factor.
    shape: Callable[[int], FleetShape]
    mix: list[RequestKind]
    # Lookups and critical requests only, for the demonstration.
    demo_mix: list[RequestKind]
    # The service at the end of all call chains, and the failure domain that experiments fail.
    deep_service: str
    lost_domain: str


WHEEL_WORKS = Deployment(
    name="wheel-works",
    shape=wheel_works,
    mix=[
        RequestKind("stores", "lookup", "sheddable", True, 0.64),
        RequestKind("stores", "availability", "normal", True, 0.30),
        RequestKind("casting", "order", "critical", False, 0.03),
        RequestKind("shipping", "dispatch", "critical", False, 0.03),
    ],
    demo_mix=[
        RequestKind("stores", "lookup", "sheddable", True, 0.8),
        RequestKind("casting", "order", "critical", False, 0.1),
        RequestKind("shipping", "dispatch", "critical", False, 0.1),
    ],
    deep_service="fitments",
    lost_domain="south",
)
NADRAU = Deployment(
    name="nadrau",
    shape=nadrau,
    mix=[
        RequestKind("storefront", "stock", "sheddable", True, 0.64),
        RequestKind("storefront", "status", "normal", True, 0.30),
        RequestKind("storefront", "confirm", "critical", False, 0.02),
        RequestKind("supply", "reorder", "critical", False, 0.02),
        RequestKind("dyehouse", "release", "critical", False, 0.02),
    ],
    demo_mix=[
        RequestKind("storefront", "stock", "sheddable", True, 0.8),
        RequestKind("supply", "reorder", "critical", False, 0.1),
        RequestKind("dyehouse", "release", "critical", False, 0.1),
    ],
    deep_service="tracer",
    lost_domain="ba",
)
DEPLOYMENTS = [WHEEL_WORKS, NADRAU]


def find_deployment(name: str) -> Deployment:
    """Returns a deployment by name.

    Raises ExperimentError, naming the known deployments, if there is none.
    """
    for deployment in DEPLOYMENTS:
        if deployment.name == name:
            return deployment
    known = ", ".join(deployment.name for deployment in DEPLOYMENTS)
    raise ExperimentError(f"deployment {name!r} is not one of {known}")

"""Checks of a routing configuration beyond its format, and what differs between two of them."""

from collections.abc import Iterable
from enum import StrEnum
from hashlib import blake2b
from typing import Any, NamedTuple

from coltsfoottrack._internal.mesh.model import Customer, Route, RoutingConfiguration

# Keys are secrets: they are shown as a digest of this many bytes.
KEY_DIGEST_BYTES = 4
# A smaller burst counts as this one.
MIN_BURST_REQUESTS = 1.0


class Severity(StrEnum):
    """Whether a finding makes a configuration wrong, or only suspicious."""

    ERROR = "error"
    WARNING = "warning"


class Finding(NamedTuple):
    """One problem of a configuration, and the entry that has it."""

    severity: Severity
    entry: str
    problem: str


class EntryChange(NamedTuple):
    """One value that differs between two configurations; None stands for an absent entry."""

    entry: str
    before: str | None
    after: str | None

    def line(self) -> str:
        """Returns the change as one line of a diff."""
        if self.before is None:
            return f"+ {self.entry}: {self.after}"
        if self.after is None:
            return f"- {self.entry}: {self.before}"
        return f"~ {self.entry}: {self.before} -> {self.after}"


def find_problems(configuration: RoutingConfiguration) -> list[Finding]:
    """Returns the problems of a decoded configuration, errors first."""
    findings = [
        *_hidden_routes(configuration.routes),
        *_contradicting_routes(configuration.routes),
        *_unmatched_services(configuration),
        *_ineffective_customers(configuration.customers),
    ]
    return sorted(findings, key=lambda finding: finding.severity)


def _hidden_routes(routes: tuple[Route, ...]) -> list[Finding]:
    """Finds routes whose host and prefix are repeated by a later route, which replaces them."""
    findings = []
    used = {(route.host, route.prefix): route.name for route in routes}
    for route in routes:
        last = used[(route.host, route.prefix)]
        if last != route.name:
            problem = f"can never match: route {last} has the same host and prefix"
            findings.append(Finding(Severity.ERROR, f"route {route.name}", problem))
    return findings


def _contradicting_routes(routes: Iterable[Route]) -> list[Finding]:
    findings = []
    for route in routes:
        entry = f"route {route.name}"
        if route.target_latency_ms > route.timeout_ms:
            problem = (
                f"target latency of {route.target_latency_ms} ms exceeds the timeout of "
                f"{route.timeout_ms} ms"
            )
            findings.append(Finding(Severity.WARNING, entry, problem))
        if route.timeout_ms <= 0 or route.max_attempts < 1:
            problem = "timeout and number of attempts must be at least 1"
            findings.append(Finding(Severity.ERROR, entry, problem))
        weights = [part.weight for part in route.services]
        if min(weights) < 0 or not any(weights):
            findings.append(Finding(Severity.ERROR, entry, "no service has a positive weight"))
            continue
        for part in route.services:
            if part.weight == 0:
                problem = f"service {part.service} has weight 0 and gets no requests"
                findings.append(Finding(Severity.WARNING, entry, problem))
    return findings


def _unmatched_services(configuration: RoutingConfiguration) -> list[Finding]:
    """Compares the services that routes name with those that the configuration declares."""
    declared = configuration.services
    if declared is None:
        return []
    findings = []
    used = set()
    for route in configuration.routes:
        for part in route.services:
            used.add(part.service)
            if part.service not in declared:
                problem = f"service {part.service} is not declared"
                findings.append(Finding(Severity.ERROR, f"route {route.name}", problem))
    for service in declared:
        if service not in used:
            findings.append(Finding(Severity.WARNING, f"service {service}", "no route uses it"))
    return findings


def _ineffective_customers(customers: tuple[Customer, ...] | None) -> list[Finding]:
    if customers is None:
        return []
    if not customers:
        return [Finding(Severity.WARNING, "customers", "none is declared, so no key is valid")]
    findings = []
    for customer in customers:
        entry = f"customer {customer.name}"
        if not customer.keys:
            findings.append(Finding(Severity.WARNING, entry, "can never match: it has no key"))
        if customer.rate_per_second > 0.0 and 0.0 < customer.burst < MIN_BURST_REQUESTS:
            problem = f"burst of {customer.burst:g} counts as one request"
            findings.append(Finding(Severity.WARNING, entry, problem))
        if customer.rate_per_second == 0.0 and customer.burst > 0.0:
            problem = "burst has no effect without a rate"
            findings.append(Finding(Severity.WARNING, entry, problem))
    return findings


def key_digest(key: bytes) -> str:
    """Returns a short digest that identifies a key without revealing it."""
    return blake2b(key, digest_size=KEY_DIGEST_BYTES).hexdigest()


def differences(
    before: RoutingConfiguration | None, after: RoutingConfiguration
) -> list[EntryChange]:
    """Returns what differs, by entry and field; all of ``after`` if there is no ``before``."""
    old = _flatten(before) if before is not None else {}
    new = _flatten(after)
    changes = []
    for entry in sorted(old.keys() | new.keys()):
        if old.get(entry) != new.get(entry):
            changes.append(EntryChange(entry, old.get(entry), new.get(entry)))
    return changes


def _flatten(configuration: RoutingConfiguration) -> dict[str, str]:
    """Returns the values of a configuration by entry and field; versions always differ."""
    values = {}
    for route in configuration.routes:
        # The rank follows from the priorities of all routes.
        fields = {**route._asdict(), "services": _services_text(route)}
        del fields["name"], fields["rank"]
        _add_fields(values, f"route {route.name}", fields)
    if configuration.customers is not None:
        values["customers"] = "requests need a key"
    for customer in configuration.customers or ():
        fields = {**customer._asdict(), "keys": sorted(map(key_digest, customer.keys))}
        del fields["name"]
        _add_fields(values, f"customer {customer.name}", fields)
    _add_fields(values, "limits", configuration.limits._asdict())
    for service in configuration.services or ():
        values[f"service {service}"] = "declared"
    return values


def _services_text(route: Route) -> str:
    return ", ".join(f"{part.service}={part.weight}" for part in route.services)


def _add_fields(values: dict[str, str], entry: str, fields: dict[str, Any]) -> None:
    for name, value in fields.items():
        values[f"{entry}.{name}"] = f"{value:g}" if isinstance(value, float) else str(value)

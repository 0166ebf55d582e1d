"""Customers of the soak: their keys and quotas by version, and what must hold for their requests.

All checks are made from outside: from what callers sent and were answered, from what arrived at the
backend servers, and from the nodes' logs.
"""

from collections.abc import Callable, Iterable, Sequence
from math import inf
from random import Random
from typing import Any, NamedTuple

from tests.soak.mesh_pairs import MeshPair
from tests.standins.http import Message

GENERAL = "general"
ROTATING = "rotating"
LIMITED = ("small", "tiny")
# Tokens per second; the burst has as many tokens.
RATES = {"small": 6.0, "tiny": 4.0}
LOWERED_RATIO = 1.0 / 3.0
# A version is in force at a node that was not disturbed within this time after it was stored.
IN_FORCE_SECONDS = 2.5
WINDOW_SECONDS = 5.0
WINDOW_FACTOR = 1.1
WINDOW_SLACK = 20.0
# Step in which the time is searched from which a lowered quota binds.
SETTLING_STEP_SECONDS = 0.25
# Cases of requests with their weights.
CASES = {
    "general": 3,
    "rotating": 5,
    "stable": 2,
    "removed": 4,
    "small": 2,
    "tiny": 1,
    "wrong": 1,
    "missing": 1,
    "other_scheme": 1,
}
OWN_TENANT_EVERY = 3

Disturbed = Callable[[str, float, float], bool]


class KeyPeriod(NamedTuple):
    """A key of a customer, and the times between which the newest version held it."""

    customer: str
    key: str
    added_at: float
    removed_at: float = inf


class Quota(NamedTuple):
    """Rate per second and burst of a customer from a time on."""

    since: float
    rate: float
    burst: float

    @property
    def allowed(self) -> float:
        """Requests that may reach backend servers in a window."""
        return (self.rate * WINDOW_SECONDS + self.burst) * WINDOW_FACTOR + WINDOW_SLACK


class Credentials(NamedTuple):
    """What a request carries: a key that some version held, or none, and its headers."""

    key: str
    headers: dict[str, str]


class KeyedRequest(NamedTuple):
    """A request as its caller saw it; status 0 if there was no answer."""

    request_id: str
    key: str
    status: int
    portal: str
    sent_at: float
    ended_at: float


class Customers:
    """Keys and quotas that the versions hold, and the keys that callers send."""

    def __init__(self, seed: int) -> None:
        self.random = Random(f"callers {seed}")
        self.keys: dict[str, KeyPeriod] = {}
        self.quotas: dict[str, list[Quota]] = {
            name: [Quota(-inf, rate, rate)] for name, rate in RATES.items()
        }
        # Additional requests of a customer for each step of the load.
        self.hot: dict[str, int] = dict.fromkeys(LIMITED, 0)
        self.choices = 0
        for name in (GENERAL, ROTATING, *LIMITED):
            self._add_key(name, -inf)
        self.rotating = self._add_key(ROTATING, -inf)

    def _add_key(self, customer: str, at: float) -> str:
        key = f"soakkey{len(self.keys)}{customer}"
        self.keys[key] = KeyPeriod(customer, key, at)
        return key

    def replace_key(self, now: float) -> None:
        """Removes the rotating key from the next version, which holds another in its place."""
        self.keys[self.rotating] = self.keys[self.rotating]._replace(removed_at=now)
        self.rotating = self._add_key(ROTATING, now)

    def set_rate(self, customer: str, rate: float, now: float) -> None:
        """Sets the quota of a customer in the next version."""
        self.quotas[customer].append(Quota(now, rate, rate))

    def tenants(self) -> dict[str, Any]:
        """Returns the customers in the form of the platform's configuration."""
        tenants: dict[str, Any] = {}
        for period in self.keys.values():
            entry = tenants.setdefault(
                period.customer, {"apiKeys": [], "priority": int(period.customer != GENERAL)}
            )
            if period.removed_at == inf:
                entry["apiKeys"].append(period.key)
        for name, quotas in self.quotas.items():
            tenants[name].update(ratePerS=quotas[-1].rate, burst=quotas[-1].burst)
        return tenants

    def credentials(self, case: str) -> Credentials:
        """Returns what a request of a case carries."""
        self.choices += 1
        headers = {}
        if self.choices % OWN_TENANT_EVERY == 0:
            headers["Tenant"] = self.random.choice((GENERAL, "intruder"))
        key = self._key_for(case)
        if case == "wrong":
            headers["Authorization"] = f"Bearer wrong{self.choices}"
        elif case == "other_scheme":
            headers["Authorization"] = f"Basic {self._key_of(GENERAL)}"
        elif key:
            headers["Authorization"] = f"{self.random.choice(('Bearer', 'bearer'))} {key}"
        return Credentials(key, headers)

    def choose(self) -> Credentials:
        """Returns what a request of a random case carries."""
        return self.credentials(self.random.choices(list(CASES), list(CASES.values()))[0])

    def _key_for(self, case: str) -> str:
        if case == "rotating":
            return self.rotating
        if case == "stable":
            return self._key_of(ROTATING)
        if case == "removed":
            removed = [key for key, period in self.keys.items() if period.removed_at < inf]
            return self.random.choice(removed) if removed else self.rotating
        return self._key_of(case) if case in (GENERAL, *LIMITED) else ""

    def _key_of(self, customer: str) -> str:
        """Returns the first key of a customer, which is never removed."""
        return next(key for key, period in self.keys.items() if period.customer == customer)

    def is_kept(self, key: str) -> bool:
        """Returns whether all versions hold a key."""
        period = self.keys.get(key)
        return period is not None and period.added_at == -inf and period.removed_at == inf


def key_violations(
    customers: Customers,
    requests: Iterable[KeyedRequest],
    runs: Callable[[str], int],
    was_disturbed: Disturbed,
) -> list[str]:
    """Returns requests that ran without a valid key, or were denied with one."""
    violations = []
    for request in requests:
        period = customers.keys.get(request.key)
        ran = runs(request.request_id)
        if period is None:
            if ran or request.status == 200:
                violations.append(f"{request.request_id} ran without a key of any version")
            continue
        settled_since = request.sent_at - IN_FORCE_SECONDS
        disturbed = was_disturbed(request.portal, settled_since, request.ended_at)
        if ran and period.removed_at <= settled_since and not disturbed:
            age = request.sent_at - period.removed_at
            violations.append(
                f"{request.request_id} ran at {request.portal}, its key removed {age:.2f} s earlier"
            )
        is_held = period.removed_at > request.ended_at and (
            period.added_at == -inf or (period.added_at <= settled_since and not disturbed)
        )
        if request.status == 401 and is_held:
            violations.append(f"{request.request_id} was denied with a valid key")
    return violations


def forwarding_violations(
    customers: Customers, messages: Iterable[Message], keys: dict[str, str], request_id_name: str
) -> list[str]:
    """Returns requests that told a backend server a wrong customer, or any key."""
    violations = []
    for message in messages:
        request_id = message.headers[request_id_name]
        period = customers.keys.get(keys.get(request_id, ""))
        expected = period.customer if period is not None else None
        tenant = message.headers.get("tenant")
        if tenant != expected:
            violations.append(f"{request_id} of {expected} arrived as one of {tenant}")
        text = f"{message.path} {message.headers} {message.body!r}"
        if "authorization" in message.headers or _holds_key(customers, text):
            violations.append(f"{request_id} brought a key to a backend server")
    return violations


def log_violations(customers: Customers, pairs: Iterable[MeshPair]) -> list[str]:
    """Returns nodes whose logs hold a key."""
    violations = []
    for pair in pairs:
        if _holds_key(customers, pair.log_path.read_text(encoding="utf-8", errors="replace")):
            violations.append(f"the log of {pair.name} holds a key")
    return violations


def _holds_key(customers: Customers, text: str) -> bool:
    return any(key in text for key in customers.keys)


def quota_violations(
    customers: Customers,
    arrivals: dict[str, list[float]],
    portals: Sequence[str],
    was_disturbed: Disturbed,
) -> list[str]:
    """Returns windows in which too many requests of a customer reached backend servers."""
    violations = []
    for name, quotas in customers.quotas.items():
        ends = []
        for quota in quotas[1:]:
            ends.append(_binds_from(quota.since, portals, was_disturbed))
        ends.append(inf)
        # A quota permits windows until the next one binds.
        periods = list(zip(quotas, ends, strict=True))
        times = sorted(arrivals.get(name, []))
        past = 0
        for first, start in enumerate(times):
            while past < len(times) and times[past] < start + WINDOW_SECONDS:
                past += 1
            allowed = max(
                quota.allowed
                for quota, end in periods
                if quota.since < start + WINDOW_SECONDS and start < end
            )
            if past - first > allowed:
                violations.append(
                    f"{past - first} requests of {name} in {WINDOW_SECONDS:.0f} s, "
                    f"{allowed:.0f} allowed"
                )
                break
    return violations


def _binds_from(stored_at: float, portals: Sequence[str], was_disturbed: Disturbed) -> float:
    """Returns when a quota binds: one window after its version is in force at all portals."""
    in_force_at = stored_at + IN_FORCE_SECONDS
    while any(was_disturbed(name, in_force_at - IN_FORCE_SECONDS, in_force_at) for name in portals):
        in_force_at += SETTLING_STEP_SECONDS
    return in_force_at + WINDOW_SECONDS

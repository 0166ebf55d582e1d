"""The policy of an operation: the defaults, then exceptions by scope."""

from datetime import UTC, datetime

from coltsfoottrack._internal.calls.context import CallGrant
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import (
    PRIORITY_SHEDDABLE,
    FleetConfiguration,
    OverloadPolicy,
    PolicyException,
)
from coltsfoottrack._internal.settings.rules import number_or_default

# Bounds the caches, as callers may send any operation name.
MAX_CACHE_ENTRIES = 10_000


class PolicyTable:
    """Looks up policies in one configuration; a new table is built for each generation."""

    def __init__(self, configuration: FleetConfiguration) -> None:
        self.configuration = configuration
        self.operations = {}
        for operation in configuration.operations:
            self.operations[(operation.service, operation.operation)] = operation
        self.cache: dict[tuple[str, str], OverloadPolicy] = {}
        self.grants: dict[tuple[str, str], CallGrant] = {}
        self.has_expiring_exceptions = any(e.expires for e in configuration.exceptions)

    def policy(self, service: str, operation: str = "") -> OverloadPolicy:
        """Returns the policy of an operation, or of the whole service if ``operation`` is empty."""
        cached = self.cache.get((service, operation))
        if cached is not None and not self.has_expiring_exceptions:
            return cached
        policy = OverloadPolicy()
        policy.CopyFrom(self.configuration.defaults)
        for scope in ("", operation):
            for exception in self.configuration.exceptions:
                if exception.service != service or exception.operation != scope:
                    continue
                if has_expired(exception, datetime.now(UTC)):
                    continue
                policy.MergeFrom(exception.policy)
            if not operation:
                break
        if len(self.cache) < MAX_CACHE_ENTRIES:
            self.cache[(service, operation)] = policy
        return policy

    def grant(self, service: str, operation: str) -> CallGrant:
        """Returns the priority, idempotency, deadlines and attempt budget granted to an operation.

        An operation that the configuration does not list is sheddable and not idempotent, because
        running it twice may do harm.
        """
        cached = self.grants.get((service, operation))
        if cached is not None and not self.has_expiring_exceptions:
            return cached
        policy = self.policy(service, operation)
        listed = self.operations.get((service, operation))
        grant = CallGrant(
            priority=PRIORITY_SHEDDABLE if listed is None else listed.priority,
            idempotent=listed is not None and listed.idempotent,
            default_deadline_ms=number_or_default(policy, "default_deadline_ms"),
            max_deadline_ms=number_or_default(policy, "max_deadline_ms"),
            attempt_budget=int(number_or_default(policy, "attempt_budget")),
        )
        if len(self.grants) < MAX_CACHE_ENTRIES:
            self.grants[(service, operation)] = grant
        return grant


def has_expired(exception: PolicyException, now: datetime) -> bool:
    """Returns whether an exception has an expiry that has passed."""
    if not exception.expires:
        return False
    expiry = datetime.fromisoformat(exception.expires)
    if expiry.tzinfo is None:
        expiry = expiry.replace(tzinfo=UTC)
    return expiry <= now

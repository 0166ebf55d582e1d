"""The shared rates that this node lends to others."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from coltsfoottrack._internal.mesh.decisions import DecisionLog
from coltsfoottrack._internal.mesh.model import QuotaBounds
from coltsfoottrack._internal.mesh.shared_rate.lent_rate import (
    FOLLOW_SECONDS,
    RETENTION_SECONDS,
    Borrower,
    LentRate,
)
from coltsfoottrack._internal.mesh.shared_rate.terms import START_SECONDS, RateTerms
from coltsfoottrack._internal.schema.links_pb2 import RateGrant, RateUsage

SWEEP_SECONDS = 0.2
# A rate of which no node has reported the use for this long is no longer lent.
UNUSED_SECONDS = 2.0 * RETENTION_SECONDS

Answer = Callable[[RateGrant], None]


class Contact(NamedTuple):
    """The last report of a node, and how to answer it."""

    sent_us: int
    at: float
    answer: Answer


class Lender:
    """Buckets of the names that other nodes borrow from this one."""

    def __init__(self, bounds: QuotaBounds, log: DecisionLog) -> None:
        self.bounds = bounds
        # Process of this node.
        self.epoch = 0
        self.log = log
        # Terms and names by digest.
        self.terms: dict[int, RateTerms] = {}
        self.names: dict[int, str] = {}
        self.rates: dict[int, LentRate] = {}
        self.contacts: dict[str, Contact] = {}
        self.swept_at = 0.0
        # Time of the first tick.
        self.started_at: float | None = None
        self.granted = 0
        # Reported names without a limit here, for example before a configuration has arrived.
        self.unknown_names = 0

    def is_starting(self, now: float) -> bool:
        """Returns whether this node has just started and may not know the others yet."""
        return self.started_at is None or now - self.started_at < START_SECONDS

    def set_limits(self, terms: dict[int, RateTerms], names: dict[int, str]) -> None:
        """Replaces the terms of all names."""
        self.terms = terms
        self.names = names
        for digest, rate in list(self.rates.items()):
            if digest not in terms:
                del self.rates[digest]
            elif terms[digest] != rate.terms:
                rate.set_terms(terms[digest])

    def handle_usage(self, node: str, usage: RateUsage, now: float, answer: Answer) -> None:
        """Handles a report and answers it; drops one that arrives after a later one."""
        if not usage.names and self.is_starting(now):
            # Lets the borrowers stay with the present lender until this one can lend.
            return
        count = len(usage.names)
        if len(usage.used) != count or len(usage.wanted) != count:
            self.log.count("rate_usage_malformed")
            return
        before = self.contacts.get(node)
        interval = None
        if before is not None:
            interval = (usage.sent_us - before.sent_us) / 1_000_000.0
            if interval < 0.0 and now - before.at < RETENTION_SECONDS:
                return
        self.contacts[node] = Contact(usage.sent_us, now, answer)
        grant = RateGrant(sent_us=usage.sent_us, epoch=self.epoch)
        for digest, used, wanted in zip(usage.names, usage.used, usage.wanted, strict=True):
            rate = self._rate(digest, now)
            if rate is None:
                self.unknown_names += 1
                continue
            rate.refill(now)
            borrower = rate.report(node, usage.epoch, used, wanted, interval, now)
            self._add_grant(grant, digest, rate, borrower)
        answer(grant)
        self._note_scarcity(usage.names, now)

    def _add_grant(self, grant: RateGrant, digest: int, rate: LentRate, borrower: Borrower) -> None:
        """Adds what a borrower may use of a rate to a grant."""
        grant.names.append(digest)
        grant.limits.append(rate.limit(borrower))
        grant.scarce.append(rate.scarce)
        grant.knows_use.append(rate.knows_use())
        self.granted += borrower.lent

    def _rate(self, digest: int, now: float) -> LentRate | None:
        rate = self.rates.get(digest)
        if rate is None and digest in self.terms:
            rate = self.rates[digest] = LentRate(self.terms[digest], self.bounds, now)
            self.log.decision("rate_lent", name=self.names[digest])
        return rate

    def tick(self, nodes: int, now: float) -> None:
        """Refills the buckets, tells the borrowers of rates that have become scarce."""
        if self.started_at is None:
            self.started_at = now
        for rate in self.rates.values():
            rate.refill(now)
        self._note_scarcity(self.rates, now)
        if now - self.swept_at >= SWEEP_SECONDS:
            self._sweep(nodes, now)

    def _note_scarcity(self, digests: Iterable[int], now: float) -> None:
        changed = []
        for digest in digests:
            rate = self.rates.get(digest)
            if rate is not None and rate.update_scarcity():
                self.log.decision(
                    "rate_scarce" if rate.scarce else "rate_plentiful",
                    name=self.names[digest],
                    level=int(rate.level),
                )
                if rate.scarce:
                    changed.append(digest)
        if changed:
            self._push(changed, now)

    def _push(self, digests: list[int], now: float) -> None:
        for node, contact in self.contacts.items():
            if now - contact.at > FOLLOW_SECONDS:
                continue
            grant = RateGrant(sent_us=contact.sent_us, epoch=self.epoch)
            for digest in digests:
                rate = self.rates[digest]
                borrower = rate.borrowers.get(node)
                if borrower is not None:
                    self._add_grant(grant, digest, rate, borrower)
            if grant.names:
                contact.answer(grant)

    def _sweep(self, nodes: int, now: float) -> None:
        # This node did not run for a while, so others may have taken its place.
        uncertain = now - self.swept_at > FOLLOW_SECONDS
        uncertain = uncertain or self.is_starting(now)
        self.swept_at = now
        for digest, rate in list(self.rates.items()):
            if uncertain:
                rate.suspend()
            rate.sweep(nodes, now)
            if not rate.borrowers and now - rate.updated_at > UNUSED_SECONDS:
                del self.rates[digest]
        for node, contact in list(self.contacts.items()):
            if now - contact.at > RETENTION_SECONDS:
                del self.contacts[node]

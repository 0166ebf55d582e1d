"""Rates that all nodes share: admits requests, reports their number to lenders, and lends."""

from collections.abc import Mapping
from typing import Protocol as Interface

from coltsfoottrack._internal.mesh.clock import current_time
from coltsfoottrack._internal.mesh.decisions import DecisionLog
from coltsfoottrack._internal.mesh.model import Member, QuotaBounds
from coltsfoottrack._internal.mesh.shared_rate.lender import Answer, Lender
from coltsfoottrack._internal.mesh.shared_rate.lender_choice import (
    choose_lender,
    lender_candidates,
)
from coltsfoottrack._internal.mesh.shared_rate.local_rate import (
    FALLBACK_RATIO,
    START_HOLD_SECONDS,
    LocalRate,
    Source,
)
from coltsfoottrack._internal.mesh.shared_rate.terms import RateTerms, TokenWait, name_digest
from coltsfoottrack._internal.schema.links_pb2 import Frame, RateGrant, RateUsage

MICROSECONDS = 1_000_000.0
REPORT_SECONDS = 0.5
SCARCE_REPORT_SECONDS = 0.14
# A lender that does not answer a report for this long is replaced.
ANSWER_SECONDS = 0.7
# Until then, but from this time on, sudden demand is not admitted.
HOLD_SECONDS = 0.14
# Pause between two attempts to reach a replaced lender.
PROBE_SECONDS = 1.0
# Shortest pause between two choices of lenders.
CHOICE_SECONDS = 0.2
# A process that starts uses an equal share of each rate for this long: after a restart of all
# nodes, no lender may lend before it knows that it is the only one.
START_SHARE_SECONDS = 3.0
# All nodes together use at most this part of a bucket before they report.
UNREPORTED_RATIO = 0.5
MIN_UNREPORTED = 2
# A node that uses this part of a bucket reports at once, so that the lender's level, which is
# capped by the capacity, loses no tokens that are in use.
LARGE_USE_RATIO = 0.125


class MeshAccess(Interface):
    """What a node knows of the mesh."""

    def own(self) -> Member:
        """Returns the record of this node."""

    def members(self) -> list[Member]:
        """Returns the records of all members that have not left, this node's own included."""

    def generation(self) -> int:
        """Returns a number that increases with each change of the set of members."""

    def send(self, member: Member, frame: Frame) -> None:
        """Sends a message to a member."""


class Loan:
    """The names that this node borrows from one lender."""

    def __init__(self, member: Member, now: float) -> None:
        self.member = member
        self.rates: list[LocalRate] = []
        self.reported_at = 0.0
        # Time of the earliest report without an answer, None if all are answered.
        self.waiting_since: float | None = None
        self.held_back = False
        self.scarce = False

    def hold_back(self) -> None:
        """Admits no sudden demand while the lender does not answer."""
        self.held_back = True
        for rate in self.rates:
            rate.hold_back()


class SharedRates:
    """Shared rates of one node."""

    def __init__(self, mesh: MeshAccess, bounds: QuotaBounds, log: DecisionLog) -> None:
        self.mesh = mesh
        self.log = log
        self.rates: dict[str, LocalRate] = {}
        self.by_digest: dict[int, LocalRate] = {}
        self.lender = Lender(bounds, log)
        self.bounds = bounds
        self.loans: dict[str, Loan] = {}
        # Lenders that did not answer, and when they were last tried.
        self.avoided: dict[str, float] = {}
        self.chosen_generation = -1
        self.chosen_at = 0.0
        self.must_choose = False
        self.candidates: list[Member] = []
        self.nodes = 1
        self.last_sent_us = 0
        # Time of the first tick with a limit.
        self.started_at: float | None = None
        self.lender.epoch = mesh.own().epoch
        self.refused = 0
        # Whether this node has requests for a name without a valid grant.
        self.in_fallback = False

    def set_limits(self, limits: Mapping[str, RateTerms], now: float | None = None) -> None:
        """Replaces the limits of all names; names that are missing have none."""
        if not limits and not self.rates:
            return
        if now is None:
            now = current_time()
        rates: dict[str, LocalRate] = {}
        for name, terms in limits.items():
            rate = self.rates.get(name)
            if rate is None:
                rate = LocalRate(terms, name_digest(name), now)
            elif rate.terms != terms:
                rate.set_terms(terms)
            rates[name] = rate
        self.rates = rates
        self.by_digest = {rate.digest: rate for rate in rates.values()}
        self.lender.set_limits(
            {rate.digest: rate.terms for rate in rates.values()},
            {rate.digest: name for name, rate in rates.items()},
        )
        self.must_choose = True
        if not rates:
            self.loans = {}
            self.avoided = {}

    def try_take(self, name: str, now: float) -> TokenWait | None:
        """Takes a token and returns None, or returns when one is likely.

        A name without a limit is always admitted.
        """
        rate = self.rates.get(name)
        if rate is None:
            return None
        wait = rate.try_take(now)
        if wait is not None:
            self.refused += 1
        return wait

    def give_back(self, name: str) -> None:
        """Returns the token of a request that has reached no backend server."""
        rate = self.rates.get(name)
        if rate is not None and rate.used > 0:
            rate.used -= 1

    def tick(self, now: float) -> None:
        """Sends due reports and grants; does nothing while no name has a limit."""
        if not self.rates:
            return
        generation = self.mesh.generation()
        changed = generation != self.chosen_generation and now - self.chosen_at >= CHOICE_SECONDS
        if self.must_choose or changed:
            self._choose(generation, now)
        if self.started_at is None:
            self.started_at = now
        since_start = now - self.started_at
        if START_HOLD_SECONDS <= since_start < START_SHARE_SECONDS:
            self._share_after_start(self.started_at + START_SHARE_SECONDS, now)
        self.lender.tick(self.nodes, now)
        for loan in list(self.loans.values()):
            silent = 0.0 if loan.waiting_since is None else now - loan.waiting_since
            if silent > HOLD_SECONDS and not loan.held_back:
                loan.hold_back()
            if silent > ANSWER_SECONDS:
                self._avoid(loan.member.node, now)
            elif self._is_due(loan, now):
                self._report(loan, now)
        for node, tried_at in self.avoided.items():
            if now - tried_at >= PROBE_SECONDS:
                self._probe(node, now)
        if self.must_choose:
            self._choose(generation, now)
        self._note_fallback(now)

    def _share_after_start(self, until: float, now: float) -> None:
        """Lets this node use an equal share of each rate, and of what the bound spares."""
        for rate in self.rates.values():
            pace = rate.terms.rate_per_second / self.nodes
            rate.continue_after_start(pace, rate.continue_probability, now, until)

    def _choose(self, generation: int, now: float) -> None:
        """Assigns each name to its lender."""
        if generation != self.chosen_generation:
            members = self.mesh.members()
            self.nodes = max(1, len(members))
            self.candidates = lender_candidates(members)
        self.chosen_generation = generation
        self.chosen_at = now
        self.must_choose = False
        names = {member.node for member in self.candidates}
        self.avoided = {node: at for node, at in self.avoided.items() if node in names}
        loans: dict[str, Loan] = {}
        for rate in self.rates.values():
            rate.fallback_rate = FALLBACK_RATIO * rate.terms.rate_per_second / self.nodes
            rate.continue_probability = rate.terms.spare(self.bounds) / self.nodes
            capacity = rate.terms.capacity(self.bounds)
            rate.report_at = max(MIN_UNREPORTED, int(UNREPORTED_RATIO * capacity / self.nodes))
            rate.scarce_report_at = max(MIN_UNREPORTED, int(LARGE_USE_RATIO * capacity))
            member = choose_lender(rate.digest, self.candidates, self.avoided)
            if member is None:
                continue
            loan = loans.get(member.node)
            if loan is None:
                loan = loans[member.node] = self._loan(member, now)
            loan.rates.append(rate)
        self.loans = loans

    def _loan(self, member: Member, now: float) -> Loan:
        loan = self.loans.get(member.node)
        if loan is None:
            return Loan(member, now)
        loan.member = member
        loan.rates = []
        return loan

    def _is_due(self, loan: Loan, now: float) -> bool:
        elapsed = now - loan.reported_at
        if elapsed >= REPORT_SECONDS:
            return True
        if loan.scarce:
            if elapsed < SCARCE_REPORT_SECONDS:
                return any(rate.is_large() for rate in loan.rates)
            return any(rate.wanted or rate.wanted_before for rate in loan.rates)
        return any(rate.is_urgent() for rate in loan.rates)

    def _next_sent_us(self, now: float) -> int:
        self.last_sent_us = max(self.last_sent_us + 1, int(now * MICROSECONDS))
        return self.last_sent_us

    def _report(self, loan: Loan, now: float) -> None:
        usage = RateUsage(sent_us=self._next_sent_us(now), epoch=self.mesh.own().epoch)
        usage.names.extend([rate.digest for rate in loan.rates])
        usage.used.extend([rate.used for rate in loan.rates])
        usage.wanted.extend([rate.wanted for rate in loan.rates])
        for rate in loan.rates:
            rate.note_reported(now)
        loan.reported_at = now
        own = self.mesh.own()
        if loan.member.node == own.node:
            self.lender.handle_usage(
                own.node, usage, now, lambda grant: self.handle_grant(own.node, grant, now)
            )
            return
        if loan.waiting_since is None:
            loan.waiting_since = now
        self.mesh.send(loan.member, Frame(rate_usage=usage))

    def _avoid(self, node: str, now: float) -> None:
        self.avoided[node] = now
        self.must_choose = True
        self.loans.pop(node, None)
        self.log.decision("rate_lender_lost", lender=node)

    def _probe(self, node: str, now: float) -> None:
        self.avoided[node] = now
        for member in self.candidates:
            if member.node == node:
                usage = RateUsage(sent_us=self._next_sent_us(now), epoch=self.mesh.own().epoch)
                self.mesh.send(member, Frame(rate_usage=usage))

    def _note_fallback(self, now: float) -> None:
        """Logs when this node begins and ends to reach no lender for some name it uses."""
        using = False
        for rate in self.rates.values():
            if rate.expires <= now and (rate.wanted or rate.wanted_before):
                using = True
                break
        if using != self.in_fallback:
            self.in_fallback = using
            self.log.decision("rate_fallback_started" if using else "rate_fallback_ended")

    def handle_usage(self, node: str, usage: RateUsage, now: float, answer: Answer) -> None:
        """Handles the report of another node."""
        self.lender.handle_usage(node, usage, now, answer)

    def handle_grant(self, node: str, grant: RateGrant, now: float) -> None:
        """Handles a grant."""
        if node in self.avoided:
            del self.avoided[node]
            self.must_choose = True
            self.log.decision("rate_lender_returned", lender=node)
        loan = self.loans.get(node)
        count = len(grant.names)
        if loan is None or len(grant.limits) != count or len(grant.scarce) != count:
            return
        sent_at = grant.sent_us / MICROSECONDS
        loan.waiting_since = None
        loan.held_back = False
        loan.scarce = any(grant.scarce)
        source = Source(node, grant.epoch)
        # A node of an earlier version does not tell whether it knows the use.
        knows_use = grant.knows_use or [True] * count
        fields = zip(grant.names, grant.limits, grant.scarce, knows_use, strict=False)
        for digest, limit, scarce, knows in fields:
            rate = self.by_digest.get(digest)
            if rate is not None:
                rate.apply_grant(source, limit, scarce, sent_at, now, knows)

    def handle_unreachable(self, node: str, now: float) -> None:
        """Replaces a lender to which no connection can be opened."""
        if node in self.loans and self.loans[node].waiting_since is not None:
            self._avoid(node, now)

"""Charges the quota of a customer for its requests."""

from collections.abc import Iterable
from typing import Protocol

from coltsfoottrack._internal.mesh.entry_call import EntryCall
from coltsfoottrack._internal.mesh.model import Customer
from coltsfoottrack._internal.mesh.shared_rate.terms import RateTerms, TokenWait


class RateTokens(Protocol):
    """Tokens of named rates that are shared by all nodes."""

    def try_take(self, name: str, now: float) -> TokenWait | None:
        """Takes a token and returns None, or returns when one is likely."""

    def give_back(self, name: str) -> None:
        """Returns a token whose request has reached no backend server."""


class UnlimitedTokens:
    """Tokens without a limit."""

    def try_take(self, name: str, now: float) -> TokenWait | None:
        """Returns None."""
        return None

    def give_back(self, name: str) -> None:
        """Does nothing."""


def quotas(customers: Iterable[Customer]) -> dict[str, RateTerms]:
    """Returns the terms of the customers that have a limit, by name."""
    terms = {}
    for customer in customers:
        if customer.rate_per_second > 0.0:
            terms[customer.name] = RateTerms(customer.rate_per_second, customer.burst)
    return terms


def charge(call: EntryCall, tokens: RateTokens, now: float) -> TokenWait | None:
    """Charges a new request to its customer's quota.

    Returns None, or when a token is likely to be available if there is none.
    """
    if call.customer is None:
        return None
    wait = tokens.try_take(call.customer.name, now)
    if wait is None:
        call.charged = call.customer.name
    return wait


def settle(call: EntryCall, tokens: RateTokens) -> None:
    """Returns the token of a request that has ended and that no backend server can have received.

    Must be called after the last send has been counted in ``attempts`` if it may have run.
    """
    if call.charged and not call.attempts:
        tokens.give_back(call.charged)
    call.charged = ""

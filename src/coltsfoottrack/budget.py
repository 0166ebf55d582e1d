"""Bounds on retries: a budget that travels with a request, and a ratio per destination."""

from coltsfoottrack._internal.calls.budget import AttemptBudget, RetryRatio

__all__ = ["AttemptBudget", "RetryRatio"]

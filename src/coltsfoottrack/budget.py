"""Retry limits: a budget that is propagated with a request, and a ratio per destination."""

from coltsfoottrack._internal.calls.budget import AttemptBudget, RetryRatio

__all__ = ["AttemptBudget", "RetryRatio"]

"""Deadlines, which are propagated as the remaining time."""

from coltsfoottrack._internal.calls.deadline import Deadline

__all__ = ["Deadline"]

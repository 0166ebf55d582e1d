"""Deadlines that travel as time left."""

from coltsfoottrack._internal.calls.deadline import Deadline

__all__ = ["Deadline"]

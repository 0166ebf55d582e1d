"""Hybrid event clock, and the ring buffer of a process's events."""

from coltsfoottrack._internal.events.clock import HybridClock
from coltsfoottrack._internal.events.ring import EventRing

__all__ = ["EventRing", "HybridClock"]

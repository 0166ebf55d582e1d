"""Admission control by rank, and the concurrency limiter that it uses."""

from coltsfoottrack._internal.admission.controller import AdmissionController
from coltsfoottrack._internal.admission.exceptions import NotAdmittedError
from coltsfoottrack._internal.admission.limiter import ConcurrencyLimiter
from coltsfoottrack._internal.observability.invariants import InvariantChecker

__all__ = ["AdmissionController", "ConcurrencyLimiter", "InvariantChecker", "NotAdmittedError"]

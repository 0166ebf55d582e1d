"""Assertions of the product's invariants that stay on in every build."""

from collections import Counter
from enum import StrEnum
from time import time

from structlog import get_logger

logger = get_logger(__name__)


class Invariant(StrEnum):
    """The invariants that a node checks while it runs."""

    BOUNDED_RETRIES = "bounded_retries"
    SHED_ORDER = "shed_order"
    ANSWER_TO_ITS_CALLER = "answer_to_its_caller"
    NOT_RUN_MEANS_NOT_RUN = "not_run_means_not_run"
    AT_MOST_ONCE = "at_most_once"
    NO_WORK_WHEN_LEFT = "no_work_when_left"
    NO_CALL_CUT_OFF = "no_call_cut_off"
    CONFIGURATION_NEVER_REVERTS = "configuration_never_reverts"


class InvariantChecker:
    """Counts violations; the first of each kind and every thousandth is logged."""

    def __init__(self) -> None:
        self.violations: Counter[Invariant] = Counter()
        # Wall clock of the first violation of each kind, ms since the epoch.
        self.since_ms: dict[Invariant, int] = {}

    def check(self, holds: bool, invariant: Invariant, detail: str) -> bool:
        """Records a violation if the condition does not hold; returns the condition."""
        if holds:
            return True
        self.violations[invariant] += 1
        self.since_ms.setdefault(invariant, int(time() * 1000))
        if self.violations[invariant] % 1000 == 1:
            logger.error("invariant_violated", invariant=invariant.value, detail=detail)
        return False

    def total(self) -> int:
        """Returns the number of violations of all kinds."""
        return self.violations.total()

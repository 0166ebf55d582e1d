"""Checks of invariants at run time; they are never disabled."""

from collections import Counter
from collections.abc import Iterable
from enum import StrEnum
from time import time

from structlog import get_logger

from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import ViolationCount

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


INVARIANT_NAMES = frozenset(invariant.value for invariant in Invariant)
PROCESS_CLIENT = "client"


class InvariantChecker:
    """Counts violations; logs the first of each kind and then every thousandth."""

    def __init__(self) -> None:
        self.violations: Counter[Invariant] = Counter()
        # Wall-clock time of the first violation of each kind, in ms since the epoch.
        self.since_ms: dict[Invariant, int] = {}

    def check(self, holds: bool, invariant: Invariant, detail: str) -> bool:
        """Records a violation if ``holds`` is false; returns ``holds``."""
        if holds:
            return True
        self.violations[invariant] += 1
        self.since_ms.setdefault(invariant, int(time() * 1000))
        if self.violations[invariant] % 1000 == 1:
            logger.error("invariant_violated", invariant=invariant.value, detail=detail)
        return False

    def counts(self) -> list[ViolationCount]:
        """Returns the violations of each kind that occurred."""
        found = []
        for invariant, count in self.violations.items():
            since_ms = self.since_ms.get(invariant, 0)
            found.append(
                ViolationCount(invariant=invariant, count=count, since_ms=since_ms, process="node")
            )
        return found

    def total(self) -> int:
        """Returns the number of violations of all kinds."""
        return self.violations.total()


class ReportedViolations:
    """Violations that embedded clients reported, including those of ended processes.

    Each report has the totals of its process, so a lost or duplicate report causes no error.
    """

    def __init__(self) -> None:
        self.incarnation = 0
        self.current: Counter[Invariant] = Counter()
        self.ended: Counter[Invariant] = Counter()
        self.since_ms: dict[Invariant, int] = {}

    def update(self, incarnation: int, counts: Iterable[ViolationCount]) -> None:
        """Stores the totals that a client has counted since its process started."""
        if incarnation != self.incarnation:
            self.ended += self.current
            self.current.clear()
            self.incarnation = incarnation
        for item in counts:
            # Ignores unknown names, because names become values of a metric's label.
            if item.invariant in INVARIANT_NAMES:
                invariant = Invariant(item.invariant)
                self.current[invariant] = max(self.current[invariant], item.count)
                self.since_ms.setdefault(invariant, item.since_ms)

    def counts(self) -> list[ViolationCount]:
        """Returns the violations of each kind that were reported."""
        found = []
        for invariant, count in (self.ended + self.current).items():
            since_ms = self.since_ms[invariant]
            found.append(
                ViolationCount(
                    invariant=invariant, count=count, since_ms=since_ms, process=PROCESS_CLIENT
                )
            )
        return found

    def total(self) -> int:
        """Returns the number of violations of all kinds."""
        return self.ended.total() + self.current.total()

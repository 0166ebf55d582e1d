"""The configuration in force in this process."""

from asyncio import Event
from time import time

from structlog import get_logger

from coltsfoottrack._internal.configuration.exceptions import InvalidConfigurationError
from coltsfoottrack._internal.configuration.policy import PolicyTable
from coltsfoottrack._internal.configuration.validation import validate
from coltsfoottrack._internal.observability.invariants import Invariant, InvariantChecker
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import ConfigurationRecord

logger = get_logger(__name__)


class ConfigurationHolder:
    """Holds the newest configuration; a lower generation never replaces a higher one."""

    def __init__(self, checker: InvariantChecker) -> None:
        self.checker = checker
        self.record = ConfigurationRecord()
        self.policies = PolicyTable(self.record.configuration)
        self.since_ms = int(time() * 1000)
        self.problem = ""
        self.conflicts = 0
        self.unreadable = 0
        self.changed = Event()

    @property
    def generation(self) -> int:
        """The generation in force, or 0 if there is none yet."""
        return self.record.generation

    def offer(self, record: ConfigurationRecord, source: str) -> bool:
        """Puts a record in force if it is newer and valid, and returns whether it did.

        An equal generation with another change identifier counts as a conflict; the record that
        came first stays in force. An invalid record is logged and the last valid one stays.
        """
        if record.generation < self.record.generation or not record.generation:
            return False
        if record.generation == self.record.generation:
            self.compare(record.change_id, source)
            return False
        try:
            validate(record.configuration)
        except InvalidConfigurationError as error:
            self.report_unreadable(f"generation {record.generation}: {error}", source)
            return False
        before = self.record.generation
        self.record = ConfigurationRecord()
        self.record.CopyFrom(record)
        self.policies = PolicyTable(self.record.configuration)
        self.since_ms = int(time() * 1000)
        self.problem = ""
        self.checker.check(
            self.record.generation > before,
            Invariant.CONFIGURATION_NEVER_REVERTS,
            f"generation {self.record.generation} replaced {before}",
        )
        logger.info(
            "configuration_in_force",
            generation=record.generation,
            change_id=record.change_id,
            source=source,
        )
        self.changed.set()
        self.changed = Event()
        return True

    def report_unreadable(self, problem: str, source: str) -> None:
        """Counts and logs an unusable configuration; the last valid one stays in force."""
        self.unreadable += 1
        if problem == self.problem:
            return
        self.problem = problem
        logger.error("configuration_unreadable", problem=problem, source=source)

    def compare(self, change_id: str, source: str) -> None:
        """Counts and logs a conflict if ``source`` has another change under the same generation."""
        if change_id == self.record.change_id:
            return
        self.conflicts += 1
        problem = (
            f"generation {self.record.generation} is change {self.record.change_id} here and "
            f"{change_id} at {source}"
        )
        if problem != self.problem:
            self.problem = problem
            logger.error("configuration_conflict", problem=problem)

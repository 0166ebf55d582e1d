"""The configuration in force in one process."""

from asyncio import Event
from time import time

from structlog import get_logger

from coltsfoottrack._internal.configuration.policy import PolicyTable
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
        self.changed = Event()

    @property
    def generation(self) -> int:
        """Generation in force, 0 before the first."""
        return self.record.generation

    def offer(self, record: ConfigurationRecord, source: str) -> bool:
        """Puts a record in force if it is newer; returns whether it was."""
        if record.generation <= self.record.generation:
            return False
        before = self.record.generation
        self.record = record
        self.policies = PolicyTable(record.configuration)
        self.since_ms = int(time() * 1000)
        self.checker.check(
            record.generation > before,
            Invariant.CONFIGURATION_NEVER_REVERTS,
            f"generation {record.generation} replaced {before}",
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

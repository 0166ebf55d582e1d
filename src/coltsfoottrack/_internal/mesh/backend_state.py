"""The node's known state of its local backend server."""

from collections.abc import Callable
from typing import NamedTuple

from coltsfoottrack._internal.mesh.clock import current_time, unix_time_ms
from coltsfoottrack._internal.mesh.decisions import DecisionLog
from coltsfoottrack._internal.mesh.exceptions import ReportError
from coltsfoottrack._internal.mesh.model import (
    MAX_COLD_MS,
    MAX_SLOTS,
    BackendLeave,
    BackendReport,
)

# Fraction of the slots that is used: some backend servers slow down when nearly full and then
# finish fewer requests than with a few free slots.
USED_SLOTS_FRACTION = 0.95
# Backend servers with fewer slots than this use all of them.
MIN_SLOTS_WITH_HEADROOM = 8
# The clocks of a node and of its backend server usually differ by less.
CLOCK_DIFFERENCE_MS = 10_000
# A report may arrive this long after it was sent.
LATE_REPORT_SECONDS = 10.0
# A report whose start is further ahead comes from another writer; if it were believed, all later
# reports would count as older.
MAX_CLOCK_DIFFERENCE_MS = 86_400_000
# Bound on the servers whose leave is kept though none of their processes is known; beyond it, the
# oldest one is dropped.
MAX_UNDATED_LEAVES = 64


def usable_slots(slots: int) -> int:
    """Returns how many slots of a backend server are used."""
    if slots < MIN_SLOTS_WITH_HEADROOM:
        return slots
    return int(slots * USED_SLOTS_FRACTION)


class UndatedLeave(NamedTuple):
    """A leave that names a backend server of which no process was known."""

    # Time of the announcement, Unix time in milliseconds and by the clock of deadlines.
    unix_ms: int
    at: float


class Lifetime(NamedTuple):
    """Identifies one process of a backend server."""

    backend: str
    # Start of the process, Unix time in milliseconds.
    started_ms: int


class BackendState:
    """Identity and state of the local backend server, from its reports.

    Reports may arrive late or come from an earlier process; they are ordered by start time of the
    process and report number. A process that has announced its leave does not become ready again.
    """

    def __init__(self, address: str, log: DecisionLog) -> None:
        self.address = address
        self.log = log
        self.identifier = ""
        self.service = ""
        self.slots = 1
        self.started_ms = 0
        self.number = -1
        self.cold_until = 0.0
        self.ready = False
        self.left = False
        # The node is going to stop: other nodes prefer other members if there are any.
        self.node_leaving = False
        # The node accepts no more requests.
        self.node_closed = False
        self.refusal = "no_backend"
        # Process of the backend server that an earlier process of the node has recorded.
        self.earlier = Lifetime("", 0)
        # Leaves of servers of which no process was known, by identifier.
        self.undated_leaves: dict[str, UndatedLeave] = {}
        self.changed: Callable[[], None] = lambda: None
        # Called with a process that a later one has replaced, and whether it had announced that.
        self.on_replaced: Callable[[Lifetime, bool], None] = lambda lifetime, has_left: None

    @property
    def lifetime(self) -> Lifetime:
        """The present process of the backend server."""
        return Lifetime(self.identifier, self.started_ms)

    @property
    def accepting(self) -> bool:
        """Whether new requests may be sent to the backend server."""
        return self.ready and not self.left and not self.node_closed

    @property
    def preferred(self) -> bool:
        """Whether other nodes may choose this node while other members are available."""
        return self.accepting and not self.node_leaving

    @property
    def limit(self) -> int:
        """Maximum number of concurrent requests."""
        return usable_slots(self.slots)

    @property
    def cold_ms(self) -> int:
        """Remaining time of the cold start, in milliseconds."""
        return max(0, int((self.cold_until - current_time()) * 1000.0))

    def restore_leave(self, lifetime: Lifetime, number: int) -> None:
        """Restores a leave of which the store or another node has told.

        A leave is final: it binds even if a report with a higher number has arrived since.
        """
        if lifetime == self.lifetime and self.left:
            return
        if lifetime != self.lifetime:
            if lifetime.started_ms <= self.started_ms:
                return
            self._adopt(lifetime, number)
        self.left = True
        self.refusal = "backend_left"
        self.log.decision("leave_restored", backend=lifetime.backend, report_number=number)
        self.changed()

    def note_earlier(self, lifetime: Lifetime) -> None:
        """Notes which process of the backend server an earlier process of the node has known."""
        self.earlier = lifetime
        leave = self.undated_leaves.get(lifetime.backend)
        if leave is None or lifetime.started_ms > leave.unix_ms:
            return
        if lifetime.started_ms > self.started_ms:
            self._adopt(lifetime, 0)
            self._leave("left")

    def restore_undated_leave(self, backend: str, unix_ms: int) -> None:
        """Restores a leave that an earlier process of the node acknowledged before any report."""
        known = self.undated_leaves.get(backend)
        if known is not None and known.unix_ms >= unix_ms:
            return
        seconds_ago = max(0.0, (unix_time_ms() - unix_ms) / 1000.0)
        self._put_undated(backend, UndatedLeave(unix_ms, current_time() - seconds_ago))
        if self._left_undated(self.lifetime) and not self.left:
            self._leave("left")
        else:
            self.changed()

    def apply_report(self, report: BackendReport) -> None:
        """Applies a report. Raises ReportError if it names another address or a future start."""
        if report.address != self.address:
            raise ReportError(f"report names the address {report.address}, not {self.address}")
        if report.started_ms > unix_time_ms() + MAX_CLOCK_DIFFERENCE_MS:
            raise ReportError(f"report names a start in the future: {report.started_ms}")
        lifetime = Lifetime(report.backend, report.started_ms)
        leaving = report.draining or self._left_undated(lifetime)
        if not leaving and self._may_be_late(lifetime):
            self.log.decision(
                "report_after_leave", backend=report.backend, started_ms=report.started_ms
            )
            return
        if (report.started_ms, report.number) <= (self.started_ms, self.number):
            self.log.decision(
                "report_outdated",
                backend=report.backend,
                report_number=report.number,
                believed_number=self.number,
            )
            if leaving and lifetime == self.lifetime and not self.left:
                self._leave("draining")
            return
        is_new = lifetime != self.lifetime
        if not is_new and self.left:
            self.number = report.number
            return
        if is_new:
            self.on_replaced(self.lifetime, self.left)
        before = (self.identifier, self.accepting, self.slots, self.service)
        self.identifier = report.backend
        self.service = report.service
        self.slots = max(1, min(MAX_SLOTS, report.slots))
        self.started_ms = report.started_ms
        self.number = report.number
        self.cold_until = current_time() + min(MAX_COLD_MS, report.cold_ms) / 1000.0
        self.ready = not leaving
        self.left = leaving
        self.refusal = "backend_left" if self.left else "node_leaving"
        if is_new or before != (self.identifier, self.accepting, self.slots, self.service):
            self._log_change("draining" if leaving else "ready")

    def leave(self, announcement: BackendLeave) -> None:
        """Handles the announcement of a process of the backend server that it leaves.

        The announcement is acknowledged, so it binds also if it is the first that this node hears
        of the process.
        """
        lifetime = self._lifetime_of(announcement)
        self.log.decision(
            "deregistration",
            backend=announcement.backend,
            started_ms=None if lifetime is None else lifetime.started_ms,
            believed_backend=self.identifier,
            believed_started_ms=self.started_ms,
            believed_number=self.number,
            left=self.left,
        )
        if lifetime is None or lifetime == self.earlier:
            leave = UndatedLeave(unix_time_ms(), current_time())
            self._put_undated(announcement.backend, leave)
        if lifetime is None:
            self.changed()
            return
        if lifetime == self.lifetime:
            if not self.left:
                self._leave("left")
        elif lifetime.started_ms > self.started_ms:
            self._adopt(lifetime, 0)
            self._leave("left")

    def _lifetime_of(self, announcement: BackendLeave) -> Lifetime | None:
        """Returns the process that an announcement is about, None if it cannot be told."""
        if announcement.started_ms is not None:
            return Lifetime(announcement.backend, announcement.started_ms)
        known = [
            lifetime
            for lifetime in (self.lifetime, self.earlier)
            if lifetime.backend == announcement.backend
        ]
        # After a restart from an old copy of the store, the present process may be the older one.
        return max(known, key=lambda lifetime: lifetime.started_ms, default=None)

    def _put_undated(self, backend: str, leave: UndatedLeave) -> None:
        """Notes that the processes of a backend server that had started by then leave."""
        self.undated_leaves.pop(backend, None)
        if len(self.undated_leaves) >= MAX_UNDATED_LEAVES:
            del self.undated_leaves[next(iter(self.undated_leaves))]
        self.undated_leaves[backend] = leave

    def last_undated_leave(self) -> tuple[str, int]:
        """Returns the server and the Unix time in ms of the last undated leave, or "" and 0."""
        latest = ("", 0)
        for backend, leave in self.undated_leaves.items():
            if leave.unix_ms > latest[1]:
                latest = (backend, leave.unix_ms)
        return latest

    def _left_undated(self, lifetime: Lifetime) -> bool:
        """Returns whether a process started long before an undated leave, which is then its own."""
        leave = self.undated_leaves.get(lifetime.backend)
        return leave is not None and lifetime.started_ms <= leave.unix_ms - CLOCK_DIFFERENCE_MS

    def _may_be_late(self, lifetime: Lifetime) -> bool:
        """Returns whether a report may come late from the process that has left.

        It may as well come from the next process, which started soon afterwards by another clock,
        so it is passed over only for as long as a report may be late.
        """
        leave = self.undated_leaves.get(lifetime.backend)
        if leave is None or lifetime == self.lifetime or lifetime.started_ms > leave.unix_ms:
            return False
        return current_time() - leave.at < LATE_REPORT_SECONDS

    def _adopt(self, lifetime: Lifetime, number: int) -> None:
        """Makes a process of which only its leave is known the present one."""
        self.on_replaced(self.lifetime, self.left)
        self.identifier = lifetime.backend
        self.started_ms = lifetime.started_ms
        self.number = number
        self.ready = False

    def leave_by_answer(self, lifetime: Lifetime) -> None:
        """Handles an answer in which a process of the backend server states that it leaves."""
        if lifetime == self.lifetime and not self.left:
            self._leave("left_by_answer")

    def _leave(self, state: str) -> None:
        self.left = True
        self.refusal = "backend_left"
        self._log_change(state)

    def mark_crashed(self, reason: str) -> bool:
        """Records a crash; returns whether it was new. The next report clears it."""
        if not self.ready:
            return False
        self.ready = False
        self.refusal = "backend_down"
        self._log_change(reason)
        return True

    def set_node_leaving(self) -> None:
        """Makes other nodes prefer other members, since the node is going to stop."""
        self.node_leaving = True
        self._log_change("node_leaving")

    def close_node(self) -> None:
        """Refuses new requests, since the node is about to stop."""
        self.node_closed = True
        if not self.left:
            self.refusal = "node_leaving"
        self._log_change("node_closed")

    def _log_change(self, state: str) -> None:
        self.log.decision(
            "backend_state",
            backend=self.identifier,
            state=state,
            started_ms=self.started_ms,
            report_number=self.number,
            accepting=self.accepting,
            slots=self.slots,
        )
        self.changed()

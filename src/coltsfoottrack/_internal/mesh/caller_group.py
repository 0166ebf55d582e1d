"""The connections of one port, bounded in number: who is accepted, and who gives way to whom."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from coltsfoottrack._internal.mesh.clock import current_time
from coltsfoottrack._internal.mesh.memory_account import MemoryAccount
from coltsfoottrack._internal.mesh.model import CallerLimits
from coltsfoottrack._internal.mesh.read_turns import ReadTurns

if TYPE_CHECKING:
    from coltsfoottrack._internal.mesh.caller_connection import CallerConnection

# Cost of a connection: its receive buffer, which the kernel makes twice the size that was set, and
# its objects.
CONNECTION_BYTES = 40 * 1024
# Callers may reuse a connection that was idle for this part of the idle timeout.
REUSED_IDLE_FRACTION = 0.8
# A caller may take this long from the start of a connection to its first request, if connections
# are scarce or the node stops.
FIRST_REQUEST_SECONDS = 1.0
# Part of the limit by which it may be exceeded for the time that a refusal takes.
REFUSED_FRACTION = 1 / 16
# Pause between two searches for connections that can be closed.
SEARCH_SECONDS = 0.1
# Part of the account that the answers to requests which were sent ahead may use.
AHEAD_FRACTION = 0.5
# Expected size of an answer before the first one, and the part of the difference by which it falls
# with each smaller answer.
FIRST_ANSWER_BYTES = 1024 * 1024
ANSWER_DECAY = 0.02


class CallerGroup:
    """The connections of one port."""

    def __init__(
        self,
        account: MemoryAccount,
        limit: Callable[[], int],
        turns: ReadTurns | None = None,
    ) -> None:
        self.account = account
        self.turns = turns or ReadTurns()
        # Returns how many connections the port may have now.
        self.limit = limit
        self.limits: Callable[[], CallerLimits] = CallerLimits
        self.connections: set[CallerConnection] = set()
        # Connections with requests that are not answered.
        self.busy = 0
        # Size of the larger ones of the latest answers, in bytes.
        self.answer_bytes = float(FIRST_ANSWER_BYTES)
        self.has_answered = False
        # Connections that can be closed for others, the last one first, and when they were found.
        self.closable: list[CallerConnection] = []
        self.searched_at = 0.0
        # Connections that were closed for others or because of what they held, by reason.
        self.aborted: dict[str, int] = {}
        # New connections that came while there were too many.
        self.over_limit = 0
        # Connections that were closed although their callers had not received all answers.
        self.unreceived_closed = 0

    def add(self, connection: "CallerConnection") -> None:
        """Registers a new connection; if there are too many, another one or this one is closed."""
        self.connections.add(connection)
        self.account.add(CONNECTION_BYTES)
        limit = self.limit()
        if len(self.connections) <= limit:
            return
        self.over_limit += 1
        if self._close_one():
            return
        connection.over_limit = True
        if len(self.connections) > limit + int(limit * REFUSED_FRACTION):
            connection.abort("connections")

    def remove(self, connection: "CallerConnection") -> None:
        """Removes a connection that is closed."""
        if connection in self.connections:
            self.connections.remove(connection)
            self.account.remove(CONNECTION_BYTES)

    def record_answer(self, size: int) -> None:
        """Records the size of an answer."""
        if size > self.answer_bytes or not self.has_answered:
            self.has_answered = True
            self.answer_bytes = float(size)
        else:
            self.answer_bytes += ANSWER_DECAY * (size - self.answer_bytes)

    def ahead_bytes(self) -> float:
        """Returns the share of one connection in the memory for answers to requests sent ahead."""
        return self.account.limit_bytes * AHEAD_FRACTION / max(1, self.busy)

    def note_aborted(self, reason: str) -> None:
        """Counts a connection that was closed at once."""
        self.aborted[reason] = self.aborted.get(reason, 0) + 1

    def sweep(self, now: float) -> None:
        """Enforces the timeouts of all connections."""
        limits = self.limits()
        for connection in list(self.connections):
            connection.sweep(now, limits)

    def close_all(self) -> None:
        """Closes all connections after the answers that were written to them."""
        for connection in list(self.connections):
            connection.handle_waiting(run_ahead=True)
            connection.close_after_answers()

    def drop_all(self) -> None:
        """Closes all connections at once, as the end of the process does."""
        for connection in list(self.connections):
            connection.transport.close()
            self.remove(connection)

    def is_finished(self, now: float) -> bool:
        """Returns whether the end of the process would cost no caller an answer."""
        return all(connection.is_finished(now) for connection in self.connections)

    def unreceived(self, now: float) -> int:
        """Returns the number of connections whose callers wait for answers not received yet."""
        return sum(connection.awaits_bytes(now) for connection in self.connections)

    def slow(self) -> list["CallerConnection"]:
        """Returns the connections whose callers make little progress."""
        return [connection for connection in self.connections if connection.is_slow]

    def _close_one(self) -> bool:
        """Closes the connection that is worth least; returns False if all are in proper use."""
        now = current_time()
        if not self.closable and now - self.searched_at > SEARCH_SECONDS:
            self.searched_at = now
            self.closable = self._find_closable(now)
        while self.closable:
            connection = self.closable.pop()
            if connection in self.connections and self._worth(connection, now) is not None:
                connection.abort("connections")
                return True
        return False

    def _find_closable(self, now: float) -> list["CallerConnection"]:
        found = []
        for connection in self.connections:
            connection.note_progress(now)
            worth = self._worth(connection, now)
            if worth is not None:
                found.append((worth, connection.idle_since, id(connection), connection))
        found.sort(reverse=True)
        return [entry[-1] for entry in found]

    def _worth(self, connection: "CallerConnection", now: float) -> int | None:
        """Returns the rank of a connection among those that can be closed, None if it cannot.

        The lowest is closed first: those that are about to close, then those that make no progress,
        those that never had a request, and those that were idle for longer than a caller reuses
        them. An answer that its caller has not received yet is worth as much as no progress.
        """
        if connection.linger_until is not None:
            return 1 if connection.has_unreceived() else 0
        if connection.over_limit:
            return 0
        if connection.waiting:
            return 1 if connection.is_slow and connection.unread_since is not None else None
        if connection.receiving_since is not None:
            return 1 if connection.is_slow else None
        idle = now - connection.idle_since
        if not connection.answered:
            return 2 if idle > FIRST_REQUEST_SECONDS else None
        idle_timeout = self.limits().idle_timeout_ms / 1000.0
        if idle <= idle_timeout * REUSED_IDLE_FRACTION:
            return None
        return 3 if connection.is_idle(now) else None

"""Events for changes of the configuration, the members and the backend server."""

from asyncio import FIRST_COMPLETED, ensure_future, sleep, wait

from coltsfoottrack._internal.events.kinds import EventKind
from coltsfoottrack._internal.node.state import NodeState
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import MemberStatus

STATUS_PREFIX = "MEMBER_STATUS_"
# Groups changes of many members, as in a mass restart, into one comparison.
COALESCE_SECONDS = 0.2


class ChangeRecorder:
    """Records the differences between the node's present and previous view."""

    def __init__(self, state: NodeState) -> None:
        self.state = state
        self.generation = state.configuration.generation
        self.problem = state.configuration.problem
        self.members: dict[str, str] = {}

    async def run(self) -> None:
        """Records changes until cancelled."""
        state = self.state
        while True:
            pending = (
                ensure_future(state.configuration.changed.wait()),
                ensure_future(state.members.changed.wait()),
            )
            self.compare()
            try:
                await wait(pending, return_when=FIRST_COMPLETED)
            finally:
                for future in pending:
                    future.cancel()
            # Compares without delay, so that the event has the clock of the change.
            self.compare()
            await sleep(COALESCE_SECONDS)

    def compare(self) -> None:
        """Records the differences from the last comparison."""
        configuration = self.state.configuration
        ring = self.state.ring
        if configuration.generation != self.generation:
            self.generation = configuration.generation
            record = configuration.record
            detail = f"generation {record.generation}, change {record.change_id}, {record.author}"
            ring.add(EventKind.CONFIGURATION.value, reason="in_force", detail=detail)
        if configuration.problem != self.problem:
            self.problem = configuration.problem
            if self.problem:
                detail = self.problem[:200]
                ring.add(EventKind.CONFIGURATION.value, reason="unusable", detail=detail)
        self._compare_members()

    def _compare_members(self) -> None:
        statuses = {}
        for key, member in self.state.members.members.items():
            status = MemberStatus.Name(member.status).removeprefix(STATUS_PREFIX).lower()
            statuses[key] = (
                status if member.backend_ready else f"{status}, backend server not ready"
            )
        for key, current in statuses.items():
            previous = self.members.get(key)
            if previous is not None and previous != current:
                kind = EventKind.BACKEND if key == self.state.name else EventKind.MEMBER
                ring = self.state.ring
                ring.add(kind.value, reason="changed", detail=f"{key}: {previous} -> {current}")
        self.members = statuses

"""Services for which no node takes work, and the operations that are certain to need them."""

from collections import OrderedDict
from collections.abc import Callable
from time import monotonic

from coltsfoottrack._internal.calls.context import CRITICAL
from coltsfoottrack._internal.calls.outcome import Answer, Outcome, Reason, refused
from coltsfoottrack._internal.membership.table import MembershipTable, call_address, member_id

# An answer that says that a member takes no work holds for this long.
MEMORY_SECONDS = 5.0
# Probing a service directly costs a refused connection, probing it through a service above costs a
# run of that service, which is wasted while the probed one is away.
PROBE_DIRECT_SECONDS = 0.1
PROBE_BELOW_SECONDS = 1.0
# Time after which a probe without an answer is given up and the next may go.
PROBE_LOST_SECONDS = 1.0
# Processes learn of a return from membership or from a probe, of which the slowest goes once a
# second, so an earlier attempt would meet the same refusal.
RETRY_AFTER_MS = 1000
# Finished calls that must all have used a service before one failure shows that the operation
# cannot do without it. An operation that needs it for half of its requests passes with 1 in 16.
CERTAIN_CALLS = 3
MAX_OPERATIONS = 10_000
# While a service that was absent has not yet answered, calls that cost a run above it go one at a
# time, except critical ones. Without this, 10 of 15 runs above a service that had just come back
# were wasted, as a cold service has no measure yet from which it could set a level.
RETURN_SECONDS = 2.0
# Reasons with which a node says that it takes no work.
AWAY_REASONS = (Reason.BACKEND_DOWN, Reason.LEAVING, Reason.NOT_READY)
# An answer of a service that membership shows without a serving node outweighs it for this long.
ANSWERED_SECONDS = 1.0


class OperationNeeds:
    """What the answers of one operation have shown of the services below it."""

    __slots__ = ("broken_by", "finished", "used")

    def __init__(self) -> None:
        self.finished = 0
        # Services that every finished call has used.
        self.used: frozenset[str] = frozenset()
        # Services whose absence made a call fail, and whether a node below was certain of it.
        self.broken_by: dict[str, bool] = {}

    def record_finished(self, used: frozenset[str]) -> None:
        """Takes over which services a finished call has used."""
        self.used = used if not self.finished else self.used & used
        self.finished += 1
        for service in list(self.broken_by):
            if service not in self.used:
                # The operation has just finished without it.
                del self.broken_by[service]

    def record_broken(self, service: str, certain: bool) -> None:
        """Takes over that a call could not be done without a service."""
        if self.finished and service not in self.used:
            return
        self.broken_by[service] = certain or self.broken_by.get(service, False)

    def needed(self) -> list[str]:
        """Returns the services that the operation is certain to need."""
        enough = self.finished >= CERTAIN_CALLS
        return [service for service, certain in self.broken_by.items() if certain or enough]


class AbsentServices:
    """Knows from membership and from answers which services take no work at present.

    A service is absent when every member that membership shows as serving has been seen, or was
    reported by a node below, to take no work since it became ready. A member that becomes ready
    again ends the absence at once; else one call at a time is let through to find out.
    """

    def __init__(self, members: MembershipTable, clock: Callable[[], float] = monotonic) -> None:
        self.members = members
        self.clock = clock
        self.away_since: dict[str, float] = {}
        self.probe_at: dict[str, float] = {}
        # Services that were seen absent and have not answered since, with the time of their
        # return, which is 0 while they are absent.
        self.returned_at: dict[str, float] = {}
        self.answered_at: dict[str, float] = {}
        self.needs: OrderedDict[str, OperationNeeds] = OrderedDict()

    def is_absent(self, service: str) -> bool:
        """Tells whether no node of a service that is known to exist takes work."""
        serving = self.members.serving(service)
        if not serving:
            answered_at = self.answered_at.get(service)
            if answered_at is not None and self.clock() - answered_at < ANSWERED_SECONDS:
                return False
            return any(member.service == service for member in self.members.members.values())
        if not self.away_since:
            return False
        for member in serving:
            name = member_id(member)
            if not self.is_away(name):
                self.away_since.pop(name, None)
                return False
        return True

    def is_away(self, name: str) -> bool:
        """Tells whether a member was seen to take no work lately, by its name."""
        away_since = self.away_since.get(name)
        if away_since is None or away_since < self.members.ready_since.get(name, 0.0):
            return False
        return self.clock() - away_since < MEMORY_SECONDS

    def refuse_direct(self, service: str) -> Answer | None:
        """Returns the refusal of a call to a service that is absent, None if it may be sent."""
        return self._refuse_absent(service, PROBE_DIRECT_SECONDS)

    def refuse_operation(self, destination: str, priority: int) -> Answer | None:
        """Returns the refusal of a call that is certain to need an absent service, else None."""
        needs = self.needs.get(destination)
        if needs is None or not needs.broken_by:
            return None
        for service in needs.needed():
            answer = self._refuse_absent(service, PROBE_BELOW_SECONDS)
            if answer is None and priority < CRITICAL:
                answer = self._refuse_returning(service)
            if answer is not None:
                return answer
        return None

    def _refuse_absent(self, service: str, probe_seconds: float) -> Answer | None:
        now = self.clock()
        if not self.is_absent(service):
            if self.returned_at.get(service) == 0.0:
                self.returned_at[service] = now
                self.probe_at[service] = now
            return None
        self.returned_at[service] = 0.0
        if self._may_probe(service, now + probe_seconds):
            return None
        return absent_refusal(service)

    def _refuse_returning(self, service: str) -> Answer | None:
        returned_at = self.returned_at.get(service)
        if returned_at is None:
            return None
        now = self.clock()
        if now - returned_at >= RETURN_SECONDS:
            del self.returned_at[service]
            return None
        if not returned_at or self._may_probe(service, now):
            return None
        answer = refused(
            Reason.EARLY_REFUSAL,
            retry_useful=True,
            text=f"not run: service {service} has just come back and has not yet answered",
        )
        return answer._replace(retry_after_ms=RETRY_AFTER_MS)

    def _may_probe(self, service: str, first_at: float) -> bool:
        """Tells whether a call may go to find out; the next one waits for its answer."""
        now = self.clock()
        if now < self.probe_at.setdefault(service, first_at):
            return False
        self.probe_at[service] = now + PROBE_LOST_SECONDS
        return True

    def record_member(self, service: str, address: str, answer: Answer, began: float) -> None:
        """Takes over what a member's own answer, or its address, shows of it.

        ``began`` is when the call was sent. A member that became ready since is not judged by it.
        """
        away = answer.reason in AWAY_REASONS
        if not answer.served_by:
            if answer.copy_dispatched or answer.reason not in (Reason.NO_NODE, Reason.HOME_GONE):
                # Only a refused connection shows that the member is away, a lost one does not.
                return
            away = True
        serving = self.members.serving(service)
        if away:
            self.answered_at.pop(service, None)
        else:
            self.returned_at.pop(service, None)
            if not serving:
                self.answered_at[service] = self.clock()
        if not away and not self.away_since:
            return
        for member in serving:
            if call_address(member) != address:
                continue
            name = member_id(member)
            if not away:
                self.away_since.pop(name, None)
            elif began >= self.members.ready_since.get(name, 0.0):
                self.away_since[name] = self.clock()
                self._schedule_probe(service, PROBE_DIRECT_SECONDS)

    def record_answer(self, destination: str, answer: Answer, began: float) -> None:
        """Learns from the answer to a call which services below it are needed, absent or back."""
        service = answer.absent_service
        if answer.outcome is Outcome.DONE:
            self._needs(destination).record_finished(answer.used_services)
            for used in answer.used_services:
                self._record_back(used, began)
        elif answer.path_level and not service:
            # A service below has a measure and sheds, so its level takes over from here.
            for needed in self._needs(destination).needed():
                self._end_return(needed, began)
        elif service and service != destination.partition("/")[0]:
            certain = answer.reason is Reason.SERVICE_ABSENT
            self._needs(destination).record_broken(service, certain)
            for member in self.members.serving(service):
                name = member_id(member)
                if began >= self.members.ready_since.get(name, 0.0):
                    self.away_since[name] = self.clock()
            self._schedule_probe(service, PROBE_BELOW_SECONDS)

    def _end_return(self, service: str, began: float) -> None:
        returned_at = self.returned_at.get(service)
        if returned_at and began >= returned_at:
            del self.returned_at[service]

    def _record_back(self, service: str, began: float) -> None:
        self._end_return(service, began)
        if not self.away_since:
            return
        for member in self.members.serving(service):
            # A call that was sent before the member was seen away says nothing of now.
            if self.away_since.get(member_id(member), began) < began:
                del self.away_since[member_id(member)]
                self.returned_at.pop(service, None)

    def _schedule_probe(self, service: str, seconds: float) -> None:
        self.probe_at[service] = self.clock() + seconds

    def _needs(self, destination: str) -> OperationNeeds:
        needs = self.needs.get(destination)
        if needs is None:
            needs = OperationNeeds()
            self.needs[destination] = needs
            if len(self.needs) > MAX_OPERATIONS:
                self.needs.popitem(last=False)
        return needs


def absent_refusal(service: str) -> Answer:
    """Builds the refusal of a call that needs a service for which no node takes work."""
    answer = refused(
        Reason.SERVICE_ABSENT,
        retry_useful=True,
        text=f"not run: no node of service {service} takes work",
    )
    return answer._replace(retry_after_ms=RETRY_AFTER_MS, absent_service=service)

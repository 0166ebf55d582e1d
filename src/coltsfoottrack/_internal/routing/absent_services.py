"""Services for which no node takes work, and the operations that are certain to need them."""

from collections import OrderedDict
from collections.abc import Callable
from time import monotonic

from coltsfoottrack._internal.calls.context import CRITICAL
from coltsfoottrack._internal.calls.outcome import Answer, Outcome, Reason, refused
from coltsfoottrack._internal.membership.table import MembershipTable, call_address, member_id

# An answer that says that a member takes no work holds for this long.
UNAVAILABLE_SECONDS = 5.0
# Probing a service directly costs a refused connection, probing it through a service above costs a
# run of that service, which is wasted while the probed one is away.
PROBE_DIRECT_SECONDS = 0.1
PROBE_INDIRECT_SECONDS = 1.0
# Time after which a probe without an answer is given up and the next may go.
PROBE_TIMEOUT_SECONDS = 1.0
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
RECOVERY_SECONDS = 2.0
# Reasons with which a node says that it takes no work.
UNAVAILABLE_REASONS = (Reason.BACKEND_DOWN, Reason.LEAVING, Reason.NOT_READY)
# An answer of a service that membership shows without a serving node outweighs it for this long.
RECENT_ANSWER_SECONDS = 1.0


class OperationDependencies:
    """What the answers of one operation have shown of the services below it."""

    __slots__ = ("failed_without", "finished_calls", "used_services")

    def __init__(self) -> None:
        self.finished_calls = 0
        # Services that every finished call has used.
        self.used_services: frozenset[str] = frozenset()
        # Services whose absence made a call fail, and whether a node below was certain of it.
        self.failed_without: dict[str, bool] = {}

    def record_finished(self, used_services: frozenset[str]) -> None:
        """Takes over which services a finished call has used."""
        self.used_services = (
            used_services if not self.finished_calls else self.used_services & used_services
        )
        self.finished_calls += 1
        for service in list(self.failed_without):
            if service not in self.used_services:
                # The operation has just finished without it.
                del self.failed_without[service]

    def record_failed_without(self, service: str, certain: bool) -> None:
        """Takes over that a call could not be done without a service."""
        if self.finished_calls and service not in self.used_services:
            return
        self.failed_without[service] = certain or self.failed_without.get(service, False)

    def required_services(self) -> list[str]:
        """Returns the services that the operation is certain to need."""
        enough = self.finished_calls >= CERTAIN_CALLS
        return [service for service, certain in self.failed_without.items() if certain or enough]


class AbsentServices:
    """Knows from membership and from answers which services take no work at present.

    A service is absent when every member that membership shows as serving has been seen, or was
    reported by a node below, to take no work since it became ready. A member that becomes ready
    again ends the absence at once; else one call at a time is let through to find out.
    """

    def __init__(self, members: MembershipTable, clock: Callable[[], float] = monotonic) -> None:
        self.members = members
        self.clock = clock
        self.unavailable_since: dict[str, float] = {}
        self.probe_at: dict[str, float] = {}
        # Services that were seen absent and have not answered since, with the time of their
        # return, which is 0 while they are absent.
        self.recovered_at: dict[str, float] = {}
        self.answered_at: dict[str, float] = {}
        self.dependencies: OrderedDict[str, OperationDependencies] = OrderedDict()

    def is_absent(self, service: str) -> bool:
        """Tells whether no node of a service that is known to exist takes work."""
        serving = self.members.serving(service)
        if not serving:
            answered_at = self.answered_at.get(service)
            if answered_at is not None and self.clock() - answered_at < RECENT_ANSWER_SECONDS:
                return False
            return any(member.service == service for member in self.members.members.values())
        if not self.unavailable_since:
            return False
        for member in serving:
            name = member_id(member)
            if not self.is_unavailable(name):
                self.unavailable_since.pop(name, None)
                return False
        return True

    def is_unavailable(self, name: str) -> bool:
        """Tells whether a member was seen to take no work lately, by its name."""
        unavailable_since = self.unavailable_since.get(name)
        if unavailable_since is None or unavailable_since < self.members.ready_since.get(name, 0.0):
            return False
        return self.clock() - unavailable_since < UNAVAILABLE_SECONDS

    def refuse_direct(self, service: str) -> Answer | None:
        """Returns the refusal of a call to a service that is absent, None if it may be sent."""
        return self._refuse_absent(service, PROBE_DIRECT_SECONDS)

    def refuse_operation(self, destination: str, priority: int) -> Answer | None:
        """Returns the refusal of a call that is certain to need an absent service, else None."""
        dependencies = self.dependencies.get(destination)
        if dependencies is None or not dependencies.failed_without:
            return None
        for service in dependencies.required_services():
            answer = self._refuse_absent(service, PROBE_INDIRECT_SECONDS)
            if answer is None and priority < CRITICAL:
                answer = self._refuse_recovering(service)
            if answer is not None:
                return answer
        return None

    def _refuse_absent(self, service: str, probe_seconds: float) -> Answer | None:
        now = self.clock()
        if not self.is_absent(service):
            if self.recovered_at.get(service) == 0.0:
                self.recovered_at[service] = now
                self.probe_at[service] = now
            return None
        self.recovered_at[service] = 0.0
        if self._may_probe(service, now + probe_seconds):
            return None
        return absent_refusal(service)

    def _refuse_recovering(self, service: str) -> Answer | None:
        recovered_at = self.recovered_at.get(service)
        if recovered_at is None:
            return None
        now = self.clock()
        if now - recovered_at >= RECOVERY_SECONDS:
            del self.recovered_at[service]
            return None
        if not recovered_at or self._may_probe(service, now):
            return None
        answer = refused(
            Reason.EARLY_REFUSAL,
            retry_useful=True,
            text=f"not run: service {service} has just come back and has not yet answered",
        )
        return answer._replace(retry_after_ms=RETRY_AFTER_MS)

    def _may_probe(self, service: str, earliest: float) -> bool:
        """Tells whether a call may go to find out; the next one waits for its answer."""
        now = self.clock()
        if now < self.probe_at.setdefault(service, earliest):
            return False
        self.probe_at[service] = now + PROBE_TIMEOUT_SECONDS
        return True

    def record_member(self, service: str, address: str, answer: Answer, sent_at: float) -> None:
        """Takes over what a member's own answer, or its address, shows of it.

        ``began`` is when the call was sent. A member that became ready since is not judged by it.
        """
        unavailable = answer.reason in UNAVAILABLE_REASONS
        if not answer.served_by:
            if answer.copy_dispatched or answer.reason not in (Reason.NO_NODE, Reason.HOME_GONE):
                # Only a refused connection shows that the member is away, a lost one does not.
                return
            unavailable = True
        serving = self.members.serving(service)
        if unavailable:
            self.answered_at.pop(service, None)
        else:
            self.recovered_at.pop(service, None)
            if not serving:
                self.answered_at[service] = self.clock()
        if not unavailable and not self.unavailable_since:
            return
        for member in serving:
            if call_address(member) != address:
                continue
            name = member_id(member)
            if not unavailable:
                self.unavailable_since.pop(name, None)
            elif sent_at >= self.members.ready_since.get(name, 0.0):
                self.unavailable_since[name] = self.clock()
                self._schedule_probe(service, PROBE_DIRECT_SECONDS)

    def record_answer(self, destination: str, answer: Answer, sent_at: float) -> None:
        """Learns from the answer to a call which services below it are needed, absent or back."""
        service = answer.absent_service
        if answer.outcome is Outcome.DONE:
            self._dependencies_of(destination).record_finished(answer.used_services)
            for used in answer.used_services:
                self._record_available(used, sent_at)
        elif answer.path_level and not service:
            # A service below has a measure and sheds, so its level takes over from here.
            for required in self._dependencies_of(destination).required_services():
                self._end_recovery(required, sent_at)
        elif service and service != destination.partition("/")[0]:
            certain = answer.reason is Reason.SERVICE_ABSENT
            self._dependencies_of(destination).record_failed_without(service, certain)
            for member in self.members.serving(service):
                name = member_id(member)
                if sent_at >= self.members.ready_since.get(name, 0.0):
                    self.unavailable_since[name] = self.clock()
            self._schedule_probe(service, PROBE_INDIRECT_SECONDS)

    def _end_recovery(self, service: str, sent_at: float) -> None:
        recovered_at = self.recovered_at.get(service)
        if recovered_at and sent_at >= recovered_at:
            del self.recovered_at[service]

    def _record_available(self, service: str, sent_at: float) -> None:
        self._end_recovery(service, sent_at)
        if not self.unavailable_since:
            return
        for member in self.members.serving(service):
            # A call that was sent before the member was seen away says nothing of now.
            if self.unavailable_since.get(member_id(member), sent_at) < sent_at:
                del self.unavailable_since[member_id(member)]
                self.recovered_at.pop(service, None)

    def _schedule_probe(self, service: str, seconds: float) -> None:
        self.probe_at[service] = self.clock() + seconds

    def _dependencies_of(self, destination: str) -> OperationDependencies:
        dependencies = self.dependencies.get(destination)
        if dependencies is None:
            dependencies = OperationDependencies()
            self.dependencies[destination] = dependencies
            if len(self.dependencies) > MAX_OPERATIONS:
                self.dependencies.popitem(last=False)
        return dependencies


def absent_refusal(service: str) -> Answer:
    """Builds the refusal of a call that needs a service for which no node takes work."""
    answer = refused(
        Reason.SERVICE_ABSENT,
        retry_useful=True,
        text=f"not run: no node of service {service} takes work",
    )
    return answer._replace(retry_after_ms=RETRY_AFTER_MS, absent_service=service)

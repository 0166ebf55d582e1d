"""Services without an available node, and operations that are certain to depend on them."""

from collections import OrderedDict
from collections.abc import Callable
from time import monotonic

from coltsfoottrack._internal.calls.context import CRITICAL
from coltsfoottrack._internal.calls.outcome import Answer, Outcome, Reason, refused
from coltsfoottrack._internal.membership.table import MembershipTable, call_address, member_id

# How long a member counts as unavailable after an answer that shows it.
UNAVAILABLE_SECONDS = 5.0
# A direct probe of a service costs a refused connection. An indirect probe, through a service that
# calls it, costs a run of the calling service, which is wasted while the probed one is absent.
PROBE_DIRECT_SECONDS = 0.1
PROBE_INDIRECT_SECONDS = 1.0
# Time after which a probe without an answer has failed and the next one may be sent.
PROBE_TIMEOUT_SECONDS = 1.0
# Processes detect recovery by membership or by a probe. The slowest probes are sent once a second,
# so an earlier attempt would be refused again.
RETRY_AFTER_MS = 1000
# Number of finished calls that must all have used a service before one failure shows that the
# operation requires it. An operation that uses it for half of its requests is classified as
# requiring it with a probability of 1 in 16.
CERTAIN_CALLS = 3
MAX_OPERATIONS = 10_000
# Until a recovered service has answered, runs that depend on it are started one at a time, except
# critical ones. Without this, 10 of 15 runs that called a service just after its recovery were
# wasted, as a cold service has no measurements yet from which it could set a level.
RECOVERY_SECONDS = 2.0
# Reasons that show that the answering node accepts no calls.
UNAVAILABLE_REASONS = (Reason.BACKEND_DOWN, Reason.LEAVING, Reason.NOT_READY)
# How long an answer takes precedence over a membership view without a serving node of the service.
RECENT_ANSWER_SECONDS = 1.0


class OperationDependencies:
    """Services that one operation depends on, inferred from the answers to its calls."""

    __slots__ = ("failed_without", "finished_calls", "used_services")

    def __init__(self) -> None:
        self.finished_calls = 0
        # Services that all finished calls have used.
        self.used_services: frozenset[str] = frozenset()
        # Services whose absence made a call fail, and whether a called node refused with
        # ``service_absent``, which makes the dependency certain.
        self.failed_without: dict[str, bool] = {}

    def record_finished(self, used_services: frozenset[str]) -> None:
        """Records which services a finished call has used."""
        self.used_services = (
            used_services if not self.finished_calls else self.used_services & used_services
        )
        self.finished_calls += 1
        for service in list(self.failed_without):
            if service not in self.used_services:
                # The call finished without it.
                del self.failed_without[service]

    def record_failed_without(self, service: str, certain: bool) -> None:
        """Records that a call failed because a service was absent."""
        if self.finished_calls and service not in self.used_services:
            return
        self.failed_without[service] = certain or self.failed_without.get(service, False)

    def required_services(self) -> list[str]:
        """Returns the services that the operation certainly requires."""
        enough = self.finished_calls >= CERTAIN_CALLS
        return [service for service, certain in self.failed_without.items() if certain or enough]


class AbsentServices:
    """Tracks, by membership and by answers, which services have no available node.

    A service is absent when every member that membership shows as serving was found unavailable
    since it became ready, by its own answer or by the report of a called node. A member that
    becomes ready again ends the absence at once. Otherwise one call at a time is sent as a probe.
    """

    def __init__(self, members: MembershipTable, clock: Callable[[], float] = monotonic) -> None:
        self.members = members
        self.clock = clock
        self.unavailable_since: dict[str, float] = {}
        self.probe_at: dict[str, float] = {}
        # Services that were absent and have not answered since, with the time of their recovery,
        # which is 0 while they are absent.
        self.recovered_at: dict[str, float] = {}
        self.answered_at: dict[str, float] = {}
        self.dependencies: OrderedDict[str, OperationDependencies] = OrderedDict()

    def is_absent(self, service: str) -> bool:
        """Returns whether a known service has no available node."""
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
        """Returns whether the member with this name was recently found unavailable."""
        unavailable_since = self.unavailable_since.get(name)
        if unavailable_since is None or unavailable_since < self.members.ready_since.get(name, 0.0):
            return False
        return self.clock() - unavailable_since < UNAVAILABLE_SECONDS

    def refuse_direct(self, service: str) -> Answer | None:
        """Returns the refusal of a call to an absent service, None if the call may be sent."""
        return self._refuse_absent(service, PROBE_DIRECT_SECONDS)

    def refuse_operation(self, destination: str, priority: int) -> Answer | None:
        """Returns the refusal of a call that certainly requires an absent service, else None."""
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
        """Returns whether a call may be sent as a probe; the next one waits for its answer."""
        now = self.clock()
        if now < self.probe_at.setdefault(service, earliest):
            return False
        self.probe_at[service] = now + PROBE_TIMEOUT_SECONDS
        return True

    def record_member(self, service: str, address: str, answer: Answer, sent_at: float) -> None:
        """Updates the availability of a member from its answer, or from a refused connection.

        ``sent_at`` is when the call was sent. The answer does not change the state of a member that
        became ready after that.
        """
        unavailable = answer.reason in UNAVAILABLE_REASONS
        if not answer.served_by:
            if answer.copy_dispatched or answer.reason not in (Reason.NO_NODE, Reason.HOME_GONE):
                # Only a refused connection shows that the member is unavailable, not a lost one.
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
        """Updates from an answer which services the operation requires and which are absent."""
        service = answer.absent_service
        if answer.outcome is Outcome.DONE:
            self._dependencies_of(destination).record_finished(answer.used_services)
            for used in answer.used_services:
                self._record_available(used, sent_at)
        elif answer.path_level and not service:
            # A called service has measurements and sheds load, so its level takes over from here.
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
            # A call that was sent before the member became unavailable does not show recovery.
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
    """Builds the refusal of a call that requires a service without an available node."""
    answer = refused(
        Reason.SERVICE_ABSENT,
        retry_useful=True,
        text=f"not run: no node of service {service} takes work",
    )
    return answer._replace(retry_after_ms=RETRY_AFTER_MS, absent_service=service)

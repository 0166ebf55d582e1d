"""Admission and execution of calls on the backend server beside this node."""

from collections.abc import Callable
from time import monotonic

from coltsfoottrack._internal.admission.controller import AdmissionController
from coltsfoottrack._internal.admission.exceptions import NotAdmittedError
from coltsfoottrack._internal.admission.path_gate import PathGate, PathReport
from coltsfoottrack._internal.calls.context import CallContext
from coltsfoottrack._internal.calls.outcome import Answer, Outcome, Reason, refused
from coltsfoottrack._internal.events.call_record import CallStage, enter_stage
from coltsfoottrack._internal.events.ring import EventRing
from coltsfoottrack._internal.node.backend_link import BackendLink
from coltsfoottrack._internal.observability.metrics import NodeMetrics
from coltsfoottrack._internal.routing.absent_services import AbsentServices

# Attempts for a call that the backend server sheds without running it.
MAX_BACKEND_ATTEMPTS = 3
RETRY_AFTER_MS = 500
SHED_ANSWER = refused(Reason.BACKEND_SHED, retry_useful=True)
RETRYABLE_REASONS = (Reason.OVERLOAD, Reason.EVICTED, Reason.LEAVING, Reason.BACKEND_DOWN)


class LocalCalls:
    """Admits calls, runs them on the backend server and records their times and outcomes."""

    def __init__(
        self,
        admission: AdmissionController,
        backend: BackendLink,
        ring: EventRing,
        metrics: NodeMetrics,
    ) -> None:
        self.admission = admission
        self.backend = backend
        self.ring = ring
        self.metrics = metrics
        self.gate = PathGate(admission.checker, admission.policy)
        # Unavailable services below this node; None without a router.
        self.absent_services: AbsentServices | None = None
        self.known_starts = 0
        self.refuses_new_work: Callable[[], bool] = lambda: False

    async def run(self, context: CallContext, body: bytes) -> Answer:
        """Runs a call at most once and returns its answer."""
        if self.refuses_new_work():
            return refused(Reason.LEAVING, retry_useful=True)
        if not self.backend.address:
            return refused(Reason.BACKEND_DOWN, retry_useful=True)
        self._reset_limit_on_restart()
        if self.admission.decisions_off:
            return await self._run_admitted(context, body, await self.admission.admit(context))
        if self.absent_services is not None:
            destination = f"{context.service}/{context.operation}"
            absent = self.absent_services.refuse_operation(destination, context.priority)
            if absent is not None:
                absent = absent._replace(attempts_left=context.budget.retries)
                return self._with_level(context, absent)
        arrived = monotonic()
        try:
            call = await self.gate.enter(context)
        except NotAdmittedError as error:
            # The reason alone distinguishes a lack of capacity in the services below.
            is_overload = error.reason is Reason.OVERLOAD
            answer = self._refuse(context, Reason.EARLY_REFUSAL if is_overload else error.reason)
            return answer._replace(queued_ms=(monotonic() - arrived) * 1000.0)
        path_wait_ms = (monotonic() - arrived) * 1000.0
        report = None
        try:
            answer = await self._run_with_slot(context, body)
            report = _path_report(answer)
        finally:
            self.gate.leave(call, report)
        answer = answer._replace(queued_ms=answer.queued_ms + path_wait_ms)
        return self._with_level(context, answer)

    async def _run_with_slot(self, context: CallContext, body: bytes) -> Answer:
        """Runs a call that the path gate has admitted, once a slot is free."""
        answer = SHED_ANSWER
        for _ in range(MAX_BACKEND_ATTEMPTS):
            arrived = monotonic()
            enter_stage(CallStage.WAITING)
            try:
                waited = await self.admission.admit(context)
            except NotAdmittedError as error:
                answer = self._refuse(context, error.reason)
                return answer._replace(queued_ms=(monotonic() - arrived) * 1000.0)
            self.metrics.queue_delay.observe(waited)
            enter_stage(CallStage.RUNNING)
            answer = await self._run_admitted(context, body, waited)
            if answer.reason is not Reason.BACKEND_SHED:
                break
        return answer

    async def _run_admitted(self, context: CallContext, body: bytes, waited: float) -> Answer:
        started = monotonic()
        shed = False
        service_seconds: float | None = None
        try:
            if context.deadline.has_passed():
                return refused(Reason.DEADLINE)
            answer = await self.backend.run(context, body)
            shed = answer.reason is Reason.BACKEND_SHED
            if answer.outcome in (Outcome.DONE, Outcome.FAILED):
                service_seconds = monotonic() - started
        finally:
            self.admission.release(shed, service_seconds)
        if self.absent_services is not None and answer.outcome in (Outcome.DONE, Outcome.FAILED):
            destination = f"{context.service}/{context.operation}"
            self.absent_services.record_answer(destination, answer, started)
        seconds = monotonic() - started
        self.metrics.service_time.observe(seconds)
        return answer._replace(queued_ms=waited * 1000.0, running_ms=seconds * 1000.0)

    def _reset_limit_on_restart(self) -> None:
        """Resets the concurrency limit after a restart of the backend server."""
        if self.backend.starts == self.known_starts:
            return
        self.known_starts = self.backend.starts
        self.admission.limiter.begin_cold(self.backend.slots)

    def _refuse(self, context: CallContext, reason: Reason) -> Answer:
        answer = refused(reason, retry_useful=reason in RETRYABLE_REASONS)
        answer = answer._replace(
            retry_after_ms=RETRY_AFTER_MS, attempts_left=context.budget.retries
        )
        return self._with_level(context, answer)

    def _with_level(self, context: CallContext, answer: Answer) -> Answer:
        level = self.admission.level
        path_level = self.gate.level(context.operation)
        if answer.admission_level == level and answer.path_level == path_level:
            return answer
        return answer._replace(admission_level=level, path_level=path_level)


def _path_report(answer: Answer) -> PathReport | None:
    """Returns the load that a run met in the services below, None if it did not complete."""
    if answer.outcome not in (Outcome.DONE, Outcome.FAILED):
        return None
    is_refused = answer.outcome is Outcome.FAILED and answer.path_level > 0
    return PathReport(answer.path_queued_ms / 1000.0, answer.running_ms / 1000.0, is_refused)

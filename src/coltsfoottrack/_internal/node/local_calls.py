"""Calls that the backend server beside this node is to run."""

from collections.abc import Callable
from time import monotonic

from coltsfoottrack._internal.admission.controller import AdmissionController
from coltsfoottrack._internal.admission.exceptions import NotAdmittedError
from coltsfoottrack._internal.calls.context import CallContext
from coltsfoottrack._internal.calls.outcome import Answer, Outcome, Reason, refused
from coltsfoottrack._internal.events.call_record import Stage, enter_stage
from coltsfoottrack._internal.events.ring import EventRing
from coltsfoottrack._internal.node.backend_link import BackendLink
from coltsfoottrack._internal.observability.metrics import NodeMetrics
from coltsfoottrack._internal.routing.levels import ReportedLevels

# Sendings to a backend server that turned a call away without running it.
MAX_SENDINGS = 3
RETRY_AFTER_MS = 500
# Asking whether a level below still holds costs a run of the backend server, which is wasted if
# it does. Once a second is under 4% of the runs when a service at a quarter speed does 80/s.
ASK_BELOW_SECONDS = 1.0
RETRYABLE_REASONS = (Reason.OVERLOAD, Reason.EVICTED, Reason.LEAVING, Reason.BACKEND_DOWN)


class LocalCalls:
    """Admits a call, runs it on the backend server and records what happened."""

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
        # Levels below this node, as answers of the backend server reported them by operation.
        self.path_levels = ReportedLevels(ASK_BELOW_SECONDS)
        self.seen_starts = 0
        self.refuses_new_work: Callable[[], bool] = lambda: False

    async def run(self, context: CallContext, body: bytes) -> Answer:
        """Returns the answer to a call, run at most once."""
        if self.refuses_new_work():
            return refused(Reason.LEAVING, retry_useful=True)
        if not self.backend.address:
            return refused(Reason.BACKEND_DOWN, retry_useful=True)
        self._follow_backend()
        decisions_off = self.admission.decisions_off
        if not decisions_off and self.path_levels.refuses(context.operation, context.rank):
            return self._refuse(context, Reason.EARLY_REFUSAL)
        answer = refused(Reason.BACKEND_SHED, retry_useful=True)
        for _ in range(1 if decisions_off else MAX_SENDINGS):
            arrived = monotonic()
            enter_stage(Stage.WAITING)
            try:
                waited = await self.admission.admit(context)
            except NotAdmittedError as error:
                answer = self._refuse(context, error.reason)
                return answer._replace(queued_ms=(monotonic() - arrived) * 1000.0)
            self.metrics.queue_delay.observe({}, waited)
            enter_stage(Stage.RUNNING)
            answer = await self._run_admitted(context, body, waited)
            if answer.reason is not Reason.BACKEND_SHED:
                break
        return self._with_level(answer)

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
        if answer.outcome in (Outcome.DONE, Outcome.FAILED):
            self.path_levels.record(context.operation, "backend", answer.path_level)
        seconds = monotonic() - started
        self.metrics.service_time.observe({}, seconds)
        return answer._replace(queued_ms=waited * 1000.0, running_ms=seconds * 1000.0)

    def _follow_backend(self) -> None:
        """Starts the limit over when the backend server has started anew."""
        if self.backend.starts == self.seen_starts:
            return
        self.seen_starts = self.backend.starts
        self.admission.limiter.begin_cold(self.backend.slots)

    def _refuse(self, context: CallContext, reason: Reason) -> Answer:
        answer = refused(reason, retry_useful=reason in RETRYABLE_REASONS)
        answer = answer._replace(
            retry_after_ms=RETRY_AFTER_MS,
            attempts_left=context.budget.retries,
            path_level=self.path_levels.level(context.operation),
        )
        return self._with_level(answer)

    def _with_level(self, answer: Answer) -> Answer:
        return answer._replace(admission_level=self.admission.level)

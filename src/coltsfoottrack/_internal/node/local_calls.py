"""Calls that the backend server beside this node is to run."""

from collections.abc import Callable
from time import monotonic

from coltsfoottrack._internal.admission.controller import AdmissionController
from coltsfoottrack._internal.admission.exceptions import NotAdmittedError
from coltsfoottrack._internal.calls.context import CallContext
from coltsfoottrack._internal.calls.outcome import Answer, Reason, refused
from coltsfoottrack._internal.events.ring import EventRing
from coltsfoottrack._internal.node.backend_link import BackendLink
from coltsfoottrack._internal.observability.metrics import NodeMetrics

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
        self.refuses_new_work: Callable[[], bool] = lambda: False

    async def run(self, context: CallContext, body: bytes) -> Answer:
        """Returns the answer to a call, run at most once."""
        if self.refuses_new_work():
            return refused(Reason.LEAVING, retry_useful=True)
        if not self.backend.address:
            return refused(Reason.BACKEND_DOWN, retry_useful=True)
        arrived = monotonic()
        try:
            waited = await self.admission.admit(context)
        except NotAdmittedError as error:
            useful = error.reason in RETRYABLE_REASONS
            answer = refused(error.reason, retry_useful=useful)
            return self._with_level(answer._replace(queued_ms=(monotonic() - arrived) * 1000.0))
        self.metrics.queue_delay.observe({}, waited)
        started = monotonic()
        shed = False
        try:
            if context.deadline.has_passed():
                return self._with_level(refused(Reason.DEADLINE))
            answer = await self.backend.run(context, body)
            shed = answer.reason is Reason.BACKEND_SHED
        finally:
            self.admission.release(shed)
        seconds = monotonic() - started
        self.metrics.service_time.observe({}, seconds)
        answer = answer._replace(queued_ms=waited * 1000.0, running_ms=seconds * 1000.0)
        return self._with_level(answer)

    def _with_level(self, answer: Answer) -> Answer:
        return answer._replace(admission_level=self.admission.level)

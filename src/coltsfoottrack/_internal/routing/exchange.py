"""One copy of a call sent to one node, and the truth about what became of it."""

from coltsfoottrack._internal.calls.context import (
    EVENT_CLOCK,
    CallContext,
    read_answer,
    whole_number,
)
from coltsfoottrack._internal.calls.exceptions import BadRequestError
from coltsfoottrack._internal.calls.outcome import Answer, Reason, refused, unknown
from coltsfoottrack._internal.events.clock import HybridClock
from coltsfoottrack._internal.routing.exceptions import ConnectionLostError, NotSentError
from coltsfoottrack._internal.routing.transport import Transport


class Exchange:
    """Sends copies of calls to call addresses of nodes."""

    def __init__(self, cluster: str, clock: HybridClock, transport: Transport) -> None:
        self.cluster = cluster
        self.clock = clock
        self.transport = transport

    async def send(self, context: CallContext, address: str, body: bytes) -> Answer:
        """Sends one copy and returns its answer.

        ``copy_dispatched`` of the answer is False if this copy was certainly not run.
        """
        headers = context.headers(self.cluster, self.clock.tick())
        path = f"/v1/services/{context.service}/{context.operation}"
        seconds = context.deadline.remaining_seconds()
        try:
            reply = await self.transport.send("POST", address, path, headers, body, seconds)
        except NotSentError:
            if context.idempotency_key:
                answer = unknown(Reason.HOME_GONE, copy_dispatched=False)
            else:
                answer = refused(Reason.NO_NODE, retry_useful=True)
            return answer._replace(attempts_left=context.budget.retries)
        except ConnectionLostError:
            return unknown(Reason.CONNECTION_LOST)._replace(retry_useful=True)
        try:
            self.clock.observe(whole_number(reply.headers, EVENT_CLOCK, 0, 2**63 - 1))
            return read_answer(reply.status, reply.headers, reply.body)
        except BadRequestError:
            return unknown(Reason.CONNECTION_LOST)

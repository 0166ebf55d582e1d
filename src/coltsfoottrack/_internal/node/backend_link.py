"""The backend server beside the node, as it announced itself."""

from coltsfoottrack._internal.calls.context import (
    ATTEMPTS_LEFT,
    PATH_LEVEL,
    CallContext,
    whole_number,
)
from coltsfoottrack._internal.calls.exceptions import BadRequestError
from coltsfoottrack._internal.calls.outcome import Answer, Outcome, Reason, failed, refused, unknown
from coltsfoottrack._internal.events.clock import HybridClock
from coltsfoottrack._internal.routing.exceptions import ConnectionLostError, NotSentError
from coltsfoottrack._internal.routing.transport import HttpReply, Transport
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import AnnounceRequest

SHED_HEADER = "Shed"


class BackendLink:
    """Sends calls to the backend server and says truthfully what became of them."""

    def __init__(self, cluster: str, clock: HybridClock) -> None:
        self.cluster = cluster
        self.clock = clock
        self.transport = Transport()
        self.address = ""
        self.slots = 0
        # Times that a backend server appeared after there was none.
        self.starts = 0
        self.leaving = False

    @property
    def is_ready(self) -> bool:
        """Tells whether a backend server is announced and takes new work."""
        return bool(self.address) and not self.leaving

    def announce(self, request: AnnounceRequest) -> None:
        """Takes over what the backend server says of itself."""
        if not self.address:
            self.starts += 1
        self.address = f"{request.address}:{request.port}"
        self.slots = request.slots
        self.leaving = request.leaving

    async def run(self, context: CallContext, body: bytes) -> Answer:
        """Runs a call on the backend server."""
        if not self.address:
            return refused(Reason.BACKEND_DOWN, retry_useful=True)
        headers = context.headers(self.cluster, self.clock.tick())
        seconds = context.deadline.remaining_seconds()
        path = f"/{context.operation}"
        try:
            reply = await self.transport.send("POST", self.address, path, headers, body, seconds)
        except NotSentError:
            self.address = ""
            return refused(Reason.BACKEND_DOWN, retry_useful=True)
        except ConnectionLostError:
            if context.deadline.has_passed():
                return unknown(Reason.DEADLINE)
            return unknown(Reason.BACKEND_LOST)._replace(retry_useful=True)
        return _read_reply(reply, context)

    async def close(self) -> None:
        """Closes all connections."""
        await self.transport.close()


def _read_reply(reply: HttpReply, context: CallContext) -> Answer:
    content_type = reply.headers.get("Content-Type", "application/octet-stream")
    try:
        attempts_left = whole_number(reply.headers, ATTEMPTS_LEFT, context.budget.retries, 1000)
        path_level = whole_number(reply.headers, PATH_LEVEL, 0, 10_000)
    except BadRequestError:
        attempts_left, path_level = 0, 0
    context.budget.retries = min(context.budget.retries, attempts_left)
    if reply.status == 503 and SHED_HEADER in reply.headers:
        return refused(Reason.BACKEND_SHED, retry_useful=True)
    if reply.status >= 500:
        answer = failed(Reason.BACKEND_ERROR, reply.body, content_type)
        return answer._replace(path_level=path_level, attempts_left=attempts_left)
    return Answer(
        outcome=Outcome.DONE,
        status=reply.status,
        body=reply.body,
        content_type=content_type,
        path_level=path_level,
        attempts_left=attempts_left,
    )

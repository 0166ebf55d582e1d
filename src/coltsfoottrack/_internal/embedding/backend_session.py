"""Session of a backend server with the node beside it."""

from asyncio import Task, create_task, gather, sleep
from collections.abc import Mapping
from math import isfinite
from types import TracebackType
from typing import NamedTuple, Self

from coltsfoottrack._internal.calls.context import (
    ATTEMPTS_LEFT,
    CALL_ID,
    EVENT_CLOCK,
    MONOTONIC_DEADLINE,
    SHED,
    CallContext,
    CallGrant,
    read_context,
)
from coltsfoottrack._internal.calls.deadline import Deadline
from coltsfoottrack._internal.calls.exceptions import BadRequestError
from coltsfoottrack._internal.calls.outcome import Answer
from coltsfoottrack._internal.routing.client import CallClient, OutgoingCall, path_headers
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import AnnounceRequest

# Time until the node sends no new work after the backend server starts to leave: one interval
# between announcements, the default grace period of the node, and a margin.
DEFAULT_LEAVE_SECONDS = 4.2
# The node has already limited these values, so they are not limited again.
FULL_GRANT = CallGrant(
    priority=2,
    idempotent=False,
    default_deadline_ms=600_000,
    max_deadline_ms=600_000,
    attempt_budget=1000,
)


class BackendPlace(NamedTuple):
    """Address and capacity of a backend server.

    ``slots`` is the number of requests that it runs concurrently; it is the initial value of the
    node's concurrency limit, which then adapts to measurements. ``cluster_secret_file`` is needed
    if nodes require signatures of peers.
    """

    cluster: str
    service: str
    name: str
    address: str
    port: int
    slots: int
    node_peer_address: str
    cluster_secret_file: str = ""


class BackendSession:
    """Announces a backend server to its node, and reads and writes the headers of its requests.

    Entering an ``async with`` block announces the backend server, which must already listen;
    leaving it closes all connections. The node sends requests by HTTP to ``address`` and ``port``,
    as POST to ``/OPERATION``. The backend server runs its own HTTP server and uses this class to
    read requests and to build response headers.
    """

    def __init__(self, place: BackendPlace) -> None:
        self.place = place
        self.client = CallClient.from_config(
            place.cluster,
            f"{place.service}/{place.name}",
            place.node_peer_address,
            place.cluster_secret_file,
        )
        self.announcement = AnnounceRequest(
            service=place.service,
            name=place.name,
            address=place.address,
            port=place.port,
            slots=place.slots,
        )
        self.tasks: list[Task[None]] = []

    @classmethod
    def from_config(cls, place: BackendPlace) -> Self:
        """Builds a session; must run inside an event loop.

        Raises SecretFileError if the file of the cluster secret cannot be used.
        """
        return cls(place)

    async def __aenter__(self) -> Self:
        """Announces the backend server; requests may arrive from then on."""
        self.tasks = [
            create_task(self.client.announce_forever(self.announcement)),
            create_task(self.client.follow_routes()),
            create_task(self.client.report_events()),
        ]
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stops the announcements and closes all connections."""
        for task in self.tasks:
            task.cancel()
        await gather(*self.tasks, return_exceptions=True)
        await self.client.close()

    async def leave(self, seconds: float = DEFAULT_LEAVE_SECONDS) -> None:
        """Announces that the backend server leaves, and waits until the node sends no new work.

        Requests that have arrived continue; wait for them before ending the process.
        """
        self.announcement.leaving = True
        await sleep(seconds)

    def read_request(self, operation: str, headers: Mapping[str, str]) -> CallContext:
        """Returns the context of an arriving request, with its deadline and attempt budget.

        Raises BadRequestError if a header is malformed. A request whose deadline has passed must
        not be run, because the node may already have reported the timeout to its caller.
        """
        context = read_context(self.place.service, operation, headers, FULL_GRANT)
        self.client.observe(headers)
        text = headers.get(MONOTONIC_DEADLINE)
        if text is None:
            return context
        # The node is on the same instance and reads the same monotonic clock.
        return context._replace(deadline=Deadline(_read_seconds(text)))

    def reply_headers(
        self, context: CallContext, calls: list[OutgoingCall], answers: list[Answer]
    ) -> dict[str, str]:
        """Returns the headers of the response to a request that was run.

        ``calls`` are the calls that it made, with their ``answers``. The headers return the rest
        of the attempt budget and report the state of the services below, so that later requests
        can be refused before any work is done for them.
        """
        headers = path_headers(calls, answers)
        headers[CALL_ID] = context.call_id
        headers[ATTEMPTS_LEFT] = str(context.budget.retries)
        headers[EVENT_CLOCK] = str(self.client.clock.tick())
        return headers

    def shed_headers(self, context: CallContext) -> dict[str, str]:
        """Returns the headers of a 503 response to a request that was definitely not run."""
        return {CALL_ID: context.call_id, SHED: "yes"}


def _read_seconds(text: str) -> float:
    try:
        seconds = float(text)
    except ValueError as error:
        raise BadRequestError(f"{MONOTONIC_DEADLINE} must be a number of seconds") from error
    if not isfinite(seconds):
        raise BadRequestError(f"{MONOTONIC_DEADLINE} must be a finite number of seconds")
    return seconds

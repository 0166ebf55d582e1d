"""The side of a backend server that faces the node beside it."""

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

# The node sends no new work once it has heard that the backend server leaves: one interval
# between two announcements, the grace time of the node's default, and a margin.
DEFAULT_LEAVE_SECONDS = 4.2
# The node has capped what arrives here, so nothing is capped again.
FULL_GRANT = CallGrant(
    priority=2,
    idempotent=False,
    default_deadline_ms=600_000,
    max_deadline_ms=600_000,
    attempt_budget=1000,
)


class BackendPlace(NamedTuple):
    """Where a backend server is, and what it can take.

    ``slots`` is the number of requests that it runs at once; the node takes it as the first
    value of its limit and measures from there. ``cluster_secret_file`` is needed where nodes
    require signatures of peers.
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
    """Announces a backend server to its node, and carries the context of each request.

    An ``async with`` block announces the backend server, which must listen by then, and closes all
    connections at its end. Requests arrive by HTTP from the node at
    ``address`` and ``port``, as POST to ``/OPERATION``; the backend server brings its own HTTP
    server and uses this class to read and to answer them.
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
        """Announces the backend server; from now on requests may arrive."""
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
        """Stops announcing, and closes all connections."""
        for task in self.tasks:
            task.cancel()
        await gather(*self.tasks, return_exceptions=True)
        await self.client.close()

    async def leave(self, seconds: float = DEFAULT_LEAVE_SECONDS) -> None:
        """Tells the node that the backend server leaves, and waits until no new work comes.

        Requests that arrived before go on; the caller waits for them before it ends the process.
        """
        self.announcement.leaving = True
        await sleep(seconds)

    def read_request(self, operation: str, headers: Mapping[str, str]) -> CallContext:
        """Returns the context of an arriving request, with its deadline and attempt budget.

        Raises BadRequestError if a header is malformed. A request whose deadline has passed must
        not be run: the node may have told its caller so already.
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

        ``calls`` are those that it made, with their answers. The headers hand back what is left
        of the attempt budget and tell what the calls met below, so that callers can be refused
        before any work.
        """
        headers = path_headers(calls, answers)
        headers[CALL_ID] = context.call_id
        headers[ATTEMPTS_LEFT] = str(context.budget.retries)
        headers[EVENT_CLOCK] = str(self.client.clock.tick())
        return headers

    def shed_headers(self, context: CallContext) -> dict[str, str]:
        """Returns the headers of a 503 response to a request that was certainly not run."""
        return {CALL_ID: context.call_id, SHED: "yes"}


def _read_seconds(text: str) -> float:
    try:
        seconds = float(text)
    except ValueError as error:
        raise BadRequestError(f"{MONOTONIC_DEADLINE} must be a number of seconds") from error
    if not isfinite(seconds):
        raise BadRequestError(f"{MONOTONIC_DEADLINE} must be a finite number of seconds")
    return seconds

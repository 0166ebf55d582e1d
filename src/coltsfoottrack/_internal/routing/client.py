"""The embedded client: calls other services directly from a backend server."""

from asyncio import CancelledError, gather, sleep
from collections.abc import Mapping
from random import Random
from secrets import randbits
from time import monotonic
from typing import NamedTuple, Self

from grpclib.exceptions import GRPCError, StreamTerminatedError

from coltsfoottrack._internal.calls.budget import AttemptBudget
from coltsfoottrack._internal.calls.context import (
    ABSENT_SERVICE,
    EVENT_CLOCK,
    PATH_LEVEL,
    PROTOCOL_VERSION,
    QUEUED_MS,
    USED_SERVICES,
    CallContext,
    parse_whole_number,
)
from coltsfoottrack._internal.calls.identifiers import new_call_id
from coltsfoottrack._internal.calls.outcome import Answer, Outcome, Reason, refused
from coltsfoottrack._internal.calls.peer_authentication import PeerAuthentication
from coltsfoottrack._internal.configuration.holder import ConfigurationHolder
from coltsfoottrack._internal.events.call_record import record_answer, record_cancelled
from coltsfoottrack._internal.events.clock import HybridClock
from coltsfoottrack._internal.events.ring import PROCESS_CLIENT, EventRing
from coltsfoottrack._internal.membership.table import MembershipTable
from coltsfoottrack._internal.observability.invariants import Invariant, InvariantChecker
from coltsfoottrack._internal.routing.peer_channels import open_channel
from coltsfoottrack._internal.routing.router import Router
from coltsfoottrack._internal.schema.coltsfoottrack_grpc import BackendStub
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import (
    AnnounceRequest,
    Envelope,
    ReportEventsRequest,
    WatchRoutesRequest,
)

ANNOUNCE_INTERVAL_SECONDS = 1.0
RECONNECT_SECONDS = 0.2
RPC_TIMEOUT_SECONDS = 2.0
REPORT_INTERVAL_SECONDS = 0.25
REPORT_BATCH = 200
CLIENT_RING_CAPACITY = 1024


class OutgoingCall(NamedTuple):
    """One call to make: the callee's service and operation, and the request body."""

    service: str
    operation: str
    body: bytes


def path_headers(calls: list[OutgoingCall], answers: list[Answer]) -> dict[str, str]:
    """Returns the response headers with which a backend server reports the calls of a run.

    They are set whether the run finished or failed. A call that did not finish adds no used
    service, so a run that finishes nevertheless shows that it does not require that service.
    """
    level = 0
    queued_ms = 0.0
    used: set[str] = set()
    absent = ""
    for call, answer in zip(calls, answers, strict=True):
        level = max(level, answer.admission_level, answer.path_level)
        queued_ms = max(queued_ms, answer.queued_ms + answer.path_queued_ms)
        if answer.outcome is Outcome.DONE:
            used |= answer.used_services | {call.service}
        absent = absent or answer.absent_service
    headers = {PATH_LEVEL: str(level), QUEUED_MS: str(int(queued_ms))}
    if used:
        headers[USED_SERVICES] = ",".join(sorted(used))
    if absent:
        headers[ABSENT_SERVICE] = absent
    return headers


class CallClient:
    """Announces a backend server to its node and makes calls for it.

    The client receives members and configuration from that node, and sends each call directly to
    a node of the called service.
    """

    def __init__(
        self,
        cluster: str,
        name: str,
        node_peer_address: str,
        authentication: PeerAuthentication | None = None,
    ) -> None:
        self.cluster = cluster
        self.name = name
        self.authentication = authentication or PeerAuthentication()
        self.channel = open_channel(node_peer_address, self.authentication)
        self.node = BackendStub(self.channel)
        # Never 0, which means that the client sends no incarnation.
        self.incarnation = randbits(63) + 1
        self.clock = HybridClock()
        self.ring = EventRing(name, self.clock, CLIENT_RING_CAPACITY, PROCESS_CLIENT)
        self.members = MembershipTable()
        self.checker = InvariantChecker()
        self.configuration = ConfigurationHolder(self.checker)
        self.router = Router(
            cluster=cluster,
            members=self.members,
            policies=lambda: self.configuration.policies,
            clock=self.clock,
            ring=self.ring,
            random=Random(),
            checker=self.checker,
            authentication=self.authentication,
        )

    @classmethod
    def from_config(
        cls, cluster: str, name: str, node_peer_address: str, cluster_secret_file: str = ""
    ) -> Self:
        """Builds a client; must run inside an event loop.

        Raises SecretFileError if the file of the cluster secret cannot be used.
        """
        authentication = PeerAuthentication.from_file(cluster_secret_file)
        return cls(cluster, name, node_peer_address, authentication)

    async def announce_forever(self, request: AnnounceRequest) -> None:
        """Announces the backend server now and every second, so a restarted node finds it."""
        request.incarnation = self.incarnation
        while True:
            request.envelope.CopyFrom(self._envelope())
            del request.violations[:]
            request.violations.extend(self.checker.counts())
            try:
                await self.node.Announce(request, timeout=RPC_TIMEOUT_SECONDS)
            except (OSError, GRPCError, StreamTerminatedError, TimeoutError):
                await sleep(RECONNECT_SECONDS)
                continue
            await sleep(ANNOUNCE_INTERVAL_SECONDS)

    async def report_events(self) -> None:
        """Sends events to the node, for ever; drops the oldest while the node is unavailable."""
        while True:
            await sleep(REPORT_INTERVAL_SECONDS)
            events, dropped = self.ring.take(REPORT_BATCH)
            if not events and not dropped:
                continue
            request = ReportEventsRequest(envelope=self._envelope(), events=events, dropped=dropped)
            try:
                await self.node.ReportEvents(request, timeout=RPC_TIMEOUT_SECONDS)
            except (OSError, GRPCError, StreamTerminatedError, TimeoutError):
                self.ring.put_back(events, dropped)

    async def follow_routes(self) -> None:
        """Receives updates of members and configuration from the node, for ever."""
        while True:
            try:
                await self._watch_routes_once()
            except (OSError, GRPCError, StreamTerminatedError, TimeoutError):
                await sleep(RECONNECT_SECONDS)

    async def _watch_routes_once(self) -> None:
        async with self.node.WatchRoutes.open() as stream:
            await stream.send_message(WatchRoutesRequest(envelope=self._envelope()), end=True)
            async for update in stream:
                self.clock.observe(update.envelope.event_clock)
                for member in update.members:
                    self.members.merge(member)
                self.configuration.offer(update.configuration, "node")

    def observe(self, headers: Mapping[str, str]) -> None:
        """Advances the event clock to that of a request, so that later events sort after it.

        Raises BadRequestError if the header is malformed.
        """
        self.clock.observe(parse_whole_number(headers, EVENT_CLOCK, 0, 2**63 - 1))

    async def call(self, parent: CallContext, call: OutgoingCall) -> Answer:
        """Makes one call for a parent request that this backend server is running."""
        return (await self.call_all(parent, [call]))[0]

    async def call_all(self, parent: CallContext, calls: list[OutgoingCall]) -> list[Answer]:
        """Makes calls in parallel, with the budget, deadline and priority of the parent request.

        The unused part of the attempt budget returns to the parent request. A cancellation
        cancels all calls.
        """
        if not parent.budget.charge_calls(len(calls)):
            return [refused(Reason.BUDGET_SPENT) for _ in calls]
        granted = parent.budget.retries
        shares = parent.budget.split(len(calls))
        pending = []
        for call, share in zip(calls, shares, strict=True):
            pending.append(self._call_one(parent, call, share))
        answers = await gather(*pending)
        for answer in answers:
            parent.budget.restore(answer.attempts_left)
        self.checker.check(
            parent.budget.retries <= granted,
            Invariant.BOUNDED_RETRIES,
            f"{parent.request_id}: calls returned more than the {granted} retries granted to them",
        )
        return answers

    async def _call_one(
        self, parent: CallContext, call: OutgoingCall, share: AttemptBudget
    ) -> Answer:
        context = parent._replace(
            service=call.service,
            operation=call.operation,
            call_id=new_call_id(),
            budget=share,
            idempotency_key="",
            suspected_crashes=0,
            depth=parent.depth + 1,
        )
        started = monotonic()
        try:
            answer = await self.router.call(context, call.body)
        except CancelledError:
            record_cancelled(self.ring, context, started)
            raise
        record_answer(self.ring, context, answer, started)
        return answer

    def _envelope(self) -> Envelope:
        return Envelope(
            cluster=self.cluster,
            protocol_version=PROTOCOL_VERSION,
            sender=self.name,
            event_clock=self.clock.tick(),
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self.router.close()
        self.channel.close()

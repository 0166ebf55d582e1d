"""Accepts requests of callers and the local backend server and tracks each until its answer."""

from collections.abc import Callable

from coltsfoottrack._internal.mesh.backend_state import Lifetime
from coltsfoottrack._internal.mesh.body_buffer import Body, LargeBody, large_body
from coltsfoottrack._internal.mesh.caller_connection import CallerConnection
from coltsfoottrack._internal.mesh.caller_group import CallerGroup
from coltsfoottrack._internal.mesh.caller_request import CallerRequest
from coltsfoottrack._internal.mesh.clock import current_time
from coltsfoottrack._internal.mesh.customers.identification import MISSING_KEY, identify
from coltsfoottrack._internal.mesh.customers.quota import (
    RateTokens,
    UnlimitedTokens,
    charge,
    settle,
)
from coltsfoottrack._internal.mesh.decisions import DecisionLog
from coltsfoottrack._internal.mesh.directory import Directory, Peer
from coltsfoottrack._internal.mesh.entry_call import EntryCall
from coltsfoottrack._internal.mesh.entry_gate import (
    NODE_STOPPING,
    RETRY_AFTER_SECONDS,
    EntryGate,
)
from coltsfoottrack._internal.mesh.entry_log import EntryLog
from coltsfoottrack._internal.mesh.entry_refusals import EntryRefusals
from coltsfoottrack._internal.mesh.link import LinkCall
from coltsfoottrack._internal.mesh.links import NODE_RESTARTED, OTHER_PROCESS, Links
from coltsfoottrack._internal.mesh.model import CallerLimits, HeaderNames
from coltsfoottrack._internal.mesh.parent_requests import ParentRequests
from coltsfoottrack._internal.mesh.route_summaries import LEVEL_UNIT
from coltsfoottrack._internal.mesh.routes import RouteTable
from coltsfoottrack._internal.mesh.run_outcome import (
    CAPACITY_REASONS,
    FIRST_FAILURE_STATUS,
    note_failed_call,
)
from coltsfoottrack._internal.mesh.runner import BUSY, CAPACITY_UNIT, Runner
from coltsfoottrack._internal.mesh.statistics import MeshStatistics
from coltsfoottrack._internal.schema.links_pb2 import (
    RESULT_ANSWERED,
    RESULT_UNKNOWN,
    RateLimit,
    Reply,
    Request,
)

# Maximum number of sends of one request, including those that never reached a backend server.
MAX_SENDS = 5
# Maximum number of members without a free slot that return a request before one has to queue it.
MAX_DECLINES = 2
# Fraction of the target latency that a request below the top rank may wait for a slot.
WAIT_FRACTION = 0.3
MIN_WAIT_SECONDS = 0.04
# Fraction of its remaining time that a request of a route of the top rank may wait for a slot,
# whatever the rank of its customer.
TOP_RANK_WAIT_FRACTION = 0.6
# A request without an answer is ended this long after it expired.
ANSWER_MARGIN_SECONDS = 0.1
# Reasons for which a member is not chosen for UNAVAILABLE_BLOCK_SECONDS.
UNAVAILABLE_REASONS = frozenset(
    ("backend_left", "backend_down", "backend_unreachable", "node_leaving", "no_backend")
)
UNAVAILABLE_BLOCK_SECONDS = 0.5
# Statuses from which a caller concludes that the request did not run. They are not forwarded from
# a backend server that ran the request, that is, one that did not set the not-run header.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


class Entry:
    """The requests that this node received from callers and from its backend server."""

    def __init__(
        self,
        names: HeaderNames,
        directory: Directory,
        runner: Runner,
        parent_requests: ParentRequests,
        log: DecisionLog,
        statistics: MeshStatistics,
        group: CallerGroup,
    ) -> None:
        self.headers = names
        self.caller_header = b""
        self.requires_id = True
        self.directory = directory
        self.runner = runner
        self.parent_requests = parent_requests
        self.log = EntryLog(log)
        self.statistics = statistics
        self.refusals = EntryRefusals(names, parent_requests, self.log, statistics)
        self.links: Links | None = None
        self.table: RouteTable | None = None
        # Quotas of the customers.
        self.shared_rates: RateTokens = UnlimitedTokens()
        self.gate = EntryGate()
        self.group = group
        group.limits = self.limits
        self.calls: dict[int, EntryCall] = {}
        self.last_number = 0
        # Called for each request that is sent to a member.
        self.on_work: Callable[[], None] = lambda: None

    def set_service(self, service: str) -> None:
        """Sets the service of this node's instance."""
        name = self.headers.caller_service
        self.caller_header = name + b": " + service.encode("latin-1") + b"\r\n"

    @property
    def connections(self) -> set[CallerConnection]:
        """The open connections of callers."""
        return self.group.connections

    def limits(self) -> CallerLimits:
        """Returns the limits on callers that are in force."""
        return self.table.configuration.limits if self.table else CallerLimits()

    def is_stopping(self) -> bool:
        """Returns whether connections are closed after their next answer."""
        return self.gate.is_stopping()

    def drops_customer_headers(self) -> bool:
        """Returns whether the configuration in force has customers."""
        return self.table is not None and self.table.customers is not None

    def note_rejected(self, request: CallerRequest, status: int, reason: str) -> bytes:
        """Notes that a request is rejected unread; returns header lines for its answer."""
        return self.refusals.note_rejected(request, status, reason)

    def handle(self, request: CallerRequest) -> None:
        """Refuses a complete request or sends it to a member."""
        self.statistics.requests += 1
        table = self.table
        if table is None:
            self.refusals.refuse_unrouted(request, "no_configuration")
            return
        route = table.find(request.host, request.path)
        if route is None:
            self.statistics.count_answer("", "no_route")
            self.log.without_route(request, table.version)
            request.respond(404, b"", b"")
            return
        call = EntryCall(request, route)
        now = request.received
        call.parent = self.parent_requests.parent(call.request_id, now)
        refusal = identify(call, table, self.headers.customer)
        if refusal == MISSING_KEY and self.parent_requests.may_be_call(call.request_id, now):
            if self._set_deadline(call, now):
                self.refusals.refuse_unknown_parent(call, table.version, now)
            return
        if refusal:
            self.refusals.refuse_unidentified(call, refusal, table.version)
            return
        if not self._set_deadline(call, now):
            return
        if call.parent is not None:
            self._inherit_rank(call, now)
            if not self.gate.takes_call(call.route, call.expires, now):
                restart = self.gate.restart_seconds(now)
                self.refusals.refuse_call(call, restart, table.version, now)
                return
        elif not self._charge(call, table, now) or not self._admit(call, table, now):
            return
        call.service = table.service_of(route)
        self.last_number += 1
        call.number = self.last_number
        self.calls[call.number] = call
        request.cancel = lambda: self._caller_disconnected(call)
        self.on_work()
        self._send(call, now)

    def _set_deadline(self, call: EntryCall, now: float) -> bool:
        request = call.request
        timeout = call.route.timeout_ms / 1000.0
        remaining = timeout
        if request.deadline_ms is not None:
            if not request.deadline_ms.strip().isdigit():
                request.keep_alive = False
                request.respond(400, b"", b"")
                return False
            remaining = min(int(request.deadline_ms), 86_400_000) / 1000.0
        call.deadline = now + remaining
        call.expires = now + min(remaining, timeout)
        request.deadline = min(call.deadline, call.expires + self.limits().idle_timeout_ms / 1000.0)
        return True

    def _inherit_rank(self, call: EntryCall, now: float) -> None:
        """Gives a call the rank of its parent request."""
        call.rank = call.parent.rank
        self.parent_requests.note_call(call.parent, call.route.name, now)

    def _charge(self, call: EntryCall, table: RouteTable, now: float) -> bool:
        """Returns whether a new request is within its customer's quota; refuses it if not."""
        wait = charge(call, self.shared_rates, now)
        if wait is None:
            return True
        self.refusals.refuse_without_token(call, wait, table.version, now)
        return False

    def _admit(self, call: EntryCall, table: RouteTable, now: float) -> bool:
        """Returns whether a new request is admitted; answers it with a 503 if not."""
        # The level of this node's own backend server is known without a reply.
        own_level = self.runner.level.level
        self.gate.levels.refresh(call.route.name, self.directory.own.node, own_level)
        refusal = self.gate.check(
            call.route,
            call.rank,
            call.customer_name,
            table.top_rank + 1,
            call.expires,
            now,
        )
        if refusal is None:
            return True
        settle(call, self.shared_rates)
        reported = self.gate.levels.describe(call.route.name, now)
        self.refusals.refuse_new(call, refusal, reported, table.version, now)
        return False

    def _send(self, call: EntryCall, now: float) -> None:
        """Sends a request to the member with the lowest cost, or ends it if there is none."""
        remaining = call.expires - now
        if remaining <= 0.0:
            self._end_unserved(call, "expired")
            return
        peer = None
        if call.sends < MAX_SENDS:
            peer = self._choose(call)
        if peer is None:
            if not call.reason:
                known = self.directory.knows(call.service)
                call.reason = "no_member_accepts" if known else "no_member_known"
            self._end_unserved(call, call.reason)
            return
        call.peer = peer
        call.sends += 1
        call.sent_at = now
        call.chosen_record = peer.member
        call.granted = False
        call.tried.add(peer.member.node)
        if self.log.try_sample():
            self.log.sent(call, now, self.table.version)
        message = self._message(call, peer, remaining)
        request_body = call.request.body
        if peer.member.node == self.directory.own.node:
            self.links.run_locally(message, self, large_body(request_body))
            return
        link_call = LinkCall(
            message, call.route.idempotent, call.expires, self, large_body(request_body)
        )
        self.links.send(peer.member, link_call)

    def _choose(self, call: EntryCall) -> Peer | None:
        """Returns the member for the next send; one that has declined only if there is no other."""
        target = call.route.target_latency_ms / 1000.0
        peer = self.directory.choose(call.service, call.tried, call.route.name, target)
        if peer is None and call.declined:
            call.tried -= call.declined
            peer = self.directory.choose(call.service, call.tried, call.route.name, target)
            call.may_decline = False
        return peer

    def grant(self, number: int) -> bool:
        """Grants the claim to run a non-idempotent request; returns False if it has ended."""
        call = self.calls.get(number)
        if call is None or call.done:
            return False
        if not self.gate.takes_call(call.route, call.expires, current_time()):
            # It has not run, which is certain only until it is granted.
            self._end_unserved(call, NODE_STOPPING)
            return False
        call.granted = True
        return True

    def is_granted(self, number: int) -> bool:
        """Returns whether a request was granted and has not ended."""
        call = self.calls.get(number)
        return call is not None and call.granted

    def _may_have_run(self, call: EntryCall) -> bool:
        """Returns whether the last send may have reached a backend server."""
        if call.peer is None:
            return False
        if call.peer.member.node == self.directory.own.node:
            return self.links.has_run_locally(call.number)
        return call.route.idempotent or call.granted

    def _message(self, call: EntryCall, peer: Peer, remaining: float) -> Request:
        route = call.route
        nested = call.parent is not None
        if nested:
            wait = remaining
        elif route.rank == 0:
            wait = remaining * TOP_RANK_WAIT_FRACTION
        else:
            wait = max(MIN_WAIT_SECONDS, route.target_latency_ms / 1000.0 * WAIT_FRACTION)
        request = call.request
        # Each send has a new number, since another node may still hold the earlier one.
        self.calls.pop(call.number, None)
        self.last_number += 1
        call.number = self.last_number
        self.calls[call.number] = call
        known_rate_limit = None
        if peer.rate_limit is not None:
            known_rate_limit = RateLimit(**peer.rate_limit._asdict())
        return Request(
            number=call.number,
            backend=peer.member.backend,
            epoch=peer.member.epoch,
            rank=call.rank,
            time_left_ms=int(remaining * 1000.0),
            wait_ms=int(wait * 1000.0),
            idempotent=route.idempotent,
            repeat=call.is_retry,
            of_repeated_run=nested and call.parent.is_retry,
            nested=nested,
            request_id=call.request_id,
            route=route.name,
            head=request.head,
            body=request.body if type(request.body) is bytes else b"",
            configuration_version=self.table.version,
            may_decline=call.may_decline,
            known_rate_limit=known_rate_limit,
            customer=call.customer_name,
        )

    def handle_reply(self, number: int, reply: Reply, body: LargeBody | None = None) -> None:
        """Handles the reply of a runner; ``body`` is that of the answer if it is large."""
        call = self.calls.get(number)
        if call is None or call.done:
            return
        now = current_time()
        peer = call.peer
        self.directory.record_reply(
            peer,
            reply.load,
            reply.capacity / CAPACITY_UNIT,
            reply.waiting,
            reply.result == RESULT_ANSWERED,
        )
        self.gate.levels.record(call.route.name, peer.member.node, reply.level / LEVEL_UNIT)
        if reply.result == RESULT_ANSWERED:
            call.attempts += 1
            peer.record_time(call.route.name, now - call.sent_at, now)
            failed = reply.status >= FIRST_FAILURE_STATUS
            peer.record_result(failed and not reply.failed_below)
            self._record_backend_state(call, peer, reply)
            if failed:
                call.failed_backend = call.chosen_record.backend
            if failed and self._retry_failed(call, reply, body):
                return
            self._answer(call, reply, body)
        elif reply.result == RESULT_UNKNOWN:
            peer.record_result(True)
            self.handle_no_reply(number, True, reply.reason)
        else:
            self._handle_not_run(call, reply.reason, now)

    def _record_backend_state(self, call: EntryCall, peer: Peer, reply: Reply) -> None:
        """Keeps rate limit and leave of the member's backend server, which its node may forget."""
        if reply.left_started_ms:
            lifetime = Lifetime(call.chosen_record.backend, reply.left_started_ms)
            if self.directory.mark_left(peer.member.node, lifetime):
                self.log.member_left(call, lifetime)
        if reply.HasField("rate_limit"):
            limit = reply.rate_limit
            peer.record_rate_limit(limit.per_second, limit.backend_started_ms)
        else:
            peer.rate_limit = None

    def _handle_not_run(self, call: EntryCall, reason: str, now: float) -> None:
        """Handles a reply that the request did not run; sends it to another member if allowed."""
        if reason == BUSY:
            self._handle_declined(call, now)
            return
        call.reason = reason
        if reason in (OTHER_PROCESS, "other_backend"):
            self._allow_reselection(call)
        elif reason in UNAVAILABLE_REASONS:
            call.peer.block(UNAVAILABLE_BLOCK_SECONDS)
        elif reason == "backend_refused":
            # The request has reached a backend server, so its token is used.
            call.charged = ""
            call.peer.record_result(True)
            call.is_retry = True
            if call.sends >= call.route.max_attempts:
                self._end_unserved(call, reason)
                return
        elif reason in ("repeat_budget", "quarantined", "expired", "caller_gone"):
            self._end_unserved(call, reason)
            return
        self.log.sent_elsewhere(call, reason)
        if reason == "overload" and call.sends >= 2:
            self._end_unserved(call, reason)
            return
        self._send(call, now)

    def _handle_declined(self, call: EntryCall, now: float) -> None:
        """Sends a request elsewhere that reached a member without a free slot."""
        call.sends -= 1
        call.declined.add(call.peer.member.node)
        call.may_decline = len(call.declined) < MAX_DECLINES
        self.statistics.declined += 1
        self._send(call, now)

    def _allow_reselection(self, call: EntryCall) -> None:
        """Lets a member be chosen again if a newer record of it has arrived since."""
        used = call.chosen_record
        known = self.directory.peers.get(used.node)
        if known is None:
            return
        if (known.member.epoch, known.member.backend) != (used.epoch, used.backend):
            call.tried.discard(used.node)

    def handle_no_reply(self, number: int, may_have_run: bool, reason: str) -> None:
        """Handles a send that will get no reply."""
        call = self.calls.get(number)
        if call is None or call.done:
            return
        if not may_have_run:
            self._handle_not_run(call, reason, current_time())
            return
        call.attempts += 1
        if reason == NODE_RESTARTED:
            self._allow_reselection(call)
        if self._retry(call, None, reason):
            return
        call.reason = reason
        self._end_unserved(call, reason)

    def _retry_failed(self, call: EntryCall, reply: Reply, body: LargeBody | None) -> bool:
        """Retries a request whose run failed; returns False if that is not allowed.

        A run that failed only for a call is not retried: the called service has already had its
        retry, and another run would need all of its calls again.
        """
        if reply.failed_below:
            self.log.failed_below()
            return False
        call.failed_body = body
        return self._retry(call, reply, "backend_failed")

    def _retry(self, call: EntryCall, failure: Reply | None, reason: str) -> bool:
        """Retries a request at another backend server; returns False if that is not allowed."""
        route = call.route
        if failure is not None:
            call.failed_reply = failure
        if not route.idempotent or call.attempts >= route.max_attempts:
            return False
        now = current_time()
        if call.sends >= MAX_SENDS or not self.gate.takes_call(route, call.expires, now):
            return False
        call.is_retry = True
        call.reason = reason
        self.statistics.retries += 1
        self.log.retried(call, reason, failure.status if failure is not None else 0)
        self._send(call, now)
        return True

    def _answer(self, call: EntryCall, reply: Reply, body: LargeBody | None = None) -> None:
        """Forwards the answer of the backend server."""
        if reply.status in NOT_RUN_STATUSES:
            call.failed_backend = call.failed_backend or call.chosen_record.backend
            self.log.failed_at_backend(call, reply.status, current_time())
            note_failed_call(call, reply.short_of_capacity)
            self._end(call, 502, b"", b"", "backend_failed")
            return
        if reply.status >= FIRST_FAILURE_STATUS:
            self.log.failed_at_backend(call, reply.status, current_time())
            note_failed_call(call, reply.short_of_capacity)
        now = current_time()
        self.gate.durations.record(call.route.name, now - call.request.received, now)
        content = reply.body if body is None else body
        self._end(call, reply.status, reply.head, content, "answered")

    def _end_unserved(self, call: EntryCall, reason: str) -> None:
        """Sends the final answer to a request that no backend server has served."""
        if call.failed_reply is not None:
            self._answer(call, call.failed_reply, call.failed_body)
            return
        now = current_time()
        if call.attempts:
            status = 504 if now >= call.expires else 502
            head = b""
        else:
            status = 503
            head = self.refusals.retry_after(RETRY_AFTER_SECONDS, call.deadline - now)
        version = self.table.version if self.table else 0
        self.log.not_served(call, status, reason, now, version)
        note_failed_call(call, not call.attempts and reason in CAPACITY_REASONS)
        self._end(call, status, head, b"", reason)

    def _end(self, call: EntryCall, status: int, head: bytes, body: Body, reason: str) -> None:
        self._close(call)
        self.refusals.count_answer(call, reason)
        self.statistics.latency.observe(current_time() - call.request.received)
        call.request.respond(status, head, body)

    def _close(self, call: EntryCall) -> None:
        call.done = True
        self.calls.pop(call.number, None)
        settle(call, self.shared_rates)

    def _caller_disconnected(self, call: EntryCall) -> None:
        """Cancels the request of a caller that has disconnected."""
        if self._may_have_run(call):
            call.attempts += 1
        self._close(call)
        self.refusals.count_answer(call, "caller_gone")
        self.log.caller_gone(call, current_time())
        note_failed_call(call, False)
        self._cancel(call)

    def _cancel(self, call: EntryCall) -> None:
        if call.peer is not None:
            self.links.cancel(call.peer.member, call.number)

    def tick(self, now: float) -> None:
        """Ends the requests that have expired."""
        for call in list(self.calls.values()):
            if not call.done and now >= call.expires + ANSWER_MARGIN_SECONDS:
                self.gate.durations.record(call.route.name, now - call.request.received, now)
                self._abandon(call, "time_out")

    def abandon_all(self) -> None:
        """Sends all requests their final answer before the process exits."""
        for call in list(self.calls.values()):
            if not call.done:
                self._abandon(call, NODE_STOPPING)

    def _abandon(self, call: EntryCall, reason: str) -> None:
        if self._may_have_run(call):
            call.attempts += 1
        self._cancel(call)
        self._end_unserved(call, reason)

    def close_idle_connections(self, now: float) -> None:
        """Closes connections that have no request in flight and may not bring their first one."""
        for connection in list(self.connections):
            connection.end_linger(now)
            if not connection.awaits_first_request(now):
                connection.close_if_idle(now)

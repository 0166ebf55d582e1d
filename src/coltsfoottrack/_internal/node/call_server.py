"""The call port: HTTP/1.1 requests from callers, peers and embedded clients."""

from asyncio import CancelledError
from functools import partial
from time import monotonic

from coltsfoottrack._internal.admission.suspects import QUARANTINE_CRASHES
from coltsfoottrack._internal.calls.context import (
    CALL_ID,
    CLUSTER,
    EVENT_CLOCK,
    IDEMPOTENCY_KEY,
    PROTOCOL,
    PROTOCOL_VERSION,
    CallContext,
    answer_headers,
    parse_whole_number,
    read_context,
)
from coltsfoottrack._internal.calls.exceptions import (
    BadRequestError,
    InvalidKeyError,
    UnauthenticatedPeerError,
)
from coltsfoottrack._internal.calls.identifiers import IdempotencyKey, is_identifier
from coltsfoottrack._internal.calls.outcome import (
    Answer,
    Outcome,
    Reason,
    refused,
    unconfirmed_refusal,
    unknown,
)
from coltsfoottrack._internal.events.call_record import (
    CallProgress,
    CallStage,
    current_progress,
    enter_stage,
    record_answer,
    record_cancelled,
)
from coltsfoottrack._internal.events.kinds import EventKind
from coltsfoottrack._internal.ledger.exceptions import KeysExhaustedError
from coltsfoottrack._internal.ledger.ledger import request_digest
from coltsfoottrack._internal.node.connection_bounds import ConnectionBounds
from coltsfoottrack._internal.node.exceptions import WrongClusterError
from coltsfoottrack._internal.node.http_messages import CallRequest, CallResponse, InputProblem
from coltsfoottrack._internal.node.http_port import HttpPort
from coltsfoottrack._internal.node.state import NodeState
from coltsfoottrack._internal.observability.invariants import Invariant
from coltsfoottrack._internal.observability.stages import Stage
from coltsfoottrack._internal.settings.rules import number_or_default

SERVICES_PREFIX = "/v1/services/"
MAX_KEYS_PER_REQUEST = 1000
SHUTDOWN_SECONDS = 10.0
BACKLOG = 1024
TOO_LARGE_STATUS = 413
OVERLOAD_STATUS = 503
# Refusals caused by the caller; they are not counted as shedding.
CALLER_ERROR_REASONS = frozenset(
    (
        Reason.KEY_REQUIRED,
        Reason.KEY_REUSED,
        Reason.KEY_INVALID,
        Reason.UNKNOWN_SERVICE,
        Reason.BAD_REQUEST,
    )
)
# Refusals of invalid requests, made before the idempotency key is read.
INPUT_ERROR_REASONS = frozenset(
    (Reason.BAD_REQUEST, Reason.TOO_LARGE, Reason.WRONG_CLUSTER, Reason.UNAUTHENTICATED)
)


class CallTimestamps:
    """Monotonic times in seconds at which a call moved from one stage to the next."""

    __slots__ = ("answered_at", "parsed_at", "started_at")

    def __init__(self, started_at: float) -> None:
        self.started_at = started_at
        self.parsed_at = started_at
        self.answered_at = started_at


class CallServer:
    """Serves calls to this node's own service and forwards calls to other services."""

    def __init__(self, state: NodeState) -> None:
        self.state = state
        self.bounds = ConnectionBounds.from_config(state.settings.limits)
        self.server = HttpPort(
            self.serve, self.bounds, state.metrics.count_refused_connection, state.metrics.stages
        )

    async def start(self) -> None:
        """Opens the call port."""
        settings = self.state.settings
        await self.server.open(settings.address, settings.call_port, BACKLOG)

    async def stop(self) -> None:
        """Closes the port after requests in flight have ended, at most 10 s later."""
        await self.server.close(SHUTDOWN_SECONDS)

    async def serve(self, request: CallRequest) -> CallResponse:
        """Answers one HTTP request."""
        drain = self.state.drain
        times = CallTimestamps(monotonic())
        with drain.track_call():
            answer = await self._answer(request, times)
        if answer.reason in INPUT_ERROR_REASONS or request.problem is not None:
            answer = unconfirmed_refusal(answer, request.headers.get(IDEMPOTENCY_KEY, ""))
        answer = answer._replace(served_by=self.state.name, node_leaving=drain.is_leaving)
        headers = answer_headers(answer, self.state.clock.tick())
        call_id = request.headers.get(CALL_ID)
        if call_id is not None and is_identifier(call_id):
            headers[CALL_ID] = call_id
        # A later request on a kept connection could arrive while the port closes.
        close = drain.node_leaving_since is not None
        on_sent = None
        if answer.running_ms:
            on_sent = partial(self._observe_stages, answer, times, monotonic())
        return CallResponse(int(answer.status), headers, answer.body, close, on_sent)

    async def _answer(self, request: CallRequest, times: CallTimestamps) -> Answer:
        state = self.state
        if request.problem is not None:
            return self._refuse_problem(request.problem)
        try:
            self._check_peer(request)
            service, operation = split_path(request.method, request.path())
            if operation == "keys" and service == state.settings.service:
                return self._issue_keys(request)
            grant = state.configuration.policies.grant(service, operation)
            context = read_context(service, operation, request.headers, grant)
        except WrongClusterError as error:
            return self._refuse_input(400, refused(Reason.WRONG_CLUSTER, text=str(error)))
        except UnauthenticatedPeerError as error:
            return self._refuse_input(401, refused(Reason.UNAUTHENTICATED, text=str(error)))
        except BadRequestError as error:
            return self._refuse_input(400, refused(Reason.BAD_REQUEST, text=str(error)))
        started = request.received_at
        times.parsed_at = monotonic()
        current_progress.set(CallProgress())
        try:
            answer = await self._call(context, request.body, grant.idempotent)
        except CancelledError:
            record_cancelled(state.ring, context, started, self._backend_server(context))
            raise
        times.answered_at = monotonic()
        self._record(context, answer, started)
        return answer

    def _observe_stages(
        self, answer: Answer, times: CallTimestamps, headers_ready_at: float
    ) -> None:
        """Records the stage times of a call that the backend server beside this node ran.

        The answer to another copy under the same key carries the times of the original run, which
        are longer than the copy itself took; such an answer is skipped.
        """
        stages = self.state.metrics.stages
        queued_seconds = answer.queued_ms / 1000.0
        running_seconds = answer.running_ms / 1000.0
        waited_seconds = queued_seconds + running_seconds
        if waited_seconds > times.answered_at - times.parsed_at:
            return
        stages.add(Stage.CONTEXT, times.parsed_at - times.started_at)
        stages.add(Stage.QUEUE, queued_seconds)
        stages.add(Stage.BACKEND, running_seconds)
        stages.add(Stage.ADMISSION, times.answered_at - times.parsed_at - waited_seconds)
        stages.add(Stage.ANSWER, headers_ready_at - times.answered_at)

    def _refuse_problem(self, problem: InputProblem) -> Answer:
        """Refuses a request that the connection could not read completely."""
        if problem.status == OVERLOAD_STATUS:
            answer = refused(Reason.OVERLOAD, text=problem.text, retry_useful=True)
            return answer._replace(status=problem.status)
        reason = Reason.TOO_LARGE if problem.status == TOO_LARGE_STATUS else Reason.BAD_REQUEST
        return self._refuse_input(problem.status, refused(reason, text=problem.text))

    def _refuse_input(self, status: int, answer: Answer) -> Answer:
        """Counts an invalid request; the body of the answer states the error."""
        state = self.state
        state.metrics.bad_requests.inc({"status": str(status)})
        detail = answer.body.decode("utf-8", "replace")[:200]
        state.ring.add(EventKind.BAD_REQUEST.value, reason=answer.reason.value, detail=detail)
        return answer._replace(status=status)

    def _record(self, context: CallContext, answer: Answer, started: float) -> None:
        state = self.state
        priority = context.priority_name
        reason = answer.reason.value
        state.metrics.count_call(priority, answer.outcome.value, reason)
        if answer.outcome is Outcome.DONE:
            if not context.deadline.has_passed():
                state.metrics.count_good(priority, not context.depth and not context.from_peer)
        elif answer.outcome is Outcome.REFUSED and answer.reason not in CALLER_ERROR_REASONS:
            state.refusals.count(priority, reason)
        record_answer(state.ring, context, answer, started, self._backend_server(context))

    def _backend_server(self, context: CallContext) -> str:
        """Returns the name of the local backend server, empty for a call to another service."""
        return self.state.name if context.service == self.state.settings.service else ""

    def _check_peer(self, request: CallRequest) -> None:
        headers = request.headers
        cluster = headers.get(CLUSTER)
        if cluster is not None and cluster != self.state.settings.cluster:
            raise WrongClusterError(
                f"request is for cluster {cluster!r}, this is {self.state.settings.cluster!r}"
            )
        version = headers.get(PROTOCOL)
        if version is not None and version != str(PROTOCOL_VERSION):
            raise WrongClusterError(
                f"protocol version {version!r}, this node speaks {PROTOCOL_VERSION}"
            )
        if cluster is not None:
            # Only an authenticated peer may set depth, dispatch number and event clock.
            self.state.authentication.check_call(request.target.decode("latin-1"), headers)
            self.state.clock.observe(parse_whole_number(headers, EVENT_CLOCK, 0, 2**63 - 1))

    async def _call(self, context: CallContext, body: bytes, idempotent: bool) -> Answer:
        refusal = self._refusal_by_state(context)
        if refusal is not None:
            return refusal if idempotent else unconfirmed_refusal(refusal, context.idempotency_key)
        if not idempotent and not context.idempotency_key:
            return await self._require_key(context)
        if not context.from_peer:
            return await self._call_from_caller(context, body, idempotent)
        answer = await self._dispatch(context, body, idempotent)
        # Answers made by this node carry no attempts left of their own.
        return answer._replace(attempts_left=context.budget.retries)

    def _refusal_by_state(self, context: CallContext) -> Answer | None:
        """Returns a refusal if this node can neither run nor forward a call now, else None."""
        state = self.state
        if not state.ready:
            return refused(Reason.NOT_READY, retry_useful=True)
        if context.service == state.settings.service:
            return None
        if state.drain.refuses_new_work():
            return refused(Reason.LEAVING, retry_useful=True)
        if context.from_peer:
            return refused(Reason.UNKNOWN_SERVICE)
        if not state.router.has_node(context.service):
            return self._refuse_unserved(context.service)
        return None

    async def _call_from_caller(
        self, context: CallContext, body: bytes, idempotent: bool
    ) -> Answer:
        """Dispatches a caller's call within the retry budget kept for its Request-Id."""
        key = context.idempotency_key
        granted = context.budget.retries
        digest = request_digest(context.service, context.operation, body)
        tracked = self.state.requests.admit((context.request_id, digest), granted, key)
        if tracked is None:
            # An earlier copy of the request may have run, here or through another entry.
            return unknown(Reason.BUDGET_SPENT, copy_dispatched=False)
        is_local = context.service == self.state.settings.service
        share = tracked.take_budget(granted, reserve_retry=is_local)
        finished = False
        refused_here = False
        try:
            context = context._replace(
                budget=share, suspected_crashes=_trusted_crashes(context.suspected_crashes)
            )
            answer = await self._dispatch(context, body, idempotent)
            finished = True
            refused_here = answer.outcome is Outcome.REFUSED
        finally:
            # A run under a key continues without its caller and may still use its share.
            left = share.retries if finished or not key else 0
            tracked.return_budget(left, refused_here)
            self.state.checker.check(
                tracked.retries <= tracked.granted,
                Invariant.BOUNDED_RETRIES,
                f"{context.request_id} has {tracked.retries} of {tracked.granted} retries left",
            )
        return answer._replace(attempts_left=tracked.retries)

    async def _dispatch(self, context: CallContext, body: bytes, idempotent: bool) -> Answer:
        if context.service != self.state.settings.service:
            enter_stage(CallStage.FORWARDED)
            return await self.state.router.call(context, body)
        if idempotent:
            return await self.state.dispatcher.run_copy(context, body)
        return await self._call_under_key(context, body)

    def _refuse_unserved(self, service: str) -> Answer:
        """Returns the refusal for an unknown service, or for one without a reachable node."""
        for member in self.state.members.members.values():
            if member.service == service:
                return refused(Reason.NO_NODE, retry_useful=True)
        return refused(Reason.UNKNOWN_SERVICE, retry_useful=True)

    async def _call_under_key(self, context: CallContext, body: bytes) -> Answer:
        state = self.state
        try:
            key = IdempotencyKey.parse(context.idempotency_key)
        except InvalidKeyError as error:
            return refused(Reason.KEY_INVALID, text=str(error))
        if context.dispatch_number and context.from_peer:
            return await state.dispatcher.run_dispatch(context, body)
        if not state.ledger.is_home(key) and not context.from_peer:
            enter_stage(CallStage.FORWARDED)
            return await state.router.call(context, body)
        answer = await state.ledger.run(context, body, state.dispatcher.run_under_key)
        if answer.retry_useful:
            return answer._replace(next_key=self._new_key())
        return answer

    async def _require_key(self, context: CallContext) -> Answer:
        if context.service == self.state.settings.service:
            if self.state.drain.is_leaving:
                # A new key would be lost when this node, its home, ends.
                return refused(Reason.LEAVING, retry_useful=True)
            key = self._new_key()
        else:
            key = await self.state.router.keys.take(context)
        text = f"{context.operation} is not idempotent; send it with an Idempotency-Key"
        return refused(Reason.KEY_REQUIRED, text=text, retry_useful=True)._replace(next_key=key)

    def _issue_keys(self, request: CallRequest) -> Answer:
        if self.state.drain.is_leaving:
            return refused(Reason.LEAVING, retry_useful=True)
        count = parse_whole_number(request.query(), "count", 1, MAX_KEYS_PER_REQUEST)
        keys = []
        for _ in range(count):
            key = self._new_key()
            if not key:
                break
            keys.append(key)
        if not keys:
            return refused(Reason.KEYS_EXHAUSTED, retry_useful=True)
        return _text_answer("\n".join(keys))

    def _new_key(self) -> str:
        policy = self.state.configuration.policies.policy(self.state.settings.service)
        try:
            return self.state.ledger.issue(number_or_default(policy, "key_lifetime_ms"))
        except KeysExhaustedError:
            return ""


def _trusted_crashes(crashes: int) -> int:
    """Returns the part of a caller's crash count that this node accepts.

    Probation delays other requests, so only nodes may request it. A count that leads to
    quarantine affects only the caller itself.
    """
    return crashes if crashes >= QUARANTINE_CRASHES else 0


def _text_answer(text: str) -> Answer:
    return Answer(Outcome.DONE, body=text.encode("ascii"), content_type="text/plain")


def split_path(method: str, path: str) -> tuple[str, str]:
    """Returns service and operation. Raises BadRequestError for another method or path."""
    if method != "POST" or not path.startswith(SERVICES_PREFIX):
        raise BadRequestError(f"expected POST {SERVICES_PREFIX}SERVICE/OPERATION")
    parts = path.removeprefix(SERVICES_PREFIX).split("/")
    if len(parts) != 2:
        raise BadRequestError(f"expected POST {SERVICES_PREFIX}SERVICE/OPERATION")
    return parts[0], parts[1]

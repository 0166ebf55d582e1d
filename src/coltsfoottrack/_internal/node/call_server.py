"""The call port: HTTP/1.1 requests from callers, peers and embedded clients."""

from asyncio import timeout

from aiohttp.web import BaseRequest, HTTPException, HTTPRequestEntityTooLarge, Response, Server
from aiohttp.web_runner import ServerRunner, TCPSite

from coltsfoottrack._internal.calls.context import (
    CLUSTER,
    EVENT_CLOCK,
    PROTOCOL,
    PROTOCOL_VERSION,
    CallContext,
    answer_headers,
    read_context,
    whole_number,
)
from coltsfoottrack._internal.calls.exceptions import BadRequestError, InvalidKeyError
from coltsfoottrack._internal.calls.identifiers import IdempotencyKey
from coltsfoottrack._internal.calls.outcome import Answer, Outcome, Reason, refused
from coltsfoottrack._internal.ledger.exceptions import KeysExhaustedError
from coltsfoottrack._internal.node.state import NodeState
from coltsfoottrack._internal.settings.rules import milliseconds_to_seconds, number_or_default

SERVICES_PREFIX = "/v1/services/"
MAX_KEYS_PER_REQUEST = 1000
SHUTDOWN_SECONDS = 10.0


class CallServer:
    """Serves calls: those of the own service here, others by forwarding them."""

    def __init__(self, state: NodeState) -> None:
        self.state = state
        limits = state.settings.limits
        self.max_body = int(number_or_default(limits, "max_body_bytes"))
        self.body_timeout = milliseconds_to_seconds(limits, "body_timeout_ms")
        self.runner = ServerRunner(
            Server(
                self.serve,
                access_log=None,
                max_field_size=int(number_or_default(limits, "max_header_bytes")),
                client_max_size=self.max_body,
                lingering_time=0,
            ),
            handler_cancellation=True,
            shutdown_timeout=SHUTDOWN_SECONDS,
        )

    async def start(self) -> None:
        """Opens the call port."""
        await self.runner.setup()
        settings = self.state.settings
        await TCPSite(self.runner, settings.address, settings.call_port, backlog=1024).start()

    async def stop(self) -> None:
        """Closes the port, waiting for requests in flight."""
        await self.runner.cleanup()

    async def serve(self, request: BaseRequest) -> Response:
        """Answers one HTTP request."""
        answer = await self._answer(request)
        headers = answer_headers(
            answer._replace(served_by=self.state.name), self.state.clock.tick()
        )
        return Response(status=answer.status, body=answer.body, headers=headers)

    async def _answer(self, request: BaseRequest) -> Answer:
        state = self.state
        try:
            body = await self._read_body(request)
            self._check_peer(request)
            service, operation = _split_path(request)
            if operation == "keys" and service == state.settings.service:
                return self._issue_keys(request)
            grant = state.configuration.policies.grant(service, operation)
            context = read_context(service, operation, request.headers, grant)
        except BadRequestError as error:
            state.metrics.bad_requests.inc({"status": "400"})
            return refused(Reason.BAD_REQUEST, text=str(error))
        except HTTPRequestEntityTooLarge:
            state.metrics.bad_requests.inc({"status": "413"})
            return refused(Reason.TOO_LARGE, text=f"body is over {self.max_body} bytes")
        except (HTTPException, TimeoutError):
            state.metrics.bad_requests.inc({"status": "408"})
            return refused(Reason.BAD_REQUEST, text="body did not arrive in time")
        answer = await self._call(context, body, grant.idempotent)
        answer = answer._replace(call_id=context.call_id)
        state.metrics.count_call(context.priority_name, answer.outcome.value, answer.reason.value)
        return answer

    async def _read_body(self, request: BaseRequest) -> bytes:
        async with timeout(self.body_timeout):
            return await request.read()

    def _check_peer(self, request: BaseRequest) -> None:
        headers = request.headers
        cluster = headers.get(CLUSTER)
        if cluster is not None and cluster != self.state.settings.cluster:
            raise BadRequestError(
                f"request is for cluster {cluster!r}, this is {self.state.settings.cluster!r}"
            )
        version = headers.get(PROTOCOL)
        if version is not None and version != str(PROTOCOL_VERSION):
            raise BadRequestError(f"protocol version {version!r} is not {PROTOCOL_VERSION}")
        self.state.clock.observe(whole_number(headers, EVENT_CLOCK, 0, 2**63 - 1))

    async def _call(self, context: CallContext, body: bytes, idempotent: bool) -> Answer:
        state = self.state
        if not idempotent and not context.idempotency_key:
            return await self._require_key(context)
        if context.service != state.settings.service:
            if context.from_peer:
                return refused(Reason.UNKNOWN_SERVICE)
            if not state.members.serving(context.service):
                return refused(Reason.UNKNOWN_SERVICE, retry_useful=True)
            return await state.router.call(context, body)
        if idempotent:
            return await state.dispatcher.run_copy(context, body)
        return await self._call_under_key(context, body)

    async def _call_under_key(self, context: CallContext, body: bytes) -> Answer:
        state = self.state
        try:
            key = IdempotencyKey.parse(context.idempotency_key)
        except InvalidKeyError as error:
            return refused(Reason.KEY_INVALID, text=str(error))
        if context.dispatch_number and context.from_peer:
            return await state.dispatcher.run_dispatch(context, body)
        if not state.ledger.is_home(key) and not context.from_peer:
            return await state.router.call(context, body)
        answer = await state.ledger.run(context, body, state.dispatcher.run_under_key)
        if answer.retry_useful:
            return answer._replace(next_key=self._new_key())
        return answer

    async def _require_key(self, context: CallContext) -> Answer:
        if context.service == self.state.settings.service:
            key = self._new_key()
        else:
            key = await self.state.router.keys.take(context)
        text = f"{context.operation} is not idempotent; send it with an Idempotency-Key"
        return refused(Reason.KEY_REQUIRED, text=text, retry_useful=True)._replace(next_key=key)

    def _issue_keys(self, request: BaseRequest) -> Answer:
        count = whole_number(request.query, "count", 1, MAX_KEYS_PER_REQUEST)
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


def _text_answer(text: str) -> Answer:
    return Answer(Outcome.DONE, body=text.encode("ascii"), content_type="text/plain")


def _split_path(request: BaseRequest) -> tuple[str, str]:
    if request.method != "POST" or not request.path.startswith(SERVICES_PREFIX):
        raise BadRequestError(f"expected POST {SERVICES_PREFIX}SERVICE/OPERATION")
    parts = request.path.removeprefix(SERVICES_PREFIX).split("/")
    if len(parts) != 2:
        raise BadRequestError(f"expected POST {SERVICES_PREFIX}SERVICE/OPERATION")
    return parts[0], parts[1]

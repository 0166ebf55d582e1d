"""Sending of one copy of a call to one node, and resolution of its outcome."""

from asyncio import FIRST_COMPLETED, Task, create_task, sleep, wait
from collections.abc import Callable
from typing import NamedTuple

from coltsfoottrack._internal.calls.context import (
    EVENT_CLOCK,
    CallContext,
    parse_whole_number,
    read_answer,
)
from coltsfoottrack._internal.calls.exceptions import BadRequestError, InvalidKeyError
from coltsfoottrack._internal.calls.identifiers import IdempotencyKey
from coltsfoottrack._internal.calls.outcome import Answer, Reason, refused, unknown
from coltsfoottrack._internal.calls.outcome_records import CallState
from coltsfoottrack._internal.calls.peer_authentication import PeerAuthentication
from coltsfoottrack._internal.configuration.policy import PolicyTable
from coltsfoottrack._internal.events.clock import HybridClock
from coltsfoottrack._internal.membership.table import (
    MembershipTable,
    call_address,
    peer_address,
)
from coltsfoottrack._internal.mesh.clock import current_time
from coltsfoottrack._internal.routing.exceptions import ConnectionLostError, NotSentError
from coltsfoottrack._internal.routing.outcome_client import OutcomeClient, PeerOutcomeClient
from coltsfoottrack._internal.routing.transport import HttpReply, Transport
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import SettleRequest
from coltsfoottrack._internal.settings.rules import milliseconds_to_seconds

# More than one, as a single lost packet of a handshake must not make an outcome unknown.
SETTLE_ATTEMPTS = 2
FIRST_POLL_SECONDS = 0.02
# Extra wait after the deadline for a refusal that the node sends at the deadline.
ANSWER_GRACE_SECONDS = 0.05


class SentCopy(NamedTuple):
    """One copy that was sent, and when sending began.

    The clock counts the time for which the instance was suspended, as the receiver's does.
    """

    context: CallContext
    address: str
    sent_at: float
    silence_seconds: float


class Exchange:
    """Sends copies of calls to the call addresses of nodes."""

    def __init__(
        self,
        cluster: str,
        clock: HybridClock,
        transport: Transport,
        members: MembershipTable,
        policies: Callable[[], PolicyTable],
        outcome_client: OutcomeClient | None = None,
        authentication: PeerAuthentication | None = None,
    ) -> None:
        self.authentication = authentication or PeerAuthentication()
        self.cluster = cluster
        self.clock = clock
        self.transport = transport
        self.members = members
        self.policies = policies
        if outcome_client is None:
            outcome_client = PeerOutcomeClient(cluster, clock, self.authentication)
        self.outcome_client = outcome_client
        self.silent_connections = 0

    async def send(self, context: CallContext, address: str, body: bytes) -> Answer:
        """Sends one copy and returns its answer.

        ``copy_dispatched`` of the answer is False if this copy was certainly not run. A call
        without an answer for ``silence_check_ms`` is settled over a new connection. This shows
        within that time plus 1 s whether the node runs it, never received it or is unreachable.
        """
        policy = self.policies().policy(context.service, context.operation)
        copy = SentCopy(
            context, address, current_time(), milliseconds_to_seconds(policy, "silence_check_ms")
        )
        task = create_task(self._send_copy(copy, body))
        try:
            return await self._await_reply(copy, task)
        finally:
            # Closes the connection, which cancels an idempotent call at the node.
            task.cancel()
            if task.done() and not task.cancelled():
                # Retrieves an error raised together with the reply to Settle, or asyncio logs it.
                task.exception()

    async def _send_copy(self, copy: SentCopy, body: bytes) -> HttpReply:
        context = copy.context
        headers = context.headers(self.cluster, self.clock.tick())
        path = f"/v1/services/{context.service}/{context.operation}"
        self.authentication.sign_call(path, headers)
        seconds = context.deadline.remaining_seconds() + ANSWER_GRACE_SECONDS
        return await self.transport.send("POST", copy.address, path, headers, body, seconds)

    async def _await_reply(self, copy: SentCopy, task: Task[HttpReply]) -> Answer:
        while True:
            await wait((task,), timeout=copy.silence_seconds)
            if task.done():
                return await self._read_reply(copy, task)
            settling = create_task(self._settle(copy))
            try:
                await wait((task, settling), return_when=FIRST_COMPLETED)
                if not settling.done():
                    return await self._read_reply(copy, task)
            finally:
                settling.cancel()
            answer = settling.result()
            if answer is not None:
                self.silent_connections += 1
                return answer

    async def _read_reply(self, copy: SentCopy, task: Task[HttpReply]) -> Answer:
        """Returns the answer of a copy whose connection has delivered a reply or failed."""
        context = copy.context
        try:
            reply = task.result()
        except NotSentError:
            if context.idempotency_key and not context.dispatch_number:
                answer = unknown(Reason.HOME_GONE, copy_dispatched=False)
            else:
                answer = refused(Reason.NO_NODE, retry_useful=True)
            return answer._replace(attempts_left=context.budget.retries)
        except ConnectionLostError:
            return await self._settle_after_loss(copy)
        try:
            self.clock.observe(parse_whole_number(reply.headers, EVENT_CLOCK, 0, 2**63 - 1))
            return read_answer(reply.status, reply.headers, reply.body)
        except BadRequestError:
            return unknown(Reason.CONNECTION_LOST)

    async def _settle_after_loss(self, copy: SentCopy) -> Answer:
        """Settles a keyed call whose connection failed; a call without a key may be retried."""
        context = copy.context
        if not context.idempotency_key:
            return unknown(Reason.CONNECTION_LOST)._replace(retry_useful=True)
        pause = FIRST_POLL_SECONDS
        while not context.deadline.has_passed():
            answer = await self._settle(copy)
            if answer is not None:
                return answer
            await sleep(min(pause, max(0.0, context.deadline.remaining_seconds())))
            pause = min(pause * 2, copy.silence_seconds)
        return unknown(Reason.DEADLINE)

    async def _settle(self, copy: SentCopy) -> Answer | None:
        """Returns the outcome of a copy, None while it is running."""
        context = copy.context
        address = self._peer_address(copy)
        unanswered = unknown(Reason.SILENT)._replace(retry_useful=True)
        if not address:
            return await self.fetch_stored_outcome(context, unanswered)
        for _ in range(SETTLE_ATTEMPTS):
            request = SettleRequest(
                call_id=context.call_id,
                key=context.idempotency_key,
                age_ms=int((current_time() - copy.sent_at) * 1000.0) + 1,
                dispatch_number=context.dispatch_number,
            )
            try:
                settlement = await self.outcome_client.settle(address, request)
            except ConnectionLostError:
                continue
            if settlement.state is CallState.RUNNING:
                return None
            if settlement.state is CallState.CLOSED:
                answer = refused(Reason.SILENT, retry_useful=True)
                return answer._replace(attempts_left=context.budget.retries)
            if settlement.answer is not None:
                return _cap_attempts_left(settlement.answer, context)
            # Another process at the home's address has no record of the key, the backup may.
            break
        return await self.fetch_stored_outcome(context, unanswered)

    async def fetch_stored_outcome(self, context: CallContext, otherwise: Answer) -> Answer:
        """Returns the outcome stored at the backup node of a key, else ``otherwise``."""
        if not context.idempotency_key or context.dispatch_number:
            return otherwise
        try:
            address = IdempotencyKey.parse(context.idempotency_key).backup_peer_address
        except InvalidKeyError:
            return otherwise
        if not self.members.has_peer_address(address):
            return otherwise
        found = await self.outcome_client.fetch(address, context.idempotency_key)
        return otherwise if found is None else _cap_attempts_left(found, context)

    def _peer_address(self, copy: SentCopy) -> str:
        context = copy.context
        if context.idempotency_key and not context.dispatch_number:
            try:
                home = self.members.home_of(IdempotencyKey.parse(context.idempotency_key))
            except InvalidKeyError:
                return ""
            return "" if home is None else peer_address(home)
        for member in self.members.members.values():
            if call_address(member) == copy.address:
                return peer_address(member)
        return ""


def _cap_attempts_left(answer: Answer, context: CallContext) -> Answer:
    """Caps the attempts left of a recorded answer, which may be from a copy with more retries."""
    return answer._replace(attempts_left=min(answer.attempts_left, context.budget.retries))

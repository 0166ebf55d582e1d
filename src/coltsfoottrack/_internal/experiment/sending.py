"""Sends a request as a caller does, with the idempotency key that it needs."""

from random import Random
from time import perf_counter

from coltsfoottrack._internal.calls.context import (
    DEADLINE_MS,
    IDEMPOTENCY_KEY,
    NEXT_KEY,
    REQUEST_ID,
    read_answer,
)
from coltsfoottrack._internal.calls.exceptions import BadRequestError
from coltsfoottrack._internal.calls.outcome import Answer, Outcome, Reason, refused, unknown
from coltsfoottrack._internal.routing.exceptions import ConnectionLostError, NotSentError
from coltsfoottrack._internal.routing.transport import Transport

MAX_SENDS = 5
# Reasons for an unknown outcome with Copy-Dispatched: no that a resend with a new key resolves.
LOST_KEY_REASONS = (Reason.HOME_GONE, Reason.NO_NODE, Reason.NOT_READY, Reason.LEAVING)


class RequestSender:
    """Sends a request; resends a non-idempotent one with the key that the node issued.

    A key is replaced by a new one if certainly no copy under it was dispatched. After a lost
    connection the request is resent with the same key, which returns its outcome or runs it for the
    first time. If an entry node accepts no connection, the request is sent to another one, as by a
    caller with several addresses.
    """

    def __init__(
        self, transport: Transport, entries: list[str], random: Random, idempotent: bool
    ) -> None:
        self.transport = transport
        self.entries = entries
        self.random = random
        self.idempotent = idempotent
        self.key = ""
        # Whether a copy under the current key may have been dispatched.
        self.may_have_run = False
        # Entry nodes that accepted no connection for this request.
        self.unavailable_entries: set[str] = set()

    async def send(
        self,
        entry: str,
        path: str,
        request_id: str,
        body: bytes,
        remaining: float,
        answer_timeout: float,
    ) -> Answer:
        """Returns the answer to a request with the given remaining time, in seconds.

        ``answer_timeout`` is how long the caller waits for one answer.
        """
        answer = refused(Reason.NO_NODE)
        began = perf_counter()
        sends = 0
        while entry and sends < MAX_SENDS:
            elapsed = perf_counter() - began
            if elapsed >= min(remaining, answer_timeout):
                break
            left_ms = max(1, int((remaining - elapsed) * 1000.0))
            headers = {REQUEST_ID: request_id, DEADLINE_MS: str(left_ms)}
            if self.key:
                headers[IDEMPOTENCY_KEY] = self.key
            try:
                reply = await self.transport.send(
                    "POST", entry, path, headers, body, answer_timeout - elapsed
                )
                answer = read_answer(reply.status, reply.headers, reply.body)
            except NotSentError:
                # With a third of the entry nodes down, choosing among all of them again used up
                # all five sends for 8 of 990 requests.
                self.unavailable_entries.add(entry)
                entry = self._choose_entry()
                continue
            except (ConnectionLostError, BadRequestError):
                answer = unknown(Reason.CONNECTION_LOST)
                if self.idempotent:
                    return answer
                # A request without a key never runs, and a key runs at most once.
                self.may_have_run = self.may_have_run or bool(self.key)
                entry = self._choose_entry()
                sends += 1
                continue
            sends += 1
            if answer.reason is Reason.KEY_REQUIRED:
                self.key = reply.headers.get(NEXT_KEY, "")
                if not self.key:
                    entry = self._choose_entry()
                continue
            self.may_have_run = self.may_have_run or answer.copy_dispatched
            if not self._needs_new_key(answer):
                return answer
            self.key = ""
            entry = self._choose_entry()
        return answer

    def _choose_entry(self) -> str:
        """Returns a random entry node that has refused no connection, or an empty string."""
        available = [entry for entry in self.entries if entry not in self.unavailable_entries]
        return self.random.choice(available) if available else ""

    def _needs_new_key(self, answer: Answer) -> bool:
        """Returns whether the key's home is unavailable and certainly no copy was dispatched.

        An abandoned key is never sent again, so its home can run nothing later.
        """
        if not self.key or self.may_have_run or answer.outcome is not Outcome.UNKNOWN:
            return False
        return answer.reason in LOST_KEY_REASONS

"""One sending of a request by a caller of the load program, with the key that it needs."""

from random import Random

from coltsfoottrack._internal.calls.context import (
    DEADLINE_MS,
    IDEMPOTENCY_KEY,
    NEXT_KEY,
    REQUEST_ID,
    read_answer,
)
from coltsfoottrack._internal.calls.exceptions import BadRequestError
from coltsfoottrack._internal.calls.outcome import Answer, Reason, refused, unknown
from coltsfoottrack._internal.routing.exceptions import ConnectionLostError, NotSentError
from coltsfoottrack._internal.routing.transport import Transport

MAX_SENDINGS = 5


class Sending:
    """Sends a request once; a non-idempotent one again with the key it is told to use.

    An entry node that takes no connection is replaced by another one, as a caller with several
    addresses does.
    """

    def __init__(self, transport: Transport, entries: list[str], random: Random) -> None:
        self.transport = transport
        self.entries = entries
        self.random = random
        self.key = ""
        # Whether a copy under the present key may have been sent on to where it runs.
        self.may_have_run = False

    async def send(
        self, entry: str, path: str, request_id: str, body: bytes, left: float, patience: float
    ) -> Answer:
        """Returns the answer to a request that has the given time left, in seconds.

        ``patience`` is how long the caller waits for one answer.
        """
        answer = refused(Reason.NO_NODE)
        for _ in range(MAX_SENDINGS):
            headers = {REQUEST_ID: request_id, DEADLINE_MS: str(max(1, int(left * 1000.0)))}
            if self.key:
                headers[IDEMPOTENCY_KEY] = self.key
            try:
                reply = await self.transport.send("POST", entry, path, headers, body, patience)
                answer = read_answer(reply.status, reply.headers, reply.body)
            except NotSentError:
                entry = self.random.choice(self.entries)
                continue
            except (ConnectionLostError, BadRequestError):
                self.may_have_run = True
                return unknown(Reason.CONNECTION_LOST)
            if answer.reason is not Reason.KEY_REQUIRED or self.key:
                self.may_have_run = self.may_have_run or answer.copy_dispatched
                return answer
            self.key = reply.headers.get(NEXT_KEY, "")
        return answer

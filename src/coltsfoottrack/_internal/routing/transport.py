"""Sending of one copy of a call to one address."""

from coltsfoottrack._internal.calls.context import CALL_ID
from coltsfoottrack._internal.observability.invariants import Invariant, InvariantChecker
from coltsfoottrack._internal.routing.exceptions import (
    ConnectionLostError,
    MismatchedResponseError,
)
from coltsfoottrack._internal.routing.http_connection import (
    ConnectionPool,
    HttpReply,
    encode_request,
)

MAX_ECHOING_ADDRESSES = 10_000


class Transport:
    """Pools of HTTP connections to nodes or to a backend server.

    A connection is used again only for an address whose last response echoed the ``Call-Id`` of
    its request. Elsewhere a second response that arrives late on a kept connection could not be
    told from the response to the next request.
    """

    def __init__(self, checker: InvariantChecker | None = None) -> None:
        self.checker = checker or InvariantChecker()
        self.pool = ConnectionPool()
        self.echoing_addresses: set[str] = set()

    async def send(
        self,
        method: str,
        address: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        seconds: float,
    ) -> HttpReply:
        """Sends a request and returns the whole response.

        Raises NotSentError if no connection could be made (ConnectTimeoutError if it did not
        come about in time), ConnectionLostError if it broke or
        gave no whole response within the given seconds, ForeignAnswerError if the response is
        that of another call. A cancellation closes the connection, which cancels the call at the
        other end.
        """
        call_id = headers.get(CALL_ID, "")
        echoes = address in self.echoing_addresses or not call_id
        request = encode_request(method, address, path, headers, body)
        reply = await self.pool.exchange(address, request, echoes, seconds)
        if not _is_framed(reply):
            # It ended with its connection, so a truncated body would look the same.
            raise ConnectionLostError(f"answer from {address} has no length")
        if call_id:
            self._check_echo(reply, call_id, address, echoes)
        return reply

    def _check_echo(
        self, reply: HttpReply, call_id: str, address: str, echoed_before: bool
    ) -> None:
        echo = reply.headers.get(CALL_ID, "")
        if echo == call_id:
            if len(self.echoing_addresses) >= MAX_ECHOING_ADDRESSES:
                self.echoing_addresses.clear()
            self.echoing_addresses.add(address)
            return
        self.echoing_addresses.discard(address)
        if not echo and not echoed_before:
            return
        detail = f"{address} answered {call_id} with the answer to {echo or 'an unnamed call'}"
        # An answer that names no call may come from a new process at the address.
        self.checker.check(not echo, Invariant.ANSWER_TO_ITS_CALLER, detail)
        raise MismatchedResponseError(detail)

    def forget(self, address: str) -> None:
        """Drops what is known of an address, where a new process listens now."""
        self.echoing_addresses.discard(address)

    async def close(self) -> None:
        """Closes all connections."""
        self.pool.close()


def _is_framed(reply: HttpReply) -> bool:
    if reply.status in (204, 304) or "Content-Length" in reply.headers:
        return True
    return reply.headers.get("Transfer-Encoding", "").lower().endswith("chunked")

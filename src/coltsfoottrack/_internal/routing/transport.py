"""Transport of calls over HTTP: sends one copy of a call to one address."""

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
    """Pool of HTTP connections to nodes or to a backend server.

    A connection is reused only for an address whose last response echoed the ``Call-Id`` of its
    request. Without the echo, a late second response on a reused connection could not be
    distinguished from the response to the next request.
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
        """Sends a request and returns the complete response.

        Raises NotSentError if connecting failed (ConnectTimeoutError if it timed out),
        ConnectionLostError if the connection failed or there was no complete response within the
        given seconds, and MismatchedResponseError if the response belongs to another call. A
        cancellation closes the connection, which cancels the call at the peer.
        """
        call_id = headers.get(CALL_ID, "")
        echoes = address in self.echoing_addresses or not call_id
        request = encode_request(method, address, path, headers, body)
        reply = await self.pool.exchange(address, request, echoes, seconds)
        if not _is_framed(reply):
            # The body ends when the connection closes, so a truncated one would look the same.
            raise ConnectionLostError(f"response from {address} has no length and is not chunked")
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
        detail = f"{address} answered {call_id} with the response to {echo or 'an unnamed call'}"
        # A response without a call identifier may come from a new process at the address.
        self.checker.check(not echo, Invariant.ANSWER_TO_ITS_CALLER, detail)
        raise MismatchedResponseError(detail)

    def forget(self, address: str) -> None:
        """Forgets that an address echoes identifiers, as a new process may listen there."""
        self.echoing_addresses.discard(address)

    async def close(self) -> None:
        """Closes all connections."""
        self.pool.close()


def _is_framed(reply: HttpReply) -> bool:
    if reply.status in (204, 304) or "Content-Length" in reply.headers:
        return True
    return reply.headers.get("Transfer-Encoding", "").lower().endswith("chunked")

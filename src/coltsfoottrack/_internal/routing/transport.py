"""Sending of one copy of a call to one address."""

import socket
from asyncio import timeout
from functools import lru_cache
from typing import NamedTuple

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientSession,
    ClientTimeout,
    ConnectionTimeoutError,
    DummyCookieJar,
    TCPConnector,
)
from multidict import CIMultiDictProxy
from yarl import URL

from coltsfoottrack._internal.calls.context import CALL_ID
from coltsfoottrack._internal.observability.invariants import Invariant, InvariantChecker
from coltsfoottrack._internal.routing.exceptions import (
    ConnectionLostError,
    ConnectTimeoutError,
    ForeignAnswerError,
    NotSentError,
)

CONNECT_TIMEOUT_SECONDS = 0.5
KEEPALIVE_SECONDS = 30.0
# The kernel probes an idle connection after 1 s and gives a silent one up after 3 s.
TCP_KEEPALIVE_SECONDS = 1
TCP_KEEPALIVE_PROBES = 3
TCP_USER_TIMEOUT_MS = 3000
MAX_ECHOING = 10_000
AUTOMATIC_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


def open_socket(address_info: tuple) -> socket.socket:
    """Opens a TCP socket with keepalive and user timeout set.

    The user timeout also ends retransmission after the socket was closed, which bounds the time
    for which a copy of a call may still arrive.
    """
    family, kind, protocol = address_info[:3]
    opened = socket.socket(family, kind, protocol)
    opened.setblocking(False)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, TCP_KEEPALIVE_SECONDS)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, TCP_KEEPALIVE_SECONDS)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, TCP_KEEPALIVE_PROBES)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
    return opened


class HttpReply(NamedTuple):
    """A whole HTTP response."""

    status: int
    headers: CIMultiDictProxy[str]
    body: bytes


class Transport:
    """Pools of HTTP connections to nodes or to a backend server.

    A connection is used again only for an address whose last response echoed the ``Call-Id`` of
    its request. Elsewhere a second response that arrives late on a kept connection could not be
    told from the response to the next request.
    """

    def __init__(self, checker: InvariantChecker | None = None) -> None:
        self.checker = checker or InvariantChecker()
        self.kept = _new_session(force_close=False)
        self.single = _new_session(force_close=True)
        self.echoing: set[str] = set()

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

        Raises NotSentError if no connection could be made, ConnectionLostError if it broke or
        gave no whole response within the given seconds, ForeignAnswerError if the response is
        that of another call. A cancellation closes the connection, which cancels the call at the
        other end.
        """
        url = _url(address, path)
        call_id = headers.get(CALL_ID, "")
        echoes = address in self.echoing or not call_id
        session = self.kept if echoes else self.single
        try:
            async with (
                timeout(seconds),
                session.request(method, url, headers=headers, data=body) as response,
            ):
                reply = HttpReply(response.status, response.headers, await response.read())
        except ConnectionTimeoutError as error:
            raise ConnectTimeoutError(f"no connection to {address} in time") from error
        except ClientConnectorError as error:
            raise NotSentError(f"no connection to {address}: {error}") from error
        except (ClientError, TimeoutError, OSError) as error:
            raise ConnectionLostError(f"no answer from {address}: {error!r}") from error
        if not _is_framed(reply):
            # It ended with its connection, so a truncated body would look the same.
            raise ConnectionLostError(f"answer from {address} has no length")
        if call_id:
            self._check_echo(reply, call_id, address, echoes)
        return reply

    def _check_echo(self, reply: HttpReply, call_id: str, address: str, kept: bool) -> None:
        echo = reply.headers.get(CALL_ID, "")
        if echo == call_id:
            if len(self.echoing) >= MAX_ECHOING:
                self.echoing.clear()
            self.echoing.add(address)
            return
        self.echoing.discard(address)
        if not echo and not kept:
            return
        detail = f"{address} answered {call_id} with the answer to {echo or 'an unnamed call'}"
        # An answer that names no call may come from a new process at the address.
        self.checker.check(not echo, Invariant.ANSWER_TO_ITS_CALLER, detail)
        raise ForeignAnswerError(detail)

    async def close(self) -> None:
        """Closes all connections."""
        await self.kept.close()
        await self.single.close()


def _new_session(force_close: bool) -> ClientSession:
    keepalive = {} if force_close else {"keepalive_timeout": KEEPALIVE_SECONDS}
    return ClientSession(
        connector=TCPConnector(
            limit=0, force_close=force_close, socket_factory=open_socket, **keepalive
        ),
        cookie_jar=DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=AUTOMATIC_HEADERS,
        timeout=ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_SECONDS),
    )


def _is_framed(reply: HttpReply) -> bool:
    if reply.status in (204, 304) or "Content-Length" in reply.headers:
        return True
    return reply.headers.get("Transfer-Encoding", "").lower().endswith("chunked")


@lru_cache(maxsize=1024)
def _url(address: str, path: str) -> URL:
    return URL(f"http://{address}{path}", encoded=True)

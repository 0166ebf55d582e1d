"""Sending of one copy of a call to one address."""

import socket
from asyncio import timeout
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

from coltsfoottrack._internal.routing.exceptions import (
    ConnectionLostError,
    ConnectTimeoutError,
    NotSentError,
)

CONNECT_TIMEOUT_SECONDS = 0.5
KEEPALIVE_SECONDS = 30.0
# The kernel probes an idle connection after 1 s and gives a silent one up after 3 s.
TCP_KEEPALIVE_SECONDS = 1
TCP_KEEPALIVE_PROBES = 3
TCP_USER_TIMEOUT_MS = 3000
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
    """A pool of HTTP connections to nodes or to a backend server."""

    def __init__(self, max_connections_per_address: int = 0) -> None:
        self.session = ClientSession(
            connector=TCPConnector(
                limit=0,
                limit_per_host=max_connections_per_address,
                keepalive_timeout=KEEPALIVE_SECONDS,
                socket_factory=open_socket,
            ),
            cookie_jar=DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=AUTOMATIC_HEADERS,
            timeout=ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_SECONDS),
        )

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
        gave no whole response within the given seconds. A cancellation closes the connection,
        which cancels the call at the other end.
        """
        url = URL(f"http://{address}{path}", encoded=True)
        try:
            async with (
                timeout(seconds),
                self.session.request(method, url, headers=headers, data=body) as response,
            ):
                return HttpReply(response.status, response.headers, await response.read())
        except ConnectionTimeoutError as error:
            raise ConnectTimeoutError(f"no connection to {address} in time") from error
        except ClientConnectorError as error:
            raise NotSentError(f"no connection to {address}: {error}") from error
        except (ClientError, TimeoutError, OSError) as error:
            raise ConnectionLostError(f"no answer from {address}: {error!r}") from error

    async def close(self) -> None:
        """Closes all connections."""
        await self.session.close()

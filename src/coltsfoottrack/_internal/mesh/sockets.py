"""Socket options of the mesh."""

from asyncio import BaseTransport
from socket import (
    IPPROTO_TCP,
    SO_KEEPALIVE,
    SOL_SOCKET,
    TCP_KEEPCNT,
    TCP_KEEPIDLE,
    TCP_KEEPINTVL,
    TCP_NODELAY,
)
from socket import TCP_USER_TIMEOUT as TCP_USER_TIMEOUT_OPTION

# The kernel probes an idle connection after 1 s and drops an unresponsive one after 3 s.
TCP_KEEPALIVE_SECONDS = 1
TCP_KEEPALIVE_PROBES = 3
TCP_USER_TIMEOUT_MS = 3000
# Connections that arrive while the node is busy wait in this backlog. If it is full, clients retry
# only seconds later.
BACKLOG = 1024
MAX_PORT = 65535


def detect_silence(transport: BaseTransport) -> None:
    """Makes the kernel close a connection whose remote end is unresponsive."""
    socket = transport.get_extra_info("socket")
    socket.setsockopt(SOL_SOCKET, SO_KEEPALIVE, 1)
    socket.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
    socket.setsockopt(IPPROTO_TCP, TCP_KEEPIDLE, TCP_KEEPALIVE_SECONDS)
    socket.setsockopt(IPPROTO_TCP, TCP_KEEPINTVL, TCP_KEEPALIVE_SECONDS)
    socket.setsockopt(IPPROTO_TCP, TCP_KEEPCNT, TCP_KEEPALIVE_PROBES)
    socket.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT_OPTION, TCP_USER_TIMEOUT_MS)


def split_address(address: str) -> tuple[str, int]:
    """Returns host and port of IP:PORT. Raises ValueError, also if there is no such port."""
    host, _, port = address.rpartition(":")
    number = int(port)
    if not 0 <= number <= MAX_PORT:
        raise ValueError(f"port {number} is not in the range 0 to {MAX_PORT}")
    return host, number


def is_address(address: str) -> bool:
    """Returns whether a connection to an IP:PORT can be tried."""
    try:
        host, port = split_address(address)
    except ValueError:
        return False
    return bool(host) and port > 0

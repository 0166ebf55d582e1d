"""Socket options of the mesh."""

from asyncio import BaseProtocol, BaseTransport, Protocol, Server, get_running_loop, timeout
from collections.abc import Callable
from fcntl import ioctl
from socket import (
    AF_INET,
    AF_INET6,
    IPPROTO_TCP,
    SO_KEEPALIVE,
    SO_RCVBUF,
    SO_REUSEADDR,
    SOCK_STREAM,
    SOL_SOCKET,
    TCP_INFO,
    TCP_KEEPCNT,
    TCP_KEEPIDLE,
    TCP_KEEPINTVL,
    TCP_NODELAY,
    socket,
)
from socket import TCP_USER_TIMEOUT as TCP_USER_TIMEOUT_OPTION
from struct import Struct
from termios import TIOCOUTQ

# The kernel probes an idle connection after 1 s and drops an unresponsive one after 3 s.
TCP_KEEPALIVE_SECONDS = 1
TCP_KEEPALIVE_PROBES = 3
TCP_USER_TIMEOUT_MS = 3000
SILENCE_SECONDS = TCP_USER_TIMEOUT_MS / 1000.0
# Connections that arrive while the node is busy wait in this backlog. If it is full, clients retry
# only seconds later.
BACKLOG = 1024
MAX_PORT = 65535
# Time for a connection to a port of the same machine.
CONNECT_SECONDS = 0.1
# Receive buffer of a connection of a caller. Bytes that wait in it count as memory of the process.
CALLER_RECEIVE_BYTES = 16 * 1024
# The same for connections to other nodes and to the backend server, which are read at once.
INNER_RECEIVE_BYTES = 256 * 1024
# Result of a query of the kernel for a number of bytes.
_COUNT = Struct("i")
# Start of the kernel's tcp_info: state, congestion state, then the unanswered retransmissions and
# the unanswered probes of a closed window.
_UNANSWERED = Struct("xxBB")


def detect_silence(transport: BaseTransport) -> None:
    """Makes the kernel close a connection whose remote end is unresponsive."""
    socket = transport.get_extra_info("socket")
    socket.setsockopt(SOL_SOCKET, SO_KEEPALIVE, 1)
    socket.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
    socket.setsockopt(IPPROTO_TCP, TCP_KEEPIDLE, TCP_KEEPALIVE_SECONDS)
    socket.setsockopt(IPPROTO_TCP, TCP_KEEPINTVL, TCP_KEEPALIVE_SECONDS)
    socket.setsockopt(IPPROTO_TCP, TCP_KEEPCNT, TCP_KEEPALIVE_PROBES)
    socket.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT_OPTION, TCP_USER_TIMEOUT_MS)


def set_silence_timeout(transport: BaseTransport, seconds: float) -> None:
    """Sets how long the remote end may leave bytes unacknowledged, or its window closed."""
    socket = transport.get_extra_info("socket")
    socket.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT_OPTION, int(seconds * 1000.0))


def answers_probes(transport: BaseTransport) -> bool:
    """Returns whether the remote end has answered all that the kernel has sent it lately.

    A system that does not tell counts as having had no answer.
    """
    try:
        socket = transport.get_extra_info("socket")
        state = socket.getsockopt(IPPROTO_TCP, TCP_INFO, _UNANSWERED.size)
    except OSError:
        return False
    if len(state) < _UNANSWERED.size:
        return False
    return _UNANSWERED.unpack(state) == (0, 0)


def bound_receive_buffer(transport: BaseTransport, size: int) -> None:
    """Keeps the kernel from growing the receive buffer of a connection, in bytes."""
    transport.get_extra_info("socket").setsockopt(SOL_SOCKET, SO_RCVBUF, size)


def unreceived_bytes(transport: BaseTransport) -> int:
    """Returns how many written bytes the kernel of the remote end has not acknowledged.

    The end of the stream counts as one byte. A system that does not tell counts as having none.
    """
    if transport.is_closing():
        return 0
    buffered = transport.get_write_buffer_size()
    try:
        answer = ioctl(transport.get_extra_info("socket").fileno(), TIOCOUTQ, bytes(_COUNT.size))
    except OSError:
        return buffered
    return buffered + _COUNT.unpack(answer)[0]


async def listen(
    address: str, protocol: Callable[[], BaseProtocol], accepted_at_once: int
) -> Server:
    """Listens for callers on IP:PORT. Raises OSError or ValueError.

    The accepted connections inherit a small receive buffer. In one turn of the event loop only a
    few are accepted, so that others can be closed for them.
    """
    host, port = split_address(address)
    listener = socket(AF_INET6 if ":" in host else AF_INET, SOCK_STREAM)
    try:
        listener.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
        listener.setsockopt(SOL_SOCKET, SO_RCVBUF, CALLER_RECEIVE_BYTES)
        listener.setblocking(False)
        listener.bind((host.strip("[]"), port))
    except OSError:
        listener.close()
        raise
    loop = get_running_loop()
    server = await loop.create_server(protocol, sock=listener, backlog=accepted_at_once)
    # The event loop takes the length of the queue for the number that it accepts in one turn.
    listener.listen(BACKLOG)
    return server


async def refuses_connections(address: str) -> bool:
    """Returns whether nobody listens at IP:PORT; False if that cannot be told in time."""
    try:
        host, port = split_address(address)
        async with timeout(CONNECT_SECONDS):
            transport, _ = await get_running_loop().create_connection(Protocol, host, port)
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError, ValueError):
        return False
    transport.abort()
    return False


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

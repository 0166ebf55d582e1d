"""A caller that reads its answers slowly, with a small receive buffer."""

from asyncio import get_running_loop, sleep
from socket import SO_RCVBUF, SOL_SOCKET, socket

from coltsfoottrack._internal.mesh.sockets import split_address

RECEIVE_BUFFER_BYTES = 4096
READ_BYTES = 1000


class SlowReader:
    """One connection; a read takes place every ``pause_seconds``."""

    def __init__(self, pause_seconds: float = 0.02) -> None:
        self.pause_seconds = pause_seconds
        self.read_bytes = READ_BYTES
        self.socket = socket()
        self.socket.setsockopt(SOL_SOCKET, SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.socket.setblocking(False)
        self.received = bytearray()
        # Name of the error that ended the connection, empty if it was closed in order.
        self.problem = ""

    async def connect(self, address: str) -> None:
        """Opens the connection to IP:PORT."""
        await get_running_loop().sock_connect(self.socket, split_address(address))

    async def send(self, data: bytes) -> None:
        """Sends bytes; notes if the connection was closed before."""
        try:
            await get_running_loop().sock_sendall(self.socket, data)
        except OSError as error:
            self.problem = type(error).__name__

    async def read(self, seconds: float = 0.0) -> None:
        """Reads until the connection ends, or for a while, and closes it at its end."""
        loop = get_running_loop()
        end = loop.time() + seconds if seconds else None
        while end is None or loop.time() < end:
            try:
                data = await loop.sock_recv(self.socket, self.read_bytes)
            except OSError as error:
                self.problem = type(error).__name__
                data = b""
            if not data:
                self.socket.close()
                return
            self.received += data
            await sleep(self.pause_seconds)

    def answers(self) -> list[tuple[int, str]]:
        """Returns status and Request-Id of each answer that was received whole."""
        found = []
        start = 0
        while (end := self.received.find(b"\r\n\r\n", start)) >= 0:
            head = self.received[start:end].decode("latin-1")
            headers = {}
            for line in head.split("\r\n")[1:]:
                name, _, value = line.partition(":")
                headers[name.lower()] = value.strip()
            start = end + 4 + int(headers["content-length"])
            if len(self.received) < start:
                break
            found.append((int(head.split()[1]), headers.get("request-id", "")))
        return found

    def close(self) -> None:
        """Closes the connection."""
        self.socket.close()

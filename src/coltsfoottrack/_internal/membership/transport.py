"""The UDP socket of the failure detector."""

from asyncio import DatagramProtocol, DatagramTransport, get_running_loop, sleep
from time import monotonic

from coltsfoottrack._internal.membership.detector import FailureDetector
from coltsfoottrack._internal.membership.messages import Address

MAX_WAIT_SECONDS = 0.5


class MembershipSocket(DatagramProtocol):
    """Passes received datagrams to the detector and sends its datagrams."""

    def __init__(self) -> None:
        self.detector: FailureDetector | None = None
        self.transport: DatagramTransport | None = None
        self.send_errors = 0

    async def open(self, address: str, port: int) -> None:
        """Binds the socket. Raises OSError if the port is taken."""
        loop = get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(address, port))

    def connection_made(self, transport: DatagramTransport) -> None:
        """Stores the transport."""
        self.transport = transport

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Passes a datagram to the detector."""
        if self.detector is not None:
            self.detector.receive(data, (addr[0], addr[1]))

    def error_received(self, exc: OSError) -> None:
        """Counts errors of earlier sends, such as a closed port at the receiver."""
        self.send_errors += 1

    def send(self, address: Address, content: bytes) -> None:
        """Sends a datagram; counts it as a send error if it cannot be sent."""
        if self.transport is None or self.transport.is_closing():
            return
        try:
            self.transport.sendto(content, address)
        except (OSError, ValueError):
            self.send_errors += 1

    async def run(self) -> None:
        """Runs the detector's timers until cancelled."""
        while True:
            wait_seconds = self.detector.advance(monotonic())
            await sleep(min(wait_seconds, MAX_WAIT_SECONDS))

    def close(self) -> None:
        """Closes the socket."""
        if self.transport is not None:
            self.transport.close()

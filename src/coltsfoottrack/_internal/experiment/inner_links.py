"""Fault-injecting links inside a fleet: between nodes, and from a node to its backend server."""

from asyncio import (
    DatagramProtocol,
    DatagramTransport,
    Task,
    create_task,
    get_running_loop,
    open_connection,
    sleep,
)
from collections.abc import Callable
from contextlib import suppress
from os import readlink, scandir
from pathlib import Path

from coltsfoottrack._internal.experiment.faults import FaultyLink
from coltsfoottrack._internal.experiment.fleet import LOOPBACK, Fleet, NodePair, free_ports

FOLLOW_SECONDS = 0.005
SOCKET_PREFIX = "socket:["

Address = tuple[str, int]


class DatagramRelay(DatagramProtocol):
    """The socket through which a link forwards the datagrams of one source and gets replies."""

    def __init__(self, link: "DatagramLink", source: Address) -> None:
        self.link = link
        self.source = source
        self.transport: DatagramTransport | None = None
        self.waiting: list[bytes] = []

    def connection_made(self, transport: DatagramTransport) -> None:
        """Sends the datagrams that were queued while the socket was opened."""
        self.transport = transport
        for data in self.waiting:
            transport.sendto(data)
        self.waiting.clear()

    def send(self, data: bytes) -> None:
        """Sends a datagram to the target."""
        if self.transport is None:
            self.waiting.append(data)
        else:
            self.transport.sendto(data)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Forwards a reply of the target to the source."""
        self.link.reply(data, self.source)


class DatagramLink(DatagramProtocol):
    """A UDP proxy to a target port that can drop datagrams in both directions."""

    def __init__(self, port: int, target_port: int) -> None:
        self.port = port
        self.target_port = target_port
        self.loses_all = False
        # Returns whether datagrams from and to the given source port are dropped.
        self.is_cut_off: Callable[[int], bool] = lambda source_port: False
        self.lost = 0
        self.transport: DatagramTransport | None = None
        self.relays: dict[Address, DatagramRelay] = {}
        self.opening: set[Task[None]] = set()

    async def start(self) -> None:
        """Opens the link's port on the loopback interface."""
        loop = get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(LOOPBACK, self.port)
        )

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Forwards a datagram, unless it is to be dropped."""
        if self._loses(addr):
            return
        relay = self.relays.get(addr)
        if relay is None:
            relay = DatagramRelay(self, addr)
            self.relays[addr] = relay
            task = create_task(self._open(relay))
            self.opening.add(task)
            task.add_done_callback(self.opening.discard)
        relay.send(data)

    def reply(self, data: bytes, source: Address) -> None:
        """Forwards a reply to the source, unless it is to be dropped."""
        if not self._loses(source) and self.transport is not None:
            self.transport.sendto(data, source)

    def _loses(self, source: Address) -> bool:
        loses = self.loses_all or self.is_cut_off(source[1])
        self.lost += loses
        return loses

    async def _open(self, relay: DatagramRelay) -> None:
        await get_running_loop().create_datagram_endpoint(
            lambda: relay, remote_addr=(LOOPBACK, self.target_port)
        )

    def stop(self) -> None:
        """Closes all sockets."""
        for relay in self.relays.values():
            if relay.transport is not None:
                relay.transport.close()
        if self.transport is not None:
            self.transport.close()


class FollowingLink(FaultyLink):
    """A link that listens only while the process behind it runs and listens.

    A node concludes from refused connections that its backend server has exited, so a link
    between them must refuse connections too.
    """

    def __init__(self, port: int, target_port: int, is_running: Callable[[], bool]) -> None:
        super().__init__(port, target_port)
        self.is_running = is_running
        self.following: Task[None] | None = None

    async def start(self) -> None:
        """Starts to follow the target."""
        self.following = create_task(self._follow())

    async def stop(self) -> None:
        """Stops following the target and closes the port."""
        if self.following is not None:
            self.following.cancel()
        await super().stop()

    async def _follow(self) -> None:
        while True:
            if self.server is None:
                if self.is_running() and await self._target_listens():
                    await super().start()
            elif not self.is_running():
                self.server.close()
                self.server = None
                self.cut()
            await sleep(FOLLOW_SECONDS)

    async def _target_listens(self) -> bool:
        try:
            _, writer = await open_connection(LOOPBACK, self.target_port)
        except OSError:
            return False
        writer.transport.abort()
        return True


class InnerLinks:
    """The links of a fleet and its current partition."""

    def __init__(self, fleet: Fleet, call_links: dict[str, FaultyLink]) -> None:
        self.fleet = fleet
        self.calls = call_links
        self.peers: dict[str, FaultyLink] = {}
        self.datagrams: dict[str, DatagramLink] = {}
        self.backends: dict[str, FollowingLink] = {}
        self.node_of_process: dict[str, str] = {}
        # Nodes on one side of the partition; empty without one.
        self.side: frozenset[str] = frozenset()

    async def start(self) -> None:
        """Starts the links and sets the ports that the fleet advertises; call before it starts."""
        pairs = self.fleet.pairs
        ports = free_ports(2 * len(pairs), self.fleet.ports())
        for pair in pairs:
            node = pair.node_process
            self.node_of_process[node] = self.node_of_process[pair.backend_process] = node
            peer_port, backend_port = ports.pop(), ports.pop()
            self.peers[node] = FaultyLink(peer_port, pair.peer_port)
            self.datagrams[node] = DatagramLink(peer_port, pair.peer_port)
            self.backends[node] = FollowingLink(
                backend_port, pair.backend_port, self._running_test(pair.backend_process)
            )
            await self.peers[node].start()
            await self.datagrams[node].start()
            await self.backends[node].start()
            self.datagrams[node].is_cut_off = self._datagram_test(node)
            for link in (self.calls[node], self.peers[node]):
                link.is_cut_off = self._connection_test(node)
            self.fleet.advertised_peer_ports[node] = peer_port
            self.fleet.announced_ports[node] = backend_port

    def begin_partition(self, pairs: list[NodePair]) -> None:
        """Partitions some nodes and their backend servers from all others.

        Open and new connections between the sides are silent, and datagrams are dropped. Callers
        outside of the fleet reach both sides, and both sides reach the platform.
        """
        self.side = frozenset(pair.node_process for pair in pairs)
        owners = port_owners({name: child.pid for name, child in self.fleet.processes.items()})
        for node in self.peers:
            for link in (self.calls[node], self.peers[node]):
                for connection in link.connections:
                    owner = self.node_of_process.get(owners.get(connection.caller_port, ""), "")
                    connection.silent = connection.silent or self._separates(owner, node)

    def end_partition(self) -> None:
        """Ends the partition and resets the connections that it made silent."""
        self.side = frozenset()
        for node in self.peers:
            for link in (self.calls[node], self.peers[node]):
                for connection in list(link.connections):
                    if connection.silent:
                        connection.abort()

    def _separates(self, one: str, other: str) -> bool:
        return bool(self.side) and bool(one) and (one in self.side) != (other in self.side)

    def _running_test(self, process: str) -> Callable[[], bool]:
        def test() -> bool:
            child = self.fleet.processes.get(process)
            return child is not None and child.poll() is None

        return test

    def _datagram_test(self, node: str) -> Callable[[int], bool]:
        # A node sends its datagrams from its peer port.
        senders = {pair.peer_port: pair.node_process for pair in self.fleet.pairs}
        return lambda port: self._separates(senders.get(port, ""), node)

    def _connection_test(self, node: str) -> Callable[[int], bool]:
        def test(port: int) -> bool:
            if not self.side:
                return False
            pids = {name: child.pid for name, child in self.fleet.processes.items()}
            owner = self.node_of_process.get(port_owners(pids).get(port, ""), "")
            return self._separates(owner, node)

        return test

    async def stop(self) -> None:
        """Stops all links except those of the call ports."""
        for link in (*self.peers.values(), *self.backends.values()):
            await link.stop()
        for datagram_link in self.datagrams.values():
            datagram_link.stop()


def port_owners(pids: dict[str, int]) -> dict[int, str]:
    """Returns the names of child processes by the local TCP ports of their sockets."""
    owner_of_inode = {}
    for name, pid in pids.items():
        # A process may end, or close a file, while its files are listed.
        with suppress(OSError):
            for entry in scandir(f"/proc/{pid}/fd"):
                with suppress(OSError):
                    target = readlink(entry.path)
                    if target.startswith(SOCKET_PREFIX):
                        owner_of_inode[target.removeprefix(SOCKET_PREFIX).rstrip("]")] = name
    owners = {}
    for line in Path("/proc/net/tcp").read_text(encoding="ascii").splitlines()[1:]:
        fields = line.split()
        name = owner_of_inode.get(fields[9])
        if name is not None:
            owners[int(fields[1].rpartition(":")[2], 16)] = name
    return owners

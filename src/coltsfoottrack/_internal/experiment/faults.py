"""Fault injection for experiments and functional tests: links and processes."""

from asyncio import (
    AbstractServer,
    StreamReader,
    StreamWriter,
    Task,
    create_task,
    gather,
    open_connection,
    sleep,
    start_server,
)
from collections.abc import Callable

from coltsfoottrack._internal.experiment.fleet import LOOPBACK, Fleet, NodePair

CHUNK_BYTES = 65_536


class LinkConnection:
    """One connection proxied by a link, with its caller side and target side."""

    def __init__(self, caller: StreamWriter, target: StreamWriter, caller_port: int) -> None:
        self.caller = caller
        self.caller_port = caller_port
        self.target = target
        self.silent = False
        # Data is discarded in one direction only.
        self.silent_to_caller = False
        self.silent_to_target = False
        self.truncate_after: int | None = None

    def abort(self) -> None:
        """Aborts both sides at once; the peers see a reset or an end of stream."""
        self.caller.transport.abort()
        self.target.transport.abort()


class FaultyLink:
    """A TCP proxy to a target port that can inject faults.

    It must be started and used in one event loop.
    """

    def __init__(self, port: int, target_port: int) -> None:
        self.port = port
        self.target_port = target_port
        self.delay_seconds = 0.0
        # Returns whether a new connection from the given caller port is to be silent.
        self.is_cut_off: Callable[[int], bool] = lambda caller_port: False
        # Whether new connections discard data towards the caller, and towards the target.
        self.one_way = (False, False)
        self.connections: set[LinkConnection] = set()
        self.tasks: set[Task[None]] = set()
        self.server: AbstractServer | None = None

    async def start(self) -> None:
        """Opens the link's port on the loopback interface."""
        self.server = await start_server(self._accept, LOOPBACK, self.port)

    async def stop(self) -> None:
        """Closes the port and aborts all connections."""
        if self.server is not None:
            self.server.close()
        self.cut()
        for task in self.tasks:
            task.cancel()
        await gather(*self.tasks, return_exceptions=True)

    def cut(self) -> None:
        """Aborts all open connections; new ones work."""
        for connection in list(self.connections):
            connection.abort()

    def delay(self, milliseconds: float) -> None:
        """Delays each chunk of data in both directions from now on; 0 for no delay."""
        self.delay_seconds = milliseconds / 1000.0

    def truncate(self, response_bytes: int) -> None:
        """Closes each open connection after this many more bytes towards the caller."""
        for connection in self.connections:
            connection.truncate_after = response_bytes

    def silence_open(self) -> None:
        """Makes open connections silent: they stay open but discard all data; new ones work."""
        for connection in self.connections:
            connection.silent = True

    def cut_one_way(self, to_caller: bool) -> None:
        """Discards all data in one direction, on open and new connections, until ``heal``."""
        self.one_way = (to_caller, not to_caller)
        for connection in self.connections:
            connection.silent_to_caller, connection.silent_to_target = self.one_way

    def heal(self) -> None:
        """Ends delays and cuts for new connections; aborts connections that discard data."""
        self.delay_seconds = 0.0
        self.one_way = (False, False)
        self.is_cut_off = lambda caller_port: False
        for connection in list(self.connections):
            if connection.silent or connection.silent_to_caller or connection.silent_to_target:
                connection.abort()

    async def _accept(self, reader: StreamReader, writer: StreamWriter) -> None:
        try:
            target_reader, target_writer = await open_connection(LOOPBACK, self.target_port)
        except OSError:
            writer.transport.abort()
            return
        caller_port = writer.get_extra_info("peername")[1]
        connection = LinkConnection(writer, target_writer, caller_port)
        connection.silent = self.is_cut_off(caller_port)
        connection.silent_to_caller, connection.silent_to_target = self.one_way
        self.connections.add(connection)
        pumps = [
            create_task(self._pump(connection, reader, target_writer, False)),
            create_task(self._pump(connection, target_reader, writer, True)),
        ]
        self.tasks.update(pumps)
        await gather(*pumps, return_exceptions=True)
        self.tasks.difference_update(pumps)
        self.connections.discard(connection)
        connection.abort()

    async def _pump(
        self,
        connection: LinkConnection,
        reader: StreamReader,
        writer: StreamWriter,
        to_caller: bool,
    ) -> None:
        """Forwards one direction until it ends, which closes both directions."""
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.delay_seconds:
                    await sleep(self.delay_seconds)
                discarded = (
                    connection.silent_to_caller if to_caller else connection.silent_to_target
                )
                if connection.silent or discarded:
                    continue
                if to_caller and connection.truncate_after is not None:
                    data = data[: connection.truncate_after]
                    connection.truncate_after -= len(data)
                writer.write(data)
                await writer.drain()
                if to_caller and connection.truncate_after == 0:
                    break
        except OSError:
            pass
        if connection.silent:
            # A silent connection hides the end of each side from the other.
            return
        # Flushes buffered data before the connection closes.
        writer.close()
        if to_caller:
            connection.target.transport.abort()


class FaultInjector:
    """Injects faults into a fleet whose nodes' call ports are behind links."""

    def __init__(self, fleet: Fleet, links: dict[str, FaultyLink]) -> None:
        self.fleet = fleet
        self.links = links

    def link(self, pair: NodePair) -> FaultyLink:
        """Returns the link in front of a node's call port."""
        return self.links[pair.node_process]

    def kill(self, process: str) -> None:
        """Kills a process, unless it has exited."""
        if self.is_running(process):
            self.fleet.kill(process)

    def terminate(self, process: str) -> None:
        """Asks a process to drain and exit, unless it has exited."""
        if self.is_running(process):
            self.fleet.terminate(process)

    def pause(self, process: str) -> None:
        """Suspends a process; its connections stay open but unresponsive."""
        if self.is_running(process):
            self.fleet.pause(process)

    def resume(self, process: str) -> None:
        """Resumes a paused process."""
        if self.is_running(process):
            self.fleet.resume(process)

    def restart_ended(self) -> list[str]:
        """Restarts all processes that have exited; returns their names."""
        restarted = []
        for name in list(self.fleet.processes):
            if self.is_running(name):
                continue
            self.fleet.restart(name)
            restarted.append(name)
        return restarted

    def is_running(self, process: str) -> bool:
        """Returns whether a process has not exited; a paused one counts as running."""
        return self.fleet.processes[process].poll() is None

    def platform_down(self) -> None:
        """Makes the platform refuse all calls."""
        self.fleet.set_faults(down=True)

    def platform_slow(self, milliseconds: float) -> None:
        """Delays each call of the platform."""
        self.fleet.set_faults(slow_ms=milliseconds)

    def platform_loses_answers(self) -> None:
        """Lets the platform apply writes but lose their responses."""
        self.fleet.set_faults(lose_answers=True)

    def platform_snapshot(self) -> None:
        """Takes a snapshot of the platform's state for ``platform_restored``."""
        self.fleet.set_faults(take_snapshot=True)

    def platform_restored(self) -> None:
        """Restores the platform's snapshot and ends all other faults."""
        self.fleet.set_faults(restore_snapshot=True)

    def platform_healthy(self) -> None:
        """Ends all faults of the platform."""
        self.fleet.set_faults()


async def start_links(fleet: Fleet, ports: list[int]) -> dict[str, FaultyLink]:
    """Puts a link in front of each node's call port; call before the fleet starts."""
    links = {}
    for pair, port in zip(fleet.pairs, ports, strict=True):
        link = FaultyLink(port, pair.call_port)
        await link.start()
        links[pair.node_process] = link
        fleet.advertised_ports.setdefault(pair.service, {})[pair.name] = port
    return links

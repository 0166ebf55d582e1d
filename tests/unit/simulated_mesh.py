"""Nodes with the real membership and distribution parts on a simulated network and store.

Time is simulated, and messages and calls of the store take a fixed time.
"""

from asyncio import Event, Task, all_tasks, gather, sleep, timeout
from collections.abc import Callable
from contextlib import ExitStack
from importlib import import_module
from os import O_WRONLY, devnull
from os import open as open_file
from random import seed as seed_random
from typing import Any
from unittest.mock import patch

from coltsfoottrack._internal.experiment.virtual_time import VirtualLoop
from coltsfoottrack._internal.mesh.configuration import ActiveConfiguration
from coltsfoottrack._internal.mesh.decisions import DecisionLog, LineWriter
from coltsfoottrack._internal.mesh.directory import Directory
from coltsfoottrack._internal.mesh.discovery import (
    FIRST_START_JITTER_SECONDS,
    FIRST_START_SECONDS,
    Discovery,
)
from coltsfoottrack._internal.mesh.distribution import Distribution
from coltsfoottrack._internal.mesh.exceptions import (
    StoreConflictError,
    StoreError,
    StoreHistoryLostError,
)
from coltsfoottrack._internal.mesh.member_updates import MemberUpdates
from coltsfoottrack._internal.mesh.model import CallerLimits, Member, RoutingConfiguration
from coltsfoottrack._internal.mesh.own_record import OwnRecord
from coltsfoottrack._internal.mesh.publisher import Publisher
from coltsfoottrack._internal.mesh.route_summaries import RouteSummaries
from coltsfoottrack._internal.mesh.store import (
    ConfigurationChange,
    MemberChange,
    MemberChanges,
    ProbeResult,
)
from coltsfoottrack._internal.mesh.store_era import StoreEra
from coltsfoottrack._internal.mesh.store_watch import StoreWatch
from coltsfoottrack._internal.mesh.subscriptions import Subscriptions
from coltsfoottrack._internal.schema.links_pb2 import Frame

MESSAGE_SECONDS = 0.001
STORE_CALL_SECONDS = 0.004
WATCH_SECONDS = 10.0
MEMBER_WATCH_SECONDS = 5.0
# Time after which a node gives up a call, and how much longer it waits for a watch.
CALL_TIMEOUT_SECONDS = 1.5
PROBE_TIMEOUT_SECONDS = 1.0
# Price of a call that may return old data, in calls.
STALE_CALL = 0.1
CLOCK_MODULES = (
    "configuration",
    "decisions",
    "directory",
    "discovery",
    "distribution",
    "publisher",
    "store_look",
    "store_watch",
    "subscriptions",
    "watch_guard",
)


def decode(content: bytes) -> RoutingConfiguration:
    """Returns a configuration without routes whose content is its version."""
    return RoutingConfiguration(int(content), (), CallerLimits(), content)


class SimulatedStore:
    """Configuration and members with revisions, and the calls that were made."""

    def __init__(self) -> None:
        self.revision = 1
        self.configuration = b"1"
        self.configuration_revision = 1
        self.members: dict[str, MemberChange] = {}
        self.changed = Event()
        self.first_revision = 0
        self.calls = 0.0
        # Names of nodes that the store does not answer; all of them if is_down.
        self.refused: set[str] = set()
        # Names of nodes whose calls, waiting ones included, get no answer any more.
        self.silent: set[str] = set()
        # All connections opened before this time get no answer any more.
        self.silent_before = 0.0
        self.is_down = False
        self.era = 0

    def restore(self, revision: int) -> None:
        """Comes back without the records written after a revision; ends all watches."""
        self.era += 1
        self.revision = revision
        for name, item in list(self.members.items()):
            if item.revision > revision:
                del self.members[name]
        self.forget_history()

    def put_configuration(self, version: int) -> None:
        """Stores a new configuration."""
        self.revision += 1
        self.configuration = b"%d" % version
        self.configuration_revision = self.revision
        self.notify()

    def notify(self) -> None:
        """Wakes all watches."""
        self.changed.set()
        self.changed = Event()

    def forget_history(self) -> None:
        """Discards the history and ends all watches."""
        self.first_revision = self.revision + 1
        self.notify()


class StoreClient:
    """The store as one node sees it."""

    def __init__(self, store: SimulatedStore, name: str) -> None:
        self.store = store
        self.name = name
        self.on_era: Callable[[int], None] = lambda era: None
        # Time at which the connection for probes was opened, None if there is none.
        self.probe_connected_at: float | None = None

    async def _call(self, price: float = 1.0) -> None:
        self.store.calls += price
        await sleep(STORE_CALL_SECONDS)
        if self.name in self.store.silent:
            await sleep(CALL_TIMEOUT_SECONDS - STORE_CALL_SECONDS)
            raise StoreError("no answer in time")
        self._check()
        self.on_era(self.store.era)

    def _check(self) -> None:
        if self.store.is_down or self.name in self.store.refused:
            raise StoreError("status 503")

    async def _wait(self, revision: int, seconds: float = WATCH_SECONDS) -> None:
        """Waits for a change after a revision."""
        began = _loop().time()
        if revision + 1 < self.store.first_revision:
            raise StoreHistoryLostError("gone")
        if self.store.revision > revision:
            return
        end = _loop().time() + seconds
        try:
            async with timeout(seconds):
                await self.store.changed.wait()
        except TimeoutError:
            pass
        if self.name in self.store.silent or began < self.store.silent_before:
            await sleep(end + CALL_TIMEOUT_SECONDS - _loop().time())
            raise StoreError("no answer in time")
        self._check()
        if revision + 1 < self.store.first_revision:
            raise StoreHistoryLostError("gone")

    async def read_configuration(self) -> ConfigurationChange:
        await self._call()
        return ConfigurationChange(self.store.configuration, self.store.revision)

    async def watch_configuration(self, revision: int) -> ConfigurationChange:
        await self._call()
        store = self.store
        end = _loop().time() + WATCH_SECONDS
        while store.configuration_revision <= revision and _loop().time() < end:
            await self._wait(store.revision)
        content = store.configuration if store.configuration_revision > revision else None
        return ConfigurationChange(content, store.revision)

    async def probe(self, new_connection: bool = False) -> ProbeResult:
        store = self.store
        if new_connection:
            self.probe_connected_at = None
        reused = self.probe_connected_at is not None
        if reused and self.probe_connected_at < store.silent_before:
            self.probe_connected_at = None
            await sleep(PROBE_TIMEOUT_SECONDS)
            raise StoreError("no answer in time")
        await self._call(STALE_CALL)
        if not reused:
            self.probe_connected_at = _loop().time()
        return ProbeResult(store.configuration, store.configuration_revision, reused)

    async def list_members(self) -> MemberChanges:
        await self._call(STALE_CALL)
        return MemberChanges(list(self.store.members.values()), self.store.revision)

    async def watch_members(self, revision: int) -> MemberChanges:
        await self._call(STALE_CALL)
        await self._wait(revision, MEMBER_WATCH_SECONDS)
        changes = [item for item in self.store.members.values() if item.revision > revision]
        return MemberChanges(changes, self.store.revision)

    async def read_member(self, node: str) -> MemberChange | None:
        await self._call()
        return self.store.members.get(node)

    async def create_member(self, member: Member) -> int:
        await self._call()
        if member.node in self.store.members:
            raise StoreConflictError("exists")
        return self._put(member)

    async def replace_member(self, member: Member, revision: int) -> int:
        await self._call()
        stored = self.store.members.get(member.node)
        if stored is None or stored.revision != revision:
            raise StoreConflictError("changed")
        return self._put(member)

    async def delete_member(self, node: str, revision: int) -> None:
        await self._call()
        stored = self.store.members.get(node)
        if stored is not None and stored.revision != revision:
            raise StoreConflictError("changed")
        self.store.members.pop(node, None)

    def _put(self, member: Member) -> int:
        store = self.store
        store.revision += 1
        store.members[member.node] = MemberChange(member.node, member, store.revision, False)
        store.notify()
        return store.revision


class SimulatedConnection:
    """One end of a connection between two nodes."""

    def __init__(self, network: "SimulatedMesh", near: "SimulatedNode", far: "SimulatedNode"):
        self.network = network
        self.near = near
        self.far = far
        self.node = far.name
        self.other: SimulatedConnection | None = None
        self.open = True
        # Whether what is sent from this end is lost although the connection stays open.
        self.silent = False

    def is_open(self) -> bool:
        return self.open

    def send(self, frame: Frame) -> None:
        if self.open and not self.silent:
            self.network.deliver(self, frame)


class SimulatedNode:
    """One node: membership and distribution without entry and runner."""

    def __init__(
        self, network: "SimulatedMesh", name: str, domain: str, epoch: int, first_start: bool
    ) -> None:
        self.network = network
        self.name = name
        self.started_at = _loop().time()
        self.first_start = first_start
        self.alive = True
        # A frozen node neither runs nor answers; its connections stay open.
        self.frozen = False
        own = Member(name, f"{name}:1", domain, "stock", f"i-{name}", accepting=True, epoch=epoch)
        log = network.log
        self.directory = Directory(own)
        self.configuration = ActiveConfiguration(decode, log)
        client = StoreClient(network.store, name)
        self.members = MemberUpdates(self.directory, log)
        era = StoreEra(log)
        client.on_era = lambda number: era.observe(number, "store")
        self.publisher = Publisher(self.directory, self.configuration, era)
        self.watch = StoreWatch(client, self.configuration, self.members, log)
        first_look = FIRST_START_SECONDS + FIRST_START_JITTER_SECONDS if first_start else 0.0
        self.subscriptions = Subscriptions(
            self.directory, self.publisher, self.watch, log, first_look
        )
        self.discovery = Discovery(client, self.members, self.subscriptions, (), log)
        self.record = OwnRecord(client, self.directory, log)
        self.distribution = Distribution(
            self.members, self.subscriptions, self.configuration, RouteSummaries(), era
        )
        self.publisher.last_confirmed = self.subscriptions.last_confirmed
        self.watch.on_confirmed = self.subscriptions.publish
        era.on_restored.append(self.watch.restart)
        era.on_restored.append(self.record.handle_restored)
        self.members.on_learned = self.publisher.add_changed
        self.configuration.on_change = self.record_change
        self.subscriptions.send = self.send
        self.connections: dict[str, SimulatedConnection] = {}
        # Time at which each version came in force.
        self.in_force: dict[int, float] = {}
        self.tasks: list[Task[Any]] = []

    def record_change(self, table: Any) -> None:
        """Notes the time of a new version."""
        self.in_force[table.version] = _loop().time()
        self.subscriptions.publish()

    def start(self) -> None:
        """Starts the node's tasks."""
        self.record.changed.set()
        for work in (
            self.discovery.run(self.first_start),
            self.record.run(self.first_start),
            self._tick(),
        ):
            self.tasks.append(_loop().create_task(work))

    async def _tick(self) -> None:
        while True:
            await sleep(self.subscriptions.tick_pause(_loop().time()))
            if not self.frozen:
                self.subscriptions.tick(_loop().time())

    def send(self, member: Member, frame: Frame) -> None:
        """Sends a message, connecting first if needed."""
        connection = self.connections.get(member.node)
        if connection is None or not connection.open:
            connection = self.network.connect(self, member)
        if connection is not None:
            connection.send(frame)

    def stop(self) -> None:
        """Ends the node's process: its connections are reset."""
        self.alive = False
        self.subscriptions.close()
        for task in self.tasks:
            task.cancel()
        for connection in list(self.network.connections_of(self)):
            connection.open = False
            connection.other.open = False
            far = connection.far
            if far.alive:
                _loop().call_soon(far.subscriptions.handle_connection_lost, connection.other)


class SimulatedMesh:
    """The network, the nodes and the store."""

    def __init__(self, random_seed: int = 1) -> None:
        seed_random(random_seed)
        self.log = DecisionLog("mesh", LineWriter(open_file(devnull, O_WRONLY)))
        self.store = SimulatedStore()
        self.nodes: dict[str, SimulatedNode] = {}
        self.ends: list[SimulatedConnection] = []
        self.by_node: dict[SimulatedNode, list[SimulatedConnection]] = {}
        self.bytes_sent = 0
        self.messages_sent = 0
        # Groups of nodes that cannot reach each other, by name; the default group is 0.
        self.group: dict[str, int] = {}

    def add(
        self, name: str, domain: str, epoch: int = 1, first_start: bool = False
    ) -> SimulatedNode:
        """Starts a node; an earlier one of this name must have been stopped."""
        node = SimulatedNode(self, name, domain, epoch, first_start)
        self.nodes[name] = node
        node.start()
        return node

    def add_all(self, count: int, domains: int, first_start: bool = True) -> None:
        """Starts a number of nodes, spread over failure domains."""
        for number in range(count):
            self.add(f"node-{number}", f"domain-{number % domains}", 1, first_start)

    def running(self) -> list[SimulatedNode]:
        """Returns the nodes that run and are not frozen."""
        return [node for node in self.nodes.values() if node.alive and not node.frozen]

    def watching(self) -> list[SimulatedNode]:
        """Returns the nodes that follow the store."""
        return [node for node in self.running() if node.watch.started]

    def connections_of(self, node: SimulatedNode) -> list[SimulatedConnection]:
        """Returns the node's ends of its connections."""
        return self.by_node.get(node, [])

    def reaches(self, first: SimulatedNode, second: SimulatedNode) -> bool:
        """Returns whether messages pass between two nodes."""
        return self.group.get(first.name, 0) == self.group.get(second.name, 0)

    def connect(self, near: SimulatedNode, member: Member) -> SimulatedConnection | None:
        """Connects two nodes; reports an unreachable one to the first."""
        far = self.nodes.get(member.node)
        if far is None or not far.alive or not self.reaches(near, far):
            _loop().call_soon(near.subscriptions.handle_unreachable, member.node)
            return None
        end = SimulatedConnection(self, near, far)
        other = SimulatedConnection(self, far, near)
        end.other = other
        other.other = end
        near.connections[far.name] = end
        self.by_node.setdefault(near, []).append(end)
        self.by_node.setdefault(far, []).append(other)
        return end

    def deliver(self, connection: SimulatedConnection, frame: Frame) -> None:
        """Delivers a message after the time it takes on the network."""
        data = frame.SerializeToString()
        self.bytes_sent += len(data)
        self.messages_sent += 1
        _loop().call_later(MESSAGE_SECONDS, self._receive, connection.other, data)

    def _receive(self, connection: SimulatedConnection, data: bytes) -> None:
        node = connection.near
        if not connection.open or not node.alive or node.frozen:
            return
        if not self.reaches(node, connection.far):
            return
        frame = Frame.FromString(data)
        kind = frame.WhichOneof("message")
        node.distribution.handlers[kind](connection, getattr(frame, kind))


_loops: list[VirtualLoop] = []


def _loop() -> VirtualLoop:
    return _loops[-1]


def run_simulated(scenario: Any) -> Any:
    """Runs a coroutine in simulated time and returns its result."""
    loop = VirtualLoop()
    _loops.append(loop)
    with ExitStack() as stack:
        for name in CLOCK_MODULES:
            module = import_module(f"coltsfoottrack._internal.mesh.{name}")
            if hasattr(module, "current_time"):
                stack.enter_context(patch.object(module, "current_time", loop.time))
        try:
            return loop.run_until_complete(scenario)
        finally:
            tasks = all_tasks(loop)
            for task in tasks:
                task.cancel()
            loop.run_until_complete(gather(*tasks, return_exceptions=True))
            _loops.pop()
            loop.close()

"""Fault injection for the soak: plans faults from a seed and injects them from outside."""

from asyncio import gather, get_running_loop, sleep, wait_for
from collections.abc import Sequence
from random import Random
from signal import SIGCONT, SIGHUP, SIGKILL, SIGSTOP, SIGTERM
from typing import NamedTuple

from coltsfoottrack._internal.mesh.clock import unix_time_ms
from tests.soak.mesh_announcements import Announcement
from tests.soak.mesh_customers import IN_FORCE_SECONDS, LIMITED, LOWERED_RATIO, RATES, Customers
from tests.soak.mesh_pairs import GRACE_SECONDS, MeshPair
from tests.standins.mesh import DEFAULT_CONFIGURATION
from tests.standins.store import StandInStore, StoreCopy

# Requests may reach a draining server for this long after its report was acknowledged.
DRAIN_SECONDS = 2.0
# Time from the start of a process until it runs the first line of its program.
INTERPRETER_START_SECONDS = 0.15
# Time after which the platform starts a process that has ended.
RESTART_SECONDS = 0.3
KINDS = (
    "kill_node",
    "terminate_node",
    "pause_node",
    "reload_node",
    "drain_server",
    "crash_server",
    "faulty_server",
    "slow_server",
    "store_down",
    "store_loses_answers",
    "store_forgets",
    "change_configuration",
    "callers_leave",
    "delay_links",
    "reset_links",
    "silence_links",
    "cut_one_way",
    "cut_from_store",
    "set_clock",
)
# Drawn apart from KINDS, so that the seeds go on to give the same faults of those kinds.
LATER_KINDS = ("name_limit", "leave_by_answers", "restore_store")
# Faults of customers, drawn apart for the same reason.
CUSTOMER_KINDS = ("remove_key", "remove_key_unseen", "hot_customer", "lower_quota")
# Leaves that a node hears of as it starts, drawn apart for the same reason.
LEAVE_KINDS = ("leave_as_its_node_starts",)
ACKNOWLEDGE_SECONDS = 3.0
LATER_PAUSE_SECONDS = 6.0
# Additional requests for each step of the load.
HOT_REQUESTS = 3
LOWERED_REQUESTS = 1
HOT_SECONDS = 3.0
# A lowered quota binds 7.5 s after its version was stored.
LOWERED_SECONDS = 14.0
# Kinds that may delay a version of the configuration at their node, and at all nodes.
DISTURBING_NODE = (
    "kill_node",
    "terminate_node",
    "pause_node",
    "delay_links",
    "reset_links",
    "silence_links",
    "cut_one_way",
    "cut_from_store",
)
DISTURBING_ALL = ("store_down", "restore_store")
LIMIT_PER_SECOND = 3.0
LIMIT_SECONDS = 9.0
COPY_INTERVAL_SECONDS = 0.5
FAULTS = ("lose", "truncate", "extra", "late", "unsealed", "fail", "shed", "unframed")
MAX_DELAY_MS = 300.0
MAX_CLOCK_STEP_SECONDS = 5.0


class PlannedFault(NamedTuple):
    """One fault: its start and duration in seconds, its kind and its target."""

    at: float
    kind: str
    target: int
    seconds: float


def plan_faults(seed: int, seconds: float) -> list[PlannedFault]:
    """Returns a schedule of faults that may overlap."""
    random = Random(seed)
    faults = []
    at = 0.0
    while at < seconds:
        faults.append(
            PlannedFault(at, random.choice(KINDS), random.randrange(100), random.uniform(0.3, 2.5))
        )
        at += random.choice((0.05, 0.4, 0.8, 1.5))
    return faults


class Disturbance(NamedTuple):
    """A period in which a version may be delayed at a node, or at all if ``node`` is empty."""

    node: str
    began: float
    ended: float


def plan_later_faults(seed: int, seconds: float) -> list[PlannedFault]:
    """Returns a schedule of faults of LATER_KINDS."""
    return _plan_apart(Random(f"later {seed}"), LATER_KINDS, seconds)


def plan_customer_faults(seed: int, seconds: float) -> list[PlannedFault]:
    """Returns a schedule of faults of CUSTOMER_KINDS."""
    return _plan_apart(Random(f"customers {seed}"), CUSTOMER_KINDS, seconds)


def plan_leaves(seed: int, seconds: float) -> list[PlannedFault]:
    """Returns a schedule of faults of LEAVE_KINDS."""
    return _plan_apart(Random(f"leaves {seed}"), LEAVE_KINDS, seconds)


def _plan_apart(random: Random, kinds: Sequence[str], seconds: float) -> list[PlannedFault]:
    faults = []
    at = random.uniform(0.0, LATER_PAUSE_SECONDS)
    while at < seconds:
        kind = random.choice(kinds)
        faults.append(PlannedFault(at, kind, random.randrange(100), random.uniform(0.3, 2.5)))
        at += random.uniform(0.0, LATER_PAUSE_SECONDS)
    return faults


class FaultPlayer:
    """Injects planned faults."""

    def __init__(
        self,
        pairs: Sequence[MeshPair],
        store: StandInStore,
        violations: list[str],
        customers: Customers,
    ) -> None:
        self.pairs = pairs
        self.customers = customers
        self.disturbances: list[Disturbance] = []
        # Periods in which the store refused single nodes.
        self.refusals: list[Disturbance] = []
        self.refused_now: set[str] = set()
        # Answers in place of the store to the nodes that it refuses.
        self.refusing_store = StandInStore()
        self.refusing_store.status = 503
        self.store = store
        self.violations = violations
        self.version = 0
        # Callers close their connections after SHORT_ANSWER_SECONDS.
        self.callers_leave_now = False
        # What servers announced in their answers.
        self.announcements: list[Announcement] = []
        # Copies of the store, the oldest first.
        self.copies: list[StoreCopy] = []

    async def copy_store(self) -> None:
        """Copies the store at intervals until cancelled."""
        while True:
            self.copies.append(self.store.copy())
            await sleep(COPY_INTERVAL_SECONDS)

    def configure(self) -> None:
        """Stores the next version of the configuration."""
        self.version += 1
        self._store_configuration()

    def _store_configuration(self) -> None:
        changes = {"version": self.version, "tenants": self.customers.tenants()}
        self.store.put("config", "main", {**DEFAULT_CONFIGURATION, **changes})

    async def play(self, faults: Sequence[PlannedFault]) -> None:
        """Injects all faults at their scheduled times."""
        await gather(*[self._inject(fault) for fault in faults])

    async def _inject(self, fault: PlannedFault) -> None:
        await sleep(fault.at)
        pair = self.pairs[fault.target % len(self.pairs)]
        servers = [pair for pair in self.pairs if pair.backend.service != "portal"]
        server = servers[fault.target % len(servers)]
        began = get_running_loop().time()
        await getattr(self, fault.kind)(pair, server, fault)
        if fault.kind in DISTURBING_NODE or fault.kind in DISTURBING_ALL:
            node = pair.name if fault.kind in DISTURBING_NODE else ""
            self.disturbances.append(Disturbance(node, began, get_running_loop().time()))

    async def kill_node(self, pair: MeshPair, server: MeshPair, fault: PlannedFault) -> None:
        """Kills a node and restarts it."""
        if not pair.is_running():
            return
        began = get_running_loop().time()
        pair.process.send_signal(SIGKILL)
        await pair.process.wait()
        await sleep(fault.seconds / 3.0)
        await pair.start()
        pair.record_disruption(began)

    async def terminate_node(self, pair: MeshPair, server: MeshPair, fault: PlannedFault) -> None:
        """Stops a node with SIGTERM, as an operator does, and restarts it."""
        if not pair.is_running():
            return
        process = pair.process
        process.send_signal(SIGTERM)
        try:
            await wait_for(process.wait(), GRACE_SECONDS + 1.0)
        except TimeoutError:
            if not pair.paused:
                self.violations.append(f"{pair.name} still runs after its grace period")
            process.kill()
            await process.wait()
        await pair.start()

    async def pause_node(self, pair: MeshPair, server: MeshPair, fault: PlannedFault) -> None:
        """Suspends a node."""
        if not pair.is_running():
            return
        process = pair.process
        began = get_running_loop().time()
        pair.paused = True
        process.send_signal(SIGSTOP)
        await sleep(fault.seconds)
        if process.returncode is None:
            process.send_signal(SIGCONT)
        pair.record_disruption(began)

    async def reload_node(self, pair: MeshPair, server: MeshPair, fault: PlannedFault) -> None:
        """Makes a node reload its settings.

        A signal that arrives before the interpreter runs the program ends it; the platform then
        starts it again.
        """
        if not pair.is_running():
            return
        process = pair.process
        process.send_signal(SIGHUP)
        if get_running_loop().time() - pair.started_at > INTERPRETER_START_SECONDS:
            return
        await sleep(RESTART_SECONDS)
        if process.returncode == -SIGHUP:
            await pair.start()

    async def set_clock(self, pair: MeshPair, server: MeshPair, fault: PlannedFault) -> None:
        """Sets the clock of a node forward or back, and corrects it later."""
        step = (fault.target % 11 - 5) / 5.0 * MAX_CLOCK_STEP_SECONDS
        pair.set_clock(step)
        await sleep(fault.seconds)
        pair.set_clock(0.0)

    async def drain_server(self, pair: MeshPair, server: MeshPair, fault: PlannedFault) -> None:
        """Drains a server and checks that it gets no more requests."""
        if not self._is_in_service(server):
            return
        backend = server.backend
        try:
            status = await server.send_report("draining")
        except (OSError, TimeoutError, ValueError, IndexError):
            return
        if status != 200:
            return
        server.out_of_service_since = get_running_loop().time()
        await sleep(DRAIN_SECONDS)
        before = len(backend.received)
        await sleep(fault.seconds)
        late = len(backend.received) - before
        if late:
            self.violations.append(f"{late} requests reached {server.name} after it had drained")
        await self._restart_server(server)

    async def leave_as_its_node_starts(
        self, pair: MeshPair, server: MeshPair, fault: PlannedFault
    ) -> None:
        """Deregisters a server at a node that has just started; an earlier report arrives late."""
        if not self._is_in_service(server) or not server.is_running() or server.reports_paused:
            return
        backend = server.backend
        process = backend.started_ms
        server.reports_paused = True
        last_number = backend.number
        await self.kill_node(server, server, fault)
        if not await self._deregister(server):
            server.reports_paused = False
            return
        server.out_of_service_since = get_running_loop().time()
        await sleep(fault.seconds / 2.0)
        try:
            await server.send_report("ready", last_number)
        except (OSError, TimeoutError, ValueError, IndexError):
            pass
        await sleep(max(0.0, DRAIN_SECONDS - fault.seconds / 2.0))
        before = len(backend.received)
        await sleep(fault.seconds)
        late = len(backend.received) - before
        # Another fault may have started the next process of the server, which is not bound.
        if late and backend.started_ms == process:
            self.violations.append(f"{late} requests reached {server.name} after it had left")
        server.reports_paused = False
        await self._restart_server(server)

    async def _deregister(self, server: MeshPair) -> bool:
        """Announces a leave until the node of a server acknowledges it; returns whether it did."""
        end = get_running_loop().time() + ACKNOWLEDGE_SECONDS
        while get_running_loop().time() < end:
            try:
                announced = server.backend.deregister(server.addresses["control"])
                if await wait_for(announced, 1.0) == 200:
                    return True
            except (OSError, TimeoutError, ValueError, IndexError):
                pass
            await sleep(0.02)
        return False

    async def _restart_server(self, server: MeshPair) -> None:
        """Restarts a server at the same address, without its faults."""
        # Two faults may end at the same time, and each of them restarts the server.
        async with server.restarting:
            server.backend.close()
            self._end_announcements(server)
            await sleep(0.1)
            server.backend.fault = ""
            await server.backend.restart()
            server.backend.started_ms = unix_time_ms()
            server.out_of_service_since = None

    async def crash_server(self, pair: MeshPair, server: MeshPair, fault: PlannedFault) -> None:
        """Closes a server without draining and restarts it."""
        if not self._is_in_service(server):
            return
        server.out_of_service_since = get_running_loop().time()
        server.backend.close()
        await sleep(fault.seconds)
        await self._restart_server(server)

    async def faulty_server(self, pair: MeshPair, server: MeshPair, fault: PlannedFault) -> None:
        """Makes a server return one kind of faulty answer."""
        server.backend.fault = FAULTS[fault.target % len(FAULTS)]
        await sleep(fault.seconds)
        server.backend.fault = ""

    async def slow_server(self, pair: MeshPair, server: MeshPair, fault: PlannedFault) -> None:
        """Slows a server down."""
        server.backend.work_seconds = 0.3
        await sleep(fault.seconds)
        server.backend.work_seconds = 0.01

    async def store_down(self, pair: MeshPair, server: MeshPair, fault: PlannedFault) -> None:
        """Makes the store refuse all calls."""
        self.store.status = 503
        await sleep(fault.seconds)
        self.store.status = None

    async def store_loses_answers(
        self, pair: MeshPair, server: MeshPair, fault: PlannedFault
    ) -> None:
        """Makes the store apply requests but lose its answers."""
        self.store.lose_answers = True
        await sleep(fault.seconds)
        self.store.lose_answers = False

    async def store_forgets(self, pair: MeshPair, server: MeshPair, fault: PlannedFault) -> None:
        """Deletes the history of the store."""
        self.store.forget_history()

    async def change_configuration(
        self, pair: MeshPair, server: MeshPair, fault: PlannedFault
    ) -> None:
        """Stores a new version of the configuration."""
        self.configure()

    async def callers_leave(self, pair: MeshPair, server: MeshPair, fault: PlannedFault) -> None:
        """Makes callers disconnect before they get their answer."""
        self.callers_leave_now = True
        await sleep(fault.seconds)
        self.callers_leave_now = False

    async def delay_links(self, pair: MeshPair, server: MeshPair, fault: PlannedFault) -> None:
        """Delays traffic from other nodes to a node, and from it to its server."""
        for name in ("nodes", "server"):
            pair.links[name].delay(MAX_DELAY_MS * (fault.target % 10 + 1) / 10.0)
        await sleep(fault.seconds)
        for name in ("nodes", "server"):
            pair.links[name].delay(0.0)

    async def reset_links(self, pair: MeshPair, server: MeshPair, fault: PlannedFault) -> None:
        """Aborts all connections from other nodes to a node, or from it to its server or store."""
        pair.links[self._link_name(fault)].cut()

    async def silence_links(self, pair: MeshPair, server: MeshPair, fault: PlannedFault) -> None:
        """Makes open connections silent: they discard all data but stay open."""
        pair.links[self._link_name(fault)].silence_open()

    async def cut_one_way(self, pair: MeshPair, server: MeshPair, fault: PlannedFault) -> None:
        """Discards all data in one direction between other nodes and a node."""
        link = pair.links["nodes"]
        link.cut_one_way(to_caller=fault.target % 2 == 0)
        await sleep(fault.seconds)
        link.heal()

    async def cut_from_store(self, pair: MeshPair, server: MeshPair, fault: PlannedFault) -> None:
        """Makes all connections of a node to the store silent."""
        link = pair.links["store"]
        link.silence_open()
        link.is_cut_off = lambda caller_port: True
        await sleep(fault.seconds)
        link.heal()

    def _is_in_service(self, server: MeshPair) -> bool:
        return server.out_of_service_since is None and server.backend.server.is_serving()

    def _announce(self, server: MeshPair, limit: float | None) -> Announcement:
        announcement = Announcement(server, get_running_loop().time(), limit)
        self.announcements.append(announcement)
        return announcement

    def _end_announcements(self, server: MeshPair) -> None:
        """Ends what a server announces; it does not bind the server's next process."""
        server.backend.rate_limit = ""
        server.backend.leaving = False
        for announcement in self.announcements:
            if announcement.server is server and announcement.is_open:
                announcement.ended = get_running_loop().time()

    async def name_limit(self, pair: MeshPair, server: MeshPair, fault: PlannedFault) -> None:
        """Makes a server name a rate limit in its answers."""
        backend = server.backend
        if backend.rate_limit or backend.leaving or not self._is_in_service(server):
            return
        announcement = self._announce(server, LIMIT_PER_SECOND)
        backend.rate_limit = str(LIMIT_PER_SECOND)
        await sleep(LIMIT_SECONDS)
        if announcement.is_open:
            self._end_announcements(server)

    async def leave_by_answers(self, pair: MeshPair, server: MeshPair, fault: PlannedFault) -> None:
        """Makes a server state in its answers, and nowhere else, that it leaves."""
        if server.backend.leaving or not self._is_in_service(server):
            return
        self._end_announcements(server)
        announcement = self._announce(server, None)
        server.backend.leaving = True
        await sleep(DRAIN_SECONDS + fault.seconds)
        if announcement.is_open and server.out_of_service_since is None:
            await self._restart_server(server)

    async def restore_store(self, pair: MeshPair, server: MeshPair, fault: PlannedFault) -> None:
        """Brings the store back from an older copy; the operator writes again what it lacks."""
        copy = self.copies[fault.target % len(self.copies)]
        self.store.status = 503
        await sleep(fault.seconds / 2.0)
        self.store.restore(copy)
        self._store_configuration()
        self.store.status = None

    async def remove_key(self, pair: MeshPair, server: MeshPair, fault: PlannedFault) -> None:
        """Removes a key that callers are using."""
        self.customers.replace_key(get_running_loop().time())
        self.configure()

    async def remove_key_unseen(
        self, pair: MeshPair, server: MeshPair, fault: PlannedFault
    ) -> None:
        """Removes a key while the store refuses some nodes, among them one or two portals."""
        began = get_running_loop().time()
        refused = []
        for number, candidate in enumerate(self.pairs):
            if (number + fault.target) % 2 == 0 and candidate.name not in self.refused_now:
                refused.append(candidate)
        self.refusing_store.era = self.store.era
        for node in refused:
            self.refused_now.add(node.name)
            self._connect_to_store(node, self.refusing_store)
        await self.remove_key(pair, server, fault)
        await sleep(IN_FORCE_SECONDS + fault.seconds)
        for node in refused:
            self.refused_now.discard(node.name)
            self._connect_to_store(node, self.store)
            ended = get_running_loop().time()
            self.refusals.append(Disturbance(node.name, began, ended))

    def _connect_to_store(self, node: MeshPair, store: StandInStore) -> None:
        """Lets a node reach a store on new connections, and aborts the open ones."""
        node.links["store"].target_port = store.port
        node.links["store"].cut()

    async def hot_customer(self, pair: MeshPair, server: MeshPair, fault: PlannedFault) -> None:
        """Makes a customer send many times its quota."""
        name = LIMITED[fault.target % len(LIMITED)]
        self.customers.hot[name] += HOT_REQUESTS
        await sleep(HOT_SECONDS + fault.seconds)
        self.customers.hot[name] -= HOT_REQUESTS

    async def lower_quota(self, pair: MeshPair, server: MeshPair, fault: PlannedFault) -> None:
        """Lowers a quota below what its customer goes on to send, and raises it again."""
        name = LIMITED[fault.target % len(LIMITED)]
        loop = get_running_loop()
        self.customers.hot[name] += LOWERED_REQUESTS
        self.customers.set_rate(name, RATES[name] * LOWERED_RATIO, loop.time())
        self.configure()
        await sleep(LOWERED_SECONDS)
        self.customers.hot[name] -= LOWERED_REQUESTS
        self.customers.set_rate(name, RATES[name], loop.time())
        self.configure()

    def was_disturbed(self, node: str, began: float, ended: float) -> bool:
        """Returns whether a version may have been late at a node in a period.

        A node that only the store refused learns versions from others, unless another fault hit any
        node in the same period, or the store refused all nodes at some time in it.
        """
        pairs = {pair.name: pair for pair in self.pairs}
        if pairs[node].was_interrupted(began, ended) or self._were_all_refused(began, ended):
            return True
        refused = any(
            refusal.node == node and refusal.began <= ended and refusal.ended >= began
            for refusal in self.refusals
        )
        for disturbance in self.disturbances:
            overlaps = disturbance.began <= ended and disturbance.ended >= began
            if overlaps and (refused or disturbance.node in ("", node)):
                return True
        return False

    def _were_all_refused(self, began: float, ended: float) -> bool:
        """Returns whether the store refused all nodes at the same time in a period."""
        for first in self.refusals:
            moment = max(began, first.began)
            if moment > min(ended, first.ended):
                continue
            refused = {
                refusal.node
                for refusal in self.refusals
                if refusal.began <= moment <= refusal.ended
            }
            if len(refused) == len(self.pairs):
                return True
        return False

    def _link_name(self, fault: PlannedFault) -> str:
        return ("nodes", "server", "store")[fault.target % 3]

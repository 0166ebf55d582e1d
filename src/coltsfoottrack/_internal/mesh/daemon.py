"""A node of the mesh: creates, starts and stops its parts."""

from asyncio import Event, Server, Task, gather, get_running_loop, sleep
from collections.abc import Callable, Coroutine
from functools import partial
from gc import freeze
from signal import SIGHUP, SIGINT, SIGTERM
from typing import Any, NamedTuple

from coltsfoottrack._internal.mesh.backend_connection import BackendPool
from coltsfoottrack._internal.mesh.backend_state import BackendState, Lifetime
from coltsfoottrack._internal.mesh.caller_connection import CallerConnection
from coltsfoottrack._internal.mesh.caller_group import CallerGroup
from coltsfoottrack._internal.mesh.client_shortage import ClientShortage
from coltsfoottrack._internal.mesh.clock import current_time, unix_time_ms
from coltsfoottrack._internal.mesh.configuration import ActiveConfiguration, Decoder
from coltsfoottrack._internal.mesh.customers.quota import quotas
from coltsfoottrack._internal.mesh.decisions import DecisionLog
from coltsfoottrack._internal.mesh.directory import Directory
from coltsfoottrack._internal.mesh.entry import Entry
from coltsfoottrack._internal.mesh.exceptions import ReportError
from coltsfoottrack._internal.mesh.level_reports import LevelReporter
from coltsfoottrack._internal.mesh.link import SILENT_TIMEOUT_SECONDS
from coltsfoottrack._internal.mesh.links import Links
from coltsfoottrack._internal.mesh.membership import Membership
from coltsfoottrack._internal.mesh.memory_account import MemoryAccount, account_limit
from coltsfoottrack._internal.mesh.metrics import scrape
from coltsfoottrack._internal.mesh.model import (
    MAX_TIME_MS,
    BackendLeave,
    BackendReport,
    HeaderNames,
    Member,
    MeshSettings,
)
from coltsfoottrack._internal.mesh.parent_requests import ParentRequests
from coltsfoottrack._internal.mesh.ports import HttpPort, PortHandler, PortResponse
from coltsfoottrack._internal.mesh.read_turns import ReadTurns
from coltsfoottrack._internal.mesh.retry_budget import RetryBudget
from coltsfoottrack._internal.mesh.routes import RouteTable
from coltsfoottrack._internal.mesh.runner import Runner
from coltsfoottrack._internal.mesh.shared_rate.mesh_access import NodeMeshAccess
from coltsfoottrack._internal.mesh.shared_rate.shared_rates import SharedRates
from coltsfoottrack._internal.mesh.silence_watch import SWEEP_SECONDS
from coltsfoottrack._internal.mesh.socket_account import SocketAccount, socket_limit
from coltsfoottrack._internal.mesh.sockets import listen, refuses_connections
from coltsfoottrack._internal.mesh.statistics import MeshStatistics
from coltsfoottrack._internal.mesh.store import Store
from coltsfoottrack._internal.mesh.work_timer import (
    BUSY_SECONDS,
    IDLE_SECONDS,
    SETTLING_SECONDS,
    WorkTimer,
)

TICK_SECONDS = 0.05
SETTINGS_CHECK_SECONDS = 5.0
# Callers stop using a node after two failed readiness checks, one second apart.
READINESS_DRAIN_SECONDS = 2.3
DELETE_TIMEOUT_SECONDS = 0.3
# Incomplete answers may take this part of the memory.
HELD_ANSWERS_DIVISOR = 8


class Adapter(NamedTuple):
    """Translates between a mesh node and the platform on which it runs."""

    names: HeaderNames
    decode_configuration: Decoder
    # Returns a client of the store at an address.
    open_store: Callable[[str], Store]
    # Returns the identifier of a call's parent request, or an empty string.
    parent_identifier: Callable[[str], str]
    # Reads a report of the backend server, or its leave, from method, path and body.
    read_report: Callable[[str, str, bytes], BackendReport | BackendLeave]
    read_settings: Callable[[], MeshSettings]
    # Path of the readiness check.
    ready_path: str
    metrics_path: str


class MeshNode:
    """One node of the mesh."""

    def __init__(self, settings: MeshSettings, adapter: Adapter, log: DecisionLog) -> None:
        self.settings = settings
        self.adapter = adapter
        self.log = log
        names = adapter.names
        self.statistics = MeshStatistics()
        self.backend = BackendState(settings.backend_address, log)
        self.parent_requests = ParentRequests(adapter.parent_identifier)
        self.account = MemoryAccount(account_limit(settings.memory_bytes))
        self.shortage = ClientShortage(log)
        self.sockets = SocketAccount(socket_limit(settings.max_sockets), self.account)
        self.turns = ReadTurns()
        self.pool = BackendPool(
            settings.backend_address,
            names,
            settings.memory_bytes // HELD_ANSWERS_DIVISOR,
            self.account,
            self.turns,
        )
        own = Member(
            node=settings.node,
            address=settings.advertised_address,
            failure_domain=settings.failure_domain,
            service=settings.service,
            epoch=unix_time_ms(),
        )
        self.directory = Directory(own)
        self.active_configuration = ActiveConfiguration(adapter.decode_configuration, log)
        self.runner = Runner(
            self.backend,
            self.pool,
            RetryBudget(settings.retries),
            self.parent_requests,
            names,
            log,
            self.statistics.run_time,
        )
        self.entry = Entry(
            names,
            self.directory,
            self.runner,
            self.parent_requests,
            log,
            self.statistics,
            CallerGroup(self.account, self.sockets.caller_limit, self.turns),
        )
        self.account.drop_cached = self.runner.call_cache.drop_large_answers
        self.entry.set_service(settings.service)
        self.membership = Membership(
            settings,
            adapter.open_store(settings.store_address),
            self.directory,
            self.active_configuration,
            self.entry.gate.levels.summaries,
            log,
        )
        self.links = Links(
            self.directory,
            self.runner,
            self.parent_requests,
            self.entry.gate.levels,
            self.active_configuration,
            self.membership.distribution,
            log,
            self.account,
        )
        self.membership.connect(
            self.links, LevelReporter(self.runner, self.parent_requests), self.restore
        )
        self.entry.links = self.links
        self.shared_rates = SharedRates(
            NodeMeshAccess(self.directory, self.links), settings.quota, log
        )
        self.links.shared_rates = self.shared_rates
        self.entry.shared_rates = self.shared_rates
        self.runner.node_count = lambda: self.directory.members_of(self.directory.own.service)
        self.runner.crash_watch.on_new_suspects = self.links.broadcast_suspects
        self.timer = WorkTimer(self.tick)
        self.entry.on_work = self.runner.on_work = self._wake
        self.backend.changed = self.update_own
        self.active_configuration.on_change = self.apply_configuration
        self.tasks: list[Task[Any]] = []
        self.ports: list[HttpPort] = []
        self.server: Server | None = None
        self.stopping = Event()
        self.closed = False

    def apply_configuration(self, table: RouteTable) -> None:
        """Applies a new configuration to entry and runner, and announces it."""
        self.entry.table = table
        self.parent_requests.note_timeouts(table.configuration.routes)
        self.shared_rates.set_limits(quotas(table.configuration.customers or ()))
        self._wake()
        self.runner.level.set_ranks(table.top_rank + 1)
        self.runner.whole_requests.set_ranks(table.top_rank + 1)
        self.runner.capacity.set_targets(table.configuration)
        self.membership.apply_ranks(table.top_rank + 1)

    def restore(self, member: Member) -> None:
        """Restores the state that an earlier process of this node has recorded.

        Its leave remains in force. If its epoch is later, because the clock was set back, this
        process adopts a still later one. A record of this process itself tells of a leave that only
        its sender knows.
        """
        lifetime = Lifetime(member.backend, member.backend_started_ms)
        if member.left and member.backend:
            self.backend.restore_leave(lifetime, member.report_number)
        if member.undated_leave:
            self.backend.restore_undated_leave(member.undated_leave, member.undated_leave_ms)
        if member.epoch in self.links.epochs:
            return
        own = self.directory.own
        if own.epoch < member.epoch < MAX_TIME_MS:
            self.links.epochs.add(member.epoch + 1)
            self.directory.set_own(own._replace(epoch=member.epoch + 1, serial=own.serial + 1))
            self.membership.announce()
        if member.backend:
            self.backend.note_earlier(lifetime)

    def update_own(self) -> None:
        """Updates the member record of this node and announces it to its peers."""
        backend = self.backend
        own = self.directory.own
        undated_leave, undated_leave_ms = backend.last_undated_leave()
        self.directory.set_own(
            own._replace(
                service=backend.service or own.service,
                backend=backend.identifier,
                backend_started_ms=max(0, backend.started_ms),
                report_number=max(0, backend.number),
                accepting=backend.preferred,
                left=backend.left,
                undated_leave=undated_leave,
                undated_leave_ms=undated_leave_ms,
                slots=backend.slots,
                cold_ms=backend.cold_ms,
                serial=own.serial + 1,
            )
        )
        if not backend.accepting:
            self.runner.refuse_waiting()
        if not self.closed:
            self.membership.announce()

    def is_ready(self) -> bool:
        """Returns whether the node accepts requests of callers."""
        return self.active_configuration.table is not None and not self.stopping.is_set()

    def handle_ready(self, method: str, path: str, body: bytes) -> PortResponse:
        """Answers a readiness check."""
        if path.split("?", 1)[0] != self.adapter.ready_path:
            return PortResponse(404, "text/plain", b"")
        return PortResponse(200 if self.is_ready() else 503, "text/plain", b"")

    def handle_report(self, method: str, path: str, body: bytes) -> PortResponse:
        """Handles a report of the backend server."""
        try:
            report = self.adapter.read_report(method, path, body)
            if isinstance(report, BackendLeave):
                self.backend.leave(report)
            else:
                self.backend.apply_report(report)
        except ReportError as error:
            self.log.request("report_refused", path=path, problem=str(error))
            return PortResponse(400, "application/json", b"{}")
        return PortResponse(200, "application/json", b"{}")

    def handle_metrics(self, method: str, path: str, body: bytes) -> PortResponse:
        """Answers a scrape."""
        if path != self.adapter.metrics_path:
            return PortResponse(404, "text/plain", b"")
        return PortResponse(200, "text/plain; version=0.0.4", scrape(self))

    async def open(self) -> None:
        """Opens all ports. Raises OSError."""
        settings = self.settings
        for address, answer in (
            (settings.report_address, self.handle_report),
            (settings.ready_address, self.handle_ready),
        ):
            await self._open_port(address, answer)
        if settings.metrics_address:
            try:
                await self._open_port(settings.metrics_address, self.handle_metrics)
            except OSError as error:
                # A node without metrics still serves requests.
                self.log.decision("metrics_unavailable", problem=str(error))
        await self.links.open(settings.link_address)
        self.server = await listen(
            settings.caller_address,
            partial(CallerConnection, self.entry, self.entry.group),
            self.sockets.accepted_at_once(),
        )

    async def _open_port(self, address: str, answer: PortHandler) -> None:
        group = CallerGroup(self.account, self.sockets.small_port_limit, self.turns)
        port = HttpPort(self.adapter.names, answer, group, self.sockets.accepted_at_once())
        await port.open(address)
        self.ports.append(port)

    async def run(self) -> None:
        """Serves until SIGTERM, then shuts down gracefully. Raises OSError."""
        loop = get_running_loop()
        for signal in (SIGTERM, SIGINT):
            loop.add_signal_handler(signal, self.stopping.set)
        loop.add_signal_handler(SIGHUP, self.reload)
        await self.start()
        freeze()
        await self.stopping.wait()
        await self.stop()

    async def start(self) -> None:
        """Opens the ports and starts the background tasks. Raises OSError."""
        await self.open()
        self.log.decision(
            "started",
            failure_domain=self.settings.failure_domain,
            service=self.settings.service,
            epoch=self.directory.own.epoch,
        )
        for work in (
            *self.membership.work(),
            self._sweep(),
        ):
            self._start_task(work)
        self.timer.start()

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        self.tasks.append(get_running_loop().create_task(work))

    def reload(self) -> None:
        """Reloads the settings; changed addresses take effect at the next start only."""
        try:
            settings = self.adapter.read_settings()
        except (OSError, ValueError) as error:
            self.log.decision("settings_unreadable", problem=str(error))
            return
        changed = [
            name
            for name in MeshSettings._fields
            if getattr(settings, name) != getattr(self.settings, name)
        ]
        if not changed:
            return
        self.settings = settings
        self.entry.set_service(settings.service)
        self.runner.retry_budget.bounds = settings.retries
        self.log.decision("settings_reloaded", changed=changed)

    def tick(self) -> float:
        """Ends what has expired; returns the seconds until this is due again."""
        now = current_time()
        if self.entry.calls:
            self.entry.tick(now)
            self.links.tick(now)
        self.runner.tick(now)
        self.shared_rates.tick(now)
        # Other nodes may borrow rates here while this one has no requests.
        if self.shared_rates.rates:
            return BUSY_SECONDS
        if self.entry.calls or self.runner.running or self.runner.queue:
            return BUSY_SECONDS
        return IDLE_SECONDS if self.runner.is_settled() else SETTLING_SECONDS

    def _wake(self) -> None:
        """Resumes the frequent work once there is a request."""
        if self.timer.wake():
            self.runner.level.resume(current_time())

    async def _sweep(self) -> None:
        checked = current_time()
        while True:
            await sleep(SWEEP_SECONDS)
            # The settings may change without a SIGHUP.
            if current_time() - checked > SETTINGS_CHECK_SECONDS:
                checked = current_time()
                self.reload()
            self._sweep_callers(current_time())
            self.pool.sweep()
            self.parent_requests.discard_old(current_time())
            self.links.broadcast_suspects()
            self.log.writer.flush()

    def _sweep_callers(self, now: float) -> None:
        """Enforces the timeouts of callers and finds those that would give way to others."""
        self.sockets.others = self.links.open_connections() + self.pool.open_connections
        for port in self.ports:
            port.group.sweep(now)
        self.entry.group.sweep(now)
        self.account.set_slow(self.entry.group.slow())
        self.shortage.update(self, now)

    async def stop(self) -> None:
        """Shuts down: lets callers move to other nodes and waits for requests in flight."""
        started = current_time()
        period = self.entry.gate.stop(started, self.settings.grace_seconds)
        self.log.decision("stopping", in_flight=len(self.entry.calls), load=self.runner.load)
        self.backend.set_node_leaving()
        while current_time() < period.ends:
            await sleep(TICK_SECONDS)
            if current_time() - started < READINESS_DRAIN_SECONDS:
                continue
            if not self.backend.node_closed:
                self.backend.close_node()
            self.entry.close_idle_connections(current_time())
            if self.entry.calls or self.runner.running:
                continue
            # A connection that was accepted meanwhile may bring one more request.
            if self.server.is_serving():
                self.server.close()
            elif self.entry.group.is_finished(current_time()):
                break
        unanswered = len(self.entry.calls)
        self.entry.abandon_all()
        self.closed = True
        self.server.close()
        self._stop_work()
        await gather(self._close_in_order(period.closes), self._delete_record_of_left())
        unreceived = self._unreceived()
        self.entry.group.drop_all()
        self.close()
        self.log.decision(
            "stopped",
            requests=self.statistics.requests,
            given_up=unanswered,
            unreceived=unreceived,
            after_ms=int((current_time() - started) * 1000.0),
        )
        self.log.writer.flush()

    async def _close_in_order(self, until: float) -> None:
        """Closes all connections after what was sent on them, which their other ends receive first.

        Nodes that acknowledge nothing are waited for no longer than for the answer to a probe.
        """
        self.entry.group.close_all()
        for port in self.ports:
            port.finish()
        self.links.finish()
        silent_at = current_time() + SILENT_TIMEOUT_SECONDS
        while current_time() < until:
            await sleep(TICK_SECONDS)
            if not self._unreceived(with_silent=current_time() < silent_at):
                return

    def _unreceived(self, with_silent: bool = True) -> int:
        """Returns the number of connections whose other ends have not received everything."""
        now = current_time()
        count = self.entry.group.unreceived(now) + self.links.unreceived(with_silent)
        for port in self.ports:
            count += port.group.unreceived(now)
        return count

    async def _delete_record_of_left(self) -> None:
        """Deletes the record of a backend server that has left, if its process has ended."""
        if self.backend.left and await refuses_connections(self.settings.backend_address):
            await self.membership.own_record.delete(DELETE_TIMEOUT_SECONDS)

    def _stop_work(self) -> None:
        """Stops the background work."""
        self.timer.close()
        for task in self.tasks:
            task.cancel()
        self.membership.close()

    def close(self) -> None:
        """Cancels all tasks and closes all ports and connections at once."""
        self.closed = True
        self._stop_work()
        if self.server is not None:
            self.server.close()
        for port in self.ports:
            port.close()
        self.links.close()
        self.pool.close()

"""Connection of a node to the backend server beside it."""

from asyncio import (
    Event,
    Lock,
    Task,
    create_task,
    get_running_loop,
    open_connection,
    shield,
    sleep,
    timeout,
)
from collections.abc import Awaitable, Callable
from contextlib import suppress
from itertools import count
from time import monotonic
from typing import NamedTuple

from structlog import get_logger

from coltsfoottrack._internal.admission.suspects import (
    QUARANTINE_CRASHES,
    SuspectReport,
    SuspectTable,
)
from coltsfoottrack._internal.calls.context import (
    EVENT_CLOCK,
    MONOTONIC_DEADLINE,
    CallContext,
    parse_whole_number,
)
from coltsfoottrack._internal.calls.exceptions import BadRequestError
from coltsfoottrack._internal.calls.outcome import Answer, Outcome, Reason, refused, unknown
from coltsfoottrack._internal.events.clock import HybridClock
from coltsfoottrack._internal.ledger.call_registry import CallRegistry
from coltsfoottrack._internal.ledger.ledger import request_digest
from coltsfoottrack._internal.node.backend_replies import crashed, quarantined, read_reply
from coltsfoottrack._internal.routing.exceptions import (
    ConnectionLostError,
    ConnectTimeoutError,
    NotSentError,
)
from coltsfoottrack._internal.routing.transport import Transport
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import AnnounceRequest

CONNECT_SECONDS = 0.5
# A process that ends may close its connections before its listening socket, so the check for
# refused connections is repeated after this delay.
CRASH_RECHECK_SECONDS = 0.05
# Announcements come every second. A run whose connection broke waits this long for the next one,
# which shows whether the backend server is still the same process.
ANNOUNCEMENT_WAIT_SECONDS = 1.5
# Other requests wait this long while a suspect runs, so that a crash has one possible cause.
SUSPECT_ISOLATION_SECONDS = 0.25

ReportSuspects = Callable[[list[SuspectReport], list[bytes]], Awaitable[None]]

logger = get_logger(__name__)


class RunningCall(NamedTuple):
    """A request that the backend server is running."""

    service: str
    operation: str
    body: bytes
    known_crashes: int = 0

    def digest(self) -> bytes:
        """Returns the digest under which the request would become a suspect."""
        return request_digest(self.service, self.operation, self.body)


class LostRun(NamedTuple):
    """A run whose connection broke, kept until an announcement shows whether the server ended."""

    call: RunningCall
    at: float


class BackendLink:
    """Sends calls to the backend server and returns their outcomes.

    It detects a crash of the backend server: a connection breaks with requests in flight, and new
    connections are refused or the next announcement comes from a new process. All requests in
    flight at the crash become suspects. A suspect runs with no other request in flight for its
    first 250 ms, so that a second crash has only one possible cause.
    """

    def __init__(
        self,
        cluster: str,
        clock: HybridClock,
        suspects: SuspectTable,
        new_transport: Callable[[], Transport] = Transport,
    ) -> None:
        self.cluster = cluster
        self.clock = clock
        self.suspects = suspects
        self.new_transport = new_transport
        self.transport = new_transport()
        self.address = ""
        self.slots = 0
        # Number of times that a backend server appeared when there was none.
        self.starts = 0
        self.leaving = False
        self.isolation_seconds = SUSPECT_ISOLATION_SECONDS
        self.crashes = 0
        # Incarnation of the backend server's process, 0 if it announced none.
        self.incarnation = 0
        self.announced = Event()
        self.lost_runs: list[LostRun] = []
        # Runs from this number on may have been sent to the process that replaced a lost one.
        self.first_number_after_loss: int | None = None
        self.running: dict[int, RunningCall] = {}
        self.numbers = count()
        self.idle = Event()
        self.idle.set()
        # Clear while a suspect runs alone.
        self.dispatch_allowed = Event()
        self.dispatch_allowed.set()
        self.probation_lock = Lock()
        self.on_backend_down: Callable[[], None] = lambda: None
        self.refuses_new_work: Callable[[], bool] = lambda: False
        self.check_dispatch: Callable[[str], None] = lambda request_id: None
        self.registry: CallRegistry | None = None
        self.report: ReportSuspects | None = None
        self.reports: set[Task[None]] = set()
        # Completes when the newest crash has been reported to the other nodes.
        self.reported: Task[None] | None = None

    @property
    def is_ready(self) -> bool:
        """Returns whether a backend server is announced and accepts new work."""
        return bool(self.address) and not self.leaving

    def announce(self, request: AnnounceRequest) -> None:
        """Stores the state that the backend server announces, and detects a new process."""
        if request.incarnation != self.incarnation:
            self._record_new_process()
            self.incarnation = request.incarnation
        # An announcement that the old process sent right before its end may be read after the
        # connection broke, so it confirms only older losses.
        settled = monotonic() - CRASH_RECHECK_SECONDS
        self.lost_runs = [lost for lost in self.lost_runs if lost.at > settled]
        if not self.lost_runs:
            self.first_number_after_loss = None
        self.announced.set()
        self.announced = Event()
        if not self.address:
            self.starts += 1
        self.address = f"{request.address}:{request.port}"
        self.slots = request.slots
        self.leaving = request.leaving

    def _record_new_process(self) -> None:
        """Records lost runs as suspects if the end of the old process was not detected."""
        if not self.incarnation or not self.lost_runs:
            return
        self.transport.forget(self.address)
        reports = self._record_suspects(self.address)
        self.crashes += 1
        self.reported = create_task(self._report_crash(reports, None))

    async def run(self, context: CallContext, body: bytes) -> Answer:
        """Runs a call on the backend server, unless it is quarantined."""
        call = RunningCall(context.service, context.operation, body)
        while True:
            # Checked again after each wait, as other nodes may have reported crashes meanwhile.
            crashes = max(self._crashes(call), context.suspected_crashes)
            if crashes >= QUARANTINE_CRASHES:
                return quarantined(context, crashes)
            try:
                if crashes:
                    return await self._run_on_probation(context, body, call)
                if self.dispatch_allowed.is_set():
                    break
                await self._wait_until_dispatch_allowed(context)
            except TimeoutError:
                return refused(Reason.DEADLINE)._replace(suspected_crashes=crashes)
        return await self._dispatch(context, body, call)

    def _crashes(self, call: RunningCall) -> int:
        """Returns the number of crashes that a request is suspected of."""
        # Without suspects the digest need not be computed.
        return self.suspects.crashes(call.digest()) if self.suspects.entries else 0

    async def _wait_until_dispatch_allowed(self, context: CallContext) -> None:
        """Waits while a suspect runs alone. Raises TimeoutError at the deadline."""
        async with timeout(context.deadline.remaining_seconds()):
            # Another suspect may have started before this task resumed.
            while not self.dispatch_allowed.is_set():
                await self.dispatch_allowed.wait()

    async def _run_on_probation(
        self, context: CallContext, body: bytes, call: RunningCall
    ) -> Answer:
        """Runs a suspect while no other suspect runs. Raises TimeoutError at the deadline."""
        async with timeout(context.deadline.remaining_seconds()):
            await self.probation_lock.acquire()
        alone = True
        try:
            crashes = max(self._crashes(call), context.suspected_crashes)
            if crashes >= QUARANTINE_CRASHES:
                return quarantined(context, crashes)
            if not crashes:
                # Another copy has completed meanwhile and cleared the suspicion.
                self.probation_lock.release()
                alone = False
                return await self._dispatch(context, body, call)
            self.dispatch_allowed.clear()
            try:
                async with timeout(
                    min(self.isolation_seconds, context.deadline.remaining_seconds())
                ):
                    await self.idle.wait()
            except TimeoutError:
                pass
            crashes = max(self._crashes(call), context.suspected_crashes)
            if crashes >= QUARANTINE_CRASHES:
                return quarantined(context, crashes)
            reopening = get_running_loop().call_later(
                self.isolation_seconds, self.dispatch_allowed.set
            )
            try:
                return await self._dispatch(context, body, call._replace(known_crashes=crashes))
            finally:
                reopening.cancel()
        finally:
            if alone:
                self.dispatch_allowed.set()
                self.probation_lock.release()

    async def _dispatch(self, context: CallContext, body: bytes, call: RunningCall) -> Answer:
        # The state may have changed while the admitted call waited.
        if self.refuses_new_work():
            return refused(Reason.LEAVING, retry_useful=True)
        if not self.address:
            return refused(Reason.BACKEND_DOWN, retry_useful=True)
        if context.deadline.has_passed():
            return refused(Reason.DEADLINE)
        if self.registry is not None and not self.registry.begin_dispatch(context.call_id):
            return refused(Reason.CLOSED)
        number = next(self.numbers)
        self.running[number] = call
        self.idle.clear()
        try:
            return await self._send(context, body, call)
        finally:
            del self.running[number]
            if not self.running:
                self.idle.set()

    async def _send(self, context: CallContext, body: bytes, call: RunningCall) -> Answer:
        self.check_dispatch(context.request_id)
        headers = context.headers(self.cluster, self.clock.tick())
        # A remaining time would be wrong if this process is suspended before the bytes are sent.
        # The backend server is on the same instance, so it reads the same monotonic clock.
        headers[MONOTONIC_DEADLINE] = f"{context.deadline.expires_at:.6f}"
        # The backend server may spend the whole budget until it answers, so none is left here.
        lent_retries = context.budget.retries
        context.budget.retries = 0
        address, crashes_before = self.address, self.crashes
        path = f"/{context.operation}"
        seconds = context.deadline.remaining_seconds()
        try:
            reply = await self.transport.send("POST", address, path, headers, body, seconds)
        except NotSentError as error:
            context.budget.retries = lent_retries
            self._record_not_run(context)
            if not isinstance(error, ConnectTimeoutError):
                self._mark_down(address)
            return refused(Reason.BACKEND_DOWN, retry_useful=True)
        except ConnectionLostError:
            if context.deadline.has_passed():
                return unknown(Reason.DEADLINE)
            if self.crashes == crashes_before:
                self._record_lost_run(call)
            remaining = context.deadline.remaining_seconds()
            if not await self._has_crashed(address, crashes_before, remaining):
                return unknown(Reason.BACKEND_LOST)._replace(retry_useful=True)
            return crashed(context, max(1, self.suspects.crashes(call.digest())))
        with suppress(BadRequestError):
            self.clock.observe(parse_whole_number(reply.headers, EVENT_CLOCK, 0, 2**63 - 1))
        answer = read_reply(reply, context, lent_retries)
        if answer.outcome is Outcome.REFUSED:
            self._record_not_run(context)
        else:
            self._clear_suspect(call)
        return answer

    def _record_lost_run(self, call: RunningCall) -> None:
        if self.first_number_after_loss is None:
            self.first_number_after_loss = next(self.numbers)
        # Includes a run sent after the first break, as the next process may have ended too.
        self.lost_runs.append(LostRun(call, monotonic()))

    def _record_not_run(self, context: CallContext) -> None:
        if self.registry is not None:
            self.registry.mark_not_run(context.call_id)

    def _mark_down(self, address: str) -> None:
        if self.address == address:
            self.address = ""
            self.on_backend_down()

    async def _has_crashed(
        self, address: str, crashes_before: int, remaining_seconds: float
    ) -> bool:
        """Returns whether the backend server has crashed; records and reports suspects if so."""
        if not await self._detect_crash(address, crashes_before, remaining_seconds):
            return False
        if self.crashes == crashes_before:
            self.crashes += 1
            reports = self._record_suspects(address)
            # Pooled connections to the old process must not be used for a new one at its address.
            broken, self.transport = self.transport, self.new_transport()
            self.reported = create_task(self._report_crash(reports, broken))
        # Every request lost in the crash waits for the reports, not only the one that detected
        # it, because its caller may resend it to another node at once.
        await shield(self.reported)
        return True

    async def _detect_crash(
        self, address: str, crashes_before: int, remaining_seconds: float
    ) -> bool:
        """Returns whether new connections are refused or a new process announces itself."""
        for pause in (0.0, CRASH_RECHECK_SECONDS):
            await sleep(pause)
            if self.crashes != crashes_before:
                return True
            if await self.refuses_connections(address):
                return True
        if self.incarnation:
            # A process accepts connections, but it may be a new one.
            with suppress(TimeoutError):
                async with timeout(min(ANNOUNCEMENT_WAIT_SECONDS, remaining_seconds)):
                    await self.announced.wait()
        return self.crashes != crashes_before

    async def refuses_connections(self, address: str) -> bool:
        """Returns whether the backend server refuses a new connection; a timeout is no refusal."""
        host, _, port = address.rpartition(":")
        try:
            async with timeout(CONNECT_SECONDS):
                _, writer = await open_connection(host, int(port))
        except TimeoutError:
            return False
        except OSError:
            return True
        writer.close()
        return False

    def _record_suspects(self, address: str) -> list[SuspectReport]:
        running: dict[bytes, int] = {}
        calls = [lost.call for lost in self.lost_runs]
        for number, call in self.running.items():
            if self.first_number_after_loss is None or number < self.first_number_after_loss:
                calls.append(call)
        self.lost_runs = []
        self.first_number_after_loss = None
        for call in calls:
            digest = call.digest()
            running[digest] = max(call.known_crashes, running.get(digest, 0))
        reports = []
        for digest, known_crashes in running.items():
            self.suspects.record_crash(digest, known_crashes)
            report = self.suspects.report(digest)
            if report is not None:
                reports.append(report)
        logger.error("backend_crashed", address=address, suspects=len(reports))
        self._mark_down(address)
        return reports

    async def _report_crash(self, reports: list[SuspectReport], broken: Transport | None) -> None:
        if broken is not None:
            await broken.close()
        if self.report is not None:
            await self.report(reports, [])

    def _clear_suspect(self, call: RunningCall) -> None:
        if not self.suspects.entries:
            return
        digest = call.digest()
        if not self.suspects.clear(digest) or self.report is None:
            return
        task = create_task(self.report([], [digest]))
        self.reports.add(task)
        task.add_done_callback(self.reports.discard)

    async def close(self) -> None:
        """Closes all connections."""
        await self.transport.close()

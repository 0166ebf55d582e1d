"""The backend server beside the node, as it announced itself."""

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
# A process that ends closes its connections and its listening socket one after the other.
SECOND_CHECK_SECONDS = 0.05
# Announcements come every second. A run whose connection broke waits this long for the next one,
# which tells whether its backend server is still the same process.
ANNOUNCEMENT_SECONDS = 1.5
# Other requests are held back this long for a suspect, so that a crash has one possible cause.
ALONE_SECONDS = 0.25

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
    """A run whose connection broke, until the next announcement says whether the server ended."""

    call: RunningCall
    at: float


class BackendLink:
    """Sends calls to the backend server and says truthfully what became of them.

    It notices when the backend server crashes: a connection breaks with requests in flight, and
    new connections are refused or the next announcement comes from a new process. All of these
    requests become suspects. A suspect runs with no other request in flight for its first 250 ms,
    so that a second crash has only one cause.
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
        # Times that a backend server appeared after there was none.
        self.starts = 0
        self.leaving = False
        self.alone_seconds = ALONE_SECONDS
        self.crashes = 0
        # Process of the backend server, 0 if it names none.
        self.incarnation = 0
        self.announced = Event()
        self.lost: list[LostRun] = []
        # Runs from this number on may have gone to the process that took the place of a lost one.
        self.first_number_after_loss: int | None = None
        self.running: dict[int, RunningCall] = {}
        self.numbers = count()
        self.idle = Event()
        self.idle.set()
        self.open = Event()
        self.open.set()
        self.probation = Lock()
        self.on_down: Callable[[], None] = lambda: None
        self.refuses_new_work: Callable[[], bool] = lambda: False
        self.check_dispatch: Callable[[str], None] = lambda request_id: None
        self.registry: CallRegistry | None = None
        self.report: ReportSuspects | None = None
        self.reports: set[Task[None]] = set()
        # Ends when the other nodes know of the newest crash.
        self.reported: Task[None] | None = None

    @property
    def is_ready(self) -> bool:
        """Tells whether a backend server is announced and takes new work."""
        return bool(self.address) and not self.leaving

    def announce(self, request: AnnounceRequest) -> None:
        """Takes over what the backend server says of itself."""
        if request.incarnation != self.incarnation:
            self._note_new_process()
            self.incarnation = request.incarnation
        # A message that the old process sent right before its end may be read after the break.
        settled = monotonic() - SECOND_CHECK_SECONDS
        self.lost = [lost for lost in self.lost if lost.at > settled]
        if not self.lost:
            self.first_number_after_loss = None
        self.announced.set()
        self.announced = Event()
        if not self.address:
            self.starts += 1
        self.address = f"{request.address}:{request.port}"
        self.slots = request.slots
        self.leaving = request.leaving

    def _note_new_process(self) -> None:
        """Makes suspects of the runs that were lost, if the end of the old process was missed."""
        if not self.incarnation or not self.lost:
            return
        self.transport.forget(self.address)
        reports = self._make_suspects(self.address)
        self.crashes += 1
        self.reported = create_task(self._spread(reports, None))

    async def run(self, context: CallContext, body: bytes) -> Answer:
        """Runs a call on the backend server, unless it is quarantined."""
        call = RunningCall(context.service, context.operation, body)
        while True:
            # Asked anew after each wait, in which other nodes may have reported crashes.
            crashes = max(self._crashes(call), context.suspected_crashes)
            if crashes >= QUARANTINE_CRASHES:
                return quarantined(context, crashes)
            try:
                if crashes:
                    return await self._run_on_probation(context, body, call)
                if self.open.is_set():
                    break
                await self._wait_until_open(context)
            except TimeoutError:
                return refused(Reason.DEADLINE)._replace(suspected_crashes=crashes)
        return await self._dispatch(context, body, call)

    def _crashes(self, call: RunningCall) -> int:
        """Returns the crashes that a request is suspected of."""
        # Without suspects there is nothing to look up by digest.
        return self.suspects.crashes(call.digest()) if self.suspects.entries else 0

    async def _wait_until_open(self, context: CallContext) -> None:
        """Waits while a suspect runs alone. Raises TimeoutError at the deadline."""
        async with timeout(context.deadline.remaining_seconds()):
            # Another suspect may have closed it again before this task went on.
            while not self.open.is_set():
                await self.open.wait()

    async def _run_on_probation(
        self, context: CallContext, body: bytes, call: RunningCall
    ) -> Answer:
        """Runs a suspect while no other suspect runs. Raises TimeoutError at the deadline."""
        async with timeout(context.deadline.remaining_seconds()):
            await self.probation.acquire()
        alone = True
        try:
            crashes = max(self._crashes(call), context.suspected_crashes)
            if crashes >= QUARANTINE_CRASHES:
                return quarantined(context, crashes)
            if not crashes:
                # Another copy has run to its end meanwhile.
                self.probation.release()
                alone = False
                return await self._dispatch(context, body, call)
            self.open.clear()
            try:
                async with timeout(min(self.alone_seconds, context.deadline.remaining_seconds())):
                    await self.idle.wait()
            except TimeoutError:
                pass
            crashes = max(self._crashes(call), context.suspected_crashes)
            if crashes >= QUARANTINE_CRASHES:
                return quarantined(context, crashes)
            reopening = get_running_loop().call_later(self.alone_seconds, self.open.set)
            try:
                return await self._dispatch(context, body, call._replace(known_crashes=crashes))
            finally:
                reopening.cancel()
        finally:
            if alone:
                self.open.set()
                self.probation.release()

    async def _dispatch(self, context: CallContext, body: bytes, call: RunningCall) -> Answer:
        # The call may have waited since it was admitted.
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
        # The time left that is sent grows stale when this process is stopped before the bytes
        # leave; the backend server is on the same instance and reads the same monotonic clock.
        headers[MONOTONIC_DEADLINE] = f"{context.deadline.expires_at:.6f}"
        # The backend server may spend the budget until it answers, so none is left here.
        lent = context.budget.retries
        context.budget.retries = 0
        address, crashes_before = self.address, self.crashes
        path = f"/{context.operation}"
        seconds = context.deadline.remaining_seconds()
        try:
            reply = await self.transport.send("POST", address, path, headers, body, seconds)
        except NotSentError as error:
            context.budget.retries = lent
            self._note_not_run(context)
            if not isinstance(error, ConnectTimeoutError):
                self._mark_down(address)
            return refused(Reason.BACKEND_DOWN, retry_useful=True)
        except ConnectionLostError:
            if context.deadline.has_passed():
                return unknown(Reason.DEADLINE)
            if self.crashes == crashes_before:
                self._note_lost(call)
            remaining = context.deadline.remaining_seconds()
            if not await self._has_crashed(address, crashes_before, remaining):
                return unknown(Reason.BACKEND_LOST)._replace(retry_useful=True)
            return crashed(context, max(1, self.suspects.crashes(call.digest())))
        with suppress(BadRequestError):
            self.clock.observe(parse_whole_number(reply.headers, EVENT_CLOCK, 0, 2**63 - 1))
        answer = read_reply(reply, context, lent)
        if answer.outcome is Outcome.REFUSED:
            self._note_not_run(context)
        else:
            self._clear(call)
        return answer

    def _note_lost(self, call: RunningCall) -> None:
        if self.first_number_after_loss is None:
            self.first_number_after_loss = next(self.numbers)
        # Also one sent after the first break: the next process may have ended too by now.
        self.lost.append(LostRun(call, monotonic()))

    def _note_not_run(self, context: CallContext) -> None:
        if self.registry is not None:
            self.registry.mark_not_run(context.call_id)

    def _mark_down(self, address: str) -> None:
        if self.address == address:
            self.address = ""
            self.on_down()

    async def _has_crashed(
        self, address: str, crashes_before: int, remaining_seconds: float
    ) -> bool:
        """Tells whether the backend server has ended since, and makes suspects if so."""
        if not await self._shows_crash(address, crashes_before, remaining_seconds):
            return False
        if self.crashes == crashes_before:
            self.crashes += 1
            reports = self._make_suspects(address)
            # No kept connection to the old process may be used for a new one at the same address.
            broken, self.transport = self.transport, self.new_transport()
            self.reported = create_task(self._spread(reports, broken))
        # Every request of the crash waits, not only the one that noticed it: its caller may
        # send it again to another node at once.
        await shield(self.reported)
        return True

    async def _shows_crash(
        self, address: str, crashes_before: int, remaining_seconds: float
    ) -> bool:
        """Tells whether new connections are refused or a new process announces itself."""
        for pause in (0.0, SECOND_CHECK_SECONDS):
            await sleep(pause)
            if self.crashes != crashes_before:
                return True
            if await self.refuses_connections(address):
                return True
        if self.incarnation:
            # It is up, but may be a new process that came back in between.
            with suppress(TimeoutError):
                async with timeout(min(ANNOUNCEMENT_SECONDS, remaining_seconds)):
                    await self.announced.wait()
        return self.crashes != crashes_before

    async def refuses_connections(self, address: str) -> bool:
        """Tells whether the backend server refuses a new connection; a slow one does not."""
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

    def _make_suspects(self, address: str) -> list[SuspectReport]:
        running: dict[bytes, int] = {}
        calls = [lost.call for lost in self.lost]
        for number, call in self.running.items():
            if self.first_number_after_loss is None or number < self.first_number_after_loss:
                calls.append(call)
        self.lost = []
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

    async def _spread(self, reports: list[SuspectReport], broken: Transport | None) -> None:
        if broken is not None:
            await broken.close()
        if self.report is not None:
            await self.report(reports, [])

    def _clear(self, call: RunningCall) -> None:
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

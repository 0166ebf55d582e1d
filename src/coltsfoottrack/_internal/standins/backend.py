"""Stand-in for a backend server, for demonstrations and tests.

It simulates slots, a service time, a short queue beyond which it sheds, a cold start, draining and
a load endpoint with a lag or error, and it crashes on a body that starts with ``crash``. It makes
the calls that its settings list for an operation through the embedded client.
"""

from asyncio import Event, Semaphore, get_running_loop, sleep, timeout
from collections import deque
from json import dumps
from os import _exit
from pathlib import Path
from random import Random
from signal import SIGINT, SIGTERM
from time import monotonic, time
from typing import NamedTuple

from aiohttp.web import BaseRequest, Response, Server
from aiohttp.web_runner import ServerRunner, TCPSite

from coltsfoottrack._internal.calls.context import CALL_ID, CallContext
from coltsfoottrack._internal.calls.exceptions import BadRequestError
from coltsfoottrack._internal.calls.outcome import Answer, Outcome
from coltsfoottrack._internal.embedding.backend_session import BackendPlace, BackendSession
from coltsfoottrack._internal.routing.client import OutgoingCall
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import BackendSettings
from coltsfoottrack._internal.settings.rules import number_or_default

CRASH_PREFIX = b"crash"
CRASH_EXIT_STATUS = 70
COLD_START_FACTOR = 4.0
SHUTDOWN_SECONDS = 10.0


class LoadSample(NamedTuple):
    """The number of running requests at one time, kept for the lag of the load endpoint."""

    at: float
    running: int


class BackendStandIn:
    """A simulated backend server."""

    def __init__(self, settings: BackendSettings) -> None:
        self.settings = settings
        self.random = Random(settings.seed)
        self.slots = int(number_or_default(settings, "slots"))
        self.slot_semaphore = Semaphore(self.slots)
        self.max_in_flight = self.slots + int(number_or_default(settings, "queue_length"))
        self.service_time_seconds = number_or_default(settings, "service_time_ms") / 1000.0
        self.slow_factor = 1.0
        self.in_flight = 0
        self.idle = Event()
        self.idle.set()
        self.running = 0
        self.started = monotonic()
        self.samples: deque[LoadSample] = deque(maxlen=1000)
        self.operations = {operation.name: operation for operation in settings.operations}
        self.session = BackendSession.from_config(
            BackendPlace(
                cluster=settings.cluster,
                service=settings.service,
                name=settings.name,
                address=settings.address,
                port=settings.announced_port or settings.port,
                slots=int(number_or_default(settings, "announced_slots")) or self.slots,
                node_peer_address=settings.node_peer_address,
                cluster_secret_file=settings.cluster_secret_file,
            )
        )
        self.session.client.router.decisions_off = settings.decisions_off

    async def serve(self, request: BaseRequest) -> Response:
        """Serves one HTTP request and echoes its call identifier."""
        response = await self._answer(request)
        if CALL_ID in request.headers:
            response.headers[CALL_ID] = request.headers[CALL_ID]
        return response

    async def _answer(self, request: BaseRequest) -> Response:
        if request.path == "/load":
            return self._load()
        if request.path == "/slow":
            self.slow_factor = float(await request.text())
            return Response(text="ok")
        body = await request.read()
        operation = request.path.lstrip("/")
        try:
            context = self.session.read_request(operation, request.headers)
        except BadRequestError as error:
            return Response(status=400, text=str(error))
        if self.in_flight >= self.max_in_flight or context.deadline.has_passed():
            return Response(status=503, headers=self.session.shed_headers(context))
        self.in_flight += 1
        self.idle.clear()
        try:
            async with self.slot_semaphore:
                return await self._run(context, body)
        finally:
            self.in_flight -= 1
            if not self.in_flight:
                self.idle.set()

    async def _run(self, context: CallContext, body: bytes) -> Response:
        if context.deadline.has_passed():
            return Response(status=503, headers=self.session.shed_headers(context))
        self._log_run(context)
        if body.startswith(CRASH_PREFIX):
            _exit(CRASH_EXIT_STATUS)
        self.running += 1
        self.samples.append(LoadSample(monotonic(), self.running))
        try:
            async with timeout(context.deadline.remaining_seconds()):
                await sleep(self._service_time())
                calls = self._downstream_calls(context, body)
                answers = await self.session.client.call_all(context, calls) if calls else []
        except TimeoutError:
            return Response(status=504, text="deadline passed while running")
        finally:
            self.running -= 1
            self.samples.append(LoadSample(monotonic(), self.running))
        return self._response(context, body, calls, answers)

    def _downstream_calls(self, context: CallContext, body: bytes) -> list[OutgoingCall]:
        operation = self.operations.get(context.operation)
        if operation is None:
            return []
        calls = []
        for target in operation.calls:
            service, _, name = target.partition("/")
            calls.append(OutgoingCall(service, name, body))
        return calls

    def _response(
        self, context: CallContext, body: bytes, calls: list[OutgoingCall], answers: list[Answer]
    ) -> Response:
        headers = self.session.reply_headers(context, calls, answers)
        for answer in answers:
            if answer.outcome is Outcome.DONE:
                continue
            text = f"{self.settings.service}: call below was {answer.outcome}: {answer.reason}"
            return Response(status=502, text=text, headers=headers)
        return Response(body=context.request_id.encode() + b" " + body, headers=headers)

    def _service_time(self) -> float:
        seconds = self.service_time_seconds * self.slow_factor * self.random.uniform(0.7, 1.3)
        cold_seconds = number_or_default(self.settings, "cold_start_ms") / 1000.0
        if monotonic() - self.started < cold_seconds:
            return seconds * COLD_START_FACTOR
        return seconds

    def _load(self) -> Response:
        lag = number_or_default(self.settings, "load_report_lag_ms") / 1000.0
        reported = 0
        for sample in self.samples:
            if sample.at > monotonic() - lag:
                break
            reported = sample.running
        factor = number_or_default(self.settings, "load_report_factor")
        return Response(text=dumps({"running": reported * factor, "slots": self.slots}))

    def _log_run(self, context: CallContext) -> None:
        if not self.settings.run_log:
            return
        line = {
            "request_id": context.request_id,
            "key": context.idempotency_key,
            "call_id": context.call_id,
            "service": self.settings.service,
            "operation": context.operation,
            "backend": self.settings.name,
            "wall": time(),
        }
        with Path(self.settings.run_log).open("a", encoding="utf-8") as file:
            file.write(dumps(line) + "\n")


async def run_backend(settings: BackendSettings) -> None:
    """Runs a backend server stand-in until SIGTERM or SIGINT, then drains it."""
    stopping = Event()
    loop = get_running_loop()
    for signal in (SIGTERM, SIGINT):
        loop.add_signal_handler(signal, stopping.set)
    backend = BackendStandIn(settings)
    runner = ServerRunner(
        Server(backend.serve, access_log=None),
        handler_cancellation=True,
        shutdown_timeout=SHUTDOWN_SECONDS,
    )
    await runner.setup()
    await TCPSite(runner, settings.address, settings.port, backlog=1024).start()
    async with backend.session:
        await stopping.wait()
        await backend.session.leave()
        await backend.idle.wait()
    await runner.cleanup()

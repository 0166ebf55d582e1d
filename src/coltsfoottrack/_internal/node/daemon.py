"""The node process: starts servers and background tasks, and drains before it stops."""

from asyncio import Event, TaskGroup, get_running_loop, sleep, wait_for
from collections.abc import Awaitable, Callable
from contextlib import suppress
from gc import freeze
from signal import SIGINT, SIGTERM

from grpclib.server import Server
from structlog import get_logger

from coltsfoottrack._internal.node.admin_server import AdminServer
from coltsfoottrack._internal.node.backend_service import BackendService
from coltsfoottrack._internal.node.call_server import CallServer
from coltsfoottrack._internal.node.change_events import ChangeRecorder
from coltsfoottrack._internal.node.configuration_service import ConfigurationService
from coltsfoottrack._internal.node.envelopes import require_signatures
from coltsfoottrack._internal.node.exceptions import ListenError
from coltsfoottrack._internal.node.membership_service import MembershipService
from coltsfoottrack._internal.node.operator_service import OperatorService
from coltsfoottrack._internal.node.outcome_service import OutcomeService
from coltsfoottrack._internal.node.state import NodeState
from coltsfoottrack._internal.node.suspect_service import SuspectReporter, SuspectService
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import FleetConfiguration, NodeSettings
from coltsfoottrack._internal.settings.rules import milliseconds_to_seconds

# Added to the longest deadline, so that the last answers can be written.
DRAIN_MARGIN_SECONDS = 2.0
CLOSE_SECONDS = 2.0
RESTART_SECONDS = 1.0
# The registrations of the largest mass start take this long.
REGISTRATION_SECONDS = 15.0

logger = get_logger(__name__)


async def run_node(settings: NodeSettings) -> None:
    """Runs a node until SIGTERM or SIGINT, then drains it.

    Raises ListenError if a port is in use or the address does not belong to this instance, and
    SecretFileError if the file of the cluster secret cannot be used.

    After the signal it ends within the grace period plus the longest deadline in force plus 18 s
    (2 s margin, 2 s for the platform, 10 s for callers that read their answers slowly, 2 s to
    close, 2 s for copies of outcomes).
    """
    stopping = Event()
    loop = get_running_loop()
    for signal in (SIGTERM, SIGINT):
        loop.add_signal_handler(signal, stopping.set)
    state = NodeState.from_config(settings)
    state.cluster.detector.on_replaced = stopping.set
    call_server = CallServer(state)
    reporter = SuspectReporter(state)
    state.backend.report = reporter.report
    admin_server = AdminServer(state)
    peer_server = Server(
        [
            BackendService(state),
            MembershipService(state),
            ConfigurationService(state),
            SuspectService(state),
            OutcomeService(state),
            OperatorService(state),
        ]
    )
    require_signatures(peer_server, state.authentication)
    if not state.authentication.enabled:
        logger.warning("peer_authentication_off", node=state.name, setting="cluster_secret_file")
    try:
        await state.cluster.open(settings.peer_port)
        await peer_server.start(settings.address, settings.peer_port)
        await call_server.start()
        await admin_server.start()
    except OSError as error:
        raise ListenError(
            f"node {state.name} cannot open call port {settings.call_port}, peer port "
            f"{settings.peer_port} or admin port {settings.admin_port}: {error}"
        ) from error
    freeze()
    logger.info("node_started", node=state.name, call_port=settings.call_port)
    try:
        async with TaskGroup() as tasks:
            background = [
                tasks.create_task(restart_on_error(state.cluster.run_socket)),
                tasks.create_task(join_and_serve(state)),
                tasks.create_task(ChangeRecorder(state).run()),
                tasks.create_task(restart_on_error(reporter.keep_up)),
            ]
            await stopping.wait()
            await drain(state)
            for task in background:
                task.cancel()
    finally:
        await call_server.stop()
        await admin_server.stop()
        peer_server.close()
        try:
            await wait_for(peer_server.wait_closed(), CLOSE_SECONDS)
        except TimeoutError:
            logger.warning("peer_connections_left_open", node=state.name)
        await state.close()
    logger.info("node_stopped", node=state.name, violations=state.checker.total())


async def join_and_serve(state: NodeState) -> None:
    """Joins the cluster, loads the configuration, becomes ready, and keeps both up to date."""

    async def watch() -> None:
        await watch_when_registered(state)

    async with TaskGroup() as tasks:
        tasks.create_task(restart_on_error(state.cluster.join))
        tasks.create_task(restart_on_error(state.distribution.fetch_announced))
        tasks.create_task(restart_on_error(state.distribution.pass_on))
        tasks.create_task(restart_on_error(state.cluster.follow_reunions))
        await restart_on_error(state.distribution.load_until_ready)
        # A node unknown to all others would miss changes while the platform is unavailable.
        with suppress(TimeoutError):
            await wait_for(state.cluster.connected.wait(), REGISTRATION_SECONDS)
        state.ready = True
        state.publish_member()
        logger.info("node_ready", node=state.name, generation=state.configuration.generation)
        tasks.create_task(restart_on_error(watch))
        tasks.create_task(restart_on_error(state.cluster.keep_synchronised))
        tasks.create_task(restart_on_error(state.cluster.check_objects))


async def watch_when_registered(state: NodeState) -> None:
    """Watches the configuration once this node is registered, or after a timeout.

    A node that knows no other node makes itself a watcher, so in a mass start all nodes would
    watch at once. The configuration has just been read, so the wait misses no change.
    """
    with suppress(TimeoutError):
        await wait_for(state.cluster.registered.wait(), REGISTRATION_SECONDS)
    await state.distribution.watch()


async def restart_on_error(task: Callable[[], Awaitable[None]]) -> None:
    """Runs a background task until it returns, and restarts it after an unexpected error.

    Such an error must not stop the node, because its calls do not depend on these tasks.
    """
    while True:
        try:
            await task()
            return
        except Exception:
            logger.exception("background_task_failed", task=task.__qualname__)
            await sleep(RESTART_SECONDS)


async def drain(state: NodeState) -> None:
    """Leaves the cluster and waits until no call is in flight.

    A node that never became ready has accepted no calls and leaves without waiting.
    """
    logger.info("node_leaving", node=state.name, in_flight=state.drain.in_flight)
    state.drain.start()
    state.cluster.leave()
    if state.ready:
        await sleep(state.drain.grace_seconds())
        longest = longest_deadline_seconds(state.configuration.record.configuration)
        await state.drain.wait_until_idle(longest + DRAIN_MARGIN_SECONDS)
    await state.cluster.stop()


def longest_deadline_seconds(configuration: FleetConfiguration) -> float:
    """Returns the longest deadline, in seconds, that any call may have."""
    longest = milliseconds_to_seconds(configuration.defaults, "max_deadline_ms")
    for exception in configuration.exceptions:
        if exception.policy.HasField("max_deadline_ms"):
            longest = max(longest, exception.policy.max_deadline_ms / 1000.0)
    return longest

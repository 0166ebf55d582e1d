"""The node process: starts the servers and tasks, and stops them without cutting off calls."""

from asyncio import Event, TaskGroup, get_running_loop, to_thread
from asyncio import sleep as async_sleep
from gc import freeze
from signal import SIGINT, SIGTERM

from grpclib.server import Server
from structlog import get_logger

from coltsfoottrack._internal.configuration.codec import CURRENT_PATH, decode_record
from coltsfoottrack._internal.configuration.exceptions import UnreadableConfigurationError
from coltsfoottrack._internal.membership.registration import register, watch_members
from coltsfoottrack._internal.node.backend_service import BackendService
from coltsfoottrack._internal.node.call_server import CallServer
from coltsfoottrack._internal.node.outcome_service import OutcomeService
from coltsfoottrack._internal.node.state import NodeState
from coltsfoottrack._internal.platform.exceptions import PlatformError
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import NodeSettings

WATCH_RETRY_SECONDS = 1.0

logger = get_logger(__name__)


async def run_node(settings: NodeSettings) -> None:
    """Runs a node until SIGTERM or SIGINT."""
    stopping = Event()
    loop = get_running_loop()
    for signal in (SIGTERM, SIGINT):
        loop.add_signal_handler(signal, stopping.set)
    state = NodeState.from_config(settings)
    call_server = CallServer(state)
    peer_server = Server([BackendService(state), OutcomeService(state)])
    await peer_server.start(settings.address, settings.peer_port)
    await call_server.start()
    freeze()
    logger.info("node_started", node=state.name, call_port=settings.call_port)
    try:
        async with TaskGroup() as tasks:
            background = [
                tasks.create_task(watch_members(state.platform, state.members)),
                tasks.create_task(watch_configuration(state)),
                tasks.create_task(keep_registered(state)),
            ]
            await stopping.wait()
            for task in background:
                task.cancel()
    finally:
        await call_server.stop()
        peer_server.close()
        await peer_server.wait_closed()
        await state.close()
    logger.info("node_stopped", node=state.name)


async def keep_registered(state: NodeState) -> None:
    """Writes the node's member object now and whenever the node's own state changes."""
    while True:
        state.member_changed.clear()
        await register(state.platform, state.member)
        await state.member_changed.wait()


async def watch_configuration(state: NodeState) -> None:
    """Follows the configuration object and puts newer generations in force."""
    revision = 0
    while True:
        try:
            listed = await to_thread(state.platform.watch, CURRENT_PATH, revision)
        except PlatformError:
            await async_sleep(WATCH_RETRY_SECONDS)
            continue
        revision = listed.revision
        for stored in listed.objects:
            if stored.content is None:
                continue
            try:
                state.configuration.offer(decode_record(stored.content), "platform")
            except UnreadableConfigurationError as error:
                state.configuration.problem = str(error)
                logger.error("configuration_unreadable", problem=str(error))

"""``coltsfoottrack standin``: runs stand-ins for demonstrations and tests."""

from asyncio import run
from signal import SIGINT, SIGTERM, signal

from coltsfoottrack._internal.observability.logs import configure_logs
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import BackendSettings, PlatformSettings
from coltsfoottrack._internal.settings.loader import load_file
from coltsfoottrack._internal.standins.backend import run_backend
from coltsfoottrack._internal.standins.platform import PlatformStandIn


class StandInCommands:
    """Runs a stand-in for the platform or for a backend server."""

    def platform(self, settings: str) -> None:
        """Runs the platform stand-in until SIGTERM.

        Args:
            settings: Path of the YAML settings file of the stand-in.
        """
        loaded = load_file(str(settings), PlatformSettings)
        configure_logs()
        platform = PlatformStandIn.from_config(loaded)
        server = platform.server()

        def stop(_signal: int, _frame: object) -> None:
            # The server joins its threads when it stops, and each pending watch blocks a thread.
            platform.stop_watches()
            raise KeyboardInterrupt

        signal(SIGTERM, stop)
        signal(SIGINT, stop)
        try:
            server.safe_start()
        except KeyboardInterrupt:
            server.stop()

    def backend(self, settings: str) -> None:
        """Runs a backend server stand-in until SIGTERM.

        Args:
            settings: Path of the YAML settings file of the stand-in.
        """
        loaded = load_file(str(settings), BackendSettings)
        configure_logs()
        run(run_backend(loaded))

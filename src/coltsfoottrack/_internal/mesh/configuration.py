"""The configuration in force at a node."""

from collections.abc import Callable

from coltsfoottrack._internal.mesh.decisions import DecisionLog
from coltsfoottrack._internal.mesh.exceptions import MeshError
from coltsfoottrack._internal.mesh.model import RoutingConfiguration
from coltsfoottrack._internal.mesh.routes import RouteTable

Decoder = Callable[[bytes], RoutingConfiguration]


class ActiveConfiguration:
    """Holds the newest version that this node has received; never reverts to an older one."""

    def __init__(self, decode: Decoder, log: DecisionLog) -> None:
        self.decode = decode
        self.log = log
        self.table: RouteTable | None = None
        self.on_change: Callable[[RouteTable], None] = lambda table: None

    @property
    def version(self) -> int:
        """Version in force, 0 if there is none yet."""
        return self.table.version if self.table else 0

    @property
    def content(self) -> bytes:
        """The configuration in force, as stored."""
        return self.table.configuration.content if self.table else b""

    def apply_if_newer(self, content: bytes, source: str) -> None:
        """Puts a configuration in force if it is newer than the present one."""
        try:
            configuration = self.decode(content)
        except MeshError as error:
            self.log.decision("configuration_unreadable", source=source, problem=error.log_text)
            return
        if configuration.version <= self.version:
            return
        before = self.version
        self.table = RouteTable(configuration, self.table)
        self.log.decision(
            "configuration_in_force",
            version=configuration.version,
            before=before,
            routes=len(configuration.routes),
            customers=len(configuration.customers or ()),
            source=source,
        )
        self.on_change(self.table)

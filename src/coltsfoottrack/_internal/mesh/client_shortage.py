"""Notes when a node is short of memory or connections for its callers, in log lines and metrics."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from coltsfoottrack._internal.mesh.decisions import DecisionLog

if TYPE_CHECKING:
    from coltsfoottrack._internal.mesh.daemon import MeshNode

# A shortage ends once nobody was refused or displaced for this long.
REGAINED_AFTER_SECONDS = 5.0

Gauge = Callable[[str, str, float], None]
Labelled = dict[tuple[tuple[str, str], ...], int]
Counter = Callable[[str, str, Labelled], None]


class ShortageLog:
    """Logs the begin and the end of one kind of shortage."""

    def __init__(self, what: str, log: DecisionLog) -> None:
        self.what = what
        self.log = log
        self.counted = 0
        # Since when there is a shortage and when it last showed, 0.0 without one.
        self.since = 0.0
        self.seen_at = 0.0
        self.counted_before = 0

    def update(self, count: int, used: int, limit: int, now: float) -> None:
        """Notes how many were refused or displaced so far, and what is in use now."""
        if count > self.counted:
            self.seen_at = now
            if not self.since:
                self.since = now
                self.counted_before = self.counted
                self.log.decision("callers_short_of", what=self.what, used=used, limit=limit)
            self.counted = count
        elif self.since and now - self.seen_at > REGAINED_AFTER_SECONDS:
            self.log.decision(
                "callers_no_longer_short_of",
                what=self.what,
                used=used,
                limit=limit,
                gave_way=self.counted - self.counted_before,
                after_ms=int((now - self.since) * 1000.0),
            )
            self.since = 0.0


class ClientShortage:
    """The shortages of one node."""

    def __init__(self, log: DecisionLog) -> None:
        self.memory = ShortageLog("memory", log)
        self.connections = ShortageLog("connections", log)

    def update(self, node: "MeshNode", now: float) -> None:
        """Looks at the accounts of a node."""
        account = node.account
        self.memory.update(
            account.refused + account.displaced, account.used_bytes, account.limit_bytes, now
        )
        group = node.entry.group
        self.connections.update(
            group.over_limit, len(group.connections), node.sockets.caller_limit(), now
        )


def publish(node: "MeshNode", gauge: Gauge, counter: Counter) -> None:
    """Publishes the accounts of a node as metrics."""
    account = node.account
    group = node.entry.group
    gauge("client_memory_bytes", "Memory held for callers and answers.", account.used_bytes)
    gauge("client_memory_peak_bytes", "Highest value of that memory.", account.peak_bytes)
    gauge("client_memory_limit_bytes", "Limit of that memory.", account.limit_bytes)
    gauge("caller_connections", "Connections of callers.", len(group.connections))
    gauge(
        "caller_connections_limit",
        "Connections that callers may have now.",
        node.sockets.caller_limit(),
    )
    gauge("other_sockets", "Sockets to other nodes and to the server.", node.sockets.others)
    counter(
        "client_memory_refused_total",
        "Transfers of callers that found no memory.",
        {(): account.refused},
    )
    counter(
        "client_memory_displaced_total",
        "Transfers of callers that gave way to others.",
        {(): account.displaced},
    )
    closed = {(("reason", reason),): count for reason, count in group.aborted.items()}
    counter("caller_connections_closed_total", "Connections closed for others.", closed)
    counter(
        "caller_connections_unreceived_total",
        "Connections closed although their callers had not received all answers in time.",
        {(): group.unreceived_closed},
    )

"""Tells the subscribed nodes what this node knows of configuration and members."""

from collections.abc import Callable, Iterable

from coltsfoottrack._internal.mesh.clock import current_time
from coltsfoottrack._internal.mesh.configuration import ActiveConfiguration
from coltsfoottrack._internal.mesh.directory import Directory
from coltsfoottrack._internal.mesh.level_reports import LevelCollector
from coltsfoottrack._internal.mesh.link import LinkConnection
from coltsfoottrack._internal.mesh.model import Member
from coltsfoottrack._internal.mesh.records import to_record
from coltsfoottrack._internal.mesh.store_era import StoreEra
from coltsfoottrack._internal.schema.links_pb2 import Frame, Notice, RouteLevel

# A subscriber that hears nothing for longer looks for another source.
NOTICE_INTERVAL_SECONDS = 0.4
# A subscription that is not renewed for this long has ended.
SUBSCRIPTION_SECONDS = 15.0
# Age in notices of a node whose knowledge the store has never confirmed.
UNKNOWN_AGE_MS = 2**32 - 1


class Publisher:
    """The subscribers of this node and the notices to them.

    A notice costs one small message for each subscriber and interval; the number of subscribers
    does not grow with the number of nodes.
    """

    def __init__(
        self, directory: Directory, active_configuration: ActiveConfiguration, era: StoreEra
    ) -> None:
        self.directory = directory
        self.era = era
        self.active_configuration = active_configuration
        # Levels that the subscribers report.
        self.levels = LevelCollector()
        # Time of the last subscription by connection.
        self.subscribers: dict[LinkConnection, float] = {}
        # Records to be sent with the next notice, by node.
        self.changed: dict[str, Member] = {}
        self.sent_at = 0.0
        # Returns up to when the store has confirmed this node's knowledge, None if never.
        self.last_confirmed: Callable[[], float | None] = lambda: None

    def subscribe(self, connection: LinkConnection, all_members: bool, now: float) -> None:
        """Adds or renews a subscription and sends the present state to the subscriber."""
        is_new = connection not in self.subscribers
        self.subscribers[connection] = now
        if not is_new and not all_members:
            return
        members = self.directory.known_members() if all_members else []
        connection.send(self.notice(now, members))

    def unsubscribe(self, connection: LinkConnection) -> None:
        """Ends a subscription, also one whose connection was lost."""
        self.subscribers.pop(connection, None)

    def add_changed(self, member: Member) -> None:
        """Sends a new record with the next notice."""
        if self.subscribers:
            self.changed[member.node] = member

    def publish(self) -> None:
        """Sends a notice to all subscribers now."""
        now = current_time()
        self.sent_at = now
        changed = list(self.changed.values())
        self.changed = {}
        if not self.subscribers:
            return
        frame = self.notice(now, changed)
        for connection in list(self.subscribers):
            connection.send(frame)

    def tick(self, now: float) -> None:
        """Sends a notice if one is due."""
        for connection, renewed_at in list(self.subscribers.items()):
            if now - renewed_at > SUBSCRIPTION_SECONDS or not connection.is_open():
                del self.subscribers[connection]
        # While members shed, each tick sends their levels.
        if self.changed or self.levels.sheds or now - self.sent_at >= NOTICE_INTERVAL_SECONDS:
            self.publish()

    def news(self, now: float) -> Frame:
        """Returns a notice for a source, which hears of levels and members in other messages."""
        return self._notice(now, (), [])

    def notice(self, now: float, members: Iterable[Member]) -> Frame:
        """Returns a notice for subscribers with these records of members."""
        return self._notice(now, members, self.levels.summaries(now))

    def _notice(self, now: float, members: Iterable[Member], levels: list[RouteLevel]) -> Frame:
        return Frame(
            notice=Notice(
                configuration_version=self.active_configuration.version,
                age_ms=self._age_ms(now),
                members_digest=self.directory.digest,
                members=[to_record(member) for member in members],
                levels=levels,
                store_era=0 if self.era.number is None else self.era.number + 1,
            )
        )

    def _age_ms(self, now: float) -> int:
        confirmed = self.last_confirmed()
        if confirmed is None:
            return UNKNOWN_AGE_MS
        return min(UNKNOWN_AGE_MS, max(0, int((now - confirmed) * 1000.0)))

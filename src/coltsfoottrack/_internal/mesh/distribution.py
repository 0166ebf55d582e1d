"""Handles the messages by which nodes pass member records and configurations to each other."""

from collections.abc import Callable, Iterable
from typing import Any

from coltsfoottrack._internal.mesh.clock import current_time
from coltsfoottrack._internal.mesh.configuration import ActiveConfiguration
from coltsfoottrack._internal.mesh.link import LinkConnection
from coltsfoottrack._internal.mesh.member_updates import MemberUpdates
from coltsfoottrack._internal.mesh.model import Member
from coltsfoottrack._internal.mesh.records import from_record, to_record
from coltsfoottrack._internal.mesh.route_summaries import RouteSummaries
from coltsfoottrack._internal.mesh.store_era import StoreEra
from coltsfoottrack._internal.mesh.subscriptions import Subscriptions
from coltsfoottrack._internal.schema.links_pb2 import (
    Configuration,
    FetchConfiguration,
    Frame,
    LevelReport,
    MemberRecord,
    Members,
    Notice,
    Subscribe,
)

# Grace period for a source to announce a newer configuration before another peer is asked for it,
# and for the answer of the peer that was asked.
CONFIGURATION_GRACE_SECONDS = 0.25


class Distribution:
    """The handlers of messages about members and configurations."""

    def __init__(
        self,
        members: MemberUpdates,
        subscriptions: Subscriptions,
        active_configuration: ActiveConfiguration,
        summaries: RouteSummaries,
        era: StoreEra,
    ) -> None:
        self.members = members
        self.subscriptions = subscriptions
        self.active_configuration = active_configuration
        self.summaries = summaries
        self.era = era
        # Since when a peer is known to have a configuration newer than behind_version.
        self.behind_since: float | None = None
        self.behind_version = 0
        # When a configuration was last asked for, and on which connection it was not yet answered.
        self.fetched_at = 0.0
        self.asked: LinkConnection | None = None
        self.handlers: dict[str, Callable[[LinkConnection, Any], None]] = {
            "member": self._handle_member,
            "members": self._handle_members,
            "subscribe": self._handle_subscribe,
            "unsubscribe": self._handle_unsubscribe,
            "notice": self._handle_notice,
            "level_report": self._handle_level_report,
            "fetch_configuration": self._handle_fetch_configuration,
            "configuration": self._handle_configuration,
        }

    def _handle_member(self, connection: LinkConnection, message: MemberRecord) -> None:
        self.learn_direct(connection, from_record(message), "link")

    def learn_direct(self, connection: LinkConnection, member: Member, source: str) -> None:
        """Stores the record of the peer itself; tells a restarted peer of a leave it has lost."""
        lacking = self.members.learn_direct(member, source)
        if lacking is not None:
            connection.send(Frame(member=to_record(lacking)))

    def _handle_members(self, connection: LinkConnection, message: Members) -> None:
        self._learn_records(connection, message.members)

    def _handle_subscribe(self, connection: LinkConnection, message: Subscribe) -> None:
        self.learn_direct(connection, from_record(message.member), "link")
        self.subscriptions.handle_subscribe(connection, message.all_members, current_time())

    def _handle_unsubscribe(self, connection: LinkConnection, message: Any) -> None:
        self.subscriptions.publisher.unsubscribe(connection)

    def _handle_notice(self, connection: LinkConnection, message: Notice) -> None:
        now = current_time()
        if message.store_era:
            self.era.observe(message.store_era - 1, f"notice of {connection.node}")
        self._learn_records(connection, message.members)
        self.summaries.record(connection.node, message.levels, now)
        self.subscriptions.handle_notice(connection, message, now)
        self.compare_version(connection, message.configuration_version, grace_seconds=0.0)

    def _handle_level_report(self, connection: LinkConnection, message: LevelReport) -> None:
        levels = self.subscriptions.publisher.levels
        levels.record(connection.node, message.levels, current_time())

    def _learn_records(self, connection: LinkConnection, records: Iterable[MemberRecord]) -> None:
        members = [from_record(record) for record in records]
        self.members.learn(members, f"link to {connection.node}")

    def _handle_fetch_configuration(self, connection: LinkConnection, message: Any) -> None:
        connection.send(
            Frame(
                configuration=Configuration(
                    version=self.active_configuration.version,
                    content=self.active_configuration.content,
                )
            )
        )

    def _handle_configuration(self, connection: LinkConnection, message: Configuration) -> None:
        self.fetched_at = 0.0
        self.asked = None
        if message.content:
            self.active_configuration.apply_if_newer(message.content, f"peer {connection.node}")

    def compare_version(
        self,
        connection: LinkConnection,
        version: int,
        grace_seconds: float = CONFIGURATION_GRACE_SECONDS,
    ) -> None:
        """Asks a peer for its newer configuration if no source has delivered it in time.

        A peer that is behind as well does not reset the time for which this node has been behind.
        A node without a configuration asks at once, and one that has asked waits for the answer.
        """
        active = self.active_configuration.version
        if version <= active:
            return
        now = current_time()
        if now - self.fetched_at < CONFIGURATION_GRACE_SECONDS:
            return
        if self.asked is not None:
            # What it sends arrives, but what is sent to it may not.
            self.subscriptions.handle_unanswered(self.asked.node)
            self.asked = None
        if self.behind_since is None or active != self.behind_version:
            self.behind_since = now
            self.behind_version = active
        if not active or now - self.behind_since >= grace_seconds:
            self.fetched_at = now
            self.asked = connection
            connection.send(Frame(fetch_configuration=FetchConfiguration()))

"""The parts by which one node learns of members and configurations, and tells others of them."""

from asyncio import sleep
from collections.abc import Callable, Coroutine
from typing import Any

from coltsfoottrack._internal.mesh.clock import current_time
from coltsfoottrack._internal.mesh.configuration import ActiveConfiguration
from coltsfoottrack._internal.mesh.decisions import DecisionLog
from coltsfoottrack._internal.mesh.directory import Directory
from coltsfoottrack._internal.mesh.discovery import (
    FIRST_START_JITTER_SECONDS,
    FIRST_START_SECONDS,
    Discovery,
)
from coltsfoottrack._internal.mesh.distribution import Distribution
from coltsfoottrack._internal.mesh.level_reports import LevelReporter
from coltsfoottrack._internal.mesh.links import Links
from coltsfoottrack._internal.mesh.member_updates import MemberUpdates
from coltsfoottrack._internal.mesh.model import Member, MeshSettings
from coltsfoottrack._internal.mesh.own_record import OwnRecord
from coltsfoottrack._internal.mesh.publisher import Publisher
from coltsfoottrack._internal.mesh.route_summaries import RouteSummaries
from coltsfoottrack._internal.mesh.store import Store
from coltsfoottrack._internal.mesh.store_era import StoreEra
from coltsfoottrack._internal.mesh.store_watch import StoreWatch
from coltsfoottrack._internal.mesh.subscriptions import Subscriptions

# Interval of the search among all members for those that left long ago.
DISCARD_SECONDS = 5.0


class Membership:
    """Creates and connects the parts; runs their tasks."""

    def __init__(
        self,
        settings: MeshSettings,
        store: Store,
        directory: Directory,
        active_configuration: ActiveConfiguration,
        summaries: RouteSummaries,
        log: DecisionLog,
    ) -> None:
        self.first_start = settings.first_start
        self.directory = directory
        self.members = MemberUpdates(directory, log)
        self.era = StoreEra(log)
        store.on_era = lambda era: self.era.observe(era, "store")
        self.own_record = OwnRecord(store, directory, log)
        self.publisher = Publisher(directory, active_configuration, self.era)
        self.watch = StoreWatch(store, active_configuration, self.members, log)
        first_look_seconds = 0.0
        if settings.first_start:
            first_look_seconds = FIRST_START_SECONDS + FIRST_START_JITTER_SECONDS
        self.subscriptions = Subscriptions(
            directory, self.publisher, self.watch, log, first_look_seconds
        )
        self.discovery = Discovery(
            store, self.members, self.subscriptions, settings.seed_addresses, log
        )
        self.distribution = Distribution(
            self.members, self.subscriptions, active_configuration, summaries, self.era
        )
        self.publisher.last_confirmed = self.subscriptions.last_confirmed
        self.watch.on_confirmed = self.subscriptions.publish
        self.era.on_restored.append(self.watch.restart)
        self.era.on_restored.append(self.own_record.handle_restored)
        self.members.on_learned = self.publisher.add_changed
        self.level_reporter: LevelReporter | None = None

    def connect(
        self, links: Links, level_reporter: LevelReporter, restore: Callable[[Member], None]
    ) -> None:
        """Sets the links, the source of level reports, and the handler of own earlier records."""
        self.subscriptions.send = links.send_message
        self.discovery.contact = links.contact
        self.level_reporter = level_reporter
        self.members.on_own_record = restore
        self.own_record.on_previous = restore

    def announce(self) -> None:
        """Sends the changed record of this node to other nodes and, if needed, to the store."""
        self.subscriptions.announce()
        self.own_record.changed.set()

    def apply_ranks(self, ranks: int) -> None:
        """Announces a new configuration and its number of ranks."""
        self.publisher.levels.ranks = ranks
        self.subscriptions.publish()

    def work(self) -> list[Coroutine[Any, Any, None]]:
        """Returns the background work, to be run until the node ends."""
        return [
            self.discovery.run(self.first_start),
            self.own_record.run(self.first_start),
            self._tick(),
        ]

    async def _tick(self) -> None:
        discarded_at = current_time()
        while True:
            # Bounds the delay until changed records are passed on and a lost source is noticed.
            await sleep(self.subscriptions.tick_pause(current_time()))
            now = current_time()
            levels = self.level_reporter.due(now)
            if levels:
                self.subscriptions.report_levels(levels, now)
            self.subscriptions.tick(now)
            if now - discarded_at >= DISCARD_SECONDS:
                discarded_at = now
                self.directory.discard_left(now)

    def close(self) -> None:
        """Stops following the store."""
        self.subscriptions.close()

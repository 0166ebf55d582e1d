"""Keeps this node informed: subscribes to watchers and decides when it must look itself.

A node subscribes to a few watchers. Each notice carries the time since the store last confirmed
what its sender knows, so that "nothing new" differs from "nobody looks". A node whose sources fall
silent or do not reach the store turns to the next watchers, and asks the store itself once its own
knowledge is too old. If the store serves it, it tells its sources, and they tell all others.
"""

from collections.abc import Callable
from random import uniform
from typing import NamedTuple

from coltsfoottrack._internal.mesh.clock import current_time
from coltsfoottrack._internal.mesh.decisions import DecisionLog
from coltsfoottrack._internal.mesh.directory import Directory
from coltsfoottrack._internal.mesh.link import LinkConnection
from coltsfoottrack._internal.mesh.model import Member
from coltsfoottrack._internal.mesh.publisher import UNKNOWN_AGE_MS, Publisher
from coltsfoottrack._internal.mesh.records import to_record
from coltsfoottrack._internal.mesh.store_look import SPREAD_SECONDS, StoreLook
from coltsfoottrack._internal.mesh.store_watch import StoreWatch
from coltsfoottrack._internal.mesh.watch_guard import PROBE_SECONDS
from coltsfoottrack._internal.mesh.watchers import (
    SOURCES,
    WATCHER_SOURCES,
    choose_sources,
    is_watcher,
    watcher_order,
)
from coltsfoottrack._internal.schema.links_pb2 import (
    Frame,
    LevelReport,
    Members,
    Notice,
    RouteLevel,
    Subscribe,
    Unsubscribe,
)

# A source that sends no notice for this long counts as lost; more than two notice intervals.
SILENT_SECONDS = 0.9
# A lost source is not chosen again for this long, one that was unreachable for less: it may just be
# starting, as after a power loss.
AVOID_SECONDS = 5.0
AVOID_UNREACHABLE_SECONDS = 1.0
RENEW_SECONDS = 5.0
# How often a node checks that it uses the watchers that all nodes prefer.
REVIEW_SECONDS = 3.0
# A source whose knowledge is older than this does not reach the store.
BLIND_SECONDS = 2.0
# Pause between two changes of sources that do not reach the store.
BLIND_REPLACE_SECONDS = 1.0
# A watcher's knowledge is confirmed each PROBE_SECONDS, and it tells its subscribers at once. A
# configuration must be in force within 2 s on the platform's strictest deployments; the rest of
# that time is divided below. A node whose knowledge is older than this asks further nodes.
OVERDUE_SECONDS = PROBE_SECONDS + 0.2
# Knowledge of this age has how many further sources, more the longer it lasts.
FURTHER_SOURCES = ((OVERDUE_SECONDS, 1), (PROBE_SECONDS + 0.3, 3), (PROBE_SECONDS + 0.4, 6))
# A source whose knowledge is older than this is told what the store has confirmed here.
STALE_SECONDS = 0.9 * PROBE_SECONDS
# Pause of the work of a node, and while its knowledge is about to be too old.
TICK_SECONDS = 0.2
OVERDUE_TICK_SECONDS = 0.05
# Without a source, a node looks itself once its knowledge is older than this.
MAX_AGE_SECONDS = OVERDUE_SECONDS
# A node without a configuration cannot serve, and waits for its sources for less.
MAX_AGE_WITHOUT_CONFIGURATION_SECONDS = 0.4
# Random part of these, so that not all nodes look at the same time.
AGE_JITTER_SECONDS = 0.3
# A node follows the store for at least this long after the last reason to do so.
KEEP_WATCHING_SECONDS = 5.0
# Members that differ from those of a source for this long are exchanged.
DIFFERENCE_SECONDS = 3.0


class Source:
    """A watcher to which this node has subscribed."""

    def __init__(self, member: Member, now: float) -> None:
        self.member = member
        self.subscribed_at = now
        self.renewed_at = now
        # Time of the last notice, or of the subscription if there was none.
        self.heard_at = now
        # Connection on which notices arrive, None before the first one.
        self.connection: LinkConnection | None = None
        # Up to when the store has confirmed the source's knowledge, None if never.
        self.confirmed_at: float | None = None
        # Version of the configuration in its last notice.
        self.version = 0
        self.differs_since: float | None = None


class Newer(NamedTuple):
    """A version of the configuration that was not fetched yet."""

    version: int
    confirmed_at: float


class Subscriptions:
    """The sources of this node, and whether it has to follow the store itself."""

    def __init__(
        self,
        directory: Directory,
        publisher: Publisher,
        watch: StoreWatch,
        log: DecisionLog,
        first_look_seconds: float,
    ) -> None:
        self.directory = directory
        self.publisher = publisher
        self.watch = watch
        self.log = log
        self.sources: dict[str, Source] = {}
        # Until when a lost member is not chosen, by node.
        self.avoided: dict[str, float] = {}
        # Latest time up to which the store has confirmed what any source knew, None if never.
        self.heard_confirmed: float | None = None
        # A version that another node has and this one does not, and up to when the store has
        # confirmed it.
        self.newer = Newer(0, 0.0)
        self.look = StoreLook(watch, log)
        # Until then, a node that knows nothing leaves the store to others.
        self.look_after = current_time() + first_look_seconds
        self.reviewed_at = 0.0
        self.replaced_at = 0.0
        self.last_reason_at = 0.0
        self.directory_generation = -1
        self.order: list[Member] = []
        self.wanted_sources = SOURCES
        self.jitter = uniform(0.0, 1.0)
        # Whether other nodes were looked for, so that knowing none means being alone.
        self.searched = False
        # Sends a message to a member, connecting first if there is no connection.
        self.send: Callable[[Member, Frame], None] = lambda member, frame: None

    def last_confirmed(self) -> float | None:
        """Returns up to when the store has confirmed what this node knows, None if never."""
        if 0 < self.newer.version <= self.publisher.active_configuration.version:
            self._note_confirmed(self.newer.confirmed_at)
            self.newer = Newer(0, 0.0)
        own = self.watch.confirmed_at
        if own is None or self.heard_confirmed is None:
            return own if self.heard_confirmed is None else self.heard_confirmed
        return max(own, self.heard_confirmed)

    def is_informed(self, now: float) -> bool:
        """Returns whether this node follows the store or hears from a node that does."""
        return self.watch.following or bool(self._live_sources(now))

    def _live_sources(self, now: float) -> list[Source]:
        live = []
        for source in self.sources.values():
            if source.connection is not None and now - source.heard_at < SILENT_SECONDS:
                live.append(source)
        return live

    def handle_subscribe(self, connection: LinkConnection, all_members: bool, now: float) -> None:
        """Adds a subscriber; this node follows the store from then on."""
        self.publisher.subscribe(connection, all_members, now)
        self._update_watch(now)

    def handle_notice(self, connection: LinkConnection, notice: Notice, now: float) -> None:
        """Records what a source has confirmed."""
        source = self.sources.get(connection.node)
        if source is None:
            self._handle_news(connection, notice, now)
            return
        source.connection = connection
        source.heard_at = now
        source.version = notice.configuration_version
        if notice.age_ms != UNKNOWN_AGE_MS:
            confirmed = now - notice.age_ms / 1000.0
            source.confirmed_at = max(confirmed, source.confirmed_at or confirmed)
            self._learn_confirmed(notice.configuration_version, confirmed)
        self._compare_members(source, notice.members_digest, now)

    def _handle_news(self, connection: LinkConnection, notice: Notice, now: float) -> None:
        """Handles a notice of a subscriber that the store serves; passes it on if it is news."""
        if connection not in self.publisher.subscribers:
            connection.send(Frame(unsubscribe=Unsubscribe()))
            return
        if notice.age_ms == UNKNOWN_AGE_MS:
            return
        was_stale = self.age(now) > STALE_SECONDS
        self._learn_confirmed(notice.configuration_version, now - notice.age_ms / 1000.0)
        if was_stale and self.age(now) <= STALE_SECONDS:
            self.publisher.publish()

    def _learn_confirmed(self, version: int, confirmed: float) -> None:
        """Notes up to when the store has confirmed a version; a newer one once it is in force."""
        if version <= self.publisher.active_configuration.version:
            self._note_confirmed(confirmed)
        elif version > self.newer.version or confirmed > self.newer.confirmed_at:
            self.newer = Newer(version, confirmed)

    def _note_confirmed(self, confirmed: float) -> None:
        self.heard_confirmed = max(confirmed, self.heard_confirmed or confirmed)

    def publish(self) -> None:
        """Tells the subscribers what the store has confirmed, and the sources that don't know."""
        self.publisher.publish()
        if self.watch.confirmed_at is not None:
            self._tell_sources(current_time())

    def _tell_sources(self, now: float) -> None:
        if now - self.watch.confirmed_at > STALE_SECONDS:
            return
        version = self.publisher.active_configuration.version
        for source in self.sources.values():
            if source.connection is None or not source.connection.is_open():
                continue
            stale = source.confirmed_at is None or now - source.confirmed_at > STALE_SECONDS
            if stale:
                # The source, and those whom it tells, need this node to follow the store.
                self.last_reason_at = now
            if stale or source.version < version:
                source.connection.send(self.publisher.news(now))

    def _compare_members(self, source: Source, digest: int, now: float) -> None:
        """Exchanges all records with a source if the known members differ for too long."""
        if digest == self.directory.digest:
            source.differs_since = None
            return
        if source.differs_since is None:
            source.differs_since = now
        elif now - source.differs_since > DIFFERENCE_SECONDS:
            source.differs_since = now
            records = [to_record(member) for member in self.directory.known_members()]
            source.connection.send(Frame(members=Members(members=records)))
            source.connection.send(self._subscribe(all_members=True))
            self.log.decision("members_exchanged", source=source.member.node, sent=len(records))

    def _subscribe(self, all_members: bool) -> Frame:
        return Frame(
            subscribe=Subscribe(member=to_record(self.directory.own), all_members=all_members)
        )

    def announce(self) -> None:
        """Sends the record of this node to its sources and subscribers."""
        self.publisher.add_changed(self.directory.own)
        self.send_to_sources(Frame(member=to_record(self.directory.own)))
        self.publisher.publish()

    def send_to_sources(self, frame: Frame) -> None:
        """Sends a message to all sources that have answered."""
        for source in self.sources.values():
            if source.connection is not None and source.connection.is_open():
                source.connection.send(frame)

    def report_levels(self, levels: list[RouteLevel], now: float) -> None:
        """Reports the levels of the routes that this node serves."""
        self.publisher.levels.record(self.directory.own.node, levels, now)
        self.send_to_sources(Frame(level_report=LevelReport(levels=levels)))

    def handle_connection_lost(self, connection: LinkConnection) -> None:
        """Replaces a source whose connection was lost."""
        self.publisher.unsubscribe(connection)
        source = self.sources.get(connection.node)
        if source is not None and source.connection is connection:
            self._drop(source, "connection_lost")

    def handle_unreachable(self, node: str) -> None:
        """Replaces a source that cannot be reached."""
        source = self.sources.get(node)
        if source is not None and source.connection is None:
            self._drop(source, "unreachable", AVOID_UNREACHABLE_SECONDS)

    def handle_unanswered(self, node: str) -> None:
        """Replaces a source that has not answered a question in time."""
        source = self.sources.get(node)
        if source is not None:
            self._drop(source, "unanswered")

    def _drop(self, source: Source, reason: str, avoid_seconds: float = AVOID_SECONDS) -> None:
        now = current_time()
        del self.sources[source.member.node]
        self.avoided[source.member.node] = now + avoid_seconds
        self.log.decision("source_lost", source=source.member.node, reason=reason)
        self._subscribe_missing(now)

    def tick(self, now: float) -> None:
        """Replaces lost sources, sends due notices, starts and stops following the store."""
        for node, until in list(self.avoided.items()):
            if now > until:
                del self.avoided[node]
        for source in list(self.sources.values()):
            if now - source.heard_at > SILENT_SECONDS:
                self._drop(source, "silent")
            elif now - source.renewed_at > RENEW_SECONDS and source.connection is not None:
                source.renewed_at = now
                source.connection.send(self._subscribe(all_members=False))
        age = self.age(now)
        if age > OVERDUE_SECONDS:
            self._ask_further(age, now)
        else:
            self._drop_further(now)
            self._replace_blind(now)
        if now - self.reviewed_at > REVIEW_SECONDS and len(self.sources) <= self.wanted_sources:
            self._review(now)
        self._subscribe_missing(now)
        self._update_watch(now)
        self._update_look(now)
        self.publisher.tick(now)

    def tick_pause(self, now: float) -> float:
        """Returns the seconds until the next tick is due."""
        if PROBE_SECONDS <= self.age(now) <= OVERDUE_SECONDS + SPREAD_SECONDS + TICK_SECONDS:
            return OVERDUE_TICK_SECONDS
        return TICK_SECONDS

    def age(self, now: float) -> float:
        """Returns the seconds since the store has confirmed what this node knows.

        Before the first time, they count from when this node may look itself.
        """
        confirmed = self.last_confirmed()
        return now - (confirmed if confirmed is not None else self.look_after)

    def _ask_further(self, age: float, now: float) -> None:
        """Subscribes to further nodes, which then follow the store.

        They send no records of members: what is asked for is only whether they reach the store.
        """
        wanted = self.wanted_sources
        for after, further in FURTHER_SOURCES:
            if age > after:
                wanted = self.wanted_sources + further
        missing = wanted - len(self.sources)
        if missing <= 0:
            return
        excluded = self.avoided.keys() | self.sources.keys()
        for member in choose_sources(self.directory.own, self._candidates(), excluded, missing):
            self._add(member, now, all_members=False)

    def _drop_further(self, now: float) -> None:
        """Ends a subscription that is no longer needed, to a source that is blind if there is."""
        if len(self.sources) <= self.wanted_sources:
            return
        oldest = min(self.sources.values(), key=lambda source: source.confirmed_at or 0.0)
        if self._is_blind(oldest, now):
            self.avoided[oldest.member.node] = now + AVOID_SECONDS
        else:
            oldest = max(self.sources.values(), key=lambda source: source.subscribed_at)
        self._unsubscribe(oldest)

    def _is_blind(self, source: Source, now: float) -> bool:
        """Returns whether the store has not confirmed a source's knowledge in time."""
        return source.confirmed_at is None or now - source.confirmed_at > OVERDUE_SECONDS

    def _candidates(self) -> list[Member]:
        if self.directory_generation != self.directory.generation:
            self.directory_generation = self.directory.generation
            self.order = watcher_order(self.directory.known_members())
            watches = is_watcher(self.directory.own, self.order)
            self.wanted_sources = WATCHER_SOURCES if watches else SOURCES
        return self.order

    def _subscribe_missing(self, now: float) -> None:
        order = self._candidates()
        missing = self.wanted_sources - len(self.sources)
        if missing <= 0:
            return
        excluded = self.avoided.keys() | self.sources.keys()
        for member in choose_sources(self.directory.own, order, excluded, missing):
            self._add(member, now)

    def _add(self, member: Member, now: float, all_members: bool = True) -> None:
        self.sources[member.node] = Source(member, now)
        self.send(member, self._subscribe(all_members))

    def _replace_blind(self, now: float) -> None:
        """Replaces a source that does not reach the store, if there is another one to try."""
        if now - self.replaced_at < BLIND_REPLACE_SECONDS:
            return
        for source in self.sources.values():
            reference = source.confirmed_at
            if reference is None:
                reference = source.subscribed_at
            if now - reference < BLIND_SECONDS or now - source.subscribed_at < BLIND_SECONDS:
                continue
            excluded = self.avoided.keys() | self.sources.keys()
            found = choose_sources(self.directory.own, self._candidates(), excluded, 1)
            if found:
                self.replaced_at = now
                self._unsubscribe(source)
                self.avoided[source.member.node] = now + AVOID_SECONDS
                self.log.decision(
                    "source_replaced",
                    source=source.member.node,
                    age_ms=int((now - reference) * 1000.0),
                    replacement=found[0].node,
                )
                self._add(found[0], now)
            return

    def _unsubscribe(self, source: Source) -> None:
        del self.sources[source.member.node]
        if source.connection is not None:
            source.connection.send(Frame(unsubscribe=Unsubscribe()))

    def _review(self, now: float) -> None:
        """Moves to the preferred watchers, one source at a time."""
        self.reviewed_at = now
        own = self.directory.own
        order = self._candidates()
        preferred = choose_sources(own, order, self.avoided.keys(), self.wanted_sources)
        names = {member.node for member in preferred}
        missing = [member for member in preferred if member.node not in self.sources]
        for source in list(self.sources.values()):
            if source.member.node not in names and missing:
                self._unsubscribe(source)
                self._add(missing[0], now)
                return

    def _update_watch(self, now: float) -> None:
        if self._must_watch(now):
            self.last_reason_at = now
            self.watch.start()
        elif self.watch.started and now - self.last_reason_at > KEEP_WATCHING_SECONDS:
            self.watch.stop()

    def _must_watch(self, now: float) -> bool:
        if self.publisher.subscribers:
            return True
        is_alone = not self.sources and not self.avoided
        if is_alone and self.searched:
            return True
        if self._live_sources(now):
            return False
        if not self.publisher.active_configuration.version:
            limit = MAX_AGE_WITHOUT_CONFIGURATION_SECONDS + AGE_JITTER_SECONDS * self.jitter
        else:
            limit = MAX_AGE_SECONDS + AGE_JITTER_SECONDS * self.jitter
        return self.age(now) > limit

    def _update_look(self, now: float) -> None:
        """Asks the store whether it serves this node if its sources know too little."""
        waits = not self.watch.started and bool(self._live_sources(now))
        is_overdue = waits and self.age(now) > OVERDUE_SECONDS
        self.look.update(now, is_overdue, len(self._candidates()))

    def close(self) -> None:
        """Stops following the store."""
        self.look.close()
        self.watch.stop()

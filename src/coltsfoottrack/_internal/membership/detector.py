"""Failure detection and dissemination of member changes.

SWIM (Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
Membership Protocol", DSN 2002) with the local health multiplier of Lifeguard (Dadgar, Phillips and
Currey, DSN-W 2018). This module uses no sockets and no clock: received datagrams and the time are
passed in, and datagrams are sent through a callback, so that tests can simulate both.
"""

from collections import Counter
from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from math import log10
from random import Random

from structlog import get_logger

from coltsfoottrack._internal.membership.dissemination import Disseminator
from coltsfoottrack._internal.membership.exceptions import (
    ForeignMessageError,
    MalformedMessageError,
)
from coltsfoottrack._internal.membership.local import LocalMember
from coltsfoottrack._internal.membership.messages import (
    Address,
    DatagramCodec,
    is_plausible,
)
from coltsfoottrack._internal.membership.sampling import other_member_names
from coltsfoottrack._internal.membership.table import (
    MembershipTable,
    member_id,
    process_order,
    supersedes,
)
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import (
    MEMBER_STATUS_ALIVE,
    MEMBER_STATUS_DEAD,
    MEMBER_STATUS_SUSPECT,
    Datagram,
    Member,
    ProbeAck,
    ProbeNack,
    ProbePing,
    ProbeRequest,
)

PROBE_INTERVAL_SECONDS = 1.0
DIRECT_TIMEOUT_SECONDS = 0.5
# A helper sends a nack before the requester's probe round ends.
NACK_SECONDS = 0.4
INDIRECT_PROBES = 3
SUSPICION_SECONDS = 3.0
MAX_HEALTH = 8
GOSSIP_INTERVAL_SECONDS = 0.2
# Other nodes send claims after their syncs too, and each dead member is probed, so the remaining
# members learn of the claims soon after.
CLAIMS_PER_SYNC = 10
DEAD_KEPT_SECONDS = 3600.0
DEAD_PROBE_SECONDS = 10.0
# A gap between two calls of advance that exceeds the probe interval by more than this means that
# the process was paused.
STALL_SECONDS = 1.0

logger = get_logger(__name__)


class Probe:
    """A probe sent by this node that awaits its ack."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.acked = False
        self.helpers = 0
        self.nacks = 0


class FailureDetector:
    """Probes members, declares silent ones suspect and then dead, and gossips changes."""

    def __init__(
        self,
        local: LocalMember,
        table: MembershipTable,
        codec: DatagramCodec,
        random: Random,
        send: Callable[[Address, bytes], None],
        now: float,
    ) -> None:
        self.local = local
        self.name = member_id(local.member)
        self.table = table
        self.codec = codec
        self.random = random
        self.disseminator = Disseminator(self.name, table, codec, random, send, now)
        self.updates = self.disseminator.updates
        self.counts: Counter[str] = self.disseminator.counts
        self.health = 0
        self.on_generation: Callable[[str, int, str], None] = lambda name, number, change: None
        self.on_reconnect: Callable[[Member], None] = lambda member: None
        self.on_replaced: Callable[[], None] = lambda: None
        self.timers: list[tuple[float, int, Callable[..., None], tuple]] = []
        self.timer_ids = count(1)
        self.sequences = count(random.getrandbits(32))
        self.probes: dict[int, Probe] = {}
        self.relays: dict[int, tuple[Address, int]] = {}
        self.suspicions: dict[str, tuple[int, int, int]] = {}
        self.dead_since: dict[str, float] = {}
        self.probe_order: list[str] = []
        self.last_advance = now
        self.stalled_seconds = 0.0
        # Set while handling a datagram whose sender has an outdated claim about this node.
        self.refutation: Member | None = None
        self.time = now
        self._schedule(random.uniform(0.0, PROBE_INTERVAL_SECONDS), self._probe_round)
        self._schedule(random.uniform(0.0, GOSSIP_INTERVAL_SECONDS), self._gossip)
        self._schedule(random.uniform(0.0, DEAD_PROBE_SECONDS), self._probe_dead)
        self.publish_own_entry(local.member)

    # ------------------------------------------------------------ time

    def advance(self, now: float) -> float:
        """Runs due timers; returns the seconds until the next one is due.

        Time in which this process was paused does not count. Otherwise suspicions would expire
        although the acks of the suspected members may be waiting in the socket's buffer.
        """
        gap = now - self.last_advance
        self.last_advance = now
        if gap > STALL_SECONDS + PROBE_INTERVAL_SECONDS:
            self.stalled_seconds += gap
            self.counts["stalls"] += 1
            self._change_health(1)
        self.time = now - self.stalled_seconds
        self.disseminator.advance(self.time)
        while self.timers and self.timers[0][0] <= self.time:
            _, _, action, arguments = heappop(self.timers)
            action(*arguments)
        return max(0.0, self.timers[0][0] - self.time)

    def _schedule(self, seconds: float, action: Callable[..., None], *arguments: object) -> None:
        heappush(self.timers, (self.time + seconds, next(self.timer_ids), action, arguments))

    def _change_health(self, step: int) -> None:
        self.health = min(MAX_HEALTH, max(0, self.health + step))

    # ----------------------------------------------------------- probes

    def _probe_round(self) -> None:
        scale = 1 + self.health
        interval = PROBE_INTERVAL_SECONDS * scale
        target = self._next_target()
        if target is None:
            self._schedule(interval, self._probe_round)
            return
        sequence = next(self.sequences)
        self.probes[sequence] = Probe(member_id(target))
        self.disseminator.send(target, ping=ProbePing(sequence=sequence, target=member_id(target)))
        self._schedule(DIRECT_TIMEOUT_SECONDS * scale, self._probe_indirectly, sequence)
        self._schedule(interval, self._end_probe, sequence)

    def _next_target(self) -> Member | None:
        for _ in range(2):
            while self.probe_order:
                member = self.table.members.get(self.probe_order.pop())
                if member is not None and member.status != MEMBER_STATUS_DEAD:
                    return member
            self.probe_order = other_member_names(self.table, self.name)
            self.random.shuffle(self.probe_order)
        return None

    def _probe_indirectly(self, sequence: int) -> None:
        probe = self.probes[sequence]
        if probe.acked:
            return
        helpers = self.disseminator.pick(INDIRECT_PROBES, probe.target)
        probe.helpers = len(helpers)
        for helper in helpers:
            request = ProbeRequest(sequence=sequence, target=probe.target)
            self.disseminator.send(helper, probe_request=request)

    def _end_probe(self, sequence: int) -> None:
        probe = self.probes.pop(sequence)
        if probe.acked:
            self._change_health(-1)
        else:
            # Missing nacks from helpers indicate that this node itself is disconnected or slow.
            self._change_health(1 if probe.nacks < probe.helpers or not probe.helpers else 0)
            self._suspect(probe.target)
        self._probe_round()

    def _suspect(self, key: str) -> None:
        member = self.table.members.get(key)
        if member is None or member.status == MEMBER_STATUS_DEAD:
            return
        if member.status == MEMBER_STATUS_ALIVE:
            claim = Member()
            claim.CopyFrom(member)
            claim.status = MEMBER_STATUS_SUSPECT
            self.counts["suspected"] += 1
            self.apply(claim)
            return
        self._start_suspicion(member)

    def _start_suspicion(self, member: Member) -> None:
        key = member_id(member)
        version = (*process_order(member), member.revision)
        if self.suspicions.get(key) == version:
            return
        self.suspicions[key] = version
        self._schedule(self.suspicion_seconds(), self._end_suspicion, key, version)

    def suspicion_seconds(self) -> float:
        """Returns how long a suspected member has to refute the suspicion, in seconds."""
        return SUSPICION_SECONDS * max(1.0, log10(max(1, len(self.table.members))))

    def _end_suspicion(self, key: str, version: tuple[int, int, int]) -> None:
        if self.suspicions.get(key) == version:
            del self.suspicions[key]
        member = self.table.members.get(key)
        if member is None or (*process_order(member), member.revision) != version:
            return
        if member.status in (MEMBER_STATUS_ALIVE, MEMBER_STATUS_DEAD):
            return
        claim = Member()
        claim.CopyFrom(member)
        claim.status = MEMBER_STATUS_DEAD
        self.counts["declared_dead"] += 1
        self.apply(claim)

    def _probe_dead(self) -> None:
        self._schedule(DEAD_PROBE_SECONDS, self._probe_dead)
        for key, since in list(self.dead_since.items()):
            if self.time - since >= DEAD_KEPT_SECONDS:
                del self.dead_since[key]
                self.table.remove(key)
        if not self.dead_since:
            return
        member = self.table.members.get(self.random.choice(list(self.dead_since)))
        if member is not None:
            target = member_id(member)
            self.disseminator.send(
                member, ping=ProbePing(sequence=next(self.sequences), target=target)
            )

    # ------------------------------------------------------ dissemination

    def apply(self, update: Member, gossip_unknown: bool = True) -> bool:
        """Merges an update and queues it for gossip if it is new; returns whether it was.

        With ``gossip_unknown`` set to False, updates of members unknown so far are only merged.
        """
        key = member_id(update)
        if key == self.name:
            self._handle_claim(update)
            return False
        known = self.table.members.get(key)
        if known is None and update.status == MEMBER_STATUS_DEAD:
            return False
        is_known = known is not None and process_order(known) == process_order(update)
        was_dead = known is not None and known.status == MEMBER_STATUS_DEAD
        if not self.table.merge(update):
            self.updates.record_duplicate(update)
            return False
        if update.status == MEMBER_STATUS_DEAD:
            self.dead_since[key] = self.time
        else:
            self.dead_since.pop(key, None)
        if update.status == MEMBER_STATUS_SUSPECT:
            self._start_suspicion(update)
        if known is not None or gossip_unknown:
            self.updates.add(update, is_known)
        if was_dead and update.status != MEMBER_STATUS_DEAD:
            self.on_reconnect(update)
        return True

    def apply_all(self, members: list[Member]) -> None:
        """Merges a list of members from a peer or from the platform.

        A claim that a member is dead is not merged while the local view has it as alive or
        suspect. The claim is instead sent to some of these members, which refute it. Otherwise
        each side would suspect all of its own members at once after a partition, and their
        refutations would take longer to spread than the suspicions last. Members unknown so far
        are not gossiped, because a joining node would gossip the whole table.
        """
        contested = []
        for member in members:
            if not is_plausible(member):
                self.counts["malformed"] += 1
                continue
            known = self.table.members.get(member_id(member))
            if (
                member.status == MEMBER_STATUS_DEAD
                and known is not None
                and known.status in (MEMBER_STATUS_ALIVE, MEMBER_STATUS_SUSPECT)
                and member_id(member) != self.name
            ):
                if supersedes(member, known):
                    contested.append(member)
                continue
            self.apply(member, gossip_unknown=False)
        for member in self.random.sample(contested, min(len(contested), CLAIMS_PER_SYNC)):
            # A member that is really dead is detected now and not at its turn in a long round.
            if len(self.probe_order) < 2 * len(self.table.members):
                self.probe_order.append(member_id(member))
            self.disseminator.send_claim(member)

    def _handle_claim(self, claim: Member) -> None:
        if self.local.handle_claim(claim):
            if claim.status in (MEMBER_STATUS_SUSPECT, MEMBER_STATUS_DEAD):
                self.counts["refuted"] += 1
                self._change_health(1)
            # The claim names this process, so its sender already has the full entry.
            is_same = process_order(claim) == process_order(self.local.member)
            self.publish_own_entry(self.local.member, is_same)
        elif claim.status in (MEMBER_STATUS_SUSPECT, MEMBER_STATUS_DEAD):
            # The sender has missed an earlier refutation.
            self.refutation = self.local.member
        if self.local.replaced:
            self.on_replaced()

    def publish_own_entry(self, member: Member, known: bool = False) -> None:
        """Merges a change of this node's entry and queues it for gossip."""
        self.table.merge(member)
        self.updates.add(member, known, own=True)

    def gossip_now(self) -> None:
        """Sends the queued changes to some peers at once."""
        self.disseminator.gossip_now()

    def _gossip(self) -> None:
        self._schedule(GOSSIP_INTERVAL_SECONDS, self._gossip)
        self.disseminator.gossip()

    # ---------------------------------------------------------- datagrams

    def receive(self, content: bytes, source: Address) -> None:
        """Handles a datagram; counts and drops foreign and malformed ones."""
        self.counts["received"] += 1
        self.counts["received_bytes"] += len(content)
        try:
            datagram = self.codec.decode(content)
        except ForeignMessageError:
            self.counts["foreign"] += 1
            return
        except MalformedMessageError:
            self.counts["malformed"] += 1
            return
        self.refutation = None
        for update in datagram.updates:
            self.apply(update)
        for change in datagram.changes:
            changed = self.table.changed_member(change)
            if changed is not None:
                self.apply(changed)
            elif datagram.sender in self.table.members:
                # The sender has a member that is missing from the local view.
                self.on_reconnect(self.table.members[datagram.sender])
        self.on_generation(
            datagram.sender, datagram.configuration_generation, datagram.configuration_change_id
        )
        self._handle(datagram, source)

    def _handle(self, datagram: Datagram, source: Address) -> None:
        kind = datagram.WhichOneof("body")
        if kind == "ping" and datagram.ping.target == self.name:
            ack = ProbeAck(sequence=datagram.ping.sequence)
            self.disseminator.send_to(source, datagram.sender, self.refutation, ack=ack)
        elif kind == "ack":
            self._handle_ack(datagram.ack.sequence, datagram.sender)
        elif kind == "nack":
            probe = self.probes.get(datagram.nack.sequence)
            if probe is not None:
                probe.nacks += 1
        elif kind == "probe_request":
            self._relay(datagram.probe_request, source)

    def _handle_ack(self, sequence: int, sender: str) -> None:
        probe = self.probes.get(sequence)
        if probe is not None and (sender == probe.target or probe.helpers):
            probe.acked = True
        relay = self.relays.pop(sequence, None)
        if relay is not None:
            self.disseminator.send_to(relay[0], "", ack=ProbeAck(sequence=relay[1]))

    def _relay(self, request: ProbeRequest, source: Address) -> None:
        target = self.table.members.get(request.target)
        if target is None or len(self.relays) >= 1000:
            return
        sequence = next(self.sequences)
        self.relays[sequence] = (source, request.sequence)
        self.disseminator.send(target, ping=ProbePing(sequence=sequence, target=request.target))
        self._schedule(NACK_SECONDS, self._end_relay, sequence)

    def _end_relay(self, sequence: int) -> None:
        relay = self.relays.pop(sequence, None)
        if relay is not None:
            self.disseminator.send_to(relay[0], "", nack=ProbeNack(sequence=relay[1]))

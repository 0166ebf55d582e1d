"""Local view of the members of the mesh, and the choice of a member for a request."""

from hashlib import blake2b
from random import random
from typing import NamedTuple

from coltsfoottrack._internal.mesh.backend_state import Lifetime
from coltsfoottrack._internal.mesh.balancing import Balancer, Choice
from coltsfoottrack._internal.mesh.clock import current_time
from coltsfoottrack._internal.mesh.model import Member

# Costs are in load per slot. A member in another failure domain must be cheaper by this much.
OTHER_DOMAIN_PENALTY = 0.5
# The local backend server needs no network hop.
LOCAL_BONUS = 0.03
FAILURE_PENALTY = 3.0
COLD_PENALTY = 0.6
FAILURE_WEIGHT = 0.1
# Members whose mean answer time exceeds this fraction of the target latency are often late.
SAFE_LATENCY_FRACTION = 0.35
# Cost of a mean answer time that exceeds that fraction by the whole target latency.
LATENCY_PENALTY = 3.0
MAX_LATENCY_PENALTY = 2.0
MEAN_TIME_WEIGHT = 0.1
# The weight of answer times decreases after this age.
FRESH_TIME_SECONDS = 3.0
# An unreachable member is not chosen for this long.
UNREACHABLE_SECONDS = 1.0
# A member that does not accept requests is chosen only if there is no other. Its announcement that
# it accepts requests again may be lost, so the penalty expires.
NOT_ACCEPTING_SECONDS = 5.0
NOT_ACCEPTING_PENALTY = 10.0
# A reported load older than this is ignored.
MAX_LOAD_AGE_SECONDS = 2.0
# The record of a member that has left is kept for this long, so that an older record of it that
# arrives late is recognized.
LEFT_RETENTION_SECONDS = 60.0
DIGEST_BYTES = 8


def record_digest(member: Member) -> int:
    """Returns a digest of the version of a record, 0 if the member has left."""
    if member.left:
        return 0
    version = f"{member.node} {member.epoch} {member.serial}".encode()
    return int.from_bytes(blake2b(version, digest_size=DIGEST_BYTES).digest(), "big")


class AnswerTime(NamedTuple):
    """Mean answer time on a route, in seconds, and the time of the last answer."""

    mean: float
    at: float


class KnownRateLimit(NamedTuple):
    """A rate limit in requests per second, and the start of the process that named it."""

    per_second: float
    backend_started_ms: int


class Peer:
    """One member and this node's local view of it."""

    def __init__(self, member: Member) -> None:
        self.member = member
        # Known number of running and waiting requests at the member.
        self.load = 0.0
        self.load_at = 0.0
        # Requests per second that the member can take, and the time of its last reply; 0.0 if it
        # reports no capacity.
        self.capacity = 0.0
        self.reported_at = 0.0
        # Requests that waited there for a slot.
        self.waiting = 0
        self.failures = 0.0
        self.blocked_until = 0.0
        self.updated_at = current_time()
        self.answer_times: dict[str, AnswerTime] = {}
        # Rate limit that the backend server has last named, None if none.
        self.rate_limit: KnownRateLimit | None = None

    def update(self, member: Member) -> None:
        """Replaces the record."""
        if member.backend != self.member.backend or member.epoch != self.member.epoch:
            self.failures = 0.0
            self.blocked_until = 0.0
            self.answer_times = {}
        if member.accepting and not self.member.accepting:
            self.blocked_until = 0.0
        self.member = member
        self.updated_at = current_time()

    def record_load(self, load: int, now: float) -> None:
        """Records the load that a reply carried."""
        self.load = float(load)
        self.load_at = now

    def record_capacity(self, per_second: float, waiting: int, now: float) -> None:
        """Records capacity and waiting requests that a reply carried."""
        self.capacity = per_second
        self.waiting = waiting
        self.reported_at = now

    def record_rate_limit(self, per_second: float, backend_started_ms: int) -> None:
        """Records the rate limit of the backend server."""
        self.rate_limit = KnownRateLimit(per_second, backend_started_ms)

    def record_result(self, failed: bool) -> None:
        """Records whether a run at the backend server failed."""
        self.failures += FAILURE_WEIGHT * ((1.0 if failed else 0.0) - self.failures)

    def record_time(self, route: str, seconds: float, now: float) -> None:
        """Records the answer time of the member on a route."""
        known = self.answer_times.get(route)
        mean = known.mean if known is not None else seconds
        self.answer_times[route] = AnswerTime(mean + MEAN_TIME_WEIGHT * (seconds - mean), now)

    def latency_penalty(self, route: str, target_seconds: float, now: float) -> float:
        """Returns the cost of answer times that endanger the target latency of a route."""
        known = self.answer_times.get(route)
        if known is None:
            return 0.0
        excess = known.mean / target_seconds - SAFE_LATENCY_FRACTION
        if excess <= 0.0:
            return 0.0
        # The penalty decays, since there are no new times of a member that is not chosen.
        age = max(0.0, now - known.at - FRESH_TIME_SECONDS)
        return min(MAX_LATENCY_PENALTY, LATENCY_PENALTY * excess) / (1.0 + age)

    def block(self, seconds: float = UNREACHABLE_SECONDS) -> None:
        """Excludes the member from selection for a while."""
        self.blocked_until = current_time() + seconds


class Directory:
    """All members by node name."""

    def __init__(self, own: Member) -> None:
        self.own = own
        self.peers: dict[str, Peer] = {own.node: Peer(own)}
        self.by_service: dict[str, list[Peer]] = {}
        self.balancer = Balancer()
        # Increases with each change of the set of members that have not left.
        self.generation = 0
        # Exclusive or of the digests of all records, to compare the known members of two nodes.
        self.digest = record_digest(own)
        # Processes of backend servers that leave, by their reports or answers, and since when this
        # is known.
        self.left_processes: dict[Lifetime, float] = {}
        self._rebuild_index()

    def _rebuild_index(self) -> None:
        services: dict[str, list[Peer]] = {}
        for peer in self.peers.values():
            services.setdefault(peer.member.service, []).append(peer)
        self.by_service = services
        self.generation += 1

    def known_members(self) -> list[Member]:
        """Returns the records of all members that have not left, this node's own included."""
        members = []
        for peer in self.peers.values():
            if not peer.member.left:
                members.append(peer.member)
        return members

    def _replace(self, peer: Peer, member: Member) -> None:
        """Replaces the record of a member."""
        self.digest ^= record_digest(peer.member) ^ record_digest(member)
        if member.left != peer.member.left:
            self.generation += 1
        peer.update(member)

    def _delete(self, node: str) -> None:
        self.digest ^= record_digest(self.peers.pop(node).member)

    def discard_left(self, now: float) -> None:
        """Forgets the members that left long ago."""
        for lifetime, learnt_at in list(self.left_processes.items()):
            if now - learnt_at > LEFT_RETENTION_SECONDS:
                del self.left_processes[lifetime]
        removed = False
        for node, peer in list(self.peers.items()):
            if node == self.own.node or not peer.member.left:
                continue
            if now - peer.updated_at > LEFT_RETENTION_SECONDS:
                self._delete(node)
                removed = True
        if removed:
            self._rebuild_index()

    def put(self, member: Member, direct: bool = False) -> bool:
        """Stores a record if it is newer than the known one; returns whether it was stored.

        A record received from the node itself (``direct``) is stored even if its process seems
        older: the clock of the instance may have been set back before the start.
        """
        peer = self.peers.get(member.node)
        lifetime = Lifetime(member.backend, member.backend_started_ms)
        if lifetime in self.left_processes:
            # A leave is final, also for a node that was restarted and does not know of it.
            member = member._replace(left=True)
        elif member.left and member.backend:
            self.left_processes[lifetime] = current_time()
        if peer is None:
            self.peers[member.node] = Peer(member)
            self.digest ^= record_digest(member)
            self._remove_others_at(member)
            self._rebuild_index()
            return True
        is_other_process = member.epoch != peer.member.epoch
        if not member.is_newer_than(peer.member) and not (direct and is_other_process):
            return False
        moved = member.service != peer.member.service or member.address != peer.member.address
        self._replace(peer, member)
        if moved:
            self._remove_others_at(member)
            self._rebuild_index()
        return True

    def mark_left(self, node: str, lifetime: Lifetime) -> bool:
        """Records that a backend server said that it leaves; returns whether this is new."""
        if lifetime in self.left_processes or node == self.own.node:
            return False
        self.left_processes[lifetime] = current_time()
        peer = self.peers.get(node)
        if peer is not None and not peer.member.left:
            member = peer.member
            if (member.backend, member.backend_started_ms) == lifetime:
                self._replace(peer, member._replace(left=True))
        return True

    def _remove_others_at(self, member: Member) -> None:
        """Removes earlier members at an address that now belongs to another node."""
        for name, peer in list(self.peers.items()):
            if name in (member.node, self.own.node):
                continue
            if peer.member.address == member.address and member.epoch > peer.member.epoch:
                self._delete(name)

    def remove(self, node: str) -> None:
        """Removes a member at whose address another node has answered."""
        if node != self.own.node and node in self.peers:
            self._delete(node)
            self._rebuild_index()

    def set_own(self, member: Member) -> None:
        """Replaces the record of this node."""
        moved = member.service != self.own.service
        self.own = member
        self._replace(self.peers[member.node], member)
        if moved:
            self._rebuild_index()

    def members_of(self, service: str) -> int:
        """Returns the number of members of a service whose backend server has not left."""
        count = 0
        for peer in self.by_service.get(service, ()):
            if not peer.member.left:
                count += 1
        return count

    def knows(self, service: str) -> bool:
        """Returns whether any member of a service is known."""
        return bool(self.by_service.get(service))

    def record_reply(
        self, peer: Peer, load: int, capacity: float, waiting: int, answered: bool
    ) -> None:
        """Records what a member's reply tells of its load.

        Capacity is in requests per second, 0.0 if the member reports none. A member that declined
        is full, so only answers count for the mean load of its service.
        """
        now = current_time()
        peer.record_load(load, now)
        if not capacity:
            peer.record_capacity(0.0, 0, 0.0)
            return
        peer.record_capacity(capacity, waiting, now)
        if answered:
            self.balancer.observe(peer, now)
        if waiting or not answered:
            self.balancer.count_uneven(self, peer, now)

    def choose(
        self, service: str, tried: set[str], route: str = "", target_seconds: float = 1.0
    ) -> Peer | None:
        """Returns the member with the lowest cost for a request, None if there is none."""
        best: Peer | None = None
        best_cost = 0.0
        now = current_time()
        load = self.balancer.service(service, now)
        if load is not None:
            choice = Choice(self, load, tried, route, target_seconds, now)
            return choice.choose(self.by_service.get(service, ()))
        for peer in self.by_service.get(service, ()):
            member = peer.member
            if member.left or not member.backend or member.node in tried:
                continue
            if peer.blocked_until > now:
                continue
            cost = self._cost(peer, now) + peer.latency_penalty(route, target_seconds, now)
            if best is None or cost < best_cost:
                best = peer
                best_cost = cost
        if best is not None:
            best.load += 1.0
        return best

    def _cost(self, peer: Peer, now: float) -> float:
        member = peer.member
        if now - peer.load_at > MAX_LOAD_AGE_SECONDS:
            peer.load = 0.0
            peer.load_at = now
        return peer.load / max(1, member.slots) + self.penalty(peer, now)

    def penalty(self, peer: Peer, now: float) -> float:
        """Returns the cost of a member for all reasons but its load and answer times."""
        member = peer.member
        cost = FAILURE_PENALTY * peer.failures
        if member.node == self.own.node:
            cost -= LOCAL_BONUS
        elif member.failure_domain != self.own.failure_domain:
            cost += OTHER_DOMAIN_PENALTY
        if self.is_not_accepting(peer, now):
            cost += NOT_ACCEPTING_PENALTY
        if member.cold_ms and now - peer.updated_at < member.cold_ms / 1000.0:
            cost += COLD_PENALTY
        return cost + random() * 0.01

    def is_not_accepting(self, peer: Peer, now: float) -> bool:
        """Returns whether a member has announced lately that it takes no requests."""
        return not peer.member.accepting and now - peer.updated_at < NOT_ACCEPTING_SECONDS

"""Members of the mesh as this node knows them, and the choice of a member for a request."""

from random import random
from typing import NamedTuple

from coltsfoottrack._internal.mesh.clock import current_time
from coltsfoottrack._internal.mesh.model import Member

# Load for each slot by which another failure domain must be lighter to be chosen.
OTHER_DOMAIN_PENALTY = 0.5
# The node's own backend server needs no network.
LOCAL_BONUS = 0.03
FAILURE_PENALTY = 3.0
COLD_PENALTY = 0.6
FAILURE_WEIGHT = 0.1
# Answers whose usual time is over this part of the target latency are often late.
SAFE_LATENCY_FRACTION = 0.35
# Load for each slot that counts as much as a usual time of the whole target latency beyond that.
LATENCY_PENALTY = 3.0
MAX_LATENCY_PENALTY = 2.0
MEAN_TIME_WEIGHT = 0.1
# Times older than this say less and less.
FRESH_TIME_SECONDS = 3.0
# A member that could not be reached is not chosen for this long.
UNREACHABLE_SECONDS = 1.0
# A member that asked for no requests is chosen if there is no other one. The word that it takes
# requests again may be lost, so this holds for a while only.
NOT_ACCEPTING_SECONDS = 5.0
NOT_ACCEPTING_PENALTY = 10.0
# A load that was reported this long ago says nothing.
MAX_LOAD_AGE_SECONDS = 2.0


class AnswerTime(NamedTuple):
    """Mean time of the answers on a route, in seconds, and the time of the last one."""

    mean: float
    at: float


class Peer:
    """One member and what this node has learned of it."""

    def __init__(self, member: Member) -> None:
        self.member = member
        # Running and waiting requests at the member, as far as known.
        self.load = 0.0
        self.load_at = 0.0
        self.failures = 0.0
        self.blocked_until = 0.0
        self.seen_at = current_time()
        self.answer_times: dict[str, AnswerTime] = {}

    def update(self, member: Member) -> None:
        """Replaces the record."""
        if member.backend != self.member.backend or member.epoch != self.member.epoch:
            self.failures = 0.0
            self.blocked_until = 0.0
            self.answer_times = {}
        if member.accepting and not self.member.accepting:
            self.blocked_until = 0.0
        self.member = member
        self.seen_at = current_time()

    def record_load(self, load: int, now: float) -> None:
        """Takes the load that an answer carried."""
        self.load = float(load)
        self.load_at = now

    def record_result(self, failed: bool) -> None:
        """Counts a result of the backend server."""
        self.failures += FAILURE_WEIGHT * ((1.0 if failed else 0.0) - self.failures)

    def record_time(self, route: str, seconds: float, now: float) -> None:
        """Takes the time that the member took for an answer on a route."""
        known = self.answer_times.get(route)
        mean = known.mean if known is not None else seconds
        self.answer_times[route] = AnswerTime(mean + MEAN_TIME_WEIGHT * (seconds - mean), now)

    def latency_penalty(self, route: str, target_seconds: float, now: float) -> float:
        """Returns how far the usual time on a route endangers its target latency, in slots."""
        known = self.answer_times.get(route)
        if known is None:
            return 0.0
        excess = known.mean / target_seconds - SAFE_LATENCY_FRACTION
        if excess <= 0.0:
            return 0.0
        # A member that is not chosen gives no new times.
        age = max(0.0, now - known.at - FRESH_TIME_SECONDS)
        return min(MAX_LATENCY_PENALTY, LATENCY_PENALTY * excess) / (1.0 + age)

    def block(self, seconds: float = UNREACHABLE_SECONDS) -> None:
        """Keeps the member from being chosen for a while."""
        self.blocked_until = current_time() + seconds


class Directory:
    """All members by node name."""

    def __init__(self, own: Member) -> None:
        self.own = own
        self.peers: dict[str, Peer] = {own.node: Peer(own)}
        self.by_service: dict[str, list[Peer]] = {}
        self._rebuild()

    def _rebuild(self) -> None:
        services: dict[str, list[Peer]] = {}
        for peer in self.peers.values():
            services.setdefault(peer.member.service, []).append(peer)
        self.by_service = services

    def put(self, member: Member, direct: bool = False) -> bool:
        """Takes a record; returns whether it was new.

        A record that the node itself has just told (``direct``) holds also if its process seems to
        be older: the clock of the instance may have been set back before it was started.
        """
        peer = self.peers.get(member.node)
        if peer is None:
            self.peers[member.node] = Peer(member)
            self._remove_others_at(member)
            self._rebuild()
            return True
        is_other_process = member.epoch != peer.member.epoch
        if not member.is_newer_than(peer.member) and not (direct and is_other_process):
            return False
        moved = member.service != peer.member.service or member.address != peer.member.address
        peer.update(member)
        if moved:
            self._remove_others_at(member)
            self._rebuild()
        return True

    def _remove_others_at(self, member: Member) -> None:
        """Drops earlier members at an address that was given to another node."""
        for name, peer in list(self.peers.items()):
            if name in (member.node, self.own.node):
                continue
            if peer.member.address == member.address and member.epoch > peer.member.epoch:
                del self.peers[name]

    def remove(self, node: str) -> None:
        """Drops a member whose record was deleted."""
        if node != self.own.node and self.peers.pop(node, None) is not None:
            self._rebuild()

    def set_own(self, member: Member) -> None:
        """Replaces the record of this node."""
        moved = member.service != self.own.service
        self.own = member
        self.peers[member.node].update(member)
        if moved:
            self._rebuild()

    def members_of(self, service: str) -> int:
        """Returns the number of members of a service that take requests."""
        count = 0
        for peer in self.by_service.get(service, ()):
            if not peer.member.left:
                count += 1
        return count

    def knows(self, service: str) -> bool:
        """Tells whether any member of a service is known."""
        return bool(self.by_service.get(service))

    def choose(
        self, service: str, tried: set[str], route: str = "", target_seconds: float = 1.0
    ) -> Peer | None:
        """Returns the member that is expected to serve a request best, None if there is none."""
        best: Peer | None = None
        best_cost = 0.0
        now = current_time()
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
        cost = peer.load / max(1, member.slots) + FAILURE_PENALTY * peer.failures
        if member.node == self.own.node:
            cost -= LOCAL_BONUS
        elif member.failure_domain != self.own.failure_domain:
            cost += OTHER_DOMAIN_PENALTY
        if not member.accepting and now - peer.seen_at < NOT_ACCEPTING_SECONDS:
            cost += NOT_ACCEPTING_PENALTY
        if member.cold_ms and now - peer.seen_at < member.cold_ms / 1000.0:
            cost += COLD_PENALTY
        return cost + random() * 0.01

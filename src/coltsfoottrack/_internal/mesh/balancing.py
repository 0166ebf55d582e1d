"""Choice of a member by load and capacity, for services whose members report a capacity.

All nodes choose at the same time from old information. Each compares a few members drawn at random
in proportion to their capacity, so that no two nodes prefer the same one, and takes a reported load
for less the older it is.
"""

from bisect import bisect
from collections.abc import Iterable
from math import exp, inf
from random import random
from typing import TYPE_CHECKING, NamedTuple

from coltsfoottrack._internal.mesh.backend_state import usable_slots
from coltsfoottrack._internal.observability.plain_histogram import PlainHistogram

if TYPE_CHECKING:
    from coltsfoottrack._internal.mesh.directory import Directory, Peer

# Members compared for one request, in each failure domain group.
DRAWS = 2
# Draws that may hit a member that was drawn before or takes no request.
MAX_MISSES = 6
# Further members compared if all of the first are full, failing or not accepting.
MORE_DRAWS = 3
# Cost from which further members are compared: the member is full, failing or not accepting.
UNSUITABLE_COST = 1.0
# Draws follow changed capacities after this time; a new member is drawn at once.
TABLE_SECONDS = 0.5
# Shortest interval between two rebuilds, so that many changes of the members cost one.
MIN_TABLE_SECONDS = 0.05
# A service is chosen from by capacity for this long after the last report of one.
REPORT_SECONDS = 10.0
# Weight of the newest report in the means of a service.
MEAN_WEIGHT = 0.05
# Number of times that a member replaces what it runs until a report of it has lost most of its
# value.
TURNOVERS = 10.0
# Time constant with which failures fade. Nothing else shows that a member that is not chosen has
# recovered.
FAILURE_SECONDS = 5.0
# Cost of a member without a free slot; above that of a member in another failure domain, so that a
# full failure domain uses the free slots of others.
FULL_COST = 0.6
# Only reports younger than this count as knowledge of a free slot.
FRESH_REPORT_SECONDS = 0.5
AGE_BUCKETS_SECONDS = (0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0)


class WeightedMembers:
    """Members that are drawn in proportion to their weights."""

    def __init__(self) -> None:
        self.peers: list[Peer] = []
        self.bounds: list[float] = []
        self.total = 0.0

    def add(self, peer: "Peer", weight: float) -> None:
        """Adds a member."""
        self.total += weight
        self.peers.append(peer)
        self.bounds.append(self.total)

    def draw(self) -> "Peer":
        """Returns a member at random."""
        index = bisect(self.bounds, random() * self.total)
        return self.peers[min(index, len(self.peers) - 1)]


class ServiceLoad:
    """What is known of the members of one service together."""

    def __init__(self) -> None:
        # Time of the last reply that carried a capacity.
        self.reported_at = 0.0
        # Moving averages of load, slots and capacity of the members that replied.
        self.load = 0.0
        self.slots = 1.0
        self.capacity = 1.0
        self.near = WeightedMembers()
        self.far = WeightedMembers()
        self.built_at = 0.0
        self.generation = -1

    @property
    def load_per_slot(self) -> float:
        """Mean load of a slot."""
        return self.load / self.slots

    def observe(self, peer: "Peer", now: float) -> None:
        """Includes the newest report of a member in the means."""
        slots = float(max(1, peer.member.slots))
        weight = MEAN_WEIGHT if self.reported_at else 1.0
        self.reported_at = now
        self.load += weight * (peer.load - self.load)
        self.slots += weight * (slots - self.slots)
        self.capacity += weight * (peer.capacity - self.capacity)

    def capacity_of(self, peer: "Peer") -> float:
        """Returns the requests per second of a member, that of its slots if it reports none."""
        if peer.capacity:
            return peer.capacity
        return max(1, peer.member.slots) * self.capacity / self.slots

    def age(self, peer: "Peer", now: float) -> None:
        """Brings the estimated load and the failures of a member to the present.

        Requests that were reported end, and others arrive: the estimate approaches the mean of the
        service in about the time in which the member replaces what it runs.
        """
        elapsed = now - peer.load_at
        if elapsed <= 0.0:
            return
        peer.load_at = now
        slots = max(1, peer.member.slots)
        turnover = max(slots, peer.load) / self.capacity_of(peer) * TURNOVERS
        kept = exp(-elapsed / turnover)
        peer.load = kept * peer.load + (1.0 - kept) * self.load_per_slot * slots
        if peer.failures:
            peer.failures *= exp(-elapsed / FAILURE_SECONDS)


class Balancer:
    """Chooses members of the services that report capacities."""

    def __init__(self) -> None:
        self.services: dict[str, ServiceLoad] = {}
        # Age of the information at the time of choice.
        self.information_age = PlainHistogram(AGE_BUCKETS_SECONDS)
        # Replies of members whose requests wait, or that declined, while another had room.
        self.uneven = 0

    def observe(self, peer: "Peer", now: float) -> None:
        """Includes a reply with a capacity; the member has recorded it already."""
        service = self.services.get(peer.member.service)
        if service is None:
            service = self.services[peer.member.service] = ServiceLoad()
        service.observe(peer, now)

    def count_uneven(self, directory: "Directory", peer: "Peer", now: float) -> None:
        """Counts a reply of a full member if another one is known to have had room.

        Only a few members drawn at random are looked at, so the count is a lower bound.
        """
        service = self.service(peer.member.service, now)
        if service is None:
            return
        for table in (service.near, service.far):
            if not table.peers:
                continue
            other = table.draw()
            if other is peer or now - other.reported_at > FRESH_REPORT_SECONDS:
                continue
            if other.blocked_until > now or directory.is_not_accepting(other, now):
                continue
            service.age(other, now)
            if has_room(other):
                self.uneven += 1
                return

    def service(self, name: str, now: float) -> ServiceLoad | None:
        """Returns a service whose members report capacities, None if they do not."""
        service = self.services.get(name)
        if service is None or now - service.reported_at > REPORT_SECONDS:
            return None
        return service


class Choice(NamedTuple):
    """A request for which a member is chosen."""

    directory: "Directory"
    service: ServiceLoad
    tried: set[str]
    route: str
    target_seconds: float
    now: float

    def choose(self, peers: Iterable["Peer"]) -> "Peer | None":
        """Returns a member for the request, None if there is none."""
        service = self.service
        age = self.now - service.built_at
        changed = service.generation != self.directory.generation
        if age > TABLE_SECONDS or (changed and age >= MIN_TABLE_SECONDS):
            self._build_tables(peers)
        best, cost = self._better(None, inf, service.near, DRAWS)
        if cost >= UNSUITABLE_COST:
            best, cost = self._better(best, cost, service.far, DRAWS)
        if best is not None and cost >= UNSUITABLE_COST:
            best, cost = self._better(best, cost, service.near, MORE_DRAWS)
            best, cost = self._better(best, cost, service.far, MORE_DRAWS)
        if best is None:
            best = self._scan(peers)
        if best is not None:
            self._take(best)
        return best

    def _take(self, peer: "Peer") -> None:
        balancer = self.directory.balancer
        if peer.reported_at:
            balancer.information_age.observe(self.now - peer.reported_at)
        self.service.age(peer, self.now)
        peer.load += 1.0

    def _build_tables(self, peers: Iterable["Peer"]) -> None:
        service = self.service
        service.built_at = self.now
        service.generation = self.directory.generation
        service.near = WeightedMembers()
        service.far = WeightedMembers()
        own_domain = self.directory.own.failure_domain
        for peer in peers:
            if peer.member.left or not peer.member.backend:
                continue
            table = service.near if peer.member.failure_domain == own_domain else service.far
            table.add(peer, service.capacity_of(peer))

    def _is_usable(self, peer: "Peer") -> bool:
        member = peer.member
        if member.left or not member.backend or member.node in self.tried:
            return False
        return peer.blocked_until <= self.now

    def _better(
        self, best: "Peer | None", best_cost: float, table: WeightedMembers, draws: int
    ) -> "tuple[Peer | None, float]":
        """Returns the best of some members drawn at random and the best so far, with its cost."""
        if not table.peers:
            return best, best_cost
        drawn = [best]
        for _ in range(draws + MAX_MISSES):
            peer = table.draw()
            if peer in drawn:
                continue
            drawn.append(peer)
            if not self._is_usable(peer) or self.directory.is_not_accepting(peer, self.now):
                continue
            cost = self.cost(peer)
            if cost < best_cost:
                best = peer
                best_cost = cost
            draws -= 1
            if draws == 0:
                break
        return best, best_cost

    def _scan(self, peers: Iterable["Peer"]) -> "Peer | None":
        """Returns the best of all members, for the case that few take requests."""
        best = None
        best_cost = inf
        for peer in peers:
            if not self._is_usable(peer):
                continue
            cost = self.cost(peer)
            if cost < best_cost:
                best = peer
                best_cost = cost
        return best

    def cost(self, peer: "Peer") -> float:
        """Returns the cost of a member, in load per slot."""
        self.service.age(peer, self.now)
        cost = peer.load / max(1, peer.member.slots)
        if not has_room(peer):
            cost += FULL_COST
        cost += self.directory.penalty(peer, self.now)
        return cost + peer.latency_penalty(self.route, self.target_seconds, self.now)


def has_room(peer: "Peer") -> bool:
    """Returns whether a member probably has a free slot."""
    return peer.load + 1.0 <= usable_slots(max(1, peer.member.slots))

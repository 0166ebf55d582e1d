"""Many entries that choose among the members of one service, in virtual time."""

from collections import deque
from collections.abc import Callable
from heapq import heappop, heappush
from random import Random
from random import seed as seed_random
from typing import NamedTuple
from unittest.mock import patch

from coltsfoottrack._internal.mesh.backend_state import usable_slots
from coltsfoottrack._internal.mesh.directory import Directory, Peer
from coltsfoottrack._internal.mesh.model import Member
from coltsfoottrack._internal.mesh.runner import DECLINE_WAIT_SECONDS

RUN_SECONDS = 0.2
HOP_SECONDS = 0.002
SLOTS = (5, 10, 20, 40, 100, 200)
SPEEDS = (0.5, 0.8, 1.0, 1.3, 1.6)
DOMAINS = ("east", "south", "west")
SLOWED_SPEED = 1.0 / 2.5
SLOW_SECONDS = 0.6
SLOW_FRACTION = 0.15
SAMPLE_SECONDS = 0.1
SETTLE_SECONDS = 1.0


class Server:
    """A member: a backend server and the queue before it."""

    def __init__(self, number: int, slots: int, speed: float) -> None:
        self.node = f"m{number}"
        self.slots = slots
        self.speed = speed
        self.slowed = False
        self.running = 0
        self.queue: deque[tuple[float, bool]] = deque()
        # Sum of sampled loads, and what arrived.
        self.sampled = 0.0
        self.arrived = 0

    @property
    def load(self) -> int:
        return self.running + len(self.queue)

    @property
    def limit(self) -> int:
        return usable_slots(self.slots)

    @property
    def seconds(self) -> float:
        return RUN_SECONDS / self.speed / (SLOWED_SPEED if self.slowed else 1.0)

    @property
    def usual_capacity(self) -> float:
        mean_slowdown = SLOW_FRACTION * SLOWED_SPEED + 1.0 - SLOW_FRACTION
        return self.limit * self.speed / RUN_SECONDS * mean_slowdown


class Measured(NamedTuple):
    """Results of one play."""

    # Highest over mean of arrivals relative to capacity.
    highest_over_mean: float
    # Fraction of requests that waited while another member had a free slot.
    waited_uneven: float
    wait_p99: float
    wait_mean: float
    far_fraction: float
    sends: float


class Play:
    """One service under load; the entries learn only from replies."""

    def __init__(
        self, entries: int, members: int, load: float, capacity: bool = True, seed: int = 1
    ) -> None:
        self.random = Random(seed)
        seed_random(seed)
        self.now = 1000.0
        self.began = self.now
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.number = 0
        self.reports_capacity = capacity
        self.declines = 2
        self.servers = {}
        self.entries = []
        records = []
        for number in range(members):
            server = Server(number, SLOTS[number % 6], SPEEDS[number % 5])
            self.servers[server.node] = server
            domain = DOMAINS[number // len(SLOTS) % 3]
            records.append(self.record(server, domain))
            self.later(self.random.uniform(0.0, 4.0), lambda server=server: self.slow(server))
        for number in range(entries):
            directory = Directory(Member(f"e{number}", "", DOMAINS[number % 3], "portal"))
            for record in records:
                directory.put(record)
            self.entries.append(directory)
        self.rate = load * sum(server.usual_capacity for server in self.servers.values())
        self.waits: list[float] = []
        self.uneven = 0
        self.sends = 0
        self.far = 0
        self.slowing = True
        self.later(0.0, self.arrive)

    @staticmethod
    def record(server: Server, domain: str) -> Member:
        return Member(
            server.node, f"10.0.0.1:{server.node}", domain, "stock", "i", accepting=True,
            slots=server.slots, epoch=1,
        )  # fmt: skip

    def later(self, seconds: float, action: Callable[[], None]) -> None:
        self.number += 1
        heappush(self.events, (self.now + seconds, self.number, action))

    def slow(self, server: Server) -> None:
        if not server.slowed and not self.slowing:
            return
        server.slowed = not server.slowed
        mean = SLOW_SECONDS
        if not server.slowed:
            mean *= (1.0 - SLOW_FRACTION) / SLOW_FRACTION
        self.later(self.random.uniform(0.5, 1.5) * mean, lambda: self.slow(server))

    def arrive(self) -> None:
        self.later(self.random.expovariate(self.rate), self.arrive)
        self.send(self.random.choice(self.entries), set(), self.now)

    def send(self, entry: Directory, declined: set[str], began: float) -> None:
        peer = entry.choose("stock", declined)
        if peer is None:
            peer = entry.choose("stock", set())
        self.sends += 1
        self.far += peer.member.failure_domain != entry.own.failure_domain
        self.later(HOP_SECONDS, lambda: self.reach(entry, peer, declined, began))

    def reach(self, entry: Directory, peer: Peer, declined: set[str], began: float) -> None:
        server = self.servers[peer.member.node]
        full = server.queue or server.running >= server.limit
        wait = (len(server.queue) + 1) * server.seconds / server.limit
        if full and wait > DECLINE_WAIT_SECONDS and len(declined) < self.declines:
            self.reply(entry, peer)
            self.later(HOP_SECONDS, lambda: self.send(entry, declined | {server.node}, began))
            return
        server.arrived += self.now > self.began + SETTLE_SECONDS
        if not full:
            self.start(server, entry, peer, began)
            return
        if began > self.began + SETTLE_SECONDS and any(
            other.running < other.limit for other in self.servers.values()
        ):
            self.uneven += 1
        server.queue.append((entry, peer, began))

    def start(self, server: Server, entry: Directory, peer: Peer, began: float) -> None:
        server.running += 1
        if began > self.began + SETTLE_SECONDS:
            self.waits.append(self.now - began - HOP_SECONDS)
        seconds = self.random.uniform(0.4, 1.6) * server.seconds
        self.later(seconds, lambda: self.finish(server, entry, peer))

    def finish(self, server: Server, entry: Directory, peer: Peer) -> None:
        server.running -= 1
        if server.queue:
            self.start(server, *server.queue.popleft())
        self.later(HOP_SECONDS, lambda: self.reply(entry, peer, answered=True))

    def reply(self, entry: Directory, peer: Peer, answered: bool = False) -> None:
        server = self.servers[peer.member.node]
        capacity = server.usual_capacity if self.reports_capacity else 0.0
        entry.record_reply(peer, server.load, capacity, len(server.queue), answered)

    def play(self, seconds: float) -> Measured:
        """Plays for some time after settling and returns what was measured."""
        end = self.began + SETTLE_SECONDS + seconds
        with patch("coltsfoottrack._internal.mesh.directory.current_time", lambda: self.now):
            while self.events[0][0] < end:
                self.now, _, action = heappop(self.events)
                action()
        relative = [
            server.arrived / seconds / server.usual_capacity for server in self.servers.values()
        ]
        waits = sorted(self.waits)
        return Measured(
            max(relative) / (sum(relative) / len(relative)),
            self.uneven / len(waits),
            waits[int(len(waits) * 0.99)],
            sum(waits) / len(waits),
            self.far / self.sends,
            self.sends / len(waits),
        )

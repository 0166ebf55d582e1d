"""Placement under load: many entries, members with few slots, and no news of most of them.

The pattern is a surge at hundreds of nodes: an entry meets each member every few seconds, so it
chooses almost blindly. The members are real runners in simulated time.
"""

from asyncio import sleep
from contextlib import ExitStack
from os import O_WRONLY, devnull
from os import open as open_file
from random import Random
from random import seed as seed_random
from typing import NamedTuple
from unittest import TestCase
from unittest.mock import patch

from coltsfoottrack._internal.experiment.virtual_time import VirtualLoop
from coltsfoottrack._internal.mesh import entry as entry_module
from coltsfoottrack._internal.mesh.backend_connection import BackendResponse
from coltsfoottrack._internal.mesh.backend_state import BackendState
from coltsfoottrack._internal.mesh.decisions import DecisionLog, LineWriter
from coltsfoottrack._internal.mesh.directory import Directory
from coltsfoottrack._internal.mesh.memory_account import MemoryAccount
from coltsfoottrack._internal.mesh.model import BackendReport, Member, RetryBounds
from coltsfoottrack._internal.mesh.parent_requests import ParentRequests
from coltsfoottrack._internal.mesh.retry_budget import RetryBudget
from coltsfoottrack._internal.mesh.runner import BUSY, Runner
from coltsfoottrack._internal.mesh.runner_call import CallKey, RunnerCall
from coltsfoottrack._internal.observability.plain_histogram import PlainHistogram
from coltsfoottrack._internal.schema.links_pb2 import Request
from coltsfoottrack.platform.names import HEADERS, parent_identifier

ENTRIES = 120
MEMBERS = 40
SLOTS = 5
RUN_SECONDS = 0.05
HOP_SECONDS = 0.002
SURGE_SECONDS = 2.5
CLOCK_MODULES = ("runner", "runner_call", "backend_state", "crash_watch", "levels", "directory")


class SimulatedConnection:
    """A connection to a backend server that answers after the run time."""

    idle_since = 0.0
    was_idle_seconds = 0.0
    received = 0

    def __init__(self, loop: VirtualLoop, random: Random) -> None:
        self.loop = loop
        self.random = random

    def send(self, request: bytes, request_id: bytes, is_head: bool, finished, body) -> None:
        answer = BackendResponse(200, b"", b"", False)
        seconds = self.random.expovariate(1.0 / RUN_SECONDS)
        self.loop.call_later(seconds, finished, answer, "")

    def abort(self) -> None:
        pass


class SimulatedPool:
    """A pool that always has an idle connection."""

    def __init__(self, loop: VirtualLoop, random: Random) -> None:
        self.loop = loop
        self.random = random
        self.account = MemoryAccount()

    def take(self, idempotent: bool, request_id: bytes) -> SimulatedConnection:
        return SimulatedConnection(self.loop, self.random)

    def give_back(self, connection: SimulatedConnection) -> None:
        pass


class Measured(NamedTuple):
    """Waiting times for a slot, in seconds, and the number of hops."""

    waits: list[float]
    hops: int

    def late_share(self, seconds: float) -> float:
        """Returns the share of requests that waited for longer."""
        return sum(wait > seconds for wait in self.waits) / len(self.waits)


class Surge:
    """Requests of many entries to the members of one service."""

    def __init__(self, loop: VirtualLoop, load: float, max_declines: int) -> None:
        self.loop = loop
        self.random = Random(7)
        self.rate = load * MEMBERS * SLOTS / RUN_SECONDS
        self.max_declines = max_declines
        self.measured = Measured([], 0)
        self.hops = 0
        log = DecisionLog("surge", LineWriter(open_file(devnull, O_WRONLY)))
        members = [
            Member(f"m{n}", f"10.0.0.1:{n}", "east", "stock", f"i-{n}", slots=SLOTS, epoch=1)
            for n in range(MEMBERS)
        ]
        self.runners = {}
        for member in members:
            self.runners[member.node] = self.make_runner(member, log)
        self.entries = []
        for number in range(ENTRIES):
            directory = Directory(Member(f"e{number}", "", "east", "portal", epoch=1))
            for member in members:
                directory.put(member._replace(accepting=True))
            self.entries.append(directory)

    def make_runner(self, member: Member, log: DecisionLog) -> Runner:
        """Returns the runner of a member whose backend server is ready."""
        backend = BackendState("10.0.0.1:1", log)
        backend.apply_report(
            BackendReport(member.backend, "stock", "10.0.0.1:1", "east", SLOTS, False, 0, 1, 1)
        )
        runner = Runner(
            backend,
            SimulatedPool(self.loop, self.random),
            RetryBudget(RetryBounds(0.2, 10.0, 10.0)),
            ParentRequests(parent_identifier),
            HEADERS,
            log,
            PlainHistogram((1.0,)),
        )
        runner.mean_seconds = RUN_SECONDS
        return runner

    async def play(self) -> Measured:
        """Sends requests at random times and returns what was measured."""
        number = 0
        end = self.loop.time() + SURGE_SECONDS
        while self.loop.time() < end:
            await sleep(self.random.expovariate(self.rate))
            number += 1
            self.send(self.random.choice(self.entries), number, set(), self.loop.time())
        await sleep(2.0)
        return Measured(self.measured.waits, self.hops)

    def send(self, entry: Directory, number: int, declined: set[str], began: float) -> None:
        """Sends a request to the member that an entry chooses, as the entry itself does."""
        peer = entry.choose("stock", declined)
        self.hops += 1
        message = Request(
            number=self.hops,
            idempotent=True,
            time_left_ms=5000,
            wait_ms=5000,
            request_id=str(number),
            may_decline=len(declined) < self.max_declines,
        )

        def deliver(call: RunnerCall) -> None:
            peer.record_load(self.runners[peer.member.node].load, self.loop.time())
            if call.answer.reason == BUSY:
                later = declined | {peer.member.node}
                self.loop.call_later(HOP_SECONDS, self.send, entry, number, later, began)
            elif call.sent_at is not None:
                self.measured.waits.append(call.sent_at - began)

        call = RunnerCall(CallKey("e", 1, self.hops), message, deliver)
        self.loop.call_later(HOP_SECONDS, self.runners[peer.member.node].submit, call)


def play_surge(load: float, max_declines: int) -> Measured:
    """Plays a surge in simulated time; ``load`` is the share of all slots that is needed."""
    loop = VirtualLoop()
    seed_random(3)
    with ExitStack() as stack:
        for name in CLOCK_MODULES:
            path = f"coltsfoottrack._internal.mesh.{name}.current_time"
            stack.enter_context(patch(path, loop.time))
        try:
            return loop.run_until_complete(Surge(loop, load, max_declines).play())
        finally:
            loop.close()


class BlindPlacementTest(TestCase):
    """Guards against requests that wait behind others while slots of other members are free."""

    def test_surge_at_members_with_few_slots(self):
        """Nine tenths of the slots are needed; few requests may wait for as long as a run."""
        queued = play_surge(0.9, 0)
        declined = play_surge(0.9, entry_module.MAX_DECLINES)
        # Without declines the pattern shows: many wait although slots are free elsewhere.
        self.assertGreater(queued.late_share(RUN_SECONDS), 0.1)
        self.assertLess(declined.late_share(RUN_SECONDS), 0.1)
        self.assertLess(declined.late_share(RUN_SECONDS), queued.late_share(RUN_SECONDS) / 2.0)
        self.assertLess(declined.hops, (1 + entry_module.MAX_DECLINES) * len(declined.waits))

    def test_calm_members_are_asked_once(self):
        """Guards against hops that a calm day does not need."""
        calm = play_surge(0.4, entry_module.MAX_DECLINES)
        self.assertLess(calm.hops, 1.1 * len(calm.waits))

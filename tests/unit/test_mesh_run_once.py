"""At most one run of each non-idempotent call, with real runners and links in virtual time.

More steps by hand: COLTSFOOTTRACK_STEPS=1000000 python -m unittest tests.unit.test_mesh_run_once
"""

from collections import Counter, deque
from contextlib import ExitStack
from importlib import import_module
from os import O_WRONLY, devnull, environ
from os import open as open_file
from random import Random
from unittest import TestCase
from unittest.mock import patch

from hypothesis import given, settings
from hypothesis import strategies as st

from coltsfoottrack._internal.mesh.backend_connection import BackendResponse
from coltsfoottrack._internal.mesh.backend_state import BackendState
from coltsfoottrack._internal.mesh.decisions import DecisionLog, LineWriter
from coltsfoottrack._internal.mesh.link import LinkCall, PeerLink
from coltsfoottrack._internal.mesh.links import OTHER_PROCESS
from coltsfoottrack._internal.mesh.memory_account import MemoryAccount
from coltsfoottrack._internal.mesh.model import BackendReport, Member, RetryBounds
from coltsfoottrack._internal.mesh.parent_requests import ParentRequests
from coltsfoottrack._internal.mesh.retry_budget import RetryBudget
from coltsfoottrack._internal.mesh.runner import Runner
from coltsfoottrack._internal.mesh.runner_call import CallKey, RunnerCall
from coltsfoottrack._internal.observability.plain_histogram import PlainHistogram
from coltsfoottrack._internal.schema.links_pb2 import (
    RESULT_NOT_RUN,
    Claim,
    Grant,
    Reply,
    Request,
)
from coltsfoottrack.platform.names import HEADERS, parent_identifier

STEPS = int(environ.get("COLTSFOOTTRACK_STEPS", "20000"))
STEPS_OF_A_WALK = 200
SLOTS = 3
# The sender ends a call this long after it has expired.
END_MARGIN_SECONDS = 0.1
CLOCK_MODULES = (
    "backend_state",
    "crash_watch",
    "decisions",
    "levels",
    "link",
    "backend_rate",
    "runner",
    "runner_call",
    "runner_log",
)


class FakeServerConnection:
    """A connection to the backend server; its run ends when the walk says so."""

    idle_since = 0.0
    was_idle_seconds = 0.0
    received = 0

    def __init__(self, world: "World") -> None:
        self.world = world

    def send(self, request: bytes, request_id: bytes, is_head: bool, finished, body) -> None:
        self.world.runs[request_id.decode()] += 1
        self.world.running.append(finished)

    def abort(self) -> None:
        """A non-idempotent run goes on."""


class FakePool:
    """Connections to the backend server."""

    def __init__(self, world: "World") -> None:
        self.world = world
        self.account = MemoryAccount()

    def take(self, idempotent: bool, request_id: bytes) -> FakeServerConnection:
        return FakeServerConnection(self.world)

    def give_back(self, connection: FakeServerConnection) -> None:
        pass


class FakeLink:
    """A connection between sender and runner: messages arrive in order until it is cut."""

    def __init__(self, world: "World") -> None:
        self.world = world
        self.calls: dict[int, LinkCall] = {}
        self.busy_since = 0.0
        self.probed = False
        self.open = True
        self.to_runner: deque[tuple[str, object]] = deque()
        self.to_sender: deque[tuple[str, object]] = deque()
        # Calls that the runner has received on it.
        self.served: set[CallKey] = set()

    def is_open(self) -> bool:
        return self.open

    def send_message(self, kind: str, message: object) -> None:
        if self.open:
            # A copy, as on a real link.
            copy = type(message).FromString(message.SerializeToString())
            self.to_runner.append((kind, copy))


class Sender:
    """The entry of another node, as far as its links ask it."""

    def __init__(self) -> None:
        self.granted: set[int] = set()
        self.done: dict[int, str] = {}

    def grant(self, number: int) -> bool:
        if number in self.done:
            return False
        self.granted.add(number)
        return True

    def is_granted(self, number: int) -> bool:
        return number in self.granted and number not in self.done

    def handle_reply(self, number: int, reply: Reply) -> None:
        not_run = reply.result == RESULT_NOT_RUN
        self.done.setdefault(number, "not run" if not_run else "may have run")

    def handle_no_reply(self, number: int, may_have_run: bool, reason: str) -> None:
        self.done.setdefault(number, "may have run" if may_have_run else "not run")


class World:
    """A sender, a runner and a backend server; each action is one step."""

    def __init__(self) -> None:
        self.now = 1000.0
        self.log = DecisionLog("n", LineWriter(World.null))
        self.runs: Counter[str] = Counter()
        self.running: list = []
        self.sender = Sender()
        self.epoch = 1
        self.number = 0
        self.expires: dict[int, float] = {}
        # How far the sender's clock is behind that of the runner.
        self.sender_lag = 0.0
        member = Member("runner", "10.0.0.1:1", "east", "s")
        self.link = PeerLink(member, None, lambda node, seconds: None)
        # The walk connects.
        self.link._open = lambda: None
        self.connection: FakeLink | None = None
        self.start_runner()

    null = open_file(devnull, O_WRONLY)

    def start_runner(self) -> None:
        """Starts a process of the runner's node."""
        backend = BackendState("10.0.0.1:1", self.log)
        backend.apply_report(BackendReport("i", "s", "10.0.0.1:1", "east", SLOTS, False, 0, 1, 1))
        self.runner = Runner(
            backend,
            FakePool(self),
            RetryBudget(RetryBounds(1.0, 100.0, 10.0)),
            ParentRequests(parent_identifier),
            HEADERS,
            self.log,
            PlainHistogram((1.0,)),
        )

    def sender_now(self) -> float:
        """Returns the time of the sender's clock."""
        return self.now - self.sender_lag

    def send_call(self, random: Random) -> None:
        self.number += 1
        seconds = random.choice((1.0, 5.0, 16.0, 30.0, 120.0))
        self.expires[self.number] = self.sender_now() + seconds
        request = Request(
            number=self.number,
            request_id=f"q{self.number}",
            route="r",
            epoch=self.epoch,
            time_left_ms=int(seconds * 1000.0),
            wait_ms=int(seconds * 1000.0),
        )
        self.link.send(LinkCall(request, False, self.expires[self.number], self.sender))

    def connect(self, random: Random) -> None:
        if self.connection is not None:
            return
        self.connection = FakeLink(self)
        self.link.connections.append(self.connection)
        waiting = self.link.waiting
        self.link.waiting = []
        for call, resent in waiting:
            if resent:
                call.request.resent = True
            self.link._write(self.connection, call)

    def cut(self, random: Random) -> None:
        """Both ends notice; what was on the way is lost."""
        connection = self.connection
        if connection is None:
            return
        self.connection = None
        connection.open = False
        for key in connection.served:
            call = self.runner.call_cache.get(key)
            if call is not None and not call.done:
                call.orphaned_at = self.now
        self.link.handle_lost(connection, silent=random.random() < 0.5)

    def restart(self, random: Random) -> None:
        """Restarts the runner's node; runs at the server end unheard.

        Its clock may have been set back, so that the next process has the same epoch.
        """
        self.cut(random)
        self.running = []
        self.epoch += random.choice((0, 1))
        self.start_runner()

    def delay_sender_clock(self, random: Random) -> None:
        """Time passes for the runner only."""
        seconds = random.choice((1.0, 4.0, 16.0))
        self.sender_lag += seconds
        self.now += seconds
        self.runner.tick(self.now)

    def deliver_to_runner(self, random: Random) -> None:
        connection = self.connection
        if connection is None or not connection.to_runner:
            return
        kind, message = connection.to_runner.popleft()
        key = CallKey("sender", 1, message.number)
        if kind == "grant":
            self.runner.grant(key, message.granted)
            return
        if message.epoch != self.epoch:
            reply = Reply(number=message.number, result=RESULT_NOT_RUN, reason=OTHER_PROCESS)
            connection.to_sender.append(("reply", reply))
            return
        connection.served.add(key)

        def reply_to(call: RunnerCall) -> None:
            answer = call.answer
            reply = Reply(number=call.key.number, result=answer.result, reason=answer.reason)
            connection.to_sender.append(("reply", reply))

        def claim(call: RunnerCall) -> None:
            connection.to_sender.append(("claim", Claim(number=call.key.number)))

        self.runner.submit(RunnerCall(key, message, reply_to, claim))

    def deliver_to_sender(self, random: Random) -> None:
        """As Links does."""
        connection = self.connection
        if connection is None or not connection.to_sender:
            return
        kind, message = connection.to_sender.popleft()
        if kind == "claim":
            call = connection.calls.get(message.number)
            granted = call is not None and call.handler.grant(message.number)
            connection.send_message("grant", Grant(number=message.number, granted=granted))
            return
        call = connection.calls.pop(message.number, None)
        if call is None:
            return
        if call.request.resent and message.reason == OTHER_PROCESS:
            call.fail(True, "node_restarted")
            return
        call.handler.handle_reply(message.number, message)

    def finish_run(self, random: Random) -> None:
        if self.running:
            finished = self.running.pop(random.randrange(len(self.running)))
            finished(BackendResponse(200, b"", b"", False), "")

    def wait(self, random: Random) -> None:
        """Time passes; sender and runner tick."""
        self.now += random.choice((0.05, 0.3, 1.0, 4.0, 16.0))
        for number, expires in list(self.expires.items()):
            if number in self.sender.done:
                del self.expires[number]
            elif self.sender_now() >= expires + END_MARGIN_SECONDS:
                granted = number in self.sender.granted
                self.sender.done[number] = "may have run" if granted else "not run"
                self.link.drop_call(number)
        self.runner.tick(self.now)

    def check(self, test: TestCase) -> None:
        """Checks that no order ran twice, and none that was refused has run."""
        for name, runs in self.runs.items():
            test.assertEqual(runs, 1, name)
            test.assertNotEqual(self.sender.done.get(int(name[1:])), "not run", name)


ACTIONS = (
    World.send_call,
    World.connect,
    World.cut,
    World.deliver_to_runner,
    World.deliver_to_sender,
    World.finish_run,
    World.wait,
    World.restart,
    World.delay_sender_clock,
)
# How often a random walk takes each action.
WEIGHTS = (6, 8, 2, 14, 14, 5, 4, 0.5, 0.5)


class RunOnceTest(TestCase):
    """Any sequence of calls, cuts, restarts and late messages."""

    def walk(self, actions: list, random: Random) -> None:
        """Takes the actions in a new world and checks it after each."""
        world = World()
        with ExitStack() as stack:
            for name in CLOCK_MODULES:
                module = import_module(f"coltsfoottrack._internal.mesh.{name}")
                if hasattr(module, "current_time"):
                    stack.enter_context(patch.object(module, "current_time", lambda: world.now))
            world.start_runner()
            for action in actions:
                action(world, random)
                world.check(self)

    # TWICE, REFUSED: calls that are sent again after cuts, and answers that come late.
    @settings(max_examples=60, deadline=None)
    @given(st.lists(st.sampled_from(ACTIONS), max_size=80), st.integers(0, 2**32))
    def test_short_sequences(self, actions, seed):
        self.walk(actions, Random(seed))

    # The same in long random walks.
    def test_long_random_walks(self):
        random = Random(STEPS)
        runs = 0
        for _ in range(STEPS // STEPS_OF_A_WALK):
            self.walk(random.choices(ACTIONS, WEIGHTS, k=STEPS_OF_A_WALK), random)
            runs += 1
        self.assertEqual(runs, STEPS // STEPS_OF_A_WALK)

"""Runs that fail because a call of theirs has failed, without a network.

The load is a service at the bottom of the call graph that refuses about half of its requests, and
services above it whose requests fail with a call.
"""

from os import O_WRONLY, devnull
from os import open as open_file
from types import SimpleNamespace
from unittest import TestCase
from unittest.mock import Mock

from coltsfoottrack._internal.mesh.backend_connection import BackendResponse
from coltsfoottrack._internal.mesh.caller_group import CallerGroup
from coltsfoottrack._internal.mesh.caller_request import CallerRequest
from coltsfoottrack._internal.mesh.clock import current_time
from coltsfoottrack._internal.mesh.decisions import DecisionLog, LineWriter
from coltsfoottrack._internal.mesh.directory import Directory
from coltsfoottrack._internal.mesh.entry import Entry
from coltsfoottrack._internal.mesh.link import LinkCall
from coltsfoottrack._internal.mesh.memory_account import MemoryAccount
from coltsfoottrack._internal.mesh.model import (
    CallerLimits,
    Member,
    Route,
    RoutingConfiguration,
    WeightedService,
)
from coltsfoottrack._internal.mesh.parent_requests import ParentRequests, RunningRequest
from coltsfoottrack._internal.mesh.routes import RouteTable
from coltsfoottrack._internal.mesh.run_outcome import run_result
from coltsfoottrack._internal.mesh.runner_call import CallKey, RunnerCall
from coltsfoottrack._internal.mesh.statistics import MeshStatistics
from coltsfoottrack._internal.schema.links_pb2 import (
    RESULT_ANSWERED,
    RESULT_NOT_RUN,
    RESULT_UNKNOWN,
    Reply,
    Request,
)
from coltsfoottrack.platform.names import HEADERS, parent_identifier

PARENT = "aa.bb"


class RecordedLinks:
    """Links that only record what is sent."""

    def __init__(self) -> None:
        self.sent: list[LinkCall] = []

    def send(self, member: Member, call: LinkCall) -> None:
        self.sent.append(call)

    def cancel(self, member: Member, number: int) -> None:
        pass


class FailedBelowTest(TestCase):
    """The note at the parent request, and what the entry does with it."""

    def setUp(self):
        directory = Directory(Member("n0", "a:0", "east", "portal"))
        for name in ("n1", "n2", "n3"):
            directory.put(Member(name, f"a:{name}", "east", "s", name, accepting=True, slots=9))
        self.parents = ParentRequests(parent_identifier)
        log = DecisionLog("n0", LineWriter(open_file(devnull, O_WRONLY)))
        self.entry = Entry(
            HEADERS,
            directory,
            Mock(level=Mock(level=9.0)),
            self.parents,
            log,
            MeshStatistics(),
            CallerGroup(MemoryAccount(), lambda: 9),
        )
        self.links = self.entry.links = RecordedLinks()
        route = Route("r", "h", "/", (WeightedService("s", 1),), True, 1000, 500, 2, 0, 0)
        self.entry.table = RouteTable(RoutingConfiguration(1, (route,), CallerLimits(), b""))
        self.run = RunningRequest("top", 0, current_time() + 9.0, False, PARENT)
        self.parents.begin(self.run)
        self.statuses: list[int] = []

    def send(self, request_id: str) -> CallerRequest:
        """Hands the entry a request; its final status is added to ``statuses``."""
        connection = SimpleNamespace(
            respond=lambda request, status, head, body: self.statuses.append(status)
        )
        request = CallerRequest(connection)
        request.host, request.path, request.request_id = "h", "/", request_id.encode()
        request.received = current_time()
        self.entry.handle(request)
        return request

    def reply(self, **fields: object) -> None:
        """Replies to the last send."""
        number = self.links.sent[-1].request.number
        self.entry.handle_reply(number, Reply(number=number, **fields))

    def notes(self) -> tuple[bool, bool]:
        """Returns the notes at the parent request."""
        return self.run.call_failed, self.run.short_of_capacity

    def test_run_that_failed_for_a_call_is_not_retried(self):
        """Guards against retries above that repeat every call and fail again."""
        self.send("x")
        self.reply(result=RESULT_ANSWERED, status=500, failed_below=True)
        self.assertEqual((len(self.links.sent), self.statuses), (1, [500]))

    def test_run_whose_own_backend_server_failed_is_retried(self):
        self.send("x")
        self.reply(result=RESULT_ANSWERED, status=500)
        self.assertEqual((len(self.links.sent), self.statuses), (2, []))

    def test_each_kind_of_failed_call_is_noted(self):
        """Guards against a failure below that looks like one of the parent's backend server."""
        refused = {"result": RESULT_NOT_RUN, "reason": "backend_refused"}
        cases = {
            "refused by all": ([refused] * 2, (True, True)),
            "no budget": ([refused, {**refused, "reason": "repeat_budget"}], (True, True)),
            "own failure": ([{"result": RESULT_ANSWERED, "status": 500}] * 2, (True, False)),
            "failed below": (
                [{"status": 500, "failed_below": True, "short_of_capacity": True}],
                (True, True),
            ),
            "lost": ([{"result": RESULT_UNKNOWN, "reason": "overdue"}] * 2, (True, False)),
            "lost, no budget": (
                [{"result": RESULT_UNKNOWN}, {**refused, "reason": "repeat_budget"}],
                (True, False),
            ),
            "served after a retry": ([refused, {"status": 200}], (False, False)),
            "not found": ([{"status": 404}], (False, False)),
        }
        for name, (replies, notes) in cases.items():
            with self.subTest(name):
                self.run.call_failed = self.run.short_of_capacity = False
                self.statuses.clear()
                self.send(PARENT + ".cc")
                for fields in replies:
                    self.reply(**fields)
                self.assertEqual((len(self.statuses), self.notes()), (1, notes))

    def test_calls_that_end_without_a_reply_are_noted(self):
        """Guards against a time-out or an early refusal of a call that leaves no note."""
        ends = {
            "timed out": lambda: self.entry.tick(current_time() + 9.0),
            "given up": lambda: self.request.cancel(),
            "stopping": self.entry.abandon_all,
        }
        for name, end in ends.items():
            with self.subTest(name):
                self.run.call_failed = False
                self.request = self.send(PARENT + ".cc")
                end()
                self.assertEqual(self.notes(), (True, False))
        self.run.call_failed = False
        self.entry.table = None
        self.send(PARENT + ".cc")
        self.assertEqual(self.notes(), (True, False))

    def test_only_a_failed_run_is_reported(self):
        """Guards against a good answer that is taken for a failure."""
        call = RunnerCall(CallKey("n", 1, 1), Request(), lambda call: None)
        call.run = self.run
        self.run.call_failed = self.run.short_of_capacity = True
        for status, reported in ((200, False), (404, False), (500, True)):
            result = run_result(call, BackendResponse(status, b"", b"", False))
            self.assertEqual((result.failed_below, result.short_of_capacity), (reported,) * 2)

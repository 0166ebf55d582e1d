"""Reports of suspects reach nodes that were unreachable, and processes that started later."""

from asyncio import create_task, sleep
from types import SimpleNamespace
from unittest import IsolatedAsyncioTestCase
from unittest.mock import patch

from coltsfoottrack._internal.admission.suspects import SuspectTable
from coltsfoottrack._internal.node import suspect_service
from coltsfoottrack._internal.node.suspect_service import SuspectReporter
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import (
    MEMBER_STATUS_ALIVE,
    Envelope,
    Member,
    ReportSuspectsRequest,
)


class CatchUpTest(IsolatedAsyncioTestCase):
    """Guards against a third crash at a node that missed the only report of a suspect."""

    async def asyncSetUp(self):
        self.peer = Member(
            name="b", service="s", incarnation=1, status=MEMBER_STATUS_ALIVE, address="127.0.0.1"
        )
        self.reachable = False
        self.received: list[ReportSuspectsRequest] = []
        state = SimpleNamespace(
            name="s/a",
            settings=SimpleNamespace(service="s"),
            suspects=SuspectTable(lambda: 60_000.0),
            members=SimpleNamespace(members={"s/b": self.peer}),
            channels=SimpleNamespace(channel=lambda address: None),
            envelope=Envelope,
        )
        self.state = state
        test = self

        class Stub:
            def __init__(self, channel: object) -> None:
                pass

            async def ReportSuspects(self, request: ReportSuspectsRequest) -> None:  # noqa: N802
                if not test.reachable:
                    raise OSError("cut off")
                test.received.append(request)

        for name, value in (("SuspectPeerStub", Stub), ("MISSING_REPORTS_INTERVAL_SECONDS", 0.01)):
            patched = patch.object(suspect_service, name, value)
            patched.start()
            self.addCleanup(patched.stop)
        self.reporter = SuspectReporter(state)
        task = create_task(self.reporter.keep_up())
        self.addCleanup(task.cancel)
        state.suspects.record_crash(b"d")
        await self.reporter.report([state.suspects.report(b"d")], [])

    async def test_unreachable_node_gets_the_report_once_reachable(self):
        self.assertEqual(self.received, [])
        self.reachable = True
        await sleep(0.1)
        self.assertEqual([len(request.suspects) for request in self.received], [1])

    async def test_restarted_node_gets_the_report(self):
        self.reachable = True
        await sleep(0.05)
        before = len(self.received)
        self.peer.incarnation = 2
        await sleep(0.05)
        self.assertEqual(len(self.received), before + 1)

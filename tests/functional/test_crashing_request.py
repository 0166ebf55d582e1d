"""A request that crashes every backend server that runs it, with real processes."""

from pathlib import Path
from tempfile import TemporaryDirectory
from time import monotonic, sleep
from unittest import TestCase

from urllib3 import BaseHTTPResponse

from coltsfoottrack._internal.experiment.fleet import Fleet, NodePair
from coltsfoottrack._internal.experiment.shapes import FleetShape, OperationShape, ServiceShape
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import PRIORITY_CRITICAL

SHAPE = FleetShape(
    name="one-service",
    failure_domains=("east", "west", "south"),
    scale=1,
    services=(ServiceShape("stores", 3, 8, 5, (OperationShape("read", PRIORITY_CRITICAL, True),)),),
)
WAIT_SECONDS = 10.0


class CrashingRequestTest(TestCase):
    """Guards against a request that crashes all backend servers or a node."""

    def setUp(self) -> None:
        directory = TemporaryDirectory(prefix="coltsfoottrack-")
        self.addCleanup(directory.cleanup)
        self.fleet = Fleet.from_config(SHAPE, Path(directory.name))
        self.addCleanup(self.fleet.http.clear)
        self.addCleanup(self.fleet.stop)
        self.fleet.start()
        for pair in self.fleet.pairs:
            self.wait_until_done(pair)

    def send(self, pair: NodePair, body: bytes) -> BaseHTTPResponse:
        url = f"http://{pair.call_address}/v1/services/stores/read"
        return self.fleet.http.request("POST", url, body=body, timeout=WAIT_SECONDS)

    def crashed(self) -> list[NodePair]:
        processes = self.fleet.processes
        return [p for p in self.fleet.pairs if processes[p.backend_process].poll() is not None]

    def test_request_is_quarantined_after_two_crashes_and_nodes_keep_serving(self) -> None:
        first, second, third = self.fleet.pairs
        answer = self.send(first, b"crash it")
        self.assertEqual(answer.headers["Outcome"], "unknown")
        self.assertIn(b"backend server of stores crashed during this request", answer.data)
        self.assertEqual(answer.headers["Suspected-Crashes"], "1")
        answer = self.send(second, b"crash it")
        self.assertEqual(answer.headers["Suspected-Crashes"], "2")
        for _ in range(3):
            answer = self.send(third, b"crash it")
            self.assertEqual(answer.headers["Outcome"], "refused")
            self.assertEqual(answer.headers["Reason"], "quarantined")
            self.assertIn(b"2 backend servers of stores crashed", answer.data)
        self.assertEqual(self.crashed(), [first, second])
        for pair in (first, second):
            self.fleet.restart(pair.backend_process)
        for pair in self.fleet.pairs:
            self.wait_until_done(pair)
        self.assertEqual(self.send(first, b"crash it").headers["Reason"], "quarantined")

    def wait_until_done(self, pair: NodePair) -> None:
        expiry = monotonic() + WAIT_SECONDS
        while monotonic() < expiry:
            if self.send(pair, b"another").headers["Outcome"] == "done":
                return
            sleep(0.05)
        self.fail(f"{pair.node_process} does not use its restarted backend server")

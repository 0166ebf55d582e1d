"""A fleet with a cluster secret: unauthenticated messages are refused; rotation is seamless."""

from asyncio import run
from os import environ
from pathlib import Path
from socket import AF_INET, SOCK_DGRAM, socket
from tempfile import TemporaryDirectory
from time import monotonic, sleep
from unittest import TestCase
from unittest.mock import patch

from grpclib.exceptions import GRPCError
from urllib3 import BaseHTTPResponse

from coltsfoottrack._internal.calls.context import PROTOCOL_VERSION
from coltsfoottrack._internal.calls.peer_authentication import PeerAuthentication, read_secrets
from coltsfoottrack._internal.experiment.fleet import Fleet, NodePair
from coltsfoottrack._internal.experiment.shapes import FleetShape, OperationShape, ServiceShape
from coltsfoottrack._internal.routing.peer_channels import open_channel
from coltsfoottrack._internal.schema.coltsfoottrack_grpc import OperatorStub
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import (
    MEMBER_STATUS_DEAD,
    PRIORITY_NORMAL,
    Datagram,
    Envelope,
    EventsRequest,
    Member,
    StatusReply,
    StatusRequest,
)
from tests.functional.test_operator_commands import command

OLD, NEW = "the old secret of the cluster", "the new secret of the cluster"
WAIT_SECONDS = 15.0
ORDER = OperationShape("order", PRIORITY_NORMAL, False)
SHAPE = FleetShape(
    name="small",
    failure_domains=("east", "west"),
    scale=1,
    services=(
        ServiceShape(
            "front", 2, 8, 5, (OperationShape("read", PRIORITY_NORMAL, True, ("deep/order",)),)
        ),
        ServiceShape("deep", 2, 8, 5, (ORDER,)),
    ),
)


class ClusterSecretTest(TestCase):
    """Guards against forged messages that are accepted, and messages of peers that are refused."""

    def setUp(self) -> None:
        directory = TemporaryDirectory(prefix="coltsfoottrack-")
        self.addCleanup(directory.cleanup)
        self.secret_file = Path(directory.name, "secret")
        self.secret_file.write_text(OLD, encoding="utf-8")
        self.fleet = Fleet.from_config(SHAPE, Path(directory.name))
        self.fleet.secret_file = str(self.secret_file)
        self.addCleanup(self.fleet.http.clear)
        self.addCleanup(self.fleet.stop)
        self.fleet.start()
        variable = patch.dict(environ, {"COLTSFOOTTRACK_NODE": self.fleet.pairs[0].peer_address})
        variable.start()
        self.addCleanup(variable.stop)

    def send(self, pair: NodePair, path: str, **headers: str) -> BaseHTTPResponse:
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        url = f"http://{pair.call_address}/v1/services/{path}"
        return self.fleet.http.request("POST", url, body=b"x", headers=named, timeout=WAIT_SECONDS)

    def status(self, pair: NodePair) -> StatusReply:
        async def request() -> StatusReply:
            channel = open_channel(pair.peer_address, PeerAuthentication())
            try:
                return await OperatorStub(channel).Status(StatusRequest(), timeout=WAIT_SECONDS)
            finally:
                channel.close()

        return run(request())

    def accepts(self, pair: NodePair, secret: str) -> bool:
        """Returns whether a node answers a gRPC request that only a peer may make."""

        async def request() -> bool:
            file = self.secret_file.with_name("one-secret")
            file.write_text(secret, encoding="utf-8")
            channel = open_channel(pair.peer_address, PeerAuthentication(read_secrets(file)))
            envelope = Envelope(cluster="demo", protocol_version=PROTOCOL_VERSION)
            try:
                await OperatorStub(channel).Events(EventsRequest(envelope=envelope), timeout=5.0)
            except GRPCError:
                return False
            finally:
                channel.close()
            return True

        return run(request())

    def rotate(self, lines: str, secret: str, accepted: bool) -> None:
        """Writes the secret file and waits until all nodes accept a secret, or refuse it."""
        self.secret_file.write_text(lines, encoding="utf-8")
        expiry = monotonic() + WAIT_SECONDS
        for pair in self.fleet.pairs:
            while self.accepts(pair, secret) is not accepted:
                self.assertLess(
                    monotonic(), expiry, f"{pair.node_process} did not reload its secrets"
                )
                sleep(0.2)

    def assert_calls_pass(self) -> None:
        for pair in self.fleet.pairs:
            for _ in range(3):
                answer = self.send(pair, "front/read")
                self.assertEqual(answer.headers["Outcome"], "done", answer.data)
            key = self.send(pair, "deep/order").headers["Next-Idempotency-Key"]
            answer = self.send(pair, "deep/order", Idempotency_Key=key)
            self.assertEqual(answer.headers["Outcome"], "done", answer.data)

    def test_unauthenticated_messages_are_refused_and_rotation_interrupts_no_call(self) -> None:
        self.assert_calls_pass()
        first, last = self.fleet.pairs[0], self.fleet.pairs[-1]
        self.assert_unauthenticated_messages_are_refused(first, last)
        refused = sum(self.status(pair).unauthenticated_messages for pair in self.fleet.pairs)
        self.rotate(f"{OLD}\n{NEW}\n", NEW, accepted=True)
        self.assert_calls_pass()
        self.secret_file.write_text(f"{NEW}\n{OLD}\n", encoding="utf-8")
        sleep(2.5)
        self.assert_calls_pass()
        self.rotate(NEW, OLD, accepted=False)
        self.assert_calls_pass()
        for pair in self.fleet.pairs:
            reply = self.status(pair)
            self.assertEqual(reply.peer_authentication, "required")
            alive = [member for member in reply.members if member.status != MEMBER_STATUS_DEAD]
            self.assertEqual(len(alive), len(self.fleet.pairs))
            self.assertEqual(reply.violations, 0)
        self.assertGreaterEqual(refused, 4)

    def assert_unauthenticated_messages_are_refused(self, first: NodePair, last: NodePair) -> None:
        runs = self.fleet.run_log.read_text(encoding="utf-8")
        key = self.send(last, "deep/order").headers["Next-Idempotency-Key"]
        # A forged dispatch, not from the key's home, would run the request a second time.
        answer = self.send(
            last, "deep/order", Cluster="demo", Dispatch_Number="1", Idempotency_Key=key
        )
        self.assertEqual(answer.status, 401)
        answer = self.send(first, "front/read", Cluster="demo", Hop_Depth="9")
        self.assertEqual(answer.headers["Reason"], "unauthenticated")
        self.assertEqual(self.fleet.run_log.read_text(encoding="utf-8"), runs)
        self.assertFalse(self.accepts(first, "a secret of another cluster"))
        claim = Member(name=last.name, service="deep", status=MEMBER_STATUS_DEAD, revision=2**40)
        claim.address, claim.call_port, claim.peer_port = "127.0.0.1", 1, 1
        claim.start_order = 2**60
        datagram = Datagram(cluster="demo", protocol_version=PROTOCOL_VERSION, updates=[claim])
        expiry = monotonic() + WAIT_SECONDS
        with socket(AF_INET, SOCK_DGRAM) as sender:
            while not self.metric(first, 'kind="datagram",problem="missing"'):
                self.assertLess(monotonic(), expiry, "no datagram was refused")
                sender.sendto(datagram.SerializeToString(), ("127.0.0.1", first.peer_port))
                sleep(0.1)
        known = {member.service + member.name: member for member in self.status(first).members}
        self.assertLess(known["deep" + last.name].revision, 2**40)
        name = f"{last.service}/{last.name}"
        self.assertIn("UNAUTHENTICATED", command("status").text)
        self.assertNotEqual(command("drain", name).status, 0)
        self.assertFalse(self.status(last).draining)
        with patch.dict(environ, {"COLTSFOOTTRACK_SECRET_FILE": str(self.secret_file)}):
            self.assertEqual(command("config", "status").status, 0)
            self.assertEqual(command("timeline").status, 0)

    def metric(self, pair: NodePair, labels: str) -> bool:
        url = f"http://127.0.0.1:{pair.admin_port}/metrics"
        text = self.fleet.http.request("GET", url).data.decode()
        return f"coltsfoottrack_unauthenticated_total{{{labels}}}" in text

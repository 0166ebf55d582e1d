"""Authentication of peer messages at the call port, over gRPC and in datagrams."""

from os import utime
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import IsolatedAsyncioTestCase, TestCase

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Server

from coltsfoottrack._internal.calls.context import PROTOCOL_VERSION
from coltsfoottrack._internal.calls.exceptions import SecretFileError, UnauthenticatedPeerError
from coltsfoottrack._internal.calls.peer_authentication import (
    MAX_AGE_SECONDS,
    MessageKind,
    PeerAuthentication,
    SignatureProblem,
)
from coltsfoottrack._internal.events.clock import HybridClock
from coltsfoottrack._internal.membership.exceptions import UnsignedMessageError
from coltsfoottrack._internal.membership.messages import SIGNATURE_FIELD_BYTES, DatagramCodec
from coltsfoottrack._internal.node.admin_server import refresh_gauges
from coltsfoottrack._internal.node.envelopes import require_signatures
from coltsfoottrack._internal.node.operator_service import OperatorService, status_reply
from coltsfoottrack._internal.routing.peer_channels import open_channel
from coltsfoottrack._internal.schema.coltsfoottrack_grpc import OperatorStub
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import (
    DrainRequest,
    Envelope,
    Member,
    StatusRequest,
)
from tests.unit.test_call_port import PATH, CallPortCase, free_port, post

OLD, NEW, FOREIGN = b"old secret", b"new secret", b"secret of another cluster"
PEER_HEADERS = {
    "Cluster": "demo",
    "Protocol-Version": "1",
    "Request-Id": "r1",
    "Call-Id": "c1",
    "Priority": "normal",
    "Deadline-Ms": "900",
    "Attempt-Budget": "1",
    "Hop-Depth": "3",
    "Event-Clock": "0",
}


def signed_post(
    authentication: PeerAuthentication, path: str = PATH, call_id: str = "c1", **changes: str
) -> bytes:
    """Returns a signed call of a peer; ``changes`` to headers are made after signing."""
    headers = {**PEER_HEADERS, "Call-Id": call_id}
    authentication.sign_call(path, headers)
    headers.update({name.replace("_", "-"): value for name, value in changes.items()})
    return post(**{name.replace("-", "_"): value for name, value in headers.items()})


class SignedCallTest(CallPortCase):
    """Guards against callers that forge peer calls to get a peer's rank, budget or dispatches."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.state.authentication.secrets = [NEW, OLD]

    def problem_count(self, problem: SignatureProblem) -> int:
        return self.state.authentication.problems[(MessageKind.CALL, problem)]

    async def test_unsigned_or_forged_peer_call_is_refused(self) -> None:
        clock_before = self.state.clock.tick()
        forged = {name.replace("-", "_"): value for name, value in PEER_HEADERS.items()}
        forged["Event_Clock"] = str(clock_before + (60_000 << 16))
        reply = await self.exchange(post(**forged))
        self.assertIn(b"401", reply.split(b"\r\n")[0])
        self.assertIn(b"Reason: unauthenticated", reply)
        self.assertIn(b"cluster_secret_file", reply)
        self.assertEqual(self.problem_count(SignatureProblem.MISSING), 1)
        for signature in ("zz", "00", "00" * 20):
            reply = await self.exchange(post(**forged, Peer_Signature=signature))
            self.assertIn(b"401", reply.split(b"\r\n")[0])
        self.assertEqual(self.problem_count(SignatureProblem.WRONG), 3)
        self.assertEqual(self.seen, [])
        self.assertLess(self.state.clock.tick(), clock_before + (30_000 << 16))
        self.assertEqual(status_reply(self.state).unauthenticated_messages, 4)
        refresh_gauges(self.state)
        counted = self.state.metrics.unauthenticated.values
        self.assertEqual(counted[{"kind": "call", "problem": "wrong"}], 3)

    async def test_refused_call_with_a_key_is_reported_as_unknown(self) -> None:
        reply = await self.exchange(post(Cluster="demo", Idempotency_Key="k"))
        self.assertIn(b"401", reply.split(b"\r\n")[0])
        self.assertIn(b"Outcome: unknown", reply)

    async def test_signatures_by_either_secret_are_accepted(self) -> None:
        for call_id, secret in (("c1", OLD), ("c2", NEW)):
            call = signed_post(PeerAuthentication([secret]), call_id=call_id)
            self.assertEqual(await self.status(call), 200)
        self.assertEqual(await self.status(post()), 200)
        self.assertEqual(await self.status(signed_post(PeerAuthentication([FOREIGN]))), 401)
        self.assertEqual([context.depth for context in self.seen], [3, 3, 0])
        self.state.authentication.secrets = [NEW]
        self.assertEqual(await self.status(signed_post(PeerAuthentication([OLD]))), 401)

    async def test_change_of_any_signed_field_is_refused(self) -> None:
        peer = PeerAuthentication([NEW])
        changed = dict.fromkeys(PEER_HEADERS, "2")
        for name in ("Cluster", "Protocol-Version"):
            del changed[name]
        changed["Priority"] = "critical"
        for extra in ("Dispatch-Number", "Suspected-Crashes", "Idempotency-Key"):
            changed[extra] = "1"
        changed["Attempt-Repeated"] = "yes"
        for name, value in changed.items():
            status = await self.status(signed_post(peer, **{name.replace("-", "_"): value}))
            self.assertEqual(status, 401, name)
        other_path = signed_post(peer, path="/v1/services/stores/keys")
        self.assertEqual(await self.status(other_path), 401)
        self.assertEqual(self.seen, [])

    async def test_unsigned_peers_are_accepted_only_if_allowed(self) -> None:
        self.state.authentication.accept_unsigned = True
        self.assertEqual(await self.status(post(Cluster="demo")), 200)
        self.assertEqual(self.problem_count(SignatureProblem.UNSIGNED_ACCEPTED), 1)
        self.assertEqual(await self.status(signed_post(PeerAuthentication([FOREIGN]))), 401)
        self.assertEqual(status_reply(self.state).peer_authentication, "optional")
        self.assertEqual(status_reply(self.state).unauthenticated_messages, 1)


class SignatureTest(TestCase):
    """Guards against replayed or foreign signatures, and a secret rotation that isolates nodes."""

    def test_signatures_outside_the_time_limit_are_refused(self) -> None:
        now = 1_000_000.0
        node = PeerAuthentication([NEW], wall_seconds=lambda: now)
        for age in (MAX_AGE_SECONDS + 1, -MAX_AGE_SECONDS - 1):
            sender = PeerAuthentication([NEW], wall_seconds=lambda age=age: now - age)
            with self.assertRaisesRegex(UnauthenticatedPeerError, "compare the clocks"):
                node.check(MessageKind.GRPC, sender.sign(MessageKind.GRPC, b"m"), b"m")
        self.assertEqual(node.problems[(MessageKind.GRPC, SignatureProblem.EXPIRED)], 2)
        near = PeerAuthentication([NEW], wall_seconds=lambda: now - MAX_AGE_SECONDS + 1)
        node.check(MessageKind.GRPC, near.sign(MessageKind.GRPC, b"m"), b"m")

    def test_signature_is_valid_for_one_kind_of_message(self) -> None:
        node = PeerAuthentication([NEW])
        with self.assertRaises(UnauthenticatedPeerError):
            node.check(MessageKind.DATAGRAM, node.sign(MessageKind.GRPC, b"m"), b"m")

    def test_changed_file_is_reloaded_unless_it_is_invalid(self) -> None:
        with TemporaryDirectory() as directory:
            file = Path(directory, "secret")
            file.write_text("a" * 16, encoding="utf-8")
            node = PeerAuthentication.from_file(str(file))
            first = list(node.secrets)
            for step, text in enumerate(("b" * 16 + "\n" + "a" * 16, "short", "c\nc\nc", "\n")):
                file.write_text(text, encoding="utf-8")
                utime(file, (step + 1, step + 1))
                node.next_reload = 0.0
                node.sign(MessageKind.GRPC, b"m")
                self.assertEqual(len(node.secrets), 2)
                self.assertEqual(node.secrets[1:], first)
            file.unlink()
            node.next_reload = 0.0
            node.sign(MessageKind.GRPC, b"m")
            self.assertEqual(node.secrets[1:], first)
            with self.assertRaisesRegex(SecretFileError, "cannot be read"):
                PeerAuthentication.from_file(str(file))

    def test_unsigned_or_altered_datagrams_are_refused(self) -> None:
        def codec(*secrets: bytes) -> DatagramCodec:
            authentication = PeerAuthentication(list(secrets))
            return DatagramCodec(
                "demo", "stores/a", HybridClock(), lambda: (1, "c"), authentication
            )

        update = Member(name="a", service="stores", address="127.0.0.1", status=1)
        update.peer_port = update.call_port = 1
        node = codec(NEW, OLD)
        for sender in (codec(NEW), codec(OLD)):
            self.assertEqual(list(node.decode(sender.encode([update], [])).updates), [update])
        content = codec(NEW).encode([update], [])
        self.assertEqual(list(codec().decode(content).updates), [update])
        altered = bytearray(content)
        altered[-SIGNATURE_FIELD_BYTES - 1] ^= 1
        bad = [codec().encode([update], []), codec(FOREIGN).encode([update], []), bytes(altered)]
        # An update appended after the signature would be parsed if only the prefix were verified.
        bad.append(content + codec().encode([update], []))
        bad.extend((b"", content[:10], content[: -SIGNATURE_FIELD_BYTES // 2]))
        for forged in bad:
            with self.assertRaises(UnsignedMessageError):
                node.decode(forged)


class SignedGrpcTest(IsolatedAsyncioTestCase):
    """Guards against unauthenticated clients that drain nodes or settle calls over gRPC."""

    async def test_only_status_needs_no_signature(self) -> None:
        test = CallPortCase()
        await test.asyncSetUp()
        self.addAsyncCleanup(test.asyncTearDown)
        state = test.state
        state.authentication.secrets = [NEW]
        server = Server([OperatorService(state)])
        require_signatures(server, state.authentication)
        port = free_port()
        await server.start("127.0.0.1", port)
        envelope = Envelope(cluster="demo", protocol_version=PROTOCOL_VERSION)
        envelope.event_clock = state.clock.tick() + (60_000 << 16)
        for secrets in ([], [FOREIGN], [OLD]):
            channel = open_channel(f"127.0.0.1:{port}", PeerAuthentication(secrets))
            with self.assertRaises(GRPCError) as caught:
                await OperatorStub(channel).Drain(DrainRequest(envelope=envelope))
            self.assertIs(caught.exception.status, Status.UNAUTHENTICATED)
            self.assertIn("cluster_secret_file", caught.exception.message)
            reply = await OperatorStub(channel).Status(StatusRequest(envelope=envelope))
            self.assertFalse(reply.draining)
            self.assertLess(reply.envelope.event_clock, envelope.event_clock)
            channel.close()
        self.assertEqual(state.authentication.refused_count(), 3)
        channel = open_channel(f"127.0.0.1:{port}", PeerAuthentication([NEW]))
        await OperatorStub(channel).Drain(DrainRequest(envelope=envelope))
        self.assertTrue(state.drain.is_leaving)
        channel.close()
        server.close()
        await server.wait_closed()

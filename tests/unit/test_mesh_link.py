"""Detection of silent links."""

from unittest import TestCase
from unittest.mock import patch

from coltsfoottrack._internal.mesh import link
from coltsfoottrack._internal.mesh.body_buffer import PIECE_BYTES, BodyBuffer
from coltsfoottrack._internal.mesh.frames import MAX_COPIED_BYTES, encode, encode_message
from coltsfoottrack._internal.mesh.link import LinkConnection
from coltsfoottrack._internal.mesh.memory_account import MemoryAccount
from coltsfoottrack._internal.schema.links_pb2 import Cancel, Frame, Notice, Ping, Reply, Request


class FakeTransport:
    """A transport that drops what is written."""

    def write(self, data: bytes) -> None:
        pass

    def is_closing(self) -> bool:
        return False


class IgnoringHandler:
    """Ignores all messages."""

    def receive(self, connection: LinkConnection, kind: str, message: object) -> None:
        pass


class OneWayCutTest(TestCase):
    """A peer whose messages arrive but that receives nothing."""

    def setUp(self):
        self.now = 1000.0
        patcher = patch.object(link, "current_time", lambda: self.now)
        patcher.start()
        self.addCleanup(patcher.stop)
        self.connection = LinkConnection(IgnoringHandler())
        self.connection.transport = FakeTransport()
        self.connection.calls[1] = object()
        self.connection.busy_since = self.now

    def counts_as_silent(self, frame: Frame) -> bool:
        """Returns whether the link counts as silent after two seconds of only this message."""
        data = frame.SerializeToString()
        for _ in range(20):
            self.now += 0.1
            self.connection.data_received(len(data).to_bytes(4, "big") + data)
            if not self.connection.probe(self.now):
                return True
        return False

    def test_notices_do_not_show_that_requests_arrive(self):
        """Guards against orders that wait at a node which does not receive them.

        Seen in LostNodeTest: a node sent notices while all that was sent to it was lost.
        """
        self.assertTrue(self.counts_as_silent(Frame(notice=Notice(age_ms=1))))

    def test_answers_show_that_requests_arrive(self):
        self.assertFalse(self.counts_as_silent(Frame(ping=Ping(answer=True))))
        self.assertFalse(self.counts_as_silent(Frame(reply=Reply(number=7))))


class PausingTransport(FakeTransport):
    """A transport whose buffer is full after each piece of a body."""

    def __init__(self, connection: LinkConnection) -> None:
        self.connection = connection

    def write(self, data: bytes) -> None:
        if isinstance(data, memoryview):
            self.connection.pause_writing()


class LargeBodyTest(TestCase):
    """A large body that is being sent while a probe is due."""

    setUp = OneWayCutTest.setUp

    def test_peer_that_reads_a_body_slowly_does_not_count_as_silent(self):
        """Guards against a link that is given up while a large body is under way on it."""
        account = MemoryAccount()
        buffer = BodyBuffer(account, account.try_add)
        buffer.expected_bytes = 8 * PIECE_BYTES
        buffer.append(b"x" * 8 * PIECE_BYTES)
        connection = self.connection
        connection.transport = PausingTransport(connection)
        connection.send_with_body("request", Request(number=1), buffer.finish())
        for _ in range(7):
            self.now += 0.5
            self.assertTrue(connection.probe(self.now))
            connection.resume_writing()
        # Nothing is left to be sent, and the peer does not answer.
        connection.resume_writing()
        self.now += 0.5
        self.assertTrue(connection.probe(self.now))
        self.now += 1.0
        self.assertFalse(connection.probe(self.now))


class RecordingTransport(FakeTransport):
    """A transport that records each write, until it is closed."""

    def __init__(self) -> None:
        self.writes = []
        self.closed = False
        self.ended = False

    def write(self, data: bytes) -> None:
        if self.ended:
            raise RuntimeError("a write after the end of the stream")
        self.writes.append(data)

    def is_closing(self) -> bool:
        return self.closed

    def close(self) -> None:
        self.closed = True

    abort = close

    def write_eof(self) -> None:
        self.ended = True


class AnsweringHandler:
    """Answers each cancel with a reply of its number."""

    def __init__(self, body: bytes = b"", closes_after: int = 0) -> None:
        self.body = body
        self.closes_after = closes_after

    def receive(self, connection: LinkConnection, kind: str, message: Cancel) -> None:
        connection.send_message("reply", Reply(number=message.number, body=self.body))
        if message.number == self.closes_after:
            connection.close()


class FramesOfOneTurnTest(TestCase):
    """40 messages that wait in the socket of a busy node, and the answers to them."""

    def receive(self, handler: AnsweringHandler, tail: bytes = b"") -> list[bytes]:
        """Returns what is written on receipt of all messages at once."""
        frames = [b"".join(encode(Frame(cancel=Cancel(number=n + 1)))) for n in range(40)]
        connection = LinkConnection(handler)
        connection.transport = RecordingTransport()
        connection.data_received(b"".join(frames) + tail)
        return connection.transport.writes

    def expected(self, count: int, body: bytes = b"") -> bytes:
        replies = [Frame(reply=Reply(number=n + 1, body=body)) for n in range(count)]
        return b"".join(part for frame in replies for part in encode(frame))

    def test_answers_leave_in_few_writes_and_in_order(self):
        """Guards against a system call for each answer of a node that is behind."""
        writes = self.receive(AnsweringHandler())
        self.assertEqual(self.expected(40), b"".join(writes))
        self.assertEqual(3, len(writes))

    def test_large_answers_are_not_copied(self):
        """Guards against a large answer that overtakes a small one, or waits for the others."""
        body = b"x" * MAX_COPIED_BYTES
        writes = self.receive(AnsweringHandler(body))
        self.assertEqual(self.expected(40, body), b"".join(writes))
        # The length and the content of each are written apart, which saves joining them.
        self.assertEqual(80, len(writes))

    def test_answers_are_sent_before_the_connection_ends(self):
        """Guards against answers lost to a close or to an unreadable frame behind them."""
        self.assertEqual(self.expected(7), b"".join(self.receive(AnsweringHandler(b"", 7))))
        unreadable = b"\x00\x00\x00\x01\xff"
        self.assertEqual(self.expected(40), b"".join(self.receive(AnsweringHandler(), unreadable)))

    def test_frames_split_at_any_byte_are_read(self):
        """Guards against a frame lost or read twice at the border of two reads."""
        data = b"".join(b"".join(encode(Frame(cancel=Cancel(number=n)))) for n in (1, 2, 300))
        whole = Reply(number=1), Reply(number=2), Reply(number=300)
        expected = b"".join(b"".join(encode_message("reply", reply)) for reply in whole)
        for first in range(len(data)):
            for second in range(first, len(data)):
                connection = LinkConnection(AnsweringHandler())
                connection.transport = RecordingTransport()
                for part in (data[:first], data[first:second], data[second:]):
                    connection.data_received(part)
                self.assertEqual(expected, b"".join(connection.transport.writes))

    def test_message_is_encoded_as_its_frame(self):
        """Guards against messages that nodes of other versions cannot read."""
        for size in (0, 1, 127, 128, 20_000, 40_000, 3_000_000):
            request = Request(number=size, body=b"x" * size)
            framed = encode(Frame(request=request)), encode_message("request", request)
            self.assertEqual(*[b"".join(parts) for parts in framed])
            reply = Reply(number=size, body=b"x" * size)
            framed = encode(Frame(reply=reply)), encode_message("reply", reply)
            self.assertEqual(*[b"".join(parts) for parts in framed])

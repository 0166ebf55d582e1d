"""Detection of silent links."""

from unittest import TestCase
from unittest.mock import patch

from coltsfoottrack._internal.mesh import link
from coltsfoottrack._internal.mesh.link import LinkConnection
from coltsfoottrack._internal.schema.links_pb2 import Frame, Notice, Ping, Reply


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

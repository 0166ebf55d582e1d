"""Links between nodes: framed messages over a few TCP connections for each peer.

Several connections limit head-of-line blocking: a lost packet delays everything sent later on
the same connection.
"""

from asyncio import Protocol, Task, Transport, get_running_loop, wait_for
from collections.abc import Callable
from typing import Any, NamedTuple
from typing import Protocol as Interface

from google.protobuf.message import DecodeError, Message

from coltsfoottrack._internal.mesh.body_buffer import Body, LargeBody
from coltsfoottrack._internal.mesh.clock import current_time
from coltsfoottrack._internal.mesh.frames import (
    LENGTH_BYTES,
    encode,
    encode_message,
    encode_with_body,
)
from coltsfoottrack._internal.mesh.large_frame import LargeFrame
from coltsfoottrack._internal.mesh.memory_account import MemoryAccount
from coltsfoottrack._internal.mesh.model import Member
from coltsfoottrack._internal.mesh.paced_writer import PacedWriter
from coltsfoottrack._internal.mesh.records import from_record
from coltsfoottrack._internal.mesh.sockets import (
    INNER_RECEIVE_BYTES,
    answers_probes,
    bound_receive_buffer,
    detect_silence,
    split_address,
    unreceived_bytes,
)
from coltsfoottrack._internal.schema.links_pb2 import Frame, Ping, Reply, Request

MAX_FRAME_BYTES = 72 * 1024 * 1024
MAX_CONNECTIONS = 6
CONNECT_TIMEOUT_SECONDS = 0.6
RECONNECT_SECONDS = 0.3
# A connection with outstanding calls is probed after the first time without a byte and counts as
# silent after the second. A node that is merely busy answers a probe between two requests.
PROBE_AFTER_SECONDS = 0.4
SILENT_TIMEOUT_SECONDS = 1.0
# A silent peer is not chosen for this long.
SILENT_BLOCK_SECONDS = 2.0
IDLE_CLOSE_SECONDS = 60.0
# Messages that a peer sends of its own accord. They do not show that it receives what is sent to
# it, as a connection may be cut in one direction only.
UNSOLICITED = frozenset(
    (
        "subscribe",
        "unsubscribe",
        "notice",
        "members",
        "member",
        "level_report",
        "rate_usage",
        "rate_grant",
        "suspect",
        "request",
    )
)
# Number of small frames that are written together. It bounds the time for which the first waits
# while further received frames are handled.
MAX_HELD_BACK = 16
# An incomplete frame of this size counts as an answer that is under way.
LARGE_FRAME_BYTES = 16 * 1024


class LinkHandler(Interface):
    """Handles the messages received on links."""

    def hello(self) -> Message:
        """Returns the first message on a new connection."""

    def receive(self, connection: "LinkConnection", kind: str, message: Any) -> None:
        """Handles a message other than a ping."""

    def receive_large(
        self, connection: "LinkConnection", kind: str, message: Any, body: Body | None
    ) -> None:
        """Handles a message with a large body, None if there was no memory for the body."""

    def handle_link_lost(self, connection: "LinkConnection") -> None:
        """Handles a lost connection."""


class LinkConnection(Protocol):
    """One connection of a link, at either end."""

    def __init__(
        self,
        handler: LinkHandler,
        peer: "PeerLink | None" = None,
        account: MemoryAccount | None = None,
    ) -> None:
        self.handler = handler
        # Account of the memory of large bodies; without one, they are received with the message.
        self.account = account
        # The link that opened the connection, None on the accepting side.
        self.peer = peer
        self.transport: Transport | None = None
        # Start of an incomplete frame, and an incomplete frame with a large body.
        self.buffer = bytearray()
        self.large: LargeFrame | None = None
        # Used once a large body is sent.
        self.writer: PacedWriter | None = None
        self.writing_paused = False
        # Nothing more is sent; the connection closes once the peer has closed it.
        self.ended = False
        # Small frames to be written together once all received ones are handled, None otherwise.
        self.held_back: list[bytes] | None = None
        self.calls: dict[int, LinkCall] = {}
        self.last_received = current_time()
        self.last_sent = 0.0
        self.probed = False
        self.probed_at = 0.0
        self.busy_since = 0.0
        # Identifier of the remote process, 0 before its first message.
        self.process = 0
        self.node = ""
        self.member: Member | None = None

    def connection_made(self, transport: Transport) -> None:
        """Sends the hello message of this node."""
        self.transport = transport
        detect_silence(transport)
        bound_receive_buffer(transport, INNER_RECEIVE_BYTES)
        self.send(Frame(hello=self.handler.hello()))

    def data_received(self, data: bytes) -> None:
        """Decodes complete frames and dispatches them; aborts the connection on a bad one."""
        self.held_back = []
        try:
            if self.large is not None:
                data = self._continue_large(data)
                if not data:
                    return
            buffer = self.buffer
            if buffer:
                buffer += data
                data = buffer
            used = self._dispatch_frames(data)
        except DecodeError:
            used = -1
        finally:
            self._write_held_back()
        if used < 0:
            self.transport.abort()
            return
        if data is buffer:
            del buffer[:used]
        elif used < len(data):
            buffer += data[used:] if used else data
        if len(buffer) > LARGE_FRAME_BYTES:
            self._note_answer()
            self._begin_large()

    def _begin_large(self) -> None:
        """Receives the body of the incomplete frame apart, if it has one."""
        if self.account is None:
            return
        try:
            self.large = LargeFrame.from_start(self.buffer, self.account)
        except DecodeError:
            self.transport.abort()
            return
        if self.large is not None:
            self.buffer = bytearray()

    def _continue_large(self, data: bytes) -> bytes:
        """Adds bytes to the incomplete frame and dispatches it; returns what follows it.

        Raises DecodeError.
        """
        self._note_answer()
        rest = self.large.feed(data)
        if not self.large.is_complete():
            return b""
        frame = self.large
        self.large = None
        message, body = frame.finish()
        self.handler.receive_large(self, frame.kind, message, body)
        return rest

    def _dispatch_frames(self, data: bytes | bytearray) -> int:
        """Returns the size of the complete frames, -1 if a frame is too large.

        Raises DecodeError.
        """
        start = 0
        size = len(data)
        while size - start >= LENGTH_BYTES:
            content_start = start + LENGTH_BYTES
            length = int.from_bytes(data[start:content_start], "big")
            if length > MAX_FRAME_BYTES:
                return -1
            end = content_start + length
            if end > size:
                break
            if length > LARGE_FRAME_BYTES and self._dispatch_large(bytes(data[start:end])):
                start = end
                continue
            with memoryview(data) as view:
                content = bytes(view[content_start:end])
            frame = Frame.FromString(content)
            del content
            start = end
            self._dispatch(frame)
        return start

    def _dispatch_large(self, data: bytes) -> bool:
        """Dispatches a complete frame with a large body; returns False if it has none.

        Its body is charged like one that arrives in several reads. Raises DecodeError.
        """
        if self.account is None:
            return False
        frame = LargeFrame.from_start(data, self.account)
        if frame is None:
            return False
        self._note_answer()
        message, body = frame.finish()
        self.handler.receive_large(self, frame.kind, message, body)
        return True

    def _write_held_back(self) -> None:
        held = self.held_back
        self.held_back = None
        if held and self.is_open():
            self._write_parts([held[0] if len(held) == 1 else b"".join(held)])

    def _note_answer(self) -> None:
        """Records that the peer receives and answers."""
        self.last_received = current_time()
        self.probed = False

    def _dispatch(self, frame: Frame) -> None:
        kind = frame.WhichOneof("message")
        if kind is None:
            return
        message = getattr(frame, kind)
        if kind == "ping":
            if message.answer:
                self._note_answer()
            if not message.answer:
                self.send(Frame(ping=Ping(answer=True)))
            return
        if kind not in UNSOLICITED:
            self._note_answer()
        if kind == "hello":
            self.member = from_record(message.member)
            self.process = message.process
            self.node = self.member.node
        self.handler.receive(self, kind, message)

    def connection_lost(self, error: Exception | None) -> None:
        """Notifies the handler."""
        if self.large is not None:
            self.large.discard()
            self.large = None
        if self.writer is not None:
            self.writer.discard()
        self.handler.handle_link_lost(self)

    def pause_writing(self) -> None:
        """Stops sending a large body while the peer does not read it."""
        self.writing_paused = True
        if self.writer is not None:
            self.writer.pause()

    def resume_writing(self) -> None:
        """Continues to send a large body."""
        self.writing_paused = False
        if self.writer is None:
            return
        if not self.writer.is_idle():
            # A probe waits behind the body, but the peer has read more of it than its kernel
            # accepts without it.
            self._note_answer()
        self.writer.resume()

    def is_open(self) -> bool:
        """Returns whether the connection can send messages."""
        if self.transport is None or self.ended:
            return False
        return not self.transport.is_closing()

    def send(self, frame: Frame) -> None:
        """Sends a message; drops it silently if the connection is closed."""
        if self.is_open():
            self._write(encode(frame))

    def send_message(self, kind: str, message: Message) -> None:
        """Sends a message of a kind, at less cost than as a frame."""
        if self.is_open():
            self._write(encode_message(kind, message))

    def send_with_body(self, kind: str, message: Message, body: LargeBody) -> None:
        """Sends a message with a large body, which is not copied."""
        if not self.is_open():
            return
        self._write_held_back()
        if self.writer is None:
            self.writer = PacedWriter(self.transport)
            self.writer.paused = self.writing_paused
        self.last_sent = current_time()
        self.writer.write(encode_with_body(kind, message, len(body)))
        self.writer.write_body(body)

    def _write(self, parts: list[bytes]) -> None:
        self.last_sent = current_time()
        if self.held_back is None:
            self._write_parts(parts)
            return
        if len(parts) > 1:
            # A large frame is written without a copy, after the small ones before it.
            self._write_held_back()
            self.held_back = []
            self._write_parts(parts)
            return
        self.held_back += parts
        if len(self.held_back) >= MAX_HELD_BACK:
            self._write_held_back()
            self.held_back = []

    def _write_parts(self, parts: list[bytes]) -> None:
        output = self.transport if self.writer is None else self.writer
        for part in parts:
            output.write(part)

    def close(self) -> None:
        """Ends the stream after all that was sent; the peer closes once it has read that.

        A close at once would reset the connection if the peer sends something meanwhile, and the
        peer would lose what it has not received.
        """
        if not self.is_open():
            return
        self._write_held_back()
        self.ended = True
        if self.writer is None:
            self.transport.write_eof()
        else:
            self.writer.end()

    def has_unreceived(self) -> bool:
        """Returns whether the peer has not received all that was sent."""
        if self.transport is None:
            return False
        waits = self.writer is not None and not self.writer.is_idle()
        return waits or unreceived_bytes(self.transport) > 0

    def is_silent(self) -> bool:
        """Returns whether the peer has not acknowledged what was last sent to it."""
        return not answers_probes(self.transport)

    def probe(self, now: float) -> bool:
        """Probes a connection with outstanding calls; returns False once it counts as silent."""
        quiet = now - max(self.last_received, self.busy_since)
        if not self.calls or quiet < PROBE_AFTER_SECONDS:
            return True
        if not self.probed:
            self.probed = True
            self.probed_at = now
            self._write_parts([_PROBE])
            return True
        return now - self.probed_at < SILENT_TIMEOUT_SECONDS - PROBE_AFTER_SECONDS


class ReplyHandler(Interface):
    """Receives the replies to requests, identified by number."""

    def handle_reply(self, number: int, reply: Reply, body: LargeBody | None = None) -> None:
        """Handles a reply; ``body`` is that of the answer if it is large."""

    def handle_no_reply(self, number: int, may_have_run: bool, reason: str) -> None:
        """Handles a request that will get no reply."""

    def grant(self, number: int) -> bool:
        """Returns whether a claimed request may run; if so, it may have run from then on."""

    def is_granted(self, number: int) -> bool:
        """Returns whether a request was granted and has not ended."""


class LinkCall(NamedTuple):
    """A request on a link and the handler of its reply."""

    request: Request
    idempotent: bool
    expires: float
    handler: ReplyHandler
    # Body of the request if it is large, None if the message holds it.
    body: LargeBody | None = None

    def fail(self, may_have_run: bool, reason: str) -> None:
        """Reports to the handler that no reply will come."""
        self.handler.handle_no_reply(self.request.number, may_have_run, reason)


_PROBE = b"".join(encode(Frame(ping=Ping(answer=False))))


class PeerLink:
    """The connections to one peer, and the calls waiting for a connection."""

    def __init__(
        self,
        member: Member,
        handler: LinkHandler,
        block: Callable[[str, float], None],
        account: MemoryAccount | None = None,
    ) -> None:
        self.account = account
        self.member = member
        self.handler = handler
        # Excludes the peer from selection for a number of seconds.
        self.block = block
        self.connections: list[LinkConnection] = []
        self.waiting: list[tuple[LinkCall, bool]] = []
        # Messages without a reply that wait for a connection.
        self.waiting_messages: list[Frame] = []
        self.task: Task[None] | None = None

    def send(self, call: LinkCall) -> None:
        """Sends a call for the first time."""
        best = self._least_used()
        if best is None:
            self.waiting.append((call, False))
            self._open()
            return
        if best.calls and len(self.connections) < MAX_CONNECTIONS:
            self._open()
        self._write(best, call)

    def connect(self) -> None:
        """Opens a connection if there is none."""
        if self._least_used() is None:
            self._open()

    def send_message(self, frame: Frame) -> bool:
        """Sends a message without a reply; returns False and connects if there is no connection."""
        connection = self._least_used()
        if connection is None:
            self._open()
            return False
        connection.send(frame)
        return True

    def send_when_connected(self, frame: Frame) -> None:
        """Sends a message without a reply, after connecting if there is no connection."""
        if not self.send_message(frame):
            self.waiting_messages.append(frame)

    def _least_used(self) -> LinkConnection | None:
        best: LinkConnection | None = None
        for connection in self.connections:
            if not connection.is_open() or connection.probed:
                continue
            if best is None or len(connection.calls) < len(best.calls):
                best = connection
                if not best.calls:
                    break
        return best

    def _write(self, connection: LinkConnection, call: LinkCall) -> None:
        if not connection.calls:
            connection.busy_since = current_time()
        connection.calls[call.request.number] = call
        if call.body is None:
            connection.send_message("request", call.request)
        else:
            connection.send_with_body("request", call.request, call.body)

    def _open(self) -> None:
        if self.task is None:
            self.task = get_running_loop().create_task(self._connect())

    async def _connect(self) -> None:
        try:
            host, port = split_address(self.member.address)
            _, connection = await wait_for(
                get_running_loop().create_connection(
                    lambda: LinkConnection(self.handler, self, self.account), host, port
                ),
                CONNECT_TIMEOUT_SECONDS,
            )
        except (OSError, TimeoutError, ValueError) as error:
            self.task = None
            self._connect_failed(isinstance(error, ConnectionRefusedError | ValueError))
            return
        self.task = None
        self.connections.append(connection)
        messages = self.waiting_messages
        self.waiting_messages = []
        for frame in messages:
            connection.send(frame)
        waiting = self.waiting
        self.waiting = []
        for call, resent in waiting:
            if resent:
                call.request.resent = True
            self._write(connection, call)

    def _connect_failed(self, refused: bool) -> None:
        """Fails the waiting calls, except non-idempotent ones that may have arrived earlier.

        Those are kept until they expire, unless the connection was refused.
        """
        reason = "connection_refused" if refused else "connect_timeout"
        if not self._least_used():
            self.block(self.member.node, SILENT_BLOCK_SECONDS if not refused else 0.5)
        self.waiting_messages = []
        waiting = self.waiting
        self.waiting = []
        now = current_time()
        for call, resent in waiting:
            if resent and not refused and not call.idempotent and now < call.expires:
                self.waiting.append((call, resent))
                continue
            call.fail(resent, reason)
        if self.waiting:
            get_running_loop().call_later(RECONNECT_SECONDS, self._open)

    def handle_lost(self, connection: LinkConnection, silent: bool) -> None:
        """Fails the calls of a lost connection, or sends them again to the same process."""
        if connection in self.connections:
            self.connections.remove(connection)
        calls = connection.calls
        connection.calls = {}
        for call in calls.values():
            if not call.idempotent and not call.handler.is_granted(call.request.number):
                call.fail(False, "peer_silent" if silent else "link_lost")
                continue
            if silent and call.idempotent:
                call.fail(True, "peer_silent")
                continue
            self.waiting.append((call, True))
        if self.waiting:
            self._open()

    def drop_call(self, number: int) -> None:
        """Drops a call whose reply is no longer needed."""
        for connection in self.connections:
            if connection.calls.pop(number, None) is not None:
                return
        for index, (call, _) in enumerate(self.waiting):
            if call.request.number == number:
                del self.waiting[index]
                return

    def connection_of(self, number: int) -> LinkConnection | None:
        """Returns the connection on which a call was sent, None if there is none."""
        for connection in self.connections:
            if number in connection.calls:
                return connection
        return None

    def tick(self, now: float) -> None:
        """Drops silent connections and closes idle ones."""
        for connection in list(self.connections):
            if not connection.probe(now):
                self.block(self.member.node, SILENT_BLOCK_SECONDS)
                self.handle_lost(connection, silent=True)
                connection.transport.abort()
            elif not connection.calls and now - connection.last_sent > IDLE_CLOSE_SECONDS:
                self.connections.remove(connection)
                connection.close()

    def stop_connecting(self) -> None:
        """Gives up a connection that is not established yet."""
        if self.task is not None:
            self.task.cancel()
            self.task = None

    def close(self) -> None:
        """Closes all connections."""
        for connection in self.connections:
            connection.close()
        self.connections = []

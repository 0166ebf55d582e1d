"""Connections of callers: HTTP/1.1 with pipelining; answers keep the order of the requests."""

from asyncio import Protocol, Transport
from collections import deque

from coltsfoottrack._internal.mesh.body_buffer import SMALL_BODY_BYTES, Body, LargeBody
from coltsfoottrack._internal.mesh.caller_group import FIRST_REQUEST_SECONDS, CallerGroup
from coltsfoottrack._internal.mesh.caller_request import CallerRequest, RequestHandler
from coltsfoottrack._internal.mesh.clock import current_time
from coltsfoottrack._internal.mesh.memory_account import MemoryAccount
from coltsfoottrack._internal.mesh.model import CallerLimits
from coltsfoottrack._internal.mesh.paced_writer import PacedWriter
from coltsfoottrack._internal.mesh.read_turns import bound_reads
from coltsfoottrack._internal.mesh.request_reader import MEMORY, RequestReader
from coltsfoottrack._internal.mesh.silence_watch import SilenceWatch
from coltsfoottrack._internal.mesh.sockets import (
    CALLER_RECEIVE_BYTES,
    bound_receive_buffer,
    detect_silence,
    unreceived_bytes,
)

MAX_PIPELINED = 64
# A connection is aborted if the caller does not read its answers for this long, and does not wait
# for them any more.
UNREAD_TIMEOUT_SECONDS = 20.0
# Receive buffer of a connection on which a large body arrives.
UPLOAD_RECEIVE_BYTES = 64 * 1024
# A caller that sends or reads less than this in a second makes little progress.
SLOW_BYTES_PER_SECOND = 64 * 1024
MIN_PROGRESS_SECONDS = 1.0
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
# Reasons for which an incomplete request is rejected or a connection is aborted.
TOO_SLOW = "too_slow"
CONNECTIONS = "connections"
SILENT = "silent"


class CallerConnection(Protocol):
    """One connection of a caller.

    A close in order takes three steps (RFC 9112, 9.6): after the last answer the node ends its own
    direction; it reads on and discards what arrives, as unread bytes would reset the connection and
    cost the caller what it has not received; and it closes once the caller has, at the latest when
    the caller waits no longer for any answer on the connection.
    """

    def __init__(self, handler: RequestHandler, group: CallerGroup) -> None:
        self.handler = handler
        self.group = group
        self.account: MemoryAccount = group.account
        self.transport: Transport | None = None
        self.writer: PacedWriter | None = None
        self.reader = RequestReader(self, handler, self.account)
        self.waiting: deque[CallerRequest] = deque()
        # Those of the waiting requests that are not handled yet, and the number of those that are
        # handled and not answered.
        self.unhandled: deque[CallerRequest] = deque()
        self.running = 0
        # Size of the answers that wait for their turn, and of the last one that was written.
        self.answered_bytes = 0
        self.written_bytes = 0
        self.is_busy = False
        self.is_handling = False
        # Since when a request has been partly received.
        self.receiving_since: float | None = None
        self.idle_since = current_time()
        self.unread_since: float | None = None
        # Charge of the answers in the buffer of the connection while they are not read.
        self.unread_bytes = 0
        # A large body is being received.
        self.is_upload = False
        # Bytes received and bytes written by the time of the last sweep, and now received.
        self.received_bytes = 0
        self.swept_at = self.idle_since
        self.swept_bytes = 0
        # The caller has sent or read little since the last sweep but one.
        self.is_slow = False
        self.answered = False
        # The port has too many connections, so that requests on this one are rejected.
        self.over_limit = False
        # Other connections are read before this one.
        self.awaits_turn = False
        # No further requests are read from the connection.
        self.closing = False
        # The connection closes once all answers are written.
        self.close_pending = False
        self.silence = SilenceWatch()
        # Until when the callers of the answers written so far wait for them.
        self.needed_until = 0.0
        # The connection waits for the caller's close until then; None before its last answer.
        self.linger_until: float | None = None

    def connection_made(self, transport: Transport) -> None:
        """Registers the connection."""
        self.transport = transport
        self.writer = PacedWriter(transport)
        detect_silence(transport)
        bound_reads(transport)
        self.group.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Cancels the requests of the caller that are in flight and frees their memory."""
        self.group.remove(self)
        self.closing = True
        self.account.end_upload(self)
        self._credit_unread()
        self.writer.discard()
        self.reader.close()
        self._drop_waiting()

    def _drop_waiting(self) -> None:
        waiting = self.waiting
        self.waiting = deque()
        self.unhandled.clear()
        self.running = 0
        self.answered_bytes = 0
        self._note_busy()
        for request in waiting:
            self._release(request)
            cancel = request.cancel
            request.is_running = False
            # The entry's call refers to the request, and must not be referred to by it.
            request.cancel = None
            if request.answer is None and cancel is not None:
                cancel()

    def _release(self, request: CallerRequest) -> None:
        self.account.remove(request.charged_bytes)
        request.charged_bytes = 0

    def pause_writing(self) -> None:
        """Stops reading requests while the caller does not read its answers."""
        self.writer.pause()
        self.unread_since = current_time()
        self.unread_bytes = self.transport.get_write_buffer_size()
        self.account.add(self.unread_bytes)
        self._update_reading()

    def resume_writing(self) -> None:
        """Continues to write answers, and resumes reading requests."""
        self._credit_unread()
        self.unread_since = None
        self.writer.resume()
        self._write_answers()
        self._update_reading()

    def _credit_unread(self) -> None:
        self.account.remove(self.unread_bytes)
        self.unread_bytes = 0

    def _update_reading(self) -> None:
        """Reads requests while the caller reads its answers and few enough requests wait.

        What arrives on a connection that is about to close is read and discarded.
        """
        if self.transport.is_closing():
            return
        has_room = self.unread_since is None and len(self.waiting) <= MAX_PIPELINED
        if (has_room or self.closing) and not self.awaits_turn:
            self.transport.resume_reading()
        else:
            self.transport.pause_reading()

    def data_received(self, data: bytes) -> None:
        """Feeds the parser."""
        if self.closing:
            self.group.turns.wait(self)
            return
        self.received_bytes += len(data)
        if self.receiving_since is None:
            self.receiving_since = current_time()
        self.reader.feed(data)
        if not self.closing:
            self.group.turns.end_read(self, self.reader.parts)

    def eof_received(self) -> bool:
        """Closes the connection, after a large answer that is being written."""
        if self.waiting or self.writer.is_idle():
            return False
        self.writer.close()
        return True

    def wait_for_turn(self) -> None:
        """Stops reading."""
        self.awaits_turn = True
        self._update_reading()

    def take_turn(self) -> None:
        """Reads again, if nothing else is in the way."""
        self.awaits_turn = False
        self._update_reading()

    def new_request(self) -> CallerRequest:
        """Returns a request without content."""
        return CallerRequest(self)

    def begin_body(self) -> None:
        """Handles a complete head; the body follows."""
        if self.over_limit:
            self.reject(503, CONNECTIONS)
            return
        if not self.reader.expects_continue or self.waiting:
            return
        if not self.account.has_room(self.reader.announced_bytes):
            self.reject(503, MEMORY)
            return
        self.transport.write(CONTINUE)

    def reserve(self, size: int) -> bool:
        """Charges memory for the body that is being received."""
        if not self.is_upload:
            if size <= SMALL_BODY_BYTES:
                return self.account.try_add(size, self)
            self.is_upload = True
            bound_receive_buffer(self.transport, UPLOAD_RECEIVE_BYTES)
        return self.account.try_add_upload(self, size)

    def reserve_head(self, size: int) -> bool:
        """Charges memory for a large head that is being received."""
        return self.account.try_add(size, self)

    def _end_upload(self) -> None:
        if not self.is_upload:
            return
        self.is_upload = False
        self.account.end_upload(self)
        bound_receive_buffer(self.transport, CALLER_RECEIVE_BYTES)

    def complete(self, request: CallerRequest) -> None:
        """Validates a complete request and passes it to the handler."""
        self.receiving_since = None
        request.received = current_time()
        self._end_upload()
        self.waiting.append(request)
        size = request.content_bytes()
        if not self.account.try_add(size, self):
            self._reject_complete(request)
            return
        request.charged_bytes = size
        lacks_id = self.handler.requires_id and not request.request_id
        if self.reader.has_duplicate or lacks_id or not request.path.startswith("/"):
            request.keep_alive = False
            self.respond(request, 400, b"", b"")
            return
        if len(self.waiting) > MAX_PIPELINED:
            self._update_reading()
        self.unhandled.append(request)
        self._note_busy()
        self.handle_waiting()

    def handle_waiting(self, run_ahead: bool = False) -> None:
        """Handles requests in their order, as far ahead of the caller's reading as there is room.

        The answers to requests that were sent ahead are held until the caller has read those before
        them. With ``run_ahead`` all are handled.
        """
        # An answer that is ready at once would handle the next request within this loop.
        if self.is_handling:
            return
        self.is_handling = True
        while self.unhandled and (run_ahead or self._may_run_ahead()):
            request = self.unhandled.popleft()
            request.is_running = True
            self.running += 1
            self.handler.handle(request)
        self.is_handling = False

    def _may_run_ahead(self) -> bool:
        """Returns whether the answer to the next request is likely to find room."""
        held = self.answered_bytes
        if self.unread_since is not None or not self.writer.is_idle():
            held += self.written_bytes
        if not held and not self.running:
            return True
        expected = (self.running + 1) * self.group.answer_bytes
        return held + expected <= self.group.ahead_bytes()

    def _note_busy(self) -> None:
        """Counts the connection among those with requests that are not answered."""
        if self.is_busy != bool(self.waiting):
            self.is_busy = not self.is_busy
            self.group.busy += 1 if self.is_busy else -1

    def _reject_complete(self, request: CallerRequest) -> None:
        head = self.handler.note_rejected(request, 503, MEMORY)
        request.body = b""
        self.respond(request, 503, head, b"")

    def respond(self, request: CallerRequest, status: int, head: bytes, body: Body) -> None:
        """Stores an answer and writes all answers whose turn it is."""
        request.cancel = None
        if request.answer is not None:
            return
        # The answers to requests that were sent ahead come before the connection closes.
        if self.handler.is_stopping() and self.waiting and request is self.waiting[-1]:
            request.keep_alive = False
        if not request.keep_alive:
            self.closing = True
        request.encode_answer(status, head, body)
        if request.is_running:
            request.is_running = False
            self.running -= 1
        self.answered_bytes += request.answer_size()
        self.group.record_answer(request.answer_size())
        # A large body is not needed any more, but the answer may have to wait for its turn.
        if type(request.body) is LargeBody:
            request.body = b""
        self._charge_answer(request)
        self._write_answers()

    def _charge_answer(self, request: CallerRequest) -> None:
        if request is self.waiting[0] and self.unread_since is None:
            return
        size = len(request.answer)
        self.account.add(size)
        request.charged_bytes += size

    def _write_answers(self) -> None:
        waiting = self.waiting
        while waiting and waiting[0].answer is not None:
            if self.transport.is_closing():
                self._drop_waiting()
                return
            if self.unread_since is not None or not self.writer.is_idle():
                self.handle_waiting()
                return
            request = waiting.popleft()
            self.written_bytes = request.answer_size()
            self.answered_bytes -= self.written_bytes
            self.answered = True
            self._release(request)
            self._note_needed(request)
            self.writer.write(request.answer)
            if request.answer_body is not None:
                self.writer.write_body(request.answer_body)
            if not request.keep_alive:
                self._close_after_response()
                return
        self._note_busy()
        if self.close_pending:
            self._close_when_written()
            return
        self.handle_waiting()
        if not waiting:
            self.idle_since = current_time()
        if not self.transport.is_reading():
            self._update_reading()

    def _note_needed(self, request: CallerRequest) -> None:
        """Notes until when the caller waits for an answer that is about to be written."""
        until = request.deadline
        if not until:
            until = current_time() + self.handler.limits().idle_timeout_ms / 1000.0
        if until > self.needed_until:
            self.needed_until = until

    def _close_after_response(self) -> None:
        """Closes the connection after an answer; later requests on it are cancelled."""
        self.closing = True
        self._drop_waiting()
        self.close_pending = True
        self._close_when_written()

    def _close_when_written(self) -> None:
        if self.waiting or not self.writer.is_idle() or self.transport.is_closing():
            return
        self.linger_until = self.needed_until
        self.transport.write_eof()
        self._update_reading()

    def reject(self, status: int, reason: str) -> None:
        """Rejects an incomplete or unreadable request after the answers to earlier ones."""
        request = self.reader.drop_current() or CallerRequest(self)
        self._end_upload()
        self.receiving_since = None
        request.keep_alive = False
        self.waiting.append(request)
        head = self.handler.note_rejected(request, status, reason)
        self.respond(request, status, head, b"")
        self.closing = True

    def held_bytes(self) -> int:
        """Returns the memory that becomes free if the connection gives way."""
        held = self.reader.held_bytes() + self.unread_bytes
        if self.unread_since is not None:
            for request in self.waiting:
                held += request.charged_bytes
        return held

    def give_way(self) -> None:
        """Frees the memory of a body that is being received, or of answers that are not read."""
        if self.receiving_since is not None and not self.closing:
            self.reject(503, MEMORY)
        if self.unread_since is not None:
            self.abort(MEMORY)

    def abort(self, reason: str) -> None:
        """Closes the connection at once; unwritten answers are lost."""
        self.group.note_aborted(reason)
        self.group.remove(self)
        self._drop_waiting()
        self._credit_unread()
        self.writer.discard()
        self.closing = True
        self.transport.abort()

    def awaits_first_request(self, now: float) -> bool:
        """Returns whether its first request may still be under way."""
        return not self.answered and now - self.idle_since < FIRST_REQUEST_SECONDS

    def has_unreceived(self) -> bool:
        """Returns whether the caller has not received all that was written."""
        return not self.writer.is_idle() or unreceived_bytes(self.transport) > 0

    def awaits_bytes(self, now: float) -> bool:
        """Returns whether the caller still waits for something that it has not received."""
        return now <= self.needed_until and self.has_unreceived()

    def is_idle(self, now: float) -> bool:
        """Returns whether no request is in flight or arriving and no answer is on its way.

        An answer that the caller waits for no longer does not count.
        """
        if self.waiting or self.closing or self.receiving_since is not None:
            return False
        return not self.awaits_bytes(now)

    def is_finished(self, now: float) -> bool:
        """Returns whether the end of the process would cost the caller no answer.

        What the caller's kernel has acknowledged is the caller's, also after a reset.
        """
        if self.waiting or self.awaits_first_request(now):
            return False
        if self.receiving_since is not None and not self.closing:
            return False
        return not self.awaits_bytes(now)

    def close_if_idle(self, now: float) -> None:
        """Closes the connection if it is idle."""
        if self.is_idle(now):
            self.close_after_answers()

    def close_after_answers(self) -> None:
        """Closes the connection after all answers; requests that still arrive have none."""
        self.closing = True
        self.close_pending = True
        self._close_when_written()

    def end_linger(self, now: float) -> None:
        """Closes the connection if its caller has not done so in time."""
        if self.linger_until is not None and now > self.linger_until:
            if self.has_unreceived():
                self.group.unreceived_closed += 1
            self.transport.abort()

    def sweep(self, now: float, limits: CallerLimits) -> None:
        """Enforces the timeouts of the connection and notes whether it makes progress."""
        self.note_progress(now)
        self.end_linger(now)
        if self.silence.is_silent(self.transport, now):
            self.abort(SILENT)
        if self._is_unread(now):
            self.transport.abort()
        elif self.receiving_since is not None:
            if now - self.receiving_since > limits.header_timeout_ms / 1000.0:
                self._sweep_receiving(now, limits)
        elif not self.waiting and now - self.idle_since > limits.idle_timeout_ms / 1000.0:
            self.close_if_idle(now)

    def _is_unread(self, now: float) -> bool:
        """Returns whether the caller has not read its answers for too long."""
        if self.unread_since is None or now < self.needed_until:
            return False
        return now - self.unread_since > UNREAD_TIMEOUT_SECONDS

    def note_progress(self, now: float) -> None:
        """Notes whether the caller has sent or read little since this was last told."""
        since = self.receiving_since if self.unread_since is None else self.unread_since
        if since is None:
            self.is_slow = False
            return
        elapsed = now - max(self.swept_at, since)
        if elapsed < MIN_PROGRESS_SECONDS:
            return
        progress = self.received_bytes - self.swept_bytes
        self.swept_at = now
        self.swept_bytes = self.received_bytes
        self.is_slow = progress < SLOW_BYTES_PER_SECOND * elapsed

    def _sweep_receiving(self, now: float, limits: CallerLimits) -> None:
        """Rejects a request that arrives too slowly; a body may take the idle timeout."""
        elapsed = now - self.receiving_since
        if self.reader.has_body_part() and elapsed < limits.idle_timeout_ms / 1000.0:
            return
        self.reject(408, TOO_SLOW)

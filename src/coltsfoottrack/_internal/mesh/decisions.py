"""Structured log of the routed path: one JSON line for each decision, bounded, never blocking."""

from collections import deque
from os import set_blocking, write
from typing import Any

from orjson import dumps
from structlog import get_logger, wrap_logger
from structlog.processors import TimeStamper

from coltsfoottrack._internal.calls.token_bucket import TokenBucket
from coltsfoottrack._internal.mesh.clock import current_time

STANDARD_OUTPUT = 1
# Lines about single requests: this many in a second, and in one burst.
REQUEST_LINES_PER_SECOND = 40.0
REQUEST_LINES_BURST = 400.0
# Lines about requests to which nothing happened: a sample.
SAMPLE_LINES_PER_SECOND = 2.0
SAMPLE_LINES_BURST = 10.0
# Lines that wait for a reader of standard output, in bytes.
MAX_BUFFERED_BYTES = 1024 * 1024

logger = get_logger(__name__)


class LineWriter:
    """Writes lines to standard output; drops and counts what nobody reads."""

    def __init__(self, descriptor: int = STANDARD_OUTPUT) -> None:
        self.descriptor = descriptor
        self.waiting: deque[bytes] = deque()
        self.waiting_bytes = 0
        self.dropped = 0
        set_blocking(descriptor, False)

    def msg(self, message: bytes) -> None:
        """Takes one line."""
        if self.waiting_bytes + len(message) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        self.waiting.append(message)
        self.waiting_bytes += len(message)
        if len(self.waiting) == 1:
            self.flush()

    info = msg

    def flush(self) -> None:
        """Writes what standard output takes now."""
        while self.waiting:
            line = self.waiting[0]
            try:
                written = write(self.descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # Standard output is closed; the lines are lost, the counters remain.
                self.dropped += len(self.waiting)
                self.waiting.clear()
                self.waiting_bytes = 0
                return
            self.waiting_bytes -= written
            if written < len(line):
                self.waiting[0] = line[written:]
                return
            self.waiting.popleft()


def render(_logger: Any, _name: str, event: dict[str, Any]) -> bytes:
    """Renders an event as a JSON line."""
    return dumps(event, default=str) + b"\n"


class DecisionLog:
    """Writes one line for each decision.

    Lines that say what the node believes are always written. Those about refused, failed and
    repeated requests are bounded; what was left out is counted and said with the next line. Of the
    other requests a sample is written.
    """

    def __init__(self, node: str, writer: LineWriter | None = None) -> None:
        self.writer = writer or LineWriter()
        self.logger = wrap_logger(
            self.writer,
            processors=[TimeStamper(fmt=None), render],
        ).bind(node=node)
        self.bucket = TokenBucket(REQUEST_LINES_PER_SECOND, REQUEST_LINES_BURST, current_time())
        self.samples = TokenBucket(SAMPLE_LINES_PER_SECOND, SAMPLE_LINES_BURST, current_time())
        self.left_out = 0
        self.left_out_total = 0
        self.counts: dict[str, int] = {}

    def decision(self, event: str, **fields: Any) -> None:
        """Logs a change of what the node believes, or of its own state."""
        self.counts[event] = self.counts.get(event, 0) + 1
        self.logger.msg(event, **fields)

    def request(self, event: str, **fields: Any) -> None:
        """Logs a decision about one request, within the bound."""
        self.counts[event] = self.counts.get(event, 0) + 1
        if self.bucket.available(current_time()) < 1.0:
            self.left_out += 1
            self.left_out_total += 1
            return
        self.bucket.take(1.0)
        if self.left_out:
            fields["left_out_before"] = self.left_out
            self.left_out = 0
        self.logger.msg(event, **fields)

    def try_sample(self) -> bool:
        """Tells whether a line about an ordinary request is to be written now."""
        if self.samples.available(current_time()) < 1.0:
            return False
        self.samples.take(1.0)
        return True

"""Structured log of the mesh: one JSON line per decision, rate-limited, never blocking."""

from collections import deque
from os import set_blocking, write
from typing import Any

from orjson import dumps
from structlog import get_logger, wrap_logger
from structlog.processors import TimeStamper

from coltsfoottrack._internal.calls.token_bucket import TokenBucket
from coltsfoottrack._internal.mesh.clock import current_time

STANDARD_OUTPUT = 1
# Rate limit of lines about single requests.
REQUEST_LINES_PER_SECOND = 40.0
REQUEST_LINES_BURST = 400.0
# Rate limit of the sample of lines about ordinary requests.
SAMPLE_LINES_PER_SECOND = 2.0
SAMPLE_LINES_BURST = 10.0
# Bound on lines buffered until standard output accepts them.
MAX_BUFFERED_BYTES = 1024 * 1024

logger = get_logger(__name__)


class LineWriter:
    """Writes lines to standard output without blocking; drops and counts those that do not fit."""

    def __init__(self, descriptor: int = STANDARD_OUTPUT) -> None:
        self.descriptor = descriptor
        self.buffer: deque[bytes] = deque()
        self.buffered_bytes = 0
        self.dropped = 0
        set_blocking(descriptor, False)

    def msg(self, message: bytes) -> None:
        """Queues one line and writes it if no other line is waiting."""
        if self.buffered_bytes + len(message) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        self.buffer.append(message)
        self.buffered_bytes += len(message)
        if len(self.buffer) == 1:
            self.flush()

    info = msg

    def flush(self) -> None:
        """Writes as much as standard output accepts now."""
        while self.buffer:
            line = self.buffer[0]
            try:
                written = write(self.descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # Standard output is closed: the lines are lost but counted.
                self.dropped += len(self.buffer)
                self.buffer.clear()
                self.buffered_bytes = 0
                return
            self.buffered_bytes -= written
            if written < len(line):
                self.buffer[0] = line[written:]
                return
            self.buffer.popleft()


def render(_logger: Any, _name: str, event: dict[str, Any]) -> bytes:
    """Renders an event as a JSON line."""
    return dumps(event, default=str) + b"\n"


class DecisionLog:
    """Writes one line per decision.

    Changes of the node's known state are always logged. Lines about refused, failed and retried
    requests are rate-limited; the number of omitted lines is counted and added to the next line.
    Ordinary requests are sampled.
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

    def count(self, event: str) -> None:
        """Counts a frequent decision that has no line of its own."""
        self.counts[event] = self.counts.get(event, 0) + 1

    def decision(self, event: str, **fields: Any) -> None:
        """Logs a change of the node's known state or of its own state."""
        self.count(event)
        self.logger.msg(event, **fields)

    def request(self, event: str, **fields: Any) -> None:
        """Logs a decision about one request, within the rate limit."""
        self.count(event)
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
        """Returns whether to log the present ordinary request; if so, charges the sample's rate."""
        if self.samples.available(current_time()) < 1.0:
            return False
        self.samples.take(1.0)
        return True

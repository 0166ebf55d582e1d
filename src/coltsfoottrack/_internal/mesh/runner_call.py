"""One call at the runner."""

from collections.abc import Callable
from hashlib import blake2b
from typing import NamedTuple

from coltsfoottrack._internal.mesh.backend_connection import BackendConnection
from coltsfoottrack._internal.mesh.backend_state import Lifetime
from coltsfoottrack._internal.mesh.body_buffer import Body, LargeBody
from coltsfoottrack._internal.mesh.clock import current_time
from coltsfoottrack._internal.mesh.parent_requests import RunningRequest
from coltsfoottrack._internal.schema.links_pb2 import Request

DIGEST_BYTES = 16


class CallKey(NamedTuple):
    """Identifies a call by the sending process and its number there."""

    node: str
    process: int
    number: int


class RunResult(NamedTuple):
    """The result of a call."""

    result: int
    reason: str
    status: int = 0
    head: bytes = b""
    body: Body = b""
    # Whether the run failed after one of its calls had failed, and for lack of capacity.
    failed_below: bool = False
    short_of_capacity: bool = False


class RunnerCall:
    """One call at the runner, from arrival to result."""

    __slots__ = (
        "answer",
        "arrived",
        "body",
        "charged_bytes",
        "claim",
        "claimed_at",
        "connection",
        "deliver",
        "digest",
        "done",
        "expires",
        "key",
        "lifetime",
        "message",
        "orphaned_at",
        "rank",
        "run",
        "sent_at",
        "usual_time_at_start",
        "wait_until",
    )

    def __init__(
        self,
        key: CallKey,
        message: Request,
        deliver: Callable[["RunnerCall"], None],
        claim: Callable[["RunnerCall"], None] | None = None,
        body: LargeBody | None = None,
    ) -> None:
        # Asks the sender whether the call may still run; None if no claim is needed or it was
        # granted.
        self.claim = claim
        self.claimed_at = 0.0
        self.key = key
        self.message = message
        # Body of the request if it is large, None if the message holds it.
        self.body = body
        # Memory charged for the request; a large body has a charge of its own.
        self.charged_bytes = 0
        # Passes the result to the sender.
        self.deliver = deliver
        self.arrived = current_time()
        self.expires = self.arrived + message.time_left_ms / 1000.0
        self.wait_until = self.arrived + message.wait_ms / 1000.0
        self.rank = message.rank
        self.sent_at: float | None = None
        # The run at the backend server, None before the request is sent to it.
        self.run: RunningRequest | None = None
        # Clock of the backend server's work when the request was sent, in seconds; None if it does
        # not report its slowdown.
        self.usual_time_at_start: float | None = None
        # Process of the backend server to which the request was sent.
        self.lifetime: Lifetime | None = None
        self.connection: BackendConnection | None = None
        self.answer: RunResult | None = None
        self.done = False
        self.orphaned_at: float | None = None
        self.digest: bytes | None = None

    def content_digest(self) -> bytes:
        """Returns the digest that identifies the request as a suspect in a crash."""
        if self.digest is None:
            line = self.message.head.split(b"\r\n", 1)[0]
            digest = blake2b(line + b"\n" + self.message.body, digest_size=DIGEST_BYTES)
            if self.body is not None:
                for piece in self.body.pieces():
                    digest.update(piece)
            self.digest = digest.digest()
        return self.digest

"""State of one caller's request at the entry."""

from coltsfoottrack._internal.mesh.body_buffer import LargeBody
from coltsfoottrack._internal.mesh.caller_request import CallerRequest
from coltsfoottrack._internal.mesh.directory import Peer
from coltsfoottrack._internal.mesh.model import Customer, Member, Route
from coltsfoottrack._internal.mesh.parent_requests import RunningRequest
from coltsfoottrack._internal.schema.links_pb2 import Reply


class EntryCall:
    """One caller's request from its arrival to its answer."""

    __slots__ = (
        "attempts",
        "charged",
        "chosen_record",
        "customer",
        "deadline",
        "declined",
        "done",
        "expires",
        "failed_backend",
        "failed_body",
        "failed_reply",
        "granted",
        "is_retry",
        "may_decline",
        "number",
        "parent",
        "peer",
        "rank",
        "reason",
        "request",
        "route",
        "sends",
        "sent_at",
        "service",
        "tried",
    )

    def __init__(self, request: CallerRequest, route: Route) -> None:
        self.request = request
        self.route = route
        self.rank = route.rank
        # Customer to which the request is attributed: that of its parent, or else of its key.
        self.customer: Customer | None = None
        # Name whose quota was charged for the request, empty if none was.
        self.charged = ""
        self.parent: RunningRequest | None = None
        self.service = ""
        self.deadline = 0.0
        self.expires = 0.0
        self.number = 0
        self.peer: Peer | None = None
        self.tried: set[str] = set()
        # Members that had no free slot; they are chosen again if there is no other.
        self.declined: set[str] = set()
        self.sends = 0
        # Number of sends that may have run.
        self.attempts = 0
        self.is_retry = False
        # Whether a member without a free slot returns the request at once.
        self.may_decline = True
        self.sent_at = 0.0
        # Whether the member's claim was granted; the request may have run since.
        self.granted = False
        # Record of the member at the time it was chosen.
        self.chosen_record: Member | None = None
        self.done = False
        self.reason = ""
        # Failure reported by a backend server, forwarded if no retry succeeds.
        self.failed_reply: Reply | None = None
        # Body of that failure if it is large.
        self.failed_body: LargeBody | None = None
        # Backend server that reported the last failure.
        self.failed_backend = ""

    @property
    def request_id(self) -> str:
        """Identifier of the request, as sent by the caller."""
        return self.request.request_id.decode("latin-1")

    @property
    def customer_name(self) -> str:
        """Name of the customer to which the request is attributed, empty if there is none."""
        return self.customer.name if self.customer is not None else ""

    @property
    def sent_to(self) -> str:
        """Node to which the request was last sent, empty before the first send."""
        return self.peer.member.node if self.peer is not None else ""

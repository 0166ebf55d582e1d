"""Answers the requests that the entry does not send to any member."""

from random import uniform

from coltsfoottrack._internal.mesh.caller_request import CallerRequest
from coltsfoottrack._internal.mesh.entry_call import EntryCall
from coltsfoottrack._internal.mesh.entry_gate import NODE_STOPPING, RETRY_AFTER_SECONDS, Refusal
from coltsfoottrack._internal.mesh.entry_log import EntryLog
from coltsfoottrack._internal.mesh.model import HeaderNames
from coltsfoottrack._internal.mesh.parent_requests import ParentRequests
from coltsfoottrack._internal.mesh.run_outcome import note_failed_call, note_refused_call
from coltsfoottrack._internal.mesh.shared_rate.terms import TokenWait
from coltsfoottrack._internal.mesh.statistics import MeshStatistics

# Upper bound on the Retry-After value, as a fraction of the remaining time.
MAX_RETRY_AFTER_FRACTION = 0.3
MIN_RETRY_AFTER_SECONDS = 0.02
RETRY_AFTER_SPREAD = 0.5
# Retry-After for requests for which there is no memory or connection: a transfer that makes no
# progress gives way after about this time.
REJECTED_RETRY_AFTER_SECONDS = 1.0
UNKNOWN_TIME_LEFT_SECONDS = 10.0
# Reason of a request that may be a call of a run that is not known here.
UNKNOWN_PARENT = "unknown_parent"
# Reason of a request over the quota of its customer.
QUOTA = "quota"
# Reason of a request while this node does not know what is left of its customer's quota.
QUOTA_UNKNOWN = "quota_unknown"
# Names the scheme of the keys, as HTTP requires of a response with status 401.
AUTHENTICATE_LINE = b"WWW-Authenticate: Bearer\r\n"


class EntryRefusals:
    """Logs, counts and answers the refusals of one entry."""

    def __init__(
        self,
        names: HeaderNames,
        parent_requests: ParentRequests,
        log: EntryLog,
        statistics: MeshStatistics,
    ) -> None:
        self.retry_after_name = names.retry_after
        self.parent_requests = parent_requests
        self.log = log
        self.statistics = statistics

    def count_answer(self, call: EntryCall, reason: str) -> None:
        """Counts the answer to a request by its reason."""
        self.statistics.count_answer(call.route.name, reason)
        # Calls are not counted, so that the counts can be compared with the quotas.
        if call.customer is not None and call.parent is None:
            self.statistics.count_customer_answer(call.customer.name, reason)

    def retry_after(self, wait: float, remaining: float, at_least: float = 0.0) -> bytes:
        """Returns the header that tells a caller when to come back, within its time left.

        The times are spread, so that callers refused together do not return together, but they
        are no shorter than ``at_least``, in seconds, if the time left allows it.
        """
        wait = at_least + wait * uniform(1.0 - RETRY_AFTER_SPREAD, 1.0 + RETRY_AFTER_SPREAD)
        bound = remaining * MAX_RETRY_AFTER_FRACTION
        seconds = max(MIN_RETRY_AFTER_SECONDS, min(wait, bound))
        return self.retry_after_name + b": %.2f\r\n" % seconds

    def refuse_unrouted(self, request: CallerRequest, reason: str) -> None:
        """Answers a request whose route is not known yet with a 503."""
        self.statistics.count_answer("", reason)
        self.log.refused_unrouted(request, reason)
        note_refused_call(self.parent_requests, request.request_id.decode("latin-1"))
        request.respond(503, self.retry_after_name + b": 0.5\r\n", b"")

    def note_rejected(self, request: CallerRequest, status: int, reason: str) -> bytes:
        """Notes a request that is rejected unread; returns when its caller may come back."""
        self.statistics.count_answer("", reason)
        self.log.rejected(request, status, reason)
        note_refused_call(self.parent_requests, request.request_id.decode("latin-1"))
        if status != 503:
            return b""
        remaining = UNKNOWN_TIME_LEFT_SECONDS
        if request.deadline_ms is not None and request.deadline_ms.strip().isdigit():
            remaining = min(remaining, int(request.deadline_ms) / 1000.0)
        return self.retry_after(REJECTED_RETRY_AFTER_SECONDS, remaining)

    def refuse_unidentified(self, call: EntryCall, reason: str, version: int) -> None:
        """Answers a request without a known key with a 401."""
        self.statistics.count_answer(call.route.name, reason)
        self.log.refused_by_customer(call, 401, reason, version)
        call.request.respond(401, AUTHENTICATE_LINE, b"")

    def refuse_unknown_parent(self, call: EntryCall, version: int, now: float) -> None:
        """Answers a request that may be a call of a run that is not known here with a 503.

        A 401 would state that its key is wrong. Until that is known, trying again is of no use.
        """
        until = max(0.0, self.parent_requests.earlier_runs_end() - now)
        refusal = Refusal(UNKNOWN_PARENT, 0.0, RETRY_AFTER_SECONDS, until)
        self.refuse_new(call, refusal, {}, version, now)

    def refuse_without_token(
        self, call: EntryCall, wait: TokenWait, version: int, now: float
    ) -> None:
        """Answers a request over its customer's quota with a 429.

        If no lender has told what is left of the quota, the answer is a 503.
        """
        if not wait.is_used_up:
            refusal = Refusal(QUOTA_UNKNOWN, 0.0, wait.seconds)
            self.refuse_new(call, refusal, {}, version, now)
            return
        self.count_answer(call, QUOTA)
        self.log.refused_by_customer(call, 429, QUOTA, version)
        call.request.respond(429, self.retry_after(wait.seconds, call.deadline - now), b"")

    def refuse_new(
        self, call: EntryCall, refusal: Refusal, reported: dict[str, str], version: int, now: float
    ) -> None:
        """Answers a request that is not admitted with a 503; ``reported`` is for the log."""
        self.count_answer(call, refusal.reason)
        self.log.refused(call, refusal.reason, refusal.level, reported, version)
        wait = self.retry_after(
            refusal.retry_after_seconds, call.deadline - now, refusal.not_before_seconds
        )
        call.request.respond(503, wait, b"")

    def refuse_call(self, call: EntryCall, restart: float, version: int, now: float) -> None:
        """Refuses a call of a running request that may not end before this node does.

        Its backend server stays, so it may come back in ``restart`` seconds, to the next process.
        """
        note_failed_call(call, False)
        refusal = Refusal(NODE_STOPPING, 0.0, RETRY_AFTER_SECONDS, restart)
        self.refuse_new(call, refusal, {}, version, now)

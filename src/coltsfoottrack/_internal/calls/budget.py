"""Limits on retries: a budget propagated with the request, and a ratio per destination."""

from collections import OrderedDict, deque
from time import monotonic
from typing import Self

RATIO_WINDOW_SECONDS = 10.0
RATIO_RESERVE = 10
MAX_DURATIONS = 31
RETENTION_SECONDS = 60.0
MAX_REQUESTS = 10_000
MAX_KEYS_PER_REQUEST = 32


# Request-Id and digest of service, operation and body.
RequestIdentity = tuple[str, bytes]


class AttemptBudget:
    """The number of retries left for a call and for all calls below it.

    Parallel calls split the budget, so the retries of a whole request never exceed its initial
    budget, however deep the call graph is.

    A run is *repeated* if an earlier attempt of the same call may also have run, so that its own
    calls may repeat earlier ones. The retry that started the run covers one call to each service
    below: the first call of a repeated run is free, and each further one costs a retry. Without
    this rule one retry near the entry would repeat a whole wide call graph.
    """

    __slots__ = ("free_calls", "repeated", "retries")

    def __init__(self, retries: int, repeated: bool = False) -> None:
        self.retries = max(0, retries)
        self.repeated = repeated
        self.free_calls = 1

    def spend(self) -> bool:
        """Spends one retry; returns False if none is left."""
        if self.retries == 0:
            return False
        self.retries -= 1
        return True

    def charge_calls(self, calls: int) -> bool:
        """Charges the calls that a run is about to make; returns False if the budget is too small.

        Calls of a run that is not repeated cost nothing.
        """
        if not self.repeated:
            return True
        cost = max(0, calls - self.free_calls)
        if cost > self.retries:
            return False
        self.free_calls = max(0, self.free_calls - calls)
        self.retries -= cost
        return True

    def split(self, parts: int) -> list[Self]:
        """Divides the whole budget into the given number of shares, as evenly as possible."""
        share, rest = divmod(self.retries, parts)
        self.retries = 0
        shares = []
        for index in range(parts):
            shares.append(type(self)(share + (1 if index < rest else 0), self.repeated))
        return shares

    def lend(self) -> Self:
        """Returns the budget as a share for one attempt; keeps one retry if more than one is left.

        If the answer is lost, the callee may still spend its share, so the sender can rely only
        on the retry that it kept. A last single retry is passed on, because most refusals come
        from the deepest services and only their direct callers may retry them.
        """
        kept = 1 if self.retries > 1 else 0
        share = type(self)(self.retries - kept, self.repeated)
        self.retries = kept
        return share

    def restore(self, retries: int) -> None:
        """Adds the unspent retries of a share that an answer returned."""
        self.retries += max(0, retries)


class TrackedRequest:
    """State of a caller's request at its entry node.

    An entry node holds up to 10,000 of these, so the class uses slots and creates the set of keys
    only when the first key arrives.
    """

    __slots__ = ("expires_at", "granted", "keys", "may_have_run", "retries", "send_count")

    def __init__(self, retries: int, expires_at: float) -> None:
        self.granted = retries
        self.retries = retries
        self.expires_at = expires_at
        self.may_have_run = False
        self.keys: set[str] | None = None
        self.send_count = 0

    def has_key(self, key: str) -> bool:
        """Returns whether a copy of the request was sent under this key."""
        return self.keys is not None and key in self.keys

    def add_key(self, key: str) -> None:
        """Records a key under which a copy is sent."""
        if self.keys is None:
            self.keys = set()
        if len(self.keys) < MAX_KEYS_PER_REQUEST:
            self.keys.add(key)

    def take_budget(self, limit: int, reserve_retry: bool) -> AttemptBudget:
        """Returns the budget for one copy of the request, at most ``limit`` retries.

        ``reserve_retry`` keeps one retry here. It is set if no node below this one keeps a retry
        for the case that the caller disconnects before its answer arrives.
        """
        budget = AttemptBudget(min(limit, self.retries), self.may_have_run)
        self.retries -= budget.retries
        self.may_have_run = True
        if not reserve_retry:
            return budget
        share = budget.lend()
        self.retries += budget.retries
        return share

    def return_budget(self, retries: int, refused: bool) -> None:
        """Adds the retries that a copy left; ``refused`` if this copy was certainly not run."""
        self.retries += retries
        if refused and self.send_count == 1:
            self.may_have_run = False


class RequestBudgets:
    """Budgets of recent requests, so that a caller that resends a request gets no new budget.

    A request is identified by its Request-Id and a digest of its content: a backend server without
    the embedded client makes different calls under one Request-Id, and these are not resends of
    each other. Holds at most 10,000 requests and drops the least recently used one first. A
    request is kept for 60 s after it was last sent.
    """

    def __init__(self) -> None:
        self.requests: OrderedDict[RequestIdentity, TrackedRequest] = OrderedDict()

    def admit(self, identity: RequestIdentity, retries: int, key: str) -> TrackedRequest | None:
        """Counts a copy of a request; returns None if it would exceed the request's budget.

        A copy under a key that was sent before costs nothing: the home of the key runs it at most
        once, and the caller must be able to query its outcome.
        """
        now = monotonic()
        while self.requests and next(iter(self.requests.values())).expires_at < now:
            self.requests.popitem(last=False)
        tracked = self.requests.pop(identity, None)
        if tracked is None:
            tracked = TrackedRequest(retries, now)
        self.requests[identity] = tracked
        tracked.expires_at = now + RETENTION_SECONDS
        if len(self.requests) > MAX_REQUESTS:
            self.requests.popitem(last=False)
        is_copy = bool(key) and tracked.has_key(key)
        if tracked.send_count and not is_copy:
            if not tracked.retries:
                return None
            tracked.retries -= 1
        tracked.send_count += 1
        if key:
            tracked.add_key(key)
        return tracked


class RecentDurations:
    """Durations of the last 31 successful calls to one destination, in seconds."""

    def __init__(self) -> None:
        self.seconds: deque[float] = deque(maxlen=MAX_DURATIONS)

    def record(self, seconds: float) -> None:
        """Adds the duration of a successful call."""
        self.seconds.append(seconds)

    def median(self) -> float:
        """Returns the median duration, 0 if none was recorded."""
        return sorted(self.seconds)[len(self.seconds) // 2] if self.seconds else 0.0


class RetryRatio:
    """Limits the retries to one destination to a share of its first attempts, plus a reserve of 10.

    Both are counted over the last 10 s.
    """

    def __init__(self, ratio: float) -> None:
        self.ratio = ratio
        self.durations = RecentDurations()
        self.first_attempts: deque[float] = deque()
        self.retries: deque[float] = deque()

    def record_first_attempt(self) -> None:
        """Counts a first attempt."""
        now = monotonic()
        self.first_attempts.append(now)
        self._drop_old(now)

    def allow_retry(self) -> bool:
        """Counts a retry and returns True, or returns False if the limit is reached."""
        now = monotonic()
        self._drop_old(now)
        if len(self.retries) >= RATIO_RESERVE + self.ratio * len(self.first_attempts):
            return False
        self.retries.append(now)
        return True

    def _drop_old(self, now: float) -> None:
        oldest = now - RATIO_WINDOW_SECONDS
        for times in (self.first_attempts, self.retries):
            while times and times[0] < oldest:
                times.popleft()

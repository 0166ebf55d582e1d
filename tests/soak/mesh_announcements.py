"""What backend servers announce in their answers, and what must not reach them afterwards."""

from collections.abc import Callable, Iterable
from math import inf
from typing import NamedTuple

from tests.soak.mesh_pairs import MeshPair

LIMIT_WINDOW_SECONDS = 4.0
# The limit counts from this long after it was first named.
LIMIT_STABLE_SECONDS = 3.0
# A node that passed on such an answer is bound this much later.
BINDING_DELAY_SECONDS = 0.5
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
# Requests may reach a leaving server for this long after a node passed its answer on.
DRAIN_SECONDS = 2.0


class SentRequest(NamedTuple):
    """A request, the node that took it, and when its caller sent it."""

    request_id: str
    portal: str
    sent_at: float


class PassedOn(NamedTuple):
    """The process of a node that passed an announcement on, and when it first did."""

    process: int
    at: float


class Announcement:
    """A time during which the answers of a server name a limit, or state that it leaves."""

    def __init__(self, server: MeshPair, began: float, limit: float | None) -> None:
        self.server = server
        self.began = began
        self.ended = inf
        # Requests per second; None if the server leaves.
        self.limit = limit
        # The latest process of each portal node that passed on such an answer.
        self.passed_on: dict[str, PassedOn] = {}

    @property
    def is_open(self) -> bool:
        """Whether the server still announces it."""
        return self.ended == inf

    def record_passed_on(self, portal: MeshPair, now: float) -> None:
        """Records that a portal node has passed on an answer of the announcement."""
        process = portal.process.pid
        known = self.passed_on.get(portal.name)
        if known is None or known.process != process:
            self.passed_on[portal.name] = PassedOn(process, now)

    def violations(
        self, sent: Iterable[SentRequest], was_disrupted: Callable[[str, float, float], bool]
    ) -> list[str]:
        """Returns what reached the server against its announcement."""
        arrivals = self.server.backend.arrival_times()
        counted = []
        for request in sent:
            arrived = arrivals.get(request.request_id)
            passed_on = self.passed_on.get(request.portal)
            if arrived is None or passed_on is None or not self.began <= arrived <= self.ended:
                continue
            if was_disrupted(request.portal, passed_on.at, arrived):
                continue
            if self.limit is None and request.sent_at > passed_on.at + DRAIN_SECONDS:
                return [f"{request.request_id} reached {self.server.name}, which leaves"]
            if self.limit is not None and arrived > passed_on.at + BINDING_DELAY_SECONDS:
                counted.append(arrived)
        return self._windows_over_limit(sorted(counted)) if self.limit is not None else []

    def _windows_over_limit(self, arrivals: list[float]) -> list[str]:
        allowed = LIMIT_FACTOR * self.limit * LIMIT_WINDOW_SECONDS + LIMIT_SLACK
        for first, start in enumerate(arrivals):
            end = start + LIMIT_WINDOW_SECONDS
            if end < self.began + LIMIT_STABLE_SECONDS:
                continue
            within = sum(1 for at in arrivals[first:] if at < end)
            if within > allowed:
                return [f"{within} requests in 4 s at {self.server.name}, {allowed:.0f} allowed"]
        return []

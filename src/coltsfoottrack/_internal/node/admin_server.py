"""The admin port: ``/metrics`` for a scraper, ``/ready`` and ``/live`` for the platform."""

from collections import Counter

from aioprometheus import render

from coltsfoottrack._internal.events.kinds import EventKind
from coltsfoottrack._internal.node.connection_bounds import ConnectionBounds
from coltsfoottrack._internal.node.http_messages import CallRequest, CallResponse
from coltsfoottrack._internal.node.http_port import HttpPort
from coltsfoottrack._internal.node.operator_service import configuration_age_seconds
from coltsfoottrack._internal.node.state import NodeState
from coltsfoottrack._internal.observability.invariants import Invariant
from coltsfoottrack._internal.observability.process import resident_bytes
from coltsfoottrack._internal.observability.stages import StageTimes
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import MemberStatus

BACKLOG = 100
CLOSE_SECONDS = 1.0
TEXT_HEADERS = {"Content-Type": "text/plain; charset=utf-8"}
STATUS_PREFIX = "MEMBER_STATUS_"
MEMBERSHIP_COUNTERS = (
    "sent",
    "sent_bytes",
    "received",
    "received_bytes",
    "foreign",
    "malformed",
    "suspected",
    "refuted",
    "declared_dead",
    "stalls",
)
COPY_COUNTERS = ("sent", "sent_without_answer", "lost", "dropped")


class AdminServer:
    """Serves metrics, readiness and liveness of one node."""

    def __init__(self, state: NodeState) -> None:
        self.state = state
        # Stage times of admin requests are not exported.
        self.server = HttpPort(
            self.serve,
            ConnectionBounds.from_config(state.settings.limits),
            state.metrics.count_refused_connection,
            StageTimes(),
        )

    async def start(self) -> None:
        """Opens the admin port. Raises OSError if it cannot be opened."""
        settings = self.state.settings
        await self.server.open(settings.address, settings.admin_port, BACKLOG)

    async def stop(self) -> None:
        """Closes the port."""
        await self.server.close(CLOSE_SECONDS)

    async def serve(self, request: CallRequest) -> CallResponse:
        """Answers one HTTP request."""
        if request.problem is not None:
            return _text(request.problem.status, request.problem.text)
        if request.method != "GET":
            return _text(405, "expected GET")
        path = request.path()
        if path == "/metrics":
            refresh_gauges(self.state)
            body, headers = render(
                self.state.metrics.registry, request.headers.getall("Accept", [])
            )
            return CallResponse(200, dict(headers), body)
        if path == "/ready":
            reason = self.state.not_ready_reason()
            return _text(503 if reason else 200, f"{reason or 'ready'}\n")
        if path == "/live":
            return _text(200, "live\n")
        return _text(404, "expected /metrics, /ready or /live")


def _text(status: int, text: str) -> CallResponse:
    return CallResponse(status, TEXT_HEADERS, text.encode())


def refresh_gauges(state: NodeState) -> None:
    """Copies the node's state to the gauges, at each scrape so that calls bear no cost."""
    metrics = state.metrics
    metrics.publish()
    metrics.set_gauge("concurrency_limit", "Limit in force.", int(state.limiter.limit))
    metrics.set_gauge("in_flight", "Calls running now.", state.limiter.in_flight)
    metrics.set_gauge("queued", "Calls waiting for a slot.", len(state.admission.queue))
    metrics.set_gauge("admission_level", "Least rank admitted.", state.admission.level)
    gate = state.local_calls.gate
    metrics.set_gauge(
        "path_limit",
        "Runs in flight that services further down can take; 0 if none is short of capacity.",
        int(gate.limiter.limit) if gate.is_active() else 0,
    )
    metrics.set_gauge(
        "path_held", "Calls held back for services further down.", len(gate.controller.queue)
    )
    metrics.set_gauge(
        "configuration_generation",
        "Configuration generation in force.",
        state.configuration.generation,
    )
    metrics.set_gauge(
        "configuration_age_seconds",
        "Time since the configuration in force was taken over, in seconds.",
        configuration_age_seconds(state),
    )
    metrics.set_gauge(
        "configuration_unusable",
        "1 if the newest configuration seen could not be used.",
        1 if state.configuration.problem else 0,
    )
    metrics.set_gauge(
        "platform_reachable",
        "1 if the platform answered the last call to it.",
        1 if state.platform.contact.reachable else 0,
    )
    metrics.set_gauge(
        "unknown_outcomes",
        "Calls answered with outcome unknown, in this node and its embedded client.",
        state.ring.counts[EventKind.UNKNOWN.value],
    )
    metrics.set_gauge("events_dropped", "Events overwritten in the ring.", state.ring.dropped)
    for name in COPY_COUNTERS:
        text = f"Outcomes of keyed calls counted as {name} by the sender of copies."
        metrics.set_gauge(f"outcome_copies_{name}", text, state.copy_sender.counts[name])
    metrics.set_gauge(
        "outcome_copies_kept_bytes",
        "Memory of the copies that this node keeps as a backup, in bytes.",
        state.outcome_copies.stored_bytes,
    )
    metrics.set_gauge("open_keys", "Idempotency keys with a record.", len(state.ledger.records))
    metrics.set_gauge("resident_bytes", "Resident memory, in bytes.", resident_bytes())
    metrics.set_gauge("ready", "1 if the node is ready.", 0 if state.not_ready_reason() else 1)
    for name in MEMBERSHIP_COUNTERS:
        text = f"Datagrams or members counted as {name} by the failure detector."
        metrics.set_gauge(f"membership_{name}", text, state.cluster.detector.counts[name])
    metrics.set_gauge(
        "configuration_conflicts",
        "Times another change showed under the generation in force.",
        state.configuration.conflicts,
    )
    metrics.set_gauge(
        "configuration_unreadable",
        "Newer configurations that could not be used.",
        state.configuration.unreadable,
    )
    metrics.set_gauge(
        "configuration_written_back",
        "Times this node wrote the configuration back to a platform that held an older one.",
        state.distribution.write_backs,
    )
    for (kind, problem), count in state.authentication.problems.items():
        metrics.unauthenticated.set({"kind": kind.value, "problem": problem.value}, count)
    metrics.retries.set({"result": "sent"}, state.ring.counts[EventKind.RETRY.value])
    metrics.retries.set({"result": "refused"}, state.ring.counts[EventKind.RETRY_REFUSED.value])
    for invariant in Invariant:
        metrics.violations.set({"invariant": invariant.value}, state.checker.violations[invariant])
        metrics.client_violations.set({"invariant": invariant.value}, 0)
    for item in state.client_violations.counts():
        metrics.client_violations.set({"invariant": item.invariant}, item.count)
    statuses = Counter(member.status for member in state.members.members.values())
    for status in MemberStatus.values():
        name = MemberStatus.Name(status).removeprefix(STATUS_PREFIX).lower()
        if name != "unspecified":
            metrics.members.set({"status": name}, statuses[status])

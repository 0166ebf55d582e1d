"""At-most-once execution and correct outcomes under random faults.

The tests run the real ledger and exchange on a simulated network.
"""

from typing import NamedTuple

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from coltsfoottrack._internal.calls.context import (
    CALL_ID,
    DEADLINE_MS,
    IDEMPOTENCY_KEY,
    REQUEST_ID,
    read_answer,
    read_context,
)
from coltsfoottrack._internal.calls.outcome import Answer, Outcome, Reason
from coltsfoottrack._internal.ledger.exceptions import KeysExhaustedError
from coltsfoottrack._internal.routing.exceptions import ConnectionLostError, NotSentError
from tests.unit.simulated_nodes import NAMES, SERVICE, FakeTransport, SimulatedCluster

# Reasons that refuse one copy of a request and do not report the outcome of its key.
COPY_REFUSAL_REASONS = (Reason.KEY_REUSED, Reason.KEY_INVALID)
SETTLED_SECONDS = 120.0

node_names = st.sampled_from(NAMES)


class ReportedAnswer(NamedTuple):
    """The answer that a caller got for one copy of its request."""

    request_id: str
    key: str
    body: bytes
    answer: Answer


class AtMostOnceMachine(RuleBasedStateMachine):
    """Guards against second runs, refusals of requests that ran, and answers to other requests."""

    @initialize(seed=st.integers(0, 2**32), fault_rate=st.sampled_from([0.0, 0.1, 0.3]))
    def begin(self, seed: int, fault_rate: float) -> None:
        self.cluster = SimulatedCluster(seed)
        self.cluster.fault_rate = fault_rate
        self.reported: list[ReportedAnswer] = []
        self.sent: list[tuple[str, str, bytes]] = []
        self.requests = 0

    def _next_number(self) -> int:
        self.requests += 1
        return self.requests

    async def _send(self, entry: str, operation: str, request: tuple, deadline_ms: int) -> None:
        request_id, key, body = request
        headers = {REQUEST_ID: request_id, DEADLINE_MS: str(deadline_ms), CALL_ID: "same"}
        if key:
            headers[IDEMPOTENCY_KEY] = key
        transport = FakeTransport(self.cluster, None)
        path = f"/v1/services/{SERVICE}/{operation}"
        try:
            reply = await transport.send("POST", f"{entry}:1", path, headers, body, 60.0)
        except (NotSentError, ConnectionLostError):
            return
        answer = read_answer(reply.status, reply.headers, reply.body)
        self.reported.append(ReportedAnswer(request_id, key, body, answer))

    async def _embedded_call(self, entry: str, operation: str, number: int) -> None:
        """Calls as the embedded client does, which obtains keys by itself."""
        request_id = f"{operation}-{number}"
        grant = self.cluster.policies.grant(SERVICE, operation)
        context = read_context(SERVICE, operation, {REQUEST_ID: request_id}, grant)
        answer = await self.cluster.nodes[entry].router.call(context, b"body")
        self.reported.append(ReportedAnswer(request_id, "", b"body", answer))

    def _start(self, entry: str, operation: str, request: tuple, deadline_ms: int) -> None:
        self.cluster.loop.create_task(self._send(entry, operation, request, deadline_ms))

    @rule(
        home=node_names,
        entries=st.lists(node_names, min_size=1, max_size=3),
        lifetime_ms=st.sampled_from([3_000, 60_000]),
        deadline_ms=st.sampled_from([300, 2000, 5000]),
    )
    def order_under_own_key(
        self, home: str, entries: list[str], lifetime_ms: int, deadline_ms: int
    ) -> None:
        node = self.cluster.nodes[home]
        if node.dead or not node.running.is_set():
            return
        try:
            key = node.ledger.issue(lifetime_ms)
        except KeysExhaustedError:
            return
        number = self._next_number()
        request = (f"own-{number}", key, f"body {number}".encode())
        self.sent.append(request)
        for entry in entries:
            self._start(entry, "order", request, deadline_ms)

    @rule(entry=node_names, index=st.integers(0, 50))
    def resend(self, entry: str, index: int) -> None:
        if self.sent:
            self._start(entry, "order", self.sent[index % len(self.sent)], 1000)

    @rule(entry=node_names, operation=st.sampled_from(["order", "lookup"]))
    def call_by_embedded_client(self, entry: str, operation: str) -> None:
        self.cluster.loop.create_task(self._embedded_call(entry, operation, self._next_number()))

    @rule(name=node_names)
    def kill(self, name: str) -> None:
        self.cluster.nodes[name].dead = True

    @rule(name=node_names)
    def restart(self, name: str) -> None:
        if self.cluster.nodes[name].dead:
            self.cluster.start_node(name)

    @rule(name=node_names, paused=st.booleans())
    def pause(self, name: str, paused: bool) -> None:
        running = self.cluster.nodes[name].running
        running.clear() if paused else running.set()

    @rule(
        name=node_names,
        fault=st.sampled_from(["leaving", "full", "backend_down"]),
        on=st.booleans(),
    )
    def backend(self, name: str, fault: str, on: bool) -> None:
        node = self.cluster.nodes[name]
        setattr(node, fault, on)
        if not on:
            node.link.address = "backend"

    @rule(name=node_names, other=node_names, ready=st.booleans())
    def change_local_view(self, name: str, other: str, ready: bool) -> None:
        self.cluster.nodes[name].set_member(other, ready)

    @rule(seconds=st.sampled_from([0.01, 0.2, 1.0, 1.7, 6.0, 30.0, 70.0]))
    def advance(self, seconds: float) -> None:
        self.cluster.advance(seconds)

    @invariant()
    def reported_answers_are_true(self) -> None:
        if not hasattr(self, "cluster"):
            return
        cluster = self.cluster
        for key, count in cluster.runs.items():
            assert not key or count == 1, f"key ran {count} times"
        for request_id, count in cluster.runs_by_request.items():
            assert request_id.startswith("lookup") or count == 1, f"{request_id} ran {count} times"
        for report in self.reported:
            runs = cluster.runs_by_request[report.request_id]
            if (
                report.answer.outcome is Outcome.REFUSED
                and report.answer.reason not in COPY_REFUSAL_REASONS
            ):
                assert runs == 0, f"{report.request_id} ran though {report.answer}"
            if report.answer.outcome is Outcome.DONE:
                assert runs, f"{report.request_id} did not run"
                assert report.answer.body == report.request_id.encode() + b" " + report.body, report
        assert not cluster.errors, cluster.errors
        assert not cluster.checker.violations, cluster.checker.violations

    def teardown(self) -> None:
        if not hasattr(self, "cluster"):
            return
        for node in self.cluster.nodes.values():
            node.running.set()
        self.cluster.advance(SETTLED_SECONDS)
        self.reported_answers_are_true()
        self.cluster.close()


AtMostOnceTest = AtMostOnceMachine.TestCase
AtMostOnceTest.settings = settings(max_examples=60, stateful_step_count=30)

"""Retries of a request stay within its budget, whatever the depth and width of its call graph."""

from asyncio import CancelledError, create_task, gather, run, sleep
from collections import Counter
from contextlib import aclosing
from random import Random
from unittest import TestCase

from hypothesis import example, given, settings
from hypothesis.strategies import floats, integers, lists
from multidict import CIMultiDict, CIMultiDictProxy

from coltsfoottrack._internal.admission.suspects import SuspectTable
from coltsfoottrack._internal.calls.budget import AttemptBudget, RequestBudgets
from coltsfoottrack._internal.calls.context import ATTEMPTS_LEFT, CallContext, read_context
from coltsfoottrack._internal.calls.deadline import Deadline
from coltsfoottrack._internal.calls.outcome import Answer, Outcome, Reason, refused, unknown
from coltsfoottrack._internal.embedding.backend_session import FULL_GRANT
from coltsfoottrack._internal.events.clock import HybridClock
from coltsfoottrack._internal.membership.table import MembershipTable
from coltsfoottrack._internal.node.backend_link import BackendLink
from coltsfoottrack._internal.node.call_server import CallServer
from coltsfoottrack._internal.node.state import NodeState
from coltsfoottrack._internal.routing.client import CallClient, OutgoingCall
from coltsfoottrack._internal.routing.exceptions import ConnectionLostError
from coltsfoottrack._internal.routing.transport import HttpReply
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import (
    MEMBER_STATUS_ALIVE,
    ConfigurationRecord,
    Member,
    NodeSettings,
)

DEPTH = 7
NODES_PER_LAYER = 3
SENDS = 4


def layer_name(layer: int) -> str:
    return f"layer{layer}"


def fill_members(members: MembershipTable) -> None:
    for layer in range(DEPTH):
        for node in range(NODES_PER_LAYER):
            members.merge(
                Member(
                    name=str(node),
                    service=layer_name(layer),
                    address="127.0.0.1",
                    call_port=1000 + 10 * layer + node,
                    status=MEMBER_STATUS_ALIVE,
                    backend_ready=True,
                )
            )


def configuration(budget: int) -> ConfigurationRecord:
    record = ConfigurationRecord(generation=1)
    record.configuration.defaults.attempt_budget = budget
    # The ratio per destination is not what bounds these retries.
    record.configuration.defaults.retry_ratio = 1.0
    for layer in range(DEPTH):
        record.configuration.operations.add(
            service=layer_name(layer), operation="read", idempotent=True
        )
    return record


class Network:
    """All layers in memory: called nodes with their backend links, and backend servers."""

    def __init__(self, widths: list[int], budget: int, fault_rate: float, seed: int) -> None:
        self.widths = widths
        self.fault_rate = fault_rate
        self.random = Random(seed)
        self.attempts: Counter[str] = Counter()
        self.runs: Counter[str] = Counter()
        self.abandoned_runs: list = []
        self.refusals: Counter[str] = Counter()
        self.losses: Counter[str] = Counter()
        self.outcomes: list[str] = []
        self.violations = 0
        self.clients: dict[str, CallClient] = {}
        self.links: dict[str, BackendLink] = {}
        for layer in range(DEPTH):
            client = CallClient.from_config("test", layer_name(layer), "127.0.0.1:9")
            fill_members(client.members)
            client.configuration.offer(configuration(budget), "test")
            self.attach(client.router)
            self.clients[layer_name(layer)] = client
            self.links[layer_name(layer)] = self.link()

    def link(self) -> BackendLink:
        link = BackendLink("test", HybridClock(), SuspectTable(lambda: 0.0), lambda: self)
        link.address = "127.0.0.1:9"
        link.refuses_connections = self.refuses_connections
        return link

    def attach(self, router) -> None:
        router.exchange = Exchange(self)
        router._backoff = lambda _attempt: 0.0

    def fault_occurs(self) -> bool:
        return self.random.random() < self.fault_rate

    def consume_planned(self, planned: Counter[str], service: str) -> bool:
        planned[service] -= 1
        return planned[service] >= 0

    async def serve(self, context: CallContext, headers: dict[str, str], body: bytes) -> Answer:
        """Serves a call as the called node."""
        arrived = read_context(context.service, context.operation, headers, FULL_GRANT)
        self.attempts[context.service] += 1
        if self.fault_occurs() or self.consume_planned(self.refusals, context.service):
            answer = refused(Reason.OVERLOAD, retry_useful=True)
        else:
            answer = await self.links[context.service].run(arrived, body)
        return answer._replace(attempts_left=arrived.budget.retries)

    async def send(self, _method, _address, path, headers, body, _seconds) -> HttpReply:
        """Serves a call as the backend server; its node uses the network as its transport."""
        service = body.decode()
        context = read_context(service, path.lstrip("/"), headers, FULL_GRANT)
        self.runs[service] += 1
        if self.fault_occurs():
            raise ConnectionLostError("crashed before its calls")
        status = 200
        layer = int(service.removeprefix("layer"))
        if layer + 1 < DEPTH:
            below = layer_name(layer + 1)
            call = OutgoingCall(below, "read", below.encode())
            answers = await self.clients[service].call_all(context, [call] * self.widths[layer])
            if any(answer.outcome is not Outcome.DONE for answer in answers):
                status = 502
        if self.fault_occurs():
            raise ConnectionLostError("crashed after its calls")
        reply = CIMultiDict({ATTEMPTS_LEFT: str(context.budget.retries)})
        return HttpReply(status, CIMultiDictProxy(reply), b"")

    async def refuses_connections(self, _address: str) -> bool:
        return False

    async def close(self) -> None:
        await gather(*self.abandoned_runs)
        for client in self.clients.values():
            await client.close()

    async def aclose(self) -> None:
        await self.close()


class Exchange:
    """Sends one copy over the in-memory network, which may lose the copy or its answer."""

    def __init__(self, network: Network) -> None:
        self.network = network

    async def send(self, context: CallContext, _address: str, body: bytes) -> Answer:
        network = self.network
        lost = unknown(Reason.CONNECTION_LOST)._replace(retry_useful=True)
        if network.fault_occurs():
            if network.random.random() < 0.5:
                return lost
            return refused(Reason.NO_NODE, True)._replace(attempts_left=context.budget.retries)
        serving = network.serve(context, context.headers("test", 1), body)
        if network.fault_occurs():
            # The answer is lost at once, while the called node goes on running and retrying.
            network.abandoned_runs.append(create_task(serving))
            return lost
        answer = await serving
        if network.fault_occurs() or network.consume_planned(network.losses, context.service):
            return lost
        return answer


async def simulate(
    widths: list[int],
    budget: int,
    fault_rate: float,
    seed: int,
    refusals: dict[str, int] | None = None,
    losses: dict[str, int] | None = None,
    sends: int = SENDS,
    typical_seconds: float = 0.0,
) -> Network:
    """Sends one request several times; some copies are cancelled or concurrent."""
    network = Network(widths, budget, fault_rate, seed)
    network.refusals.update(refusals or {})
    network.losses.update(losses or {})
    entry_settings = NodeSettings(
        cluster="test", name="entry", service="entry", platform_addresses=["127.0.0.1:9"]
    )
    async with aclosing(network):
        state = NodeState.from_config(entry_settings)
        fill_members(state.members)
        state.configuration.offer(configuration(budget), "test")
        state.ready = True
        network.attach(state.router)
        state.router._ratio("layer0", "layer0/read").durations.record(typical_seconds)
        server = CallServer(state)
        sent = []
        for _ in range(sends):
            context = CallContext(
                service="layer0",
                operation="read",
                request_id="request",
                call_id="caller",
                deadline=Deadline.after_ms(60_000),
                budget=AttemptBudget(budget),
            )
            sending = create_task(server._call(context, b"layer0", True))
            sent.append(sending)
            if network.random.random() < 0.5:
                await gather(sending, return_exceptions=True)
                continue
            await sleep(0)
            if network.random.random() < 0.5:
                sending.cancel()
        for result in await gather(*sent, return_exceptions=True):
            if not isinstance(result, CancelledError | Answer):
                raise result
            if isinstance(result, Answer):
                network.outcomes.append(result.outcome.value)
        await state.close()
        checkers = [state.checker] + [client.checker for client in network.clients.values()]
        network.violations = sum(checker.total() for checker in checkers)
    return network


class RetryBoundTest(TestCase):
    """Guards against retries that multiply from layer to layer."""

    @settings(max_examples=60, deadline=None)
    @given(
        widths=lists(integers(1, 3), min_size=DEPTH - 1, max_size=DEPTH - 1),
        budget=integers(0, 12),
        fault_rate=floats(0.0, 0.3),
        seed=integers(0, 2**32),
    )
    @example(widths=[3] * (DEPTH - 1), budget=3, fault_rate=0.01, seed=1)
    @example(widths=[3] * (DEPTH - 1), budget=12, fault_rate=0.03, seed=2)
    @example(widths=[1] * (DEPTH - 1), budget=12, fault_rate=0.2, seed=3)
    def test_attempts_stay_within_first_attempts_and_budget(
        self, widths: list[int], budget: int, fault_rate: float, seed: int
    ) -> None:
        network = run(simulate(widths, budget, fault_rate, seed))
        first_attempts = 1
        for layer in range(DEPTH):
            name = layer_name(layer)
            self.assertLessEqual(network.attempts[name], first_attempts + budget, name)
            self.assertLessEqual(network.runs[name], first_attempts + budget, name)
            if layer + 1 < DEPTH:
                first_attempts *= widths[layer]
        self.assertEqual(network.violations, 0)

    def test_refusals_are_retried_at_the_deepest_layer(self) -> None:
        """Guards against a budget that is lost between layers or at the first refusal."""
        deepest = layer_name(DEPTH - 1)
        network = run(simulate([1] * (DEPTH - 1), 3, 0.0, 1, refusals={deepest: 1}, sends=1))
        self.assertEqual(network.attempts[deepest], 2)
        self.assertEqual(network.runs[deepest], 1)
        self.assertEqual(network.outcomes, ["done"])

    def test_one_retry_is_reserved_for_a_lost_answer(self) -> None:
        """Guards against a budget share counted twice, and no retry after a lost answer."""
        deepest = layer_name(DEPTH - 1)
        network = run(simulate([1] * (DEPTH - 1), 3, 0.0, 1, losses={"layer0": 1}, sends=1))
        self.assertEqual(network.runs[deepest], 2)
        self.assertEqual(network.outcomes, ["done"])

    def test_no_retry_starts_that_would_miss_the_deadline(self) -> None:
        """Guards against wasted retries shortly before a deadline."""
        slow = run(
            simulate(
                [1] * (DEPTH - 1), 3, 0.0, 1, refusals={"layer0": 1}, sends=1, typical_seconds=90.0
            )
        )
        self.assertEqual(slow.outcomes[0], "refused")
        fast = run(
            simulate(
                [1] * (DEPTH - 1), 3, 0.0, 1, refusals={"layer0": 1}, sends=1, typical_seconds=0.1
            )
        )
        self.assertEqual(fast.outcomes[0], "done")


class RequestBudgetsTest(TestCase):
    """Guards against a new budget for each resend, and against unbounded memory."""

    def test_resends_share_one_budget(self) -> None:
        memory = RequestBudgets()
        self.assertEqual(
            [bool(memory.admit(("r", b""), 2, "")) for _ in range(5)], [True] * 3 + [False] * 2
        )

    def test_a_copy_under_the_same_key_costs_nothing(self) -> None:
        memory = RequestBudgets()
        self.assertTrue(all(memory.admit(("r", b""), 0, "key") for _ in range(5)))
        self.assertIsNone(memory.admit(("r", b""), 0, "other key"))

    def test_different_calls_under_one_request_id_are_not_retries(self) -> None:
        """Guards against refused calls of backend servers that do not use the embedded client."""
        memory = RequestBudgets()
        for number in range(5):
            self.assertIsNotNone(memory.admit(("r", bytes([number])), 0, ""))

    def test_memory_is_bounded(self) -> None:
        memory = RequestBudgets()
        for number in range(10_050):
            memory.admit((str(number), b""), 1, "")
        self.assertEqual(len(memory.requests), 10_000)

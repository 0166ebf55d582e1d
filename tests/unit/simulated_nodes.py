"""Nodes with the real ledger, registry, dispatcher, exchange and router on a simulated network.

Time is simulated: the event loop advances to its next timer when nothing is ready.
"""

from asyncio import Event, Future, all_tasks, sleep, timeout
from collections import Counter
from random import Random
from unittest.mock import patch

from coltsfoottrack._internal.admission.suspects import SuspectTable
from coltsfoottrack._internal.calls.context import (
    IDEMPOTENCY_KEY,
    MONOTONIC_DEADLINE,
    REQUEST_ID,
    CallContext,
    answer_headers,
    read_context,
)
from coltsfoottrack._internal.calls.identifiers import IdempotencyKey
from coltsfoottrack._internal.calls.outcome import Answer, Outcome, Reason, refused
from coltsfoottrack._internal.calls.outcome_records import (
    from_record,
    read_settlement,
    settlement_record,
)
from coltsfoottrack._internal.configuration.policy import PolicyTable
from coltsfoottrack._internal.events.clock import HybridClock
from coltsfoottrack._internal.events.ring import EventRing
from coltsfoottrack._internal.experiment.virtual_time import VirtualLoop
from coltsfoottrack._internal.ledger.call_registry import CallRegistry
from coltsfoottrack._internal.ledger.dispatcher import Dispatcher
from coltsfoottrack._internal.ledger.exceptions import KeysExhaustedError
from coltsfoottrack._internal.ledger.ledger import Ledger
from coltsfoottrack._internal.ledger.outcome_copies import CopySender, OutcomeCopies
from coltsfoottrack._internal.membership.table import MembershipTable
from coltsfoottrack._internal.node.backend_link import BackendLink
from coltsfoottrack._internal.node.outcome_service import settle
from coltsfoottrack._internal.observability.invariants import InvariantChecker
from coltsfoottrack._internal.routing.exceptions import ConnectionLostError, NotSentError
from coltsfoottrack._internal.routing.router import Router
from coltsfoottrack._internal.routing.transport import HttpReply
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import (
    MEMBER_STATUS_ALIVE,
    PRIORITY_CRITICAL,
    FleetConfiguration,
    Member,
    OperationPolicy,
    OutcomeBatch,
)

SERVICE = "stores"
NAMES = ("a", "b", "c")
# Longer than the deadline of any call, shorter than the registry's retention.
LONGEST_DELAY = 20.0
SETTLE_TIMEOUT = 0.5


class SimulatedCluster:
    """The network, the nodes, the backend servers and a record of their runs."""

    def __init__(self, seed: int) -> None:
        self.loop = VirtualLoop()
        self.random = Random(seed)
        self.fault_rate = 0.0
        self.checker = InvariantChecker()
        self.runs: Counter[str] = Counter()
        self.runs_by_request: Counter[str] = Counter()
        self.errors: list[Exception] = []
        self.never = Event()
        operations = [
            OperationPolicy(service=SERVICE, operation="order", priority=PRIORITY_CRITICAL),
            OperationPolicy(service=SERVICE, operation="lookup", idempotent=True),
        ]
        self.policies = PolicyTable(FleetConfiguration(operations=operations))
        self.patches = []
        for clock in ("calls.deadline.monotonic", "routing.exchange.current_time"):
            patcher = patch(f"coltsfoottrack._internal.{clock}", self.loop.time)
            patcher.start()
            self.patches.append(patcher)
        self.nodes: dict[str, SimulatedNode] = {}
        for name in NAMES:
            self.start_node(name)

    def start_node(self, name: str) -> None:
        async def build() -> SimulatedNode:
            return SimulatedNode(self, name)

        self.nodes[name] = self.loop.run_until_complete(build())

    def advance(self, seconds: float) -> None:
        self.loop.run_until_complete(sleep(seconds))

    def close(self) -> None:
        for task in all_tasks(self.loop):
            task.cancel()
        self.advance(0)
        for patcher in self.patches:
            patcher.stop()
        self.loop.close()

    def draw_fault(self) -> bool:
        return self.random.random() < self.fault_rate

    def delay(self) -> float:
        if self.draw_fault():
            return self.random.uniform(0.0, LONGEST_DELAY)
        return 0.001


class FakeTransport:
    """Transports calls between nodes; drops, delays, duplicates, reorders, loses answers."""

    def __init__(self, cluster: SimulatedCluster, sender: "SimulatedNode | None") -> None:
        self.cluster = cluster
        self.sender = sender

    async def send(self, _method, address, path, headers, body, seconds) -> HttpReply:
        cluster = self.cluster
        if self.sender is not None:
            await self.sender.wait_until_running()
        target = cluster.nodes[address.partition(":")[0]]
        if target.dead or cluster.draw_fault():
            raise NotSentError("connection refused")
        reply: Future[HttpReply] = cluster.loop.create_future()
        copies = 2 if cluster.draw_fault() else 1
        if cluster.draw_fault():
            copies = 0
        handlers = []
        for _ in range(copies):
            arrival = self._arrive(target.name, path, dict(headers), body, reply)
            handlers.append(cluster.loop.create_task(arrival))
        if cluster.draw_fault():
            cluster.loop.call_later(cluster.random.uniform(0.0, 0.5), lose_connection, reply)
        try:
            async with timeout(seconds):
                result = await reply
        except TimeoutError as error:
            raise ConnectionLostError("no answer in time") from error
        finally:
            if not reply.done() or reply.cancelled():
                for handler in handlers:
                    if cluster.random.random() < 0.5:
                        handler.cancel()
        if self.sender is not None:
            await self.sender.wait_until_running()
        return result

    async def _arrive(self, name, path, headers, body, reply) -> None:
        await sleep(self.cluster.delay())
        node = self.cluster.nodes[name]
        if node.dead:
            return lose_connection(reply)
        await node.wait_until_running()
        try:
            answer = await node.serve(path, headers, body)
        except Exception as error:
            self.cluster.errors.append(error)
            raise
        await node.wait_until_running()
        await sleep(self.cluster.delay())
        if not self.cluster.draw_fault() and not reply.done():
            reply.set_result(HttpReply(answer.status, answer_headers(answer, 0), answer.body))


def lose_connection(reply: Future) -> None:
    if not reply.done():
        reply.set_exception(ConnectionLostError("connection broke"))


class FakeBackendTransport:
    """The connection to the backend server, which keeps running when the node is down."""

    async def close(self) -> None:
        pass

    def __init__(self, cluster: SimulatedCluster, node: "SimulatedNode") -> None:
        self.cluster = cluster
        self.node = node

    async def send(self, _method, _address, _path, headers, body, seconds) -> HttpReply:
        cluster = self.cluster
        # The node may be paused between its last check and the first byte.
        await self.node.wait_until_running()
        if self.node.backend_down:
            raise NotSentError("connection refused")
        if cluster.loop.time() >= float(headers[MONOTONIC_DEADLINE]):
            return HttpReply(503, {"Shed": "yes"}, b"")
        cluster.runs[headers.get(IDEMPOTENCY_KEY, "")] += 1
        cluster.runs_by_request[headers[REQUEST_ID]] += 1
        await sleep(cluster.random.choice([0.01, 0.2, 1.5]))
        if cluster.draw_fault():
            raise ConnectionLostError("backend server crashed")
        await self.node.wait_until_running()
        return HttpReply(200, {}, headers[REQUEST_ID].encode() + b" " + body)


class SimulatedOutcomeClient:
    """Settle and FetchOutcome over the simulated network."""

    def __init__(self, cluster: SimulatedCluster, sender: "SimulatedNode") -> None:
        self.cluster = cluster
        self.sender = sender

    async def settle(self, address, request):
        return read_settlement(await self._request(address, settle, request, True))

    async def fetch(self, address, key):
        try:
            record = await self._request(
                address, lambda node, text: node.copies.find(text), key, False
            )
        except ConnectionLostError:
            return None
        return None if record is None else from_record(record)

    async def _request(self, address, handle, request, is_settle):
        await self.sender.wait_until_running()
        reply = self.cluster.loop.create_future()
        self.cluster.loop.create_task(self._arrive(address, handle, request, is_settle, reply))
        try:
            async with timeout(SETTLE_TIMEOUT):
                return await reply
        except TimeoutError as error:
            raise ConnectionLostError("no reply") from error

    async def _arrive(self, address, handle, request, is_settle, reply) -> None:
        await sleep(self.cluster.delay())
        node = self.cluster.nodes[address.partition(":")[0]]
        if node.dead:
            return
        await node.wait_until_running()
        try:
            result = handle(node, request)
        except Exception as error:
            self.cluster.errors.append(error)
            raise
        if is_settle:
            result = settlement_record(result)
        if not self.cluster.draw_fault() and not reply.done():
            reply.set_result(result)


class SimulatedNode:
    """One incarnation of a node with its backend server."""

    def __init__(self, cluster: SimulatedCluster, name: str) -> None:
        self.cluster = cluster
        self.name = name
        self.dead = False
        self.running = Event()
        self.running.set()
        self.backend_down = False
        self.leaving = False
        self.full = False
        checker = cluster.checker
        skew = cluster.random.uniform(-10.0, 10.0)

        def wall_ms() -> int:
            return int((cluster.loop.time() + skew) * 1000.0)

        self.members = MembershipTable()
        for other in NAMES:
            self.set_member(other, True)
        clock = HybridClock()
        self.registry = CallRegistry(checker, wall_ms, cluster.loop.time, max_entries=8)
        self.link = BackendLink(
            "test", clock, SuspectTable(lambda: 600_000.0), self.backend_transport
        )
        self.link.registry = self.registry
        self.link.refuses_connections = self.backend_refuses
        self.link.address = "backend"
        self.copies = OutcomeCopies(wall_ms)
        self.sender = CopySender(self.store)
        backup = NAMES[(NAMES.index(name) + 1) % len(NAMES)]
        self.ledger = Ledger(
            SERVICE, name, f"{name}:1", f"{name}:2", checker, wall_ms,
            lambda: f"{backup}:2", self.sender.enqueue, max_records=6, max_answer_bytes=200,
        )  # fmt: skip
        with patch("coltsfoottrack._internal.routing.router.Transport", self.transport):
            self.router = Router(
                "test", self.members, lambda: cluster.policies, clock,
                EventRing(name, clock), cluster.random, checker=checker,
            )  # fmt: skip
        self.router.exchange.outcome_client = SimulatedOutcomeClient(cluster, self)
        self.dispatcher = Dispatcher(
            self.registry, self.run_here, self.router.choose, self.router.exchange.send,
            f"{name}:1", checker,
        )  # fmt: skip

    def transport(self, _checker: InvariantChecker) -> FakeTransport:
        return FakeTransport(self.cluster, self)

    async def backend_refuses(self, _address: str) -> bool:
        return self.backend_down

    def backend_transport(self) -> FakeBackendTransport:
        return FakeBackendTransport(self.cluster, self)

    def set_member(self, other: str, ready: bool) -> None:
        """Sets another node's state in this node's local view."""
        member = Member(name=other, service=SERVICE, address=other, call_port=1, peer_port=2)
        member.status = MEMBER_STATUS_ALIVE
        member.backend_ready = ready
        self.members.members[f"{SERVICE}/{other}"] = member

    async def wait_until_running(self) -> None:
        """Blocks while the process is paused, and forever once it is dead."""
        while self.dead or not self.running.is_set():
            await (self.cluster.never.wait() if self.dead else self.running.wait())

    async def store(self, address: str, batch: OutcomeBatch) -> bool:
        await self.wait_until_running()
        if self.cluster.draw_fault():
            return False
        self.cluster.nodes[address.partition(":")[0]].copies.store(batch)
        return True

    async def run_here(self, context: CallContext, body: bytes) -> Answer:
        if self.leaving:
            return refused(Reason.LEAVING, retry_useful=True)
        if self.full:
            return refused(Reason.OVERLOAD, retry_useful=True)
        await sleep(self.cluster.random.choice([0.0, 0.3]))
        await self.wait_until_running()
        return await self.link.run(context, body)

    async def serve(self, path: str, headers: dict[str, str], body: bytes) -> Answer:
        """Handles a call of the node's own service as the call server does."""
        operation = path.rsplit("/", 1)[1]
        if operation.startswith("keys?"):
            try:
                keys = [self.ledger.issue(60_000) for _ in range(3)]
            except KeysExhaustedError:
                return refused(Reason.KEYS_EXHAUSTED)
            return Answer(Outcome.DONE, body="\n".join(keys).encode())
        grant = self.cluster.policies.grant(SERVICE, operation)
        context = read_context(SERVICE, operation, headers, grant)
        answer = await self._serve_call(context, body, grant.idempotent)
        return answer._replace(attempts_left=context.budget.retries)

    async def _serve_call(self, context: CallContext, body: bytes, idempotent: bool) -> Answer:
        if idempotent:
            return await self.dispatcher.run_copy(context, body)
        if context.from_peer and context.dispatch_number:
            return await self.dispatcher.run_dispatch(context, body)
        key = IdempotencyKey.parse(context.idempotency_key)
        if not context.from_peer and not self.ledger.is_home(key):
            return await self.router.call(context, body)
        return await self.ledger.run(context, body, self.dispatcher.run_under_key)

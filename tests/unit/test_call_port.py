"""Call port with invalid, oversized and slow input, over real sockets."""

import sys
from asyncio import Event, StreamReader, StreamWriter, gather, open_connection, sleep, wait_for
from collections.abc import Callable
from logging import disable
from random import Random
from socket import AF_INET, SOCK_STREAM, socket
from unittest import IsolatedAsyncioTestCase
from unittest.mock import patch

from coltsfoottrack._internal.calls.context import CallContext
from coltsfoottrack._internal.calls.outcome import Answer, Outcome
from coltsfoottrack._internal.node.call_server import CallServer
from coltsfoottrack._internal.node.state import NodeState
from coltsfoottrack._internal.observability.stages import Stage
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import (
    MEMBER_STATUS_ALIVE,
    PRIORITY_NORMAL,
    ConfigurationRecord,
    Member,
    NodeSettings,
)

SEED = 20261204
RANDOM_CONNECTIONS = 400
PATH = "/v1/services/stores/lookup"
CALL_STAGES = (Stage.CONTEXT, Stage.ADMISSION, Stage.QUEUE, Stage.BACKEND, Stage.ANSWER)


def free_port() -> int:
    with socket(AF_INET, SOCK_STREAM) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def post(body: bytes = b"x", path: str = PATH, **headers: str) -> bytes:
    lines = [f"POST {path} HTTP/1.1", "Host: n", f"Content-Length: {len(body)}"]
    lines.extend(f"{name.replace('_', '-')}: {value}" for name, value in headers.items())
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class CallPortCase(IsolatedAsyncioTestCase):
    """Runs a call port in this process that answers each request with its body."""

    async def asyncSetUp(self) -> None:
        disable()
        settings = NodeSettings(
            cluster="demo", name="a", service="stores", address="127.0.0.1", call_port=free_port()
        )
        settings.limits.max_body_bytes = 1000
        settings.limits.max_header_bytes = 2048
        settings.limits.max_connections = 60
        settings.limits.first_byte_timeout_ms = 400
        settings.limits.body_timeout_ms = 300
        self.port = settings.call_port
        self.state = NodeState.from_config(settings)
        self.state.ready = True
        record = ConfigurationRecord(generation=1, change_id="c")
        for service, operation in (("stores", "lookup"), ("supply", "stock")):
            record.configuration.operations.add(
                service=service, operation=operation, priority=PRIORITY_NORMAL, idempotent=True
            )
        record.configuration.defaults.max_deadline_ms = 4000
        record.configuration.defaults.attempt_budget = 2
        self.state.configuration.offer(record, "test")
        self.seen: list[CallContext] = []
        self.running_ms = 0.0

        async def run(context: CallContext, body: bytes) -> Answer:
            self.seen.append(context)
            await sleep(0.01)
            return Answer(Outcome.DONE, body=body, running_ms=self.running_ms)

        self.state.dispatcher.run_here = run
        self.server = CallServer(self.state)
        await self.server.start()

    async def asyncTearDown(self) -> None:
        await self.server.stop()
        await self.state.close()
        disable(0)

    async def connect(self) -> tuple[StreamReader, StreamWriter]:
        return await open_connection("127.0.0.1", self.port)

    async def exchange(self, data: bytes) -> bytes:
        """Sends bytes; returns the response received until the port closes or stays silent."""
        reader, writer = await self.connect()
        received = b""
        try:
            writer.write(data)
            while True:
                chunk = await wait_for(reader.read(65536), 0.05 if b"\r\n\r\n" in received else 1.0)
                received += chunk
                if not chunk or received.startswith(b"HTTP/1.1 200"):
                    break
        except (TimeoutError, ConnectionError):
            pass
        finally:
            writer.close()
        return received

    async def status(self, data: bytes) -> int:
        reply = await self.exchange(data)
        return int(reply.split()[1]) if reply else 0

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        for _ in range(1000):
            if condition():
                return
            await sleep(0.005)
        self.fail("the condition was not met in time")

    def bad_requests(self, status: str) -> int:
        return self.state.metrics.bad_requests.values.get({"status": status}, 0)


class CallPortTest(CallPortCase):
    """Guards against callers that hold resources, affect other calls or raise their priority."""

    async def test_silent_connections_are_closed(self) -> None:
        silent = [await self.connect() for _ in range(50)]
        self.assertEqual(await self.status(post()), 200)
        await sleep(0.7)
        self.assertEqual(self.server.server.open_connections, 0)
        for _, writer in silent:
            writer.close()

    async def test_connections_over_the_limit_are_refused_and_the_port_recovers(self) -> None:
        # Long enough that the connections are still open when the next one is refused.
        port = self.server.server
        port.bounds = port.bounds._replace(first_byte_seconds=3.0)
        connections = await gather(*(self.connect() for _ in range(300)))
        await sleep(0.1)
        self.assertLessEqual(self.server.server.open_connections, 60)
        refused = await self.exchange(post())
        self.assertIn(b"503", refused[:20])
        self.assertIn(b"Retry-Useful: yes", refused)
        await self.wait_until(lambda: not port.open_connections)
        self.assertEqual(await self.status(post()), 200)
        for _, writer in connections:
            writer.close()

    async def test_header_block_sent_too_slowly_is_aborted(self) -> None:
        async def send_slowly() -> None:
            reader, writer = await self.connect()
            for byte in post()[:40]:
                writer.write(bytes([byte]))
                await sleep(0.03)
                if reader.at_eof():
                    return

        await gather(*(send_slowly() for _ in range(20)))
        await sleep(0.05)
        self.assertEqual((self.server.server.open_connections, self.seen), (0, []))

    async def test_event_of_a_cancelled_call_shows_whether_it_ran(self) -> None:
        """Guards against mistaking a wait for a slot for a slow backend server."""
        state = self.state
        state.dispatcher.run_here = state.local_calls.run
        state.backend.address = "127.0.0.1:9"
        state.backend.slots = state.backend.starts = 1
        running = Event()

        async def run(_context: CallContext, _body: bytes) -> Answer:
            running.set()
            await sleep(60.0)
            return Answer(Outcome.DONE)

        state.backend.run = run
        writers = []
        for number in range(2):
            _, writer = await self.connect()
            writer.write(post(Request_Id=f"r{number}"))
            writers.append(writer)
            await wait_for(running.wait(), 5.0)
        await self.wait_until(lambda: bool(state.admission.queue.waiters))
        # Closes the waiting call first, since the end of the running call would free its slot.
        for number, writer in enumerate(reversed(writers), 1):
            writer.close()
            await self.wait_until(lambda number=number: state.ring.counts["cancelled"] == number)
        cancelled = [event for event in state.ring.events if event.kind == "cancelled"]
        self.assertEqual(
            [(event.request_id, event.detail) for event in cancelled],
            [("r1", "while it waited for a slot"), ("r0", "while it ran")],
        )
        waited, ran = cancelled
        self.assertTrue(waited.queued_ms > 0.0 and not waited.running_ms)
        self.assertGreater(ran.running_ms, 0.0)

    async def test_slow_body_is_refused_with_408(self) -> None:
        reply = await self.exchange(post(b"x" * 10)[:-1])
        self.assertIn(b"408", reply[:20])
        self.assertEqual((self.bad_requests("408"), self.seen), (1, []))

    async def test_keyed_request_is_not_reported_as_refused_without_asking_its_home(self) -> None:
        """Guards against a second run after a refusal by a node that does not know of the first.

        Only the home of the idempotency key knows whether the call has run, so another node must
        answer with outcome unknown.
        """
        self.state.ready = False
        without_key = await self.exchange(post())
        self.assertIn(b"Outcome: refused", without_key)
        order = "/v1/services/stores/order"
        cases = (("1000", b"yes", b"not_ready"), ("soon", b"no", b"Deadline-Ms must be a whole"))
        for deadline, retry_useful, detail in cases:
            data = post(path=order, Idempotency_Key="k", Deadline_Ms=deadline)
            reply = await self.exchange(data)
            self.assertIn(b"Outcome: unknown", reply)
            self.assertIn(b"Copy-Dispatched: no", reply)
            # A retry of a malformed request is useless, and the body must state the error.
            self.assertIn(b"Retry-Useful: " + retry_useful, reply)
            self.assertIn(detail, reply.partition(b"\r\n\r\n")[2])

    async def test_oversized_requests_are_refused_with_413_or_431(self) -> None:
        chunked = f"POST {PATH} HTTP/1.1\r\nHost: n\r\nTransfer-Encoding: chunked\r\n\r\n"
        chunks = b"".join(b"200\r\n" + b"x" * 512 + b"\r\n" for _ in range(3)) + b"0\r\n\r\n"
        many = {f"X{number}": "v" for number in range(80)}
        cases = (
            (post(b"x" * 1001), 413),
            (chunked.encode() + chunks, 413),
            (post(Padding="x" * 2100), 431),
            (post(A="x" * 1100, B="x" * 1100), 431),
            (post(**many), 431),
            (b"POST / HTTP/1.1\r\nX: " + b"y" * 9000, 431),
        )
        for data, expected in cases:
            with self.subTest(start=data[:60]):
                self.assertEqual(await self.status(data), expected)
        self.assertEqual((self.bad_requests("413"), self.bad_requests("431")), (2, 4))
        self.assertEqual(self.seen, [])
        self.assertEqual(await self.status(post(b"x" * 1000)), 200)

    async def test_malformed_requests_are_refused_with_400(self) -> None:
        cases = (
            b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n",
            b"POST /v1 HTTP/9.9\r\n\r\n",
            post(path="/v1/services/stores"),
            post(path="/v1/services/stores/look%20up"),
            post(Deadline_Ms="-1"),
            post(Deadline_Ms="\u00b2"),
            post(Priority="urgent"),
            post(Request_Id="a b"),
            post(Attempt_Budget="99999999999999999999999"),
        )
        for data in cases:
            with self.subTest(data=data[:80]):
                self.assertEqual(await self.status(data), 400)
        self.assertEqual(self.bad_requests("400"), len(cases))
        self.assertEqual(self.seen, [])

    async def test_stages_of_a_call_add_up(self) -> None:
        """Guards against counting the times of an earlier run, which make a stage negative."""
        for self.running_ms, calls in ((5.0, 1), (60_000.0, 1), (5.0, 2)):
            self.assertEqual(await self.status(post()), 200)
            histograms = self.state.metrics.stages.histograms
            counted = {stage: sum(histograms[stage].counts) for stage in CALL_STAGES}
            self.assertEqual(counted, dict.fromkeys(CALL_STAGES, calls))
        total = sum(histograms[stage].sum for stage in CALL_STAGES)
        self.assertGreaterEqual(total, 0.02)
        self.assertGreaterEqual(histograms[Stage.ADMISSION].sum, 0.01)

    async def test_unknown_service_is_refused_with_404(self) -> None:
        for path in ("/v1/services/../lookup", "/v1/services/nowhere/lookup"):
            self.assertEqual(await self.status(post(path=path)), 404)
        self.assertEqual(self.seen, [])

    async def test_node_of_a_forwarded_call_is_chosen_once(self) -> None:
        """Guards against a second routing decision just to check that a node exists."""
        self.assertEqual(await self.status(post(path="/v1/services/supply/lookup")), 404)
        member = Member(
            service="supply",
            name="b",
            address="127.0.0.1",
            call_port=free_port(),
            backend_ready=True,
            status=MEMBER_STATUS_ALIVE,
        )
        self.state.members.merge(member)
        with patch.object(self.state.router, "choose", wraps=self.state.router.choose) as choose:
            path = "/v1/services/supply/stock"
            reply = await self.exchange(post(path=path, Attempt_Budget="0"))
        self.assertEqual(choose.call_count, 1, reply)

    async def test_other_cluster_and_version_get_a_clear_error(self) -> None:
        reply = await self.exchange(post(Cluster="prod"))
        self.assertIn(b"for cluster 'prod', this is 'demo'", reply)
        reply = await self.exchange(post(Cluster="demo", Protocol_Version="9"))
        self.assertIn(b"protocol version '9', this node speaks 1", reply)
        self.assertEqual(self.seen, [])

    async def test_caller_cannot_exceed_its_granted_priority_deadline_and_retries(self) -> None:
        asked = {"Priority": "critical", "Deadline_Ms": "500000", "Attempt_Budget": "50"}
        self.assertEqual(await self.status(post(Hop_Depth="9", **asked)), 200)
        context = self.seen[0]
        self.assertEqual((context.priority, context.depth), (PRIORITY_NORMAL, 0))
        self.assertLessEqual(context.deadline.remaining_ms(), 4000)
        self.assertLessEqual(context.budget.retries, 2)

    async def test_event_clock_of_an_unauthenticated_caller_is_ignored(self) -> None:
        before = self.state.clock.tick()
        await self.exchange(post(Event_Clock=str(before + (60_000 << 16))))
        self.assertLess(self.state.clock.tick() - before, 5_000 << 16)

    async def test_random_bytes_do_not_affect_other_requests(self) -> None:
        random = Random(SEED)
        statuses = []

        async def send_valid_requests() -> None:
            for _ in range(20):
                statuses.append(await self.status(post()))

        async def send_random_bytes() -> None:
            for _ in range(RANDOM_CONNECTIONS // 8):
                data = bytearray(random.choice((post(), random.randbytes(300))))
                for _ in range(random.randrange(1, 12)):
                    data[random.randrange(len(data))] = random.randrange(256)
                reader, writer = await self.connect()
                try:
                    writer.write(bytes(data))
                    if random.random() < 0.5:
                        await wait_for(reader.read(65536), 0.05)
                except (TimeoutError, ConnectionError):
                    pass
                finally:
                    writer.close()

        await gather(send_valid_requests(), *(send_random_bytes() for _ in range(8)))
        self.assertEqual(statuses, [200] * 20)
        await sleep(0.5)
        self.assertEqual(self.server.server.open_connections, 0)
        self.assertEqual(self.state.checker.total(), 0)
        print(f"call port: {RANDOM_CONNECTIONS} hostile connections", file=sys.__stderr__)

"""Customers in a mesh with complete nodes."""

from asyncio import create_task, sleep
from os import pread
from tempfile import NamedTemporaryFile

from coltsfoottrack._internal.mesh.clock import current_time
from tests.standins.mesh import MeshTestCase, configuration, encode, read_answer
from tests.unit.test_customers import ROUTES

KEY = "maj3nr26tta828m82thh"
SECOND_KEY = "kmgjqnirth5mgjy5rcpi"
MAX_LOG_BYTES = 1024 * 1024
TENANTS = {"pulo780": {"apiKeys": [KEY], "priority": 1}}


class CustomerPathTest(MeshTestCase):
    """Requests with keys between callers and backend servers."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        # The log of all nodes.
        self.null = self.enterContext(NamedTemporaryFile()).fileno()
        self.put(1, TENANTS)

    def put(self, version, tenants):
        """Stores a configuration."""
        routes = configuration(version, **ROUTES)
        self.store.put("config", "main", {**routes, "tenants": tenants} if tenants else routes)

    async def put_in_force(self, version, tenants):
        """Stores a configuration and waits until it is in force at all nodes."""
        self.put(version, tenants)
        for node in self.nodes:
            await self.wait_until(lambda at=node: at.active_configuration.version == version, 2.5)

    async def start_two(self, slots=10):
        """Starts the node of a caller and one beside a backend server."""
        front = await self.start("front", "portal")
        await self.start("store", "stock", slots)
        await self.wait_for_members(2)
        return front, self.backends[1]

    async def test_backend_server_learns_the_name_and_nobody_the_key(self):
        """Guards against a key that reaches a backend server, a peer's queue or a log line."""
        front, backend = await self.start_two()
        head = {"Authorization": f"Bearer {KEY}", "Tenant": "forged"}
        for number in range(5):
            answer = await self.send_request(front, encode("/read/", f"r{number}", **head))
            self.assertEqual(answer.status, 200)
        self.assertEqual(backend.received[0].headers["tenant"], "pulo780")
        backend.fault = "fail"
        self.assertEqual(
            (await self.send_request(front, encode("/read/", "f", **head))).status, 500
        )
        head["Authorization"] = f"Basic {SECOND_KEY}"
        answer = await self.send_request(front, encode("/read/", "u", **head))
        self.assertEqual((answer.status, answer.body), (401, b""))
        self.put(2, {**TENANTS, "other": {"apiKeys": [KEY]}})
        await self.wait_until(lambda: self.unreadable() > 0)
        for message in backend.received:
            self.assertNotIn(KEY, str(message))
        await sleep(0.05)
        log = pread(self.null, MAX_LOG_BYTES, 0).decode()
        for expected in ("unknown_key", "request_failed_at_backend", "pulo780", "share a key"):
            self.assertIn(expected, log)
        for secret in (KEY, SECOND_KEY, "forged"):
            self.assertNotIn(secret, log)
        # The invalid version has not replaced the valid one.
        head["Authorization"] = f"bearer {KEY}"
        backend.fault = ""
        self.assertEqual(
            (await self.send_request(front, encode("/read/", "v", **head))).status, 200
        )

    def unreadable(self) -> int:
        """Returns how often a node has rejected a configuration."""
        return sum(node.log.counts.get("configuration_unreadable", 0) for node in self.nodes)

    async def test_keys_change_on_an_open_connection(self):
        """Guards against keys that are checked only when a connection is opened."""
        front, backend = await self.start_two()
        reader, writer = await self.connect(front)

        async def status(number, key):
            writer.write(encode("/read/", f"r{number}", Authorization=f"Bearer {key}"))
            return (await read_answer(reader)).status

        self.assertEqual(await status(1, KEY), 200)
        self.assertEqual(await status(2, SECOND_KEY), 401)
        await self.put_in_force(3, {"pulo780": {"apiKeys": [SECOND_KEY]}})
        self.assertEqual(await status(3, KEY), 401)
        self.assertEqual(await status(4, SECOND_KEY), 200)
        # An older version that arrives late changes nothing.
        content = self.nodes[1].active_configuration.content
        self.put(2, TENANTS)
        await sleep(0.1)
        self.assertEqual(self.nodes[1].active_configuration.content, content)
        self.assertEqual(await status(5, KEY), 401)
        # Without customers both headers are forwarded.
        await self.put_in_force(4, None)
        self.assertEqual(await status(6, KEY), 200)
        self.assertEqual(backend.received[-1].headers["authorization"], f"Bearer {KEY}")

    async def test_key_is_removed_while_requests_wait_and_run(self):
        """Guards against accepted requests, and calls of theirs, that fail after a key change."""
        front, backend = await self.start_two(slots=1)
        node = self.nodes[1]
        backend.released.clear()
        key = {"Authorization": f"Bearer {KEY}"}
        tasks = [create_task(self.send_request(front, encode("/order/", "run", "POST", **key)))]
        await self.wait_until(lambda: backend.running == 1)
        tasks.append(
            create_task(self.send_request(front, encode("/order/", "wait", "POST", **key)))
        )
        await self.wait_until(lambda: len(node.runner.queue) == 1)
        await self.put_in_force(2, {"gold": {"apiKeys": [SECOND_KEY]}})
        self.assertEqual(node.parent_requests.parent("run.1", current_time()).customer, "pulo780")
        backend.slots = 3
        await backend.report(node.settings.report_address)
        tasks.append(create_task(self.send_request(node, encode("/order/", "run.1", "POST"))))
        await self.wait_until(lambda: backend.running == 3)
        late = await self.send_request(front, encode("/order/", "late", "POST", **key))
        backend.released.set()
        self.assertEqual([(await task).status for task in tasks], [200, 200, 200])
        self.assertEqual(late.status, 401)
        tenants = {}
        for message in backend.received:
            tenants[message.headers["request-id"]] = message.headers.get("tenant")
        self.assertEqual(tenants, {"run": "pulo780", "wait": "pulo780", "run.1": None})

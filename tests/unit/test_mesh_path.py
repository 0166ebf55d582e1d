"""The mesh with complete nodes: requests, answers and their order."""

from asyncio import create_task, gather, open_connection, sleep
from collections import Counter

from coltsfoottrack._internal.mesh.caller_group import CONNECTION_BYTES
from coltsfoottrack._internal.mesh.sockets import split_address
from tests.standins.backend import StandInBackend
from tests.standins.mesh import (
    DEFAULT_CONFIGURATION,
    MeshTestCase,
    configuration,
    encode,
    free_address,
    read_answer,
)


class WholePathTest(MeshTestCase):
    """Requests and answers between callers and backend servers."""

    async def test_request_through_two_nodes(self):
        """Guards against lost or changed parts of a forwarded request."""
        front = await self.start("front", "portal")
        await self.start("store", "stock")
        await self.wait_for_members(2)
        request = encode("/order/7?x=1", "r1", "POST", b"pallet", Deadline_Ms="2000", X_Own="kept")
        answer = await self.send_request(front, request)
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.headers["response-seal"], "seal-r1")
        self.assertEqual(answer.body, b"i-store POST /order/7?x=1")
        received = self.backends[1].received[0]
        self.assertEqual(received.body, b"pallet")
        self.assertEqual(received.headers["x-own"], "kept")
        self.assertEqual(received.headers["caller-service"], "portal")
        self.assertEqual(received.headers["expected-instance"], "i-store")
        self.assertLessEqual(int(received.headers["deadline-ms"]), 2000)
        self.assertGreater(int(received.headers["deadline-ms"]), 1500)

    async def test_caller_service_cannot_be_forged(self):
        """Guards against a caller that impersonates another service."""
        node = await self.start("store")
        await self.wait_for_members(1)
        await self.send_request(node, encode("/read/a", "r1", Caller_Service="forged"))
        self.assertEqual(self.backends[0].received[0].headers["caller-service"], "stock")

    async def test_pipelined_answers_keep_their_order(self):
        """Guards against answers in another order than the pipelined requests."""
        node = await self.start("store")
        await self.wait_for_members(1)
        self.backends[0].released.clear()
        reader, writer = await self.connect(node)
        for number in range(5):
            writer.write(encode(f"/read/{number}", f"r{number}"))
        await self.wait_until(lambda: self.backends[0].running == 5)
        self.backends[0].released.set()
        for number in range(5):
            answer = await read_answer(reader)
            self.assertEqual(answer.headers["request-id"], f"r{number}")

    async def test_unknown_route_and_no_configuration(self):
        """Guards against a 404 from a node that has no routes yet."""
        node = await self.start("store")
        await self.wait_for_members(1)
        self.assertEqual((await self.send_request(node, encode("/none/", "r1"))).status, 404)
        self.store.status = 503
        backend = self.backends[0]
        unconfigured = await self.start_node(self.settings("unconfigured", "stock", backend))
        answer = await self.send_request(unconfigured, encode("/read/", "r2"))
        self.assertEqual(answer.status, 503)
        self.assertIn("retry-after", answer.headers)
        self.assertFalse(unconfigured.is_ready())

    async def test_malformed_and_oversized_requests_are_rejected(self):
        """Guards against forwarding requests with ambiguous framing or beyond the limits."""
        node = await self.start("store")
        await self.wait_for_members(1)
        cases = (
            (encode("/read/", ""), 400),
            (encode("/read/", "r1", Host="second.example"), 400),
            (b"GET /read/ HTTP/1.1\r\nbroken\r\n\r\n", 400),
            (encode("/order/", "r2", "POST", b"x" * 10_001), 413),
            (encode("/read/", "r3", X_Long="y" * 5000), 431),
            (
                b"POST /order/ HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r4\r\n"
                b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                400,
            ),
            (b"GET /read/ HTTP/1.1\r\nHost: shop", 408),
        )
        for request, status in cases:
            with self.subTest(status=status, request=request[:40]):
                self.assertEqual((await self.send_request(node, request)).status, status)
        self.assertEqual(self.backends[0].received, [])

    async def test_bodies_in_flight_are_bounded(self):
        """Guards against a node that runs out of memory because of large bodies."""
        node = await self.start("store")
        await self.wait_for_members(1)
        self.backends[0].released.clear()
        first = create_task(self.send_request(node, encode("/order/", "r1", "POST", b"x" * 100)))
        await self.wait_until(lambda: self.backends[0].running == 1)
        # Room for the connection of a second request, but not for the request.
        node.account.limit_bytes = node.account.used_bytes + CONNECTION_BYTES + 150
        answer = await self.send_request(node, encode("/order/", "r2", "POST", b"x" * 100))
        self.assertEqual(answer.status, 503)
        self.assertIn("retry-after", answer.headers)
        self.backends[0].released.set()
        await first
        for writer in self.writers:
            writer.close()
        await self.wait_until(lambda: not node.entry.connections)
        self.assertEqual(node.account.used_bytes, 0)
        self.assertEqual(self.backends[0].runs["r2"], 0)

    async def test_shortage_is_logged_and_counted(self):
        """Guards against clients that take all memory without a word in logs and metrics."""
        backend = StandInBackend("i-store", "stock")
        await backend.open()
        self.backends.append(backend)
        settings = self.settings("store", "stock", backend)
        node = await self.start_node(settings._replace(metrics_address=free_address()))
        await backend.report(settings.report_address)
        await self.wait_for_members(1)
        node.account.limit_bytes = 100 * CONNECTION_BYTES
        reader, writer = await self.connect(node)
        head = encode("/order/", "r1", "POST", Content_Length="9000")
        writer.write(head + b"x" * 5000)
        await self.wait_until(lambda: node.account.used_bytes > CONNECTION_BYTES)
        # What the body holds is all that there is.
        node.account.limit_bytes = node.account.used_bytes + CONNECTION_BYTES
        answer = await self.send_request(node, encode("/order/", "r2", "POST", b"x" * 9000))
        self.assertEqual(answer.status, 503)
        await self.wait_until(lambda: node.log.counts.get("callers_short_of"))
        self.assertEqual(node.log.counts["request_rejected"], 1)
        node.account.limit_bytes = 100 * CONNECTION_BYTES
        reader, writer = await open_connection(*split_address(node.settings.metrics_address))
        self.writers.append(writer)
        writer.write(b"GET /metrics HTTP/1.1\r\nHost: node\r\n\r\n")
        text = (await read_answer(reader)).body.decode()
        self.assertIn("coltsfoottrack_mesh_client_memory_refused_total 1", text)
        self.assertIn('coltsfoottrack_mesh_answers_total{reason="memory",route=""} 1', text)
        self.assertIn("coltsfoottrack_mesh_caller_connections 2", text)

    async def test_metrics_and_a_metrics_port_in_use(self):
        """Guards against missing metrics, and a node that fails if their port is in use."""
        backend = StandInBackend("i-store", "stock")
        await backend.open()
        self.backends.append(backend)
        settings = self.settings("store", "stock", backend)
        node = await self.start_node(settings._replace(metrics_address=free_address()))
        await backend.report(settings.report_address)
        await self.wait_for_members(1)
        await self.send_request(node, encode("/read/a", "r1"))
        reader, writer = await open_connection(*split_address(node.settings.metrics_address))
        self.writers.append(writer)
        writer.write(b"GET /metrics HTTP/1.1\r\nHost: node\r\n\r\n")
        text = (await read_answer(reader)).body.decode()
        self.assertIn('coltsfoottrack_mesh_answers_total{reason="answered",route="read"} 1', text)
        self.assertIn("coltsfoottrack_mesh_run_seconds_count 1", text)
        other = self.settings("other", "stock", backend)
        taken = other._replace(metrics_address=node.settings.metrics_address)
        second = await self.start_node(taken)
        self.assertEqual(second.log.counts["metrics_unavailable"], 1)

    async def test_reloaded_settings_take_effect(self):
        """Guards against settings that are read only at the start."""
        node = await self.start("store")
        await self.wait_for_members(1)
        changed = node.settings._replace(service="renamed")
        node.adapter = node.adapter._replace(read_settings=lambda: changed)
        node.reload()
        await self.send_request(node, encode("/read/a", "r1"))
        self.assertEqual(self.backends[0].received[0].headers["caller-service"], "renamed")
        self.assertEqual(node.log.counts["settings_reloaded"], 1)

    async def test_chunked_body_is_forwarded_completely(self):
        """Guards against a chunked body that is truncated or duplicated."""
        node = await self.start("store")
        await self.wait_for_members(1)
        head = b"POST /order/ HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r1\r\n"
        head += b"Transfer-Encoding: chunked\r\n\r\n"
        answer = await self.send_request(node, head + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
        self.assertEqual(answer.status, 200)
        self.assertEqual(self.backends[0].received[0].body, b"abcde")


class BrokenAnswerTest(MeshTestCase):
    """Invalid answers of a backend server do not reach a caller as a success."""

    async def _order(self, fault: str, path: str = "/order/", method: str = "POST"):
        node = await self.start("store")
        await self.wait_for_members(1)
        self.backends[0].fault = fault
        return await self.send_request(node, encode(path, "r1", method))

    async def test_lost_answer_of_an_order_is_unknown(self):
        """Guards against a second run, and against reporting that the order did not run."""
        answer = await self._order("lose")
        self.assertEqual(answer.status, 502)
        self.assertEqual(self.backends[0].runs["r1"], 1)

    async def test_truncated_unsealed_and_encoded_answers_fail(self):
        """Guards against incomplete or unverified bodies in successful answers."""
        for fault in ("truncate", "unsealed", "encoded"):
            with self.subTest(fault=fault):
                self.assertEqual((await self._order(fault)).status, 502)
                await self.asyncTearDown()
                await self.asyncSetUp()

    async def test_answer_without_length_is_complete(self):
        """Guards against lost answers whose end is the end of the connection."""
        answer = await self._order("unframed")
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.body, b"i-store POST /order/")

    async def test_extra_and_late_answers_are_discarded(self):
        """Guards against an answer delivered to another request."""
        node = await self.start("store")
        await self.wait_for_members(1)
        for fault in ("extra", "late", "extra", ""):
            self.backends[0].fault = fault
            for number in range(3):
                request_id = f"{fault}{number}"
                answer = await self.send_request(node, encode(f"/read/{number}", request_id))
                self.assertEqual(answer.headers["request-id"], request_id)
                self.assertEqual(answer.body, f"i-store GET /read/{number}".encode())

    async def test_lost_answer_of_a_read_is_retried(self):
        """Guards against a failed read that a retry at another backend server prevents."""
        first = await self.start("one")
        await self.start("two")
        await self.wait_for_members(2)
        # The retry budget grows with the number of requests.
        for number in range(30):
            await self.send_request(first, encode("/read/", f"w{number}"))
        self.backends[0].fault = "lose"
        statuses = set()
        for number in range(3):
            statuses.add((await self.send_request(first, encode("/read/", f"r{number}"))).status)
        self.assertEqual(statuses, {200})

    async def test_read_that_failed_for_a_call_is_not_retried(self):
        """Guards against a note about a failed call that is lost on the way to the entry."""
        front = await self.start("front", "portal")
        for name in ("a", "b"):
            await self.start(name)
        await self.wait_for_members(3)
        servers = self.backends[1:]
        for server in servers:
            server.released.clear()
        read = create_task(self.send_request(front, encode("/read/", "parent")))
        await self.wait_until(lambda: any(server.running for server in servers))
        node = self.nodes[1 if servers[0].running else 2]
        for server in servers:
            server.fault = "shed"
        call = await self.send_request(node, encode("/read/", "parent.call"))
        self.assertEqual(call.status, 503)
        for server in servers:
            server.fault = "fail"
            server.released.set()
        self.assertEqual((await read).status, 500)
        self.assertEqual(sum(server.runs["parent"] for server in servers), 1)

    async def test_failure_answer_of_a_backend_is_forwarded(self):
        """Guards against an answer of the node in place of the backend server's."""
        answer = await self._order("fail")
        self.assertEqual(answer.status, 500)
        self.assertEqual(answer.headers["response-seal"], "seal-r1")

    async def test_forwarded_failure_is_logged(self):
        """Guards against a failed request without a log line."""
        await self._order("fail")
        counts = Counter()
        for node in self.nodes:
            counts.update(node.log.counts)
        self.assertEqual(counts["request_failed_at_backend"], 1)

    async def test_shed_order_goes_to_another_server_or_is_refused(self):
        """Guards against a failed order that certainly did not run."""
        node = await self.start("one")
        await self.wait_for_members(1)
        self.backends[0].fault = "shed"
        answer = await self.send_request(node, encode("/order/", "r1", "POST"))
        self.assertEqual(answer.status, 503)
        self.assertIn("retry-after", answer.headers)
        await self.start("two")
        await self.wait_for_members(2)
        answer = await self.send_request(node, encode("/order/", "r2", "POST"))
        self.assertEqual(answer.status, 200)
        self.assertEqual(self.backends[0].runs["r2"] + self.backends[1].runs["r2"], 1)


class OrderTest(MeshTestCase):
    """Order of runs, limits on them, and cancellation."""

    async def test_slots_limit_runs_and_orders_go_first(self):
        """Guards against lookups that start while orders wait."""
        node = await self.start("store", slots=2)
        await self.wait_for_members(1)
        backend = self.backends[0]
        backend.released.clear()
        tasks = [
            create_task(self.send_request(node, encode("/read/", f"busy{n}"))) for n in range(2)
        ]
        await self.wait_until(lambda: backend.running == 2)
        tasks.append(create_task(self.send_request(node, encode("/read/", "lookup"))))
        await sleep(0.02)
        tasks.append(create_task(self.send_request(node, encode("/order/", "order", "POST"))))
        await sleep(0.02)
        backend.released.set()
        await gather(*tasks)
        self.assertEqual(backend.peak_running, 2)
        self.assertLess(backend.order.index("order"), backend.order.index("lookup"))

    async def test_waiting_lookup_is_refused_early(self):
        """Guards against callers that wait until their deadline for a refusal."""
        node = await self.start("store", slots=1)
        await self.wait_for_members(1)
        self.backends[0].released.clear()
        busy = create_task(self.send_request(node, encode("/order/", "busy", "POST")))
        await self.wait_until(lambda: self.backends[0].running == 1)
        answer = await self.send_request(node, encode("/read/", "waits"), seconds=0.5)
        self.assertEqual(answer.status, 503)
        self.assertEqual(self.backends[0].runs["waits"], 0)
        self.backends[0].released.set()
        self.assertEqual((await busy).status, 200)

    async def test_disconnected_caller_cancels_the_run(self):
        """Guards against work for callers that have disconnected."""
        front = await self.start("front", "portal")
        await self.start("store")
        await self.wait_for_members(2)
        self.backends[1].released.clear()
        _, writer = await self.connect(front)
        writer.write(encode("/read/", "gone"))
        await self.wait_until(lambda: self.backends[1].running == 1)
        writer.transport.abort()
        await self.wait_until(lambda: self.backends[1].cancelled == ["gone"], seconds=0.5)

    async def test_timeout_of_the_route_is_enforced(self):
        """Guards against a caller that waits longer than the route's timeout."""
        self.store.put(
            "config",
            "main",
            configuration(2, read={"pathPrefix": "/read/", "service": "stock", "timeoutMs": 300}),
        )
        node = await self.start("store")
        await self.wait_for_members(1)
        self.backends[0].released.clear()
        answer = await self.send_request(node, encode("/read/", "slow"), seconds=0.7)
        self.assertEqual(answer.status, 504)

    async def test_call_inherits_the_rank_of_its_parent_request(self):
        """Guards against a failed order because its call waits behind lookups."""
        node = await self.start("store", slots=1)
        await self.wait_for_members(1)
        backend = self.backends[0]
        backend.released.clear()
        order = create_task(self.send_request(node, encode("/order/", "parent", "POST")))
        await self.wait_until(lambda: backend.running == 1)
        backend.slots = 2
        await backend.report(node.settings.report_address)
        lookups = [
            create_task(self.send_request(node, encode("/read/", f"l{n}"))) for n in range(3)
        ]
        await self.wait_until(lambda: backend.running == 2)
        call = create_task(self.send_request(node, encode("/read/", "parent.call")))
        await sleep(0.05)
        backend.released.set()
        await gather(order, call, *lookups)
        self.assertLess(backend.order.index("parent.call"), 4)
        self.assertEqual(node.parent_requests.called_routes["order"].keys(), {"read"})


class ConfigurationTest(MeshTestCase):
    """Distribution of the configuration."""

    async def test_newer_version_is_applied_and_older_ones_are_ignored(self):
        """Guards against a node that reverts to an earlier version."""
        node = await self.start("store")
        await self.wait_for_members(1)
        change = configuration(5, other={"pathPrefix": "/other/", "service": "stock"})
        self.store.put("config", "main", change)
        await self.wait_until(lambda: node.active_configuration.version == 5)
        self.store.put("config", "main", DEFAULT_CONFIGURATION)
        await sleep(0.1)
        self.assertEqual(node.active_configuration.version, 5)
        self.assertEqual((await self.send_request(node, encode("/other/", "r1"))).status, 200)
        self.assertEqual((await self.send_request(node, encode("/read/", "r2"))).status, 404)

    async def test_unreadable_configuration_is_ignored(self):
        """Guards against a node that loses its routes because of a damaged object."""
        node = await self.start("store")
        await self.wait_for_members(1)
        self.store.put("config", "main", {"version": 9, "routes": {"r": {"host": 1}}})
        await self.wait_until(lambda: node.log.counts.get("configuration_unreadable"))
        self.assertEqual((await self.send_request(node, encode("/read/", "r1"))).status, 200)

    async def test_watch_recovers_from_discarded_history(self):
        """Guards against a watch that stops when the store discards its history."""
        node = await self.start("store")
        await self.wait_for_members(1)
        self.store.forget_history()
        self.store.close()
        await self.store.open(self.store.port)
        self.store.put("config", "main", configuration(7))
        await self.wait_until(lambda: node.active_configuration.version == 7)

    async def test_node_learns_from_peers_while_the_store_is_unavailable(self):
        """Guards against a restarted node that refuses all requests during a store outage."""
        front = await self.start("front", "portal")
        store = await self.start("store")
        await self.wait_for_members(2)
        self.assertEqual((await self.send_request(front, encode("/read/", "r1"))).status, 200)
        self.store.status = 503
        store.close()
        await sleep(0.02)
        again = await self.start_node(store.settings)
        await self.backends[1].report(again.settings.report_address)
        await self.send_request(front, encode("/read/", "r2"))
        await self.wait_until(lambda: again.active_configuration.version == 1)
        self.assertIn("front", again.directory.peers)
        self.assertEqual((await self.send_request(front, encode("/read/", "r3"))).status, 200)

    async def test_node_whose_watch_hangs_learns_a_change_from_peers(self):
        """Guards against a node that keeps an old version since other peers have it as well."""
        front = await self.start("front", "portal")
        await self.start("store")
        await self.start("other")
        await self.wait_for_members(3)
        for node in (front, self.nodes[2]):
            # The watch hangs: it neither returns nor fails, and no notices arrive.
            node.membership.watch.stop()
            node.membership.watch.start = lambda: None
            node.links.handlers["notice"] = lambda connection, message: None
        self.store.put("config", "main", {**DEFAULT_CONFIGURATION, "version": 8})
        await self.wait_until(lambda: self.nodes[1].active_configuration.version == 8)
        for number in range(60):
            await self.send_request(front, encode("/read/", f"r{number}"))
            await sleep(0.01)
        await self.wait_until(lambda: front.active_configuration.version == 8, seconds=0.5)

    async def test_record_is_written_despite_lost_answers_of_the_store(self):
        """Guards against a record that is never written, or is replaced by an older one."""
        self.store.lose_answers = True
        node = await self.start("store")
        await sleep(0.2)
        self.store.lose_answers = False
        await self.wait_until(lambda: node.membership.own_record.written is not None)
        item = self.store.objects[("coltsfoottrack-members", "store")]
        self.assertEqual(item["spec"]["backend"], "i-store")

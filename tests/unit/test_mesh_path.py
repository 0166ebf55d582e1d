"""The routed path with whole nodes, stand-ins for backend servers and for the store."""

from asyncio import create_task, gather, open_connection, sleep
from collections import Counter
from time import time
from unittest.mock import patch

from coltsfoottrack._internal.mesh.link import LinkConnection
from coltsfoottrack._internal.mesh.sockets import split_address
from tests.standins.backend import StandInBackend
from tests.standins.mesh import (
    STANDARD,
    Answer,
    Mesh,
    configuration,
    encode,
    free_address,
    read_answer,
)


class WholePathTest(Mesh):
    """Requests reach the right backend server and come back whole."""

    async def test_request_through_two_nodes(self):
        """Guards against lost or changed parts of a request on its way."""
        front = await self.start("front", "portal")
        await self.start("store", "stock")
        await self.known(2)
        request = encode("/order/7?x=1", "r1", "POST", b"pallet", Deadline_Ms="2000", X_Own="kept")
        answer = await self.ask(front, request)
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.headers["response-seal"], "seal-r1")
        self.assertEqual(answer.body, b"i-store POST /order/7?x=1")
        seen = self.backends[1].seen[0]
        self.assertEqual(seen.body, b"pallet")
        self.assertEqual(seen.headers["x-own"], "kept")
        self.assertEqual(seen.headers["caller-service"], "portal")
        self.assertEqual(seen.headers["expected-instance"], "i-store")
        self.assertLessEqual(int(seen.headers["deadline-ms"]), 2000)
        self.assertGreater(int(seen.headers["deadline-ms"]), 1500)

    async def test_caller_service_cannot_be_claimed(self):
        """Guards against a caller that poses as another service."""
        node = await self.start("store")
        await self.known(1)
        await self.ask(node, encode("/read/a", "r1", Caller_Service="forged"))
        self.assertEqual(self.backends[0].seen[0].headers["caller-service"], "stock")

    async def test_pipelined_answers_keep_their_order(self):
        """Guards against an answer to a later request that overtakes an earlier one."""
        node = await self.start("store")
        await self.known(1)
        self.backends[0].released.clear()
        reader, writer = await self.connect(node)
        for number in range(5):
            writer.write(encode(f"/read/{number}", f"r{number}"))
        await self.until(lambda: self.backends[0].running == 5)
        self.backends[0].released.set()
        for number in range(5):
            answer = await read_answer(reader)
            self.assertEqual(answer.headers["request-id"], f"r{number}")

    async def test_unknown_route_and_no_configuration(self):
        """Guards against a 404 from a node that does not know the routes yet."""
        node = await self.start("store")
        await self.known(1)
        self.assertEqual((await self.ask(node, encode("/none/", "r1"))).status, 404)
        self.store.status = 503
        backend = self.backends[0]
        lonely = await self.start_node(self.settings("lonely", "stock", backend))
        answer = await self.ask(lonely, encode("/read/", "r2"))
        self.assertEqual(answer.status, 503)
        self.assertIn("retry-after", answer.headers)
        self.assertFalse(lonely.is_ready())

    async def test_malformed_and_oversized_requests(self):
        """Guards against requests that are passed on though their framing is in doubt."""
        node = await self.start("store")
        await self.known(1)
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
                self.assertEqual((await self.ask(node, request)).status, status)
        self.assertEqual(self.backends[0].seen, [])

    async def test_bodies_in_flight_are_bounded(self):
        """Guards against a node that is killed for its memory by large bodies."""
        node = await self.start("store")
        await self.known(1)
        node.entry.gate.held_bound = 150
        self.backends[0].released.clear()
        first = create_task(self.ask(node, encode("/order/", "r1", "POST", b"x" * 100)))
        await self.until(lambda: self.backends[0].running == 1)
        answer = await self.ask(node, encode("/order/", "r2", "POST", b"x" * 100))
        self.assertEqual(answer.status, 503)
        self.backends[0].released.set()
        await first
        self.assertEqual(node.entry.gate.held_bytes, 0)

    async def test_metrics_and_a_port_that_is_taken(self):
        """Guards against metrics that nobody can read, and a node that ends for want of them."""
        backend = StandInBackend("i-store", "stock")
        await backend.open()
        self.backends.append(backend)
        settings = self.settings("store", "stock", backend)
        node = await self.start_node(settings._replace(metrics_address=free_address()))
        await backend.report(settings.report_address)
        await self.known(1)
        await self.ask(node, encode("/read/a", "r1"))
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

    async def test_changed_settings_are_in_force(self):
        """Guards against a settings file that is read at the start only."""
        node = await self.start("store")
        await self.known(1)
        changed = node.settings._replace(service="renamed")
        node.adapter = node.adapter._replace(read_settings=lambda: changed)
        node.reload()
        await self.ask(node, encode("/read/a", "r1"))
        self.assertEqual(self.backends[0].seen[0].headers["caller-service"], "renamed")
        self.assertEqual(node.log.counts["settings_reloaded"], 1)

    async def test_chunked_body_is_passed_on_whole(self):
        """Guards against a chunked body that is cut or sent twice."""
        node = await self.start("store")
        await self.known(1)
        head = b"POST /order/ HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r1\r\n"
        head += b"Transfer-Encoding: chunked\r\n\r\n"
        answer = await self.ask(node, head + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
        self.assertEqual(answer.status, 200)
        self.assertEqual(self.backends[0].seen[0].body, b"abcde")


class BrokenAnswerTest(Mesh):
    """What a faulty backend server sends does not reach a caller as a success."""

    async def _order(self, fault: str, path: str = "/order/", method: str = "POST"):
        node = await self.start("store")
        await self.known(1)
        self.backends[0].fault = fault
        return await self.ask(node, encode(path, "r1", method))

    async def test_lost_answer_of_an_order_is_unknown(self):
        """Guards against a second run, and against the claim that it did not run."""
        answer = await self._order("lose")
        self.assertEqual(answer.status, 502)
        self.assertEqual(self.backends[0].runs["r1"], 1)

    async def test_truncated_unsealed_and_encoded_answers(self):
        """Guards against broken bodies that look complete."""
        for fault in ("truncate", "unsealed", "encoded"):
            with self.subTest(fault=fault):
                self.assertEqual((await self._order(fault)).status, 502)
                await self.asyncTearDown()
                await self.asyncSetUp()

    async def test_answer_without_length_is_whole(self):
        """Guards against the loss of answers that end with their connection."""
        answer = await self._order("unframed")
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.body, b"i-store POST /order/")

    async def test_extra_and_late_answers_belong_to_no_request(self):
        """Guards against an answer that is given to another request."""
        node = await self.start("store")
        await self.known(1)
        for fault in ("extra", "late", "extra", ""):
            self.backends[0].fault = fault
            for number in range(3):
                request_id = f"{fault}{number}"
                answer = await self.ask(node, encode(f"/read/{number}", request_id))
                self.assertEqual(answer.headers["request-id"], request_id)
                self.assertEqual(answer.body, f"i-store GET /read/{number}".encode())

    async def test_lost_answer_of_a_read_is_repeated_elsewhere(self):
        """Guards against a failure that another backend server could have prevented."""
        first = await self.start("one")
        await self.start("two")
        await self.known(2)
        # The share of the repeat budget grows with the requests.
        for number in range(30):
            await self.ask(first, encode("/read/", f"w{number}"))
        self.backends[0].fault = "lose"
        statuses = set()
        for number in range(3):
            statuses.add((await self.ask(first, encode("/read/", f"r{number}"))).status)
        self.assertEqual(statuses, {200})

    async def test_own_failure_of_an_order_is_passed_on(self):
        """Guards against an answer of the node in place of the backend server's own."""
        answer = await self._order("fail")
        self.assertEqual(answer.status, 500)
        self.assertEqual(answer.headers["response-seal"], "seal-r1")

    async def test_failure_that_is_passed_on_leaves_a_line(self):
        """Guards against a failed request that no log names."""
        await self._order("fail")
        counts = Counter()
        for node in self.nodes:
            counts.update(node.log.counts)
        self.assertEqual(counts["request_failed_at_backend"], 1)

    async def test_shed_order_goes_elsewhere_or_is_refused(self):
        """Guards against the loss of an order that certainly did not run."""
        node = await self.start("one")
        await self.known(1)
        self.backends[0].fault = "shed"
        answer = await self.ask(node, encode("/order/", "r1", "POST"))
        self.assertEqual(answer.status, 503)
        self.assertIn("retry-after", answer.headers)
        await self.start("two")
        await self.known(2)
        answer = await self.ask(node, encode("/order/", "r2", "POST"))
        self.assertEqual(answer.status, 200)
        self.assertEqual(self.backends[0].runs["r2"] + self.backends[1].runs["r2"], 1)


class OrderTest(Mesh):
    """What runs, in which order, and what is given up."""

    async def test_slots_bound_what_runs_and_orders_go_first(self):
        """Guards against lookups that run while orders wait."""
        node = await self.start("store", slots=2)
        await self.known(1)
        backend = self.backends[0]
        backend.released.clear()
        tasks = [create_task(self.ask(node, encode("/read/", f"busy{n}"))) for n in range(2)]
        await self.until(lambda: backend.running == 2)
        tasks.append(create_task(self.ask(node, encode("/read/", "lookup"))))
        await sleep(0.02)
        tasks.append(create_task(self.ask(node, encode("/order/", "order", "POST"))))
        await sleep(0.02)
        backend.released.set()
        await gather(*tasks)
        self.assertEqual(backend.most_running, 2)
        self.assertLess(backend.order.index("order"), backend.order.index("lookup"))

    async def test_waiting_lookup_is_refused_early(self):
        """Guards against callers that are held until their time is over."""
        node = await self.start("store", slots=1)
        await self.known(1)
        self.backends[0].released.clear()
        busy = create_task(self.ask(node, encode("/order/", "busy", "POST")))
        await self.until(lambda: self.backends[0].running == 1)
        answer = await self.ask(node, encode("/read/", "waits"), seconds=0.5)
        self.assertEqual(answer.status, 503)
        self.assertEqual(self.backends[0].runs["waits"], 0)
        self.backends[0].released.set()
        self.assertEqual((await busy).status, 200)

    async def test_caller_that_leaves_ends_the_run(self):
        """Guards against work for callers that have left."""
        front = await self.start("front", "portal")
        await self.start("store")
        await self.known(2)
        self.backends[1].released.clear()
        _, writer = await self.connect(front)
        writer.write(encode("/read/", "gone"))
        await self.until(lambda: self.backends[1].running == 1)
        writer.transport.abort()
        await self.until(lambda: self.backends[1].cancelled == ["gone"], seconds=0.5)

    async def test_time_out_of_the_route_is_kept(self):
        """Guards against a caller that is held past the time that the operator allows."""
        self.store.put(
            "config",
            "main",
            configuration(2, read={"pathPrefix": "/read/", "service": "stock", "timeoutMs": 300}),
        )
        node = await self.start("store")
        await self.known(1)
        self.backends[0].released.clear()
        answer = await self.ask(node, encode("/read/", "slow"), seconds=0.7)
        self.assertEqual(answer.status, 504)

    async def test_call_inherits_the_rank_of_its_request(self):
        """Guards against an order that fails because a call of it waits behind lookups."""
        node = await self.start("store", slots=1)
        await self.known(1)
        backend = self.backends[0]
        backend.released.clear()
        order = create_task(self.ask(node, encode("/order/", "parent", "POST")))
        await self.until(lambda: backend.running == 1)
        backend.slots = 2
        await backend.report(node.settings.report_address)
        lookups = [create_task(self.ask(node, encode("/read/", f"l{n}"))) for n in range(3)]
        await self.until(lambda: backend.running == 2)
        call = create_task(self.ask(node, encode("/read/", "parent.call")))
        await sleep(0.05)
        backend.released.set()
        await gather(order, call, *lookups)
        self.assertLess(backend.order.index("parent.call"), 4)
        self.assertEqual(node.lineage.called["order"].keys(), {"read"})


class LeavingTest(Mesh):
    """Backend servers and nodes that leave."""

    async def test_draining_server_gets_nothing_more(self):
        """Guards against requests that reach a server after it has said that it leaves."""
        front = await self.start("front", "portal")
        store = await self.start("store")
        await self.start("other")
        await self.known(3)
        backend = self.backends[1]
        await backend.report(store.settings.report_address, "draining")
        # A late report of the time before and an earlier process do not bring it back.
        await backend.report(store.settings.report_address, "ready", seq=1)
        await backend.report(store.settings.report_address, "ready", born=10, seq=99)
        before = len(backend.seen)
        for number in range(10):
            answer = await self.ask(front, encode("/read/", f"r{number}"))
            self.assertEqual(answer.body, b"i-other GET /read/")
        self.assertEqual(len(backend.seen), before)

    async def test_leave_holds_over_a_restart_of_the_node(self):
        """Guards against a restarted node that has forgotten an acknowledged leave."""
        store = await self.start("store")
        await self.known(1)
        backend = self.backends[0]
        await backend.report(store.settings.report_address, "draining")
        await self.until(lambda: store.sync.own_written is not None and store.sync.own_written.left)
        store.close()
        await sleep(0.02)
        again = await self.start_node(store.settings)
        await self.until(lambda: again.backend.left)
        await backend.report(again.settings.report_address, "ready", seq=1)
        self.assertFalse(again.backend.accepting)

    async def test_new_process_of_a_server_is_used(self):
        """Guards against a server that stays out after it was started again."""
        store = await self.start("store")
        await self.known(1)
        backend = self.backends[0]
        await backend.deregister(store.settings.report_address)
        self.assertEqual((await self.ask(store, encode("/read/", "r1"))).status, 503)
        backend.started_ms += 1000
        backend.number = 0
        await backend.report(store.settings.report_address)
        self.assertEqual((await self.ask(store, encode("/read/", "r2"))).status, 200)

    async def test_reports_of_strangers_change_nothing(self):
        """Guards against entries with missing fields, other types or another address."""
        store = await self.start("store")
        await self.known(1)
        backend = self.backends[0]
        for change in (
            {"address": "10.0.0.1:1"},
            {"slots": "many"},
            {"state": "sleeping"},
            {"born": None},
            {"seq": 7.5},
        ):
            with self.subTest(change=change):
                status = await backend.report(store.settings.report_address, **change)
                self.assertEqual(status, 400)
        self.assertTrue(store.backend.accepting)
        self.assertEqual(store.backend.slots, 10)

    async def test_stopping_node_cuts_off_nothing(self):
        """Guards against requests that are cut by a node's planned end."""
        front = await self.start("front", "portal")
        store = await self.start("store")
        await self.known(2)
        self.backends[1].released.clear()
        running = create_task(self.ask(front, encode("/order/", "runs", "POST")))
        await self.until(lambda: self.backends[1].running == 1)
        ending = [create_task(store.stop()), create_task(front.stop())]
        front.stopping.set()
        await sleep(0.1)
        self.assertFalse(front.is_ready())
        self.backends[1].released.set()
        answer = await running
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.headers["connection"], "close")
        await gather(*ending)

    async def test_request_that_outlasts_the_grace_time_gets_its_final_answer(self):
        """Guards against a connection that ends without an answer at the end of a node.

        Found by the soak, seed 36: the caller waited for an order that its node had taken after
        SIGTERM, and was told nothing.
        """
        front = await self.start("front", "portal")
        await self.start("store")
        await self.known(2)
        front.settings = front.settings._replace(grace_seconds=3.0)
        self.backends[1].released.clear()
        running = create_task(self.ask(front, encode("/order/", "runs", "POST")))
        await self.until(lambda: self.backends[1].running == 1)
        ending = create_task(front.stop())
        answer = await running
        self.assertEqual(answer.status, 502)
        self.assertEqual(answer.headers["connection"], "close")
        await ending

    async def test_requests_go_elsewhere_when_a_node_stops(self):
        """Guards against refusals while another backend server is free."""
        front = await self.start("front", "portal")
        store = await self.start("store")
        await self.start("other")
        await self.known(3)
        ending = create_task(store.stop())
        await sleep(0.05)
        # The front node has no link to the leaving one yet: the first request that it sends there
        # is served and brings the word of the leave, and no further one follows.
        bodies = []
        for number in range(12):
            answer = await self.ask(front, encode("/order/", f"r{number}", "POST"))
            self.assertEqual(answer.status, 200)
            bodies.append(answer.body)
        self.assertLessEqual(bodies.count(b"i-store POST /order/"), 1)
        store.close()
        ending.cancel()


def silent_at(node, connection_class):
    """Returns a method that drops what a node's own links receive."""
    receive = connection_class.data_received

    def data_received(connection, data):
        if connection.handler is not node.links:
            receive(connection, data)

    return data_received


class RollingRestartTest(Mesh):
    """Nodes that are restarted in turn while their backend servers go on."""

    async def test_leaving_node_serves_while_it_is_the_only_one(self):
        """Guards against refusals by a whole service whose nodes are restarted in turn."""
        front = await self.start("front", "portal")
        store = await self.start("store")
        await self.known(2)
        ending = create_task(store.stop())
        await sleep(0.2)
        for number in range(5):
            answer = await self.ask(front, encode("/order/", f"r{number}", "POST"))
            self.assertEqual(answer.status, 200)
        await self.until(lambda: store.backend.node_closed)
        answer = await self.ask(front, encode("/order/", "late", "POST"))
        self.assertEqual(answer.status, 503)
        await ending


class LostNodeTest(Mesh):
    """Nodes that end, and links that break."""

    async def _answer_after_restart(self, path: str, method: str) -> Answer:
        """Restarts a node between a request's run and its answer, and returns the answer."""
        front = await self.start("front", "portal")
        store = await self.start("store")
        await self.known(2)
        self.backends[1].released.clear()
        running = create_task(self.ask(front, encode(path, "r1", method)))
        await self.until(lambda: self.backends[1].running == 1)
        store.links.server.close()
        settings = store.settings._replace(
            caller_address=free_address(),
            ready_address=free_address(),
            report_address=free_address(),
        )
        restarted = await self.start_node(settings)
        await self.backends[1].report(restarted.settings.report_address)
        for connection in list(store.links.accepted):
            connection.transport.abort()
        await self.until(lambda: bool(restarted.links.accepted))
        await sleep(0.1)
        self.backends[1].released.set()
        return await running

    async def test_order_that_ran_before_a_restart_is_not_said_to_be_refused(self):
        """Guards against a 503 for an order that has run.

        Found by the soak, seed 46: the restarted node truthfully said that it had not run the
        order, and the entry took that for the word of the process that had been asked to.
        """
        answer = await self._answer_after_restart("/order/", "POST")
        self.assertEqual(answer.status, 502)
        self.assertEqual(self.backends[1].runs["r1"], 1)

    async def test_lookup_that_ran_before_a_restart_counts_as_a_repeat(self):
        """Guards against runs that the bound on repeats does not count."""
        answer = await self._answer_after_restart("/read/", "GET")
        self.assertEqual(answer.status, 200)
        self.assertEqual(self.nodes[0].figures.repeats, 1)

    async def test_order_at_a_killed_node_is_unknown(self):
        """Guards against a second run of an order whose runner has gone."""
        front = await self.start("front", "portal")
        store = await self.start("store")
        await self.start("other")
        await self.known(3)
        # The order goes to the first of the two.
        self.backends[2].close()
        await self.backends[2].deregister(self.nodes[2].settings.report_address)
        await self.until(lambda: front.directory.peers["other"].member.left)
        self.backends[1].released.clear()
        task = create_task(self.ask(front, encode("/order/", "r1", "POST")))
        await self.until(lambda: self.backends[1].running == 1)
        store.close()
        answer = await task
        self.assertEqual(answer.status, 502)

    async def test_order_at_a_silent_node_goes_elsewhere(self):
        """Guards against orders that are held to their end at a frozen or cut-off node."""
        front = await self.start("front", "portal")
        store = await self.start("store")
        await self.start("other")
        await self.known(3)
        # Links to the node are open, and it answers nothing any more.
        with patch.object(LinkConnection, "data_received", silent_at(store, LinkConnection)):
            answers = await gather(
                *(self.ask(front, encode("/order/", f"r{n}", "POST")) for n in range(6))
            )
        self.assertEqual({answer.status for answer in answers}, {200})
        for number in range(6):
            runs = sum(backend.runs[f"r{number}"] for backend in self.backends)
            self.assertEqual(runs, 1)

    async def test_order_that_was_given_up_is_not_run_later(self):
        """Guards against a run after the caller was told that there was none."""
        front = await self.start("front", "portal")
        store = await self.start("store")
        await self.known(2)
        held = []
        grant = store.runner.grant
        with patch.object(store.runner, "grant", lambda *given: held.append(given)):
            request = encode("/order/", "r1", "POST", Deadline_Ms="300")
            answer = await self.ask(front, request)
        self.assertEqual(answer.status, 504)
        for given in held:
            grant(*given)
        await sleep(0.1)
        self.assertEqual(self.backends[1].runs["r1"], 0)

    async def test_order_goes_on_over_a_new_link(self):
        """Guards against the loss of an order by a reset connection between two nodes."""
        front = await self.start("front", "portal")
        await self.start("store")
        await self.known(2)
        self.backends[1].released.clear()
        task = create_task(self.ask(front, encode("/order/", "r1", "POST")))
        await self.until(lambda: self.backends[1].running == 1)
        for connection in list(front.links.peers["store"].connections):
            connection.transport.abort()
        await sleep(0.1)
        self.backends[1].released.set()
        self.assertEqual((await task).status, 200)
        self.assertEqual(self.backends[1].runs["r1"], 1)

    async def test_node_restarted_with_its_clock_set_back(self):
        """Guards against a node that stays out since its new process looks older."""
        front = await self.start("front", "portal")
        store = await self.start("store")
        await self.known(2)
        self.assertEqual((await self.ask(front, encode("/read/", "r1"))).status, 200)
        await self.until(lambda: store.sync.own_written is not None)
        store.close()
        await sleep(0.02)
        with patch("coltsfoottrack._internal.mesh.daemon.time", lambda: time() - 100.0):
            again = await self.start_node(store.settings)
        await self.backends[1].report(again.settings.report_address)
        await self.until(lambda: again.sync.own_written is not None)
        for number in range(5):
            answer = await self.ask(front, encode("/order/", f"o{number}", "POST"))
            self.assertEqual(answer.status, 200)

    async def test_nodes_started_in_the_same_millisecond(self):
        """Guards against answers of another node's call with the same number."""
        one = await self.start("one", "portal")
        two = await self.start("two", "portal")
        await self.start("store")
        for node in (one, two):
            node.directory.set_own(node.directory.own._replace(epoch=5))
        await self.known(3)
        for number in range(5):
            for node in (one, two):
                request_id = f"{node.settings.node}{number}"
                answer = await self.ask(node, encode("/read/", request_id))
                self.assertEqual(answer.headers["request-id"], request_id)


class CrashTest(Mesh):
    """Requests that crash each backend server that runs them."""

    async def test_request_is_refused_after_two_crashes(self):
        """Guards against one request that takes down a whole service, also by other nodes."""
        one = await self.start("one")
        two = await self.start("two")
        await self.known(2)
        for node in (one, two):
            for backend in self.backends:
                backend.fault = "crash"
            await self.ask(node, encode("/order/", f"c-{node.settings.node}", "POST", b"bad"))
            await self.until(
                lambda: not all(backend.server.is_serving() for backend in self.backends)
            )
            for backend, beside in zip(self.backends, (one, two), strict=True):
                if backend.server.is_serving():
                    continue
                # A request that is sent meanwhile shows that nobody listens.
                beside.runner.backend_gone("connection_refused")
                await backend.restart()
                await backend.report(beside.settings.report_address)
            for other in (one, two):
                suspects = other.runner.crashes.suspects
                await self.until(lambda suspects=suspects: suspects.entries)
        for node in (one, two):
            suspects = node.runner.crashes.suspects
            await self.until(lambda suspects=suspects: suspects.quarantined() == 1)
        for backend in self.backends:
            backend.fault = ""
        for node in (one, two):
            answer = await self.ask(
                node, encode("/order/", f"again-{node.settings.node}", "POST", b"bad")
            )
            self.assertEqual(answer.status, 503)
            answer = await self.ask(
                node, encode("/order/", f"good-{node.settings.node}", "POST", b"good")
            )
            self.assertEqual(answer.status, 200)
        runs = sum(
            backend.runs[f"again-{name}"] for backend in self.backends for name in ("one", "two")
        )
        self.assertEqual(runs, 0)


class ConfigurationTest(Mesh):
    """The configuration in force."""

    async def test_change_is_in_force_and_old_versions_are_not_taken(self):
        """Guards against a node that goes back to an earlier version."""
        node = await self.start("store")
        await self.known(1)
        change = configuration(5, other={"pathPrefix": "/other/", "service": "stock"})
        self.store.put("config", "main", change)
        await self.until(lambda: node.keeper.version == 5)
        self.store.put("config", "main", STANDARD)
        await sleep(0.1)
        self.assertEqual(node.keeper.version, 5)
        self.assertEqual((await self.ask(node, encode("/other/", "r1"))).status, 200)
        self.assertEqual((await self.ask(node, encode("/read/", "r2"))).status, 404)

    async def test_unreadable_configuration_changes_nothing(self):
        """Guards against a node that loses its routes to a damaged object."""
        node = await self.start("store")
        await self.known(1)
        self.store.put("config", "main", {"version": 9, "routes": {"r": {"host": 1}}})
        await self.until(lambda: node.log.counts.get("configuration_unreadable"))
        self.assertEqual((await self.ask(node, encode("/read/", "r1"))).status, 200)

    async def test_forgotten_history(self):
        """Guards against a watch that ends for good when the store drops its history."""
        node = await self.start("store")
        await self.known(1)
        self.store.forget_history()
        self.store.close()
        await self.store.open(self.store.port)
        self.store.put("config", "main", configuration(7))
        await self.until(lambda: node.keeper.version == 7)

    async def test_node_learns_from_peers_while_the_store_is_away(self):
        """Guards against a restarted node that refuses everything for the length of an outage."""
        front = await self.start("front", "portal")
        store = await self.start("store")
        await self.known(2)
        self.assertEqual((await self.ask(front, encode("/read/", "r1"))).status, 200)
        self.store.status = 503
        store.close()
        await sleep(0.02)
        again = await self.start_node(store.settings)
        await self.backends[1].report(again.settings.report_address)
        await self.ask(front, encode("/read/", "r2"))
        await self.until(lambda: again.keeper.version == 1)
        self.assertIn("front", again.directory.peers)
        self.assertEqual((await self.ask(front, encode("/read/", "r3"))).status, 200)

    async def test_node_whose_watch_is_dead_learns_a_change_from_peers(self):
        """Guards against a node that stays behind since other peers are behind as well."""
        front = await self.start("front", "portal")
        await self.start("store")
        await self.start("other")
        await self.known(3)
        for node in (front, self.nodes[2]):
            # The watch hangs: it is neither answered nor ended.
            node.tasks[0].cancel()
        self.store.put("config", "main", {**STANDARD, "version": 8})
        await self.until(lambda: self.nodes[1].keeper.version == 8)
        for number in range(60):
            await self.ask(front, encode("/read/", f"r{number}"))
            await sleep(0.01)
        await self.until(lambda: front.keeper.version == 8, seconds=0.5)

    async def test_lost_answers_of_the_store(self):
        """Guards against a record that is never written, or an older one that wins."""
        self.store.lose_answers = True
        node = await self.start("store")
        await sleep(0.2)
        self.store.lose_answers = False
        await self.until(lambda: node.sync.own_written is not None)
        item = self.store.objects[("coltsfoottrack-members", "store")]
        self.assertEqual(item["spec"]["backend"], "i-store")

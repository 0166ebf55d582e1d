"""Crashed and silent nodes, broken links, and requests that crash backend servers."""

from asyncio import create_task, gather, sleep
from unittest.mock import patch

from coltsfoottrack._internal.mesh.clock import current_time, unix_time_ms
from coltsfoottrack._internal.mesh.link import LinkConnection
from tests.standins.mesh import (
    Answer,
    MeshTestCase,
    encode,
    free_address,
)


def silent_at(node, connection_class):
    """Returns a ``data_received`` that drops all bytes received on a node's links."""
    receive = connection_class.data_received

    def data_received(connection, data):
        if connection.handler is not node.links:
            receive(connection, data)

    return data_received


class LostNodeTest(MeshTestCase):
    """Failed nodes and broken links."""

    async def _answer_after_restart(
        self, path: str, method: str, same_epoch: bool = False
    ) -> Answer:
        """Returns the answer to a request whose node is restarted between run and answer."""
        front = await self.start("front", "portal")
        store = await self.start("store")
        await self.wait_for_members(2)
        self.backends[1].released.clear()
        running = create_task(self.send_request(front, encode(path, "r1", method)))
        await self.wait_until(lambda: self.backends[1].running == 1)
        store.links.server.close()
        settings = store.settings._replace(
            caller_address=free_address(),
            ready_address=free_address(),
            report_address=free_address(),
        )
        clock = "coltsfoottrack._internal.mesh.daemon.unix_time_ms"
        epoch = store.directory.own.epoch if same_epoch else unix_time_ms()
        with patch(clock, lambda: epoch):
            restarted = await self.start_node(settings)
        await self.backends[1].report(restarted.settings.report_address)
        for connection in list(store.links.accepted):
            connection.transport.abort()
        await self.wait_until(lambda: bool(restarted.links.accepted))
        await sleep(0.1)
        self.backends[1].released.set()
        return await running

    async def test_order_that_ran_before_a_restart_is_not_reported_as_refused(self):
        """Guards against a 503 for an order that ran.

        Soak seed 46: the restarted node replied that it had not run the order, and the entry
        attributed the reply to the earlier process, which had run it.
        """
        answer = await self._answer_after_restart("/order/", "POST")
        self.assertEqual(answer.status, 502)
        self.assertEqual(self.backends[1].runs["r1"], 1)

    # TWICE: the next process took a call that was sent again for a new one.
    async def test_order_is_not_run_again_by_a_process_of_the_same_epoch(self):
        answer = await self._answer_after_restart("/order/", "POST", same_epoch=True)
        self.assertEqual(self.backends[1].runs["r1"], 1)
        self.assertEqual(answer.status, 502)

    # TWICE: a runner took a call that it had forgotten for a new one.
    async def test_order_is_not_run_again_once_the_runner_has_forgotten_it(self):
        front = await self.start("front", "portal")
        store = await self.start("store")
        await self.wait_for_members(2)
        self.backends[1].released.clear()
        running = create_task(self.send_request(front, encode("/order/", "r1", "POST")))
        await self.wait_until(lambda: self.backends[1].running == 1)
        # The reply is lost with the links, and the retention period ends before they are back.
        for connection in list(store.links.accepted):
            connection.transport.pause_reading()
            connection.send_message = lambda kind, message: None
        self.backends[1].released.set()
        await self.wait_until(lambda: not store.runner.running)
        store.runner.call_cache.evict(current_time() + 60.0)
        self.assertFalse(store.runner.call_cache.calls)
        for connection in list(store.links.accepted):
            connection.transport.abort()
        answer = await running
        self.assertEqual(self.backends[1].runs["r1"], 1)
        self.assertEqual(answer.status, 502)

    async def test_lookup_that_ran_before_a_restart_counts_as_a_retry(self):
        """Guards against repeated runs that are missing from the number of retries."""
        answer = await self._answer_after_restart("/read/", "GET")
        self.assertEqual(answer.status, 200)
        self.assertEqual(self.nodes[0].statistics.retries, 1)

    async def test_order_at_a_killed_node_is_unknown(self):
        """Guards against a second run of an order whose node has failed."""
        front = await self.start("front", "portal")
        store = await self.start("store")
        await self.start("other")
        await self.wait_for_members(3)
        # Leaves one backend server for the order.
        self.backends[2].close()
        await self.backends[2].deregister(self.nodes[2].settings.report_address)
        await self.wait_until(lambda: front.directory.peers["other"].member.left)
        self.backends[1].released.clear()
        task = create_task(self.send_request(front, encode("/order/", "r1", "POST")))
        await self.wait_until(lambda: self.backends[1].running == 1)
        store.close()
        answer = await task
        self.assertEqual(answer.status, 502)

    async def test_order_at_a_silent_node_goes_to_another(self):
        """Guards against orders that wait at a frozen or partitioned node until they expire."""
        front = await self.start("front", "portal")
        store = await self.start("store")
        await self.start("other")
        await self.wait_for_members(3)
        # Links to the node are open but it no longer answers.
        with patch.object(LinkConnection, "data_received", silent_at(store, LinkConnection)):
            answers = await gather(
                *(self.send_request(front, encode("/order/", f"r{n}", "POST")) for n in range(6))
            )
        self.assertEqual({answer.status for answer in answers}, {200})
        for number in range(6):
            runs = sum(backend.runs[f"r{number}"] for backend in self.backends)
            self.assertEqual(runs, 1)

    async def test_order_that_timed_out_is_not_run_later(self):
        """Guards against a run of an order after its caller got the final answer."""
        front = await self.start("front", "portal")
        store = await self.start("store")
        await self.wait_for_members(2)
        held = []
        grant = store.runner.grant
        with patch.object(store.runner, "grant", lambda *given: held.append(given)):
            request = encode("/order/", "r1", "POST", Deadline_Ms="300")
            answer = await self.send_request(front, request)
        self.assertEqual(answer.status, 504)
        for given in held:
            grant(*given)
        await sleep(0.1)
        self.assertEqual(self.backends[1].runs["r1"], 0)

    async def test_order_survives_a_reset_of_its_link(self):
        """Guards against an order lost by a reset connection between two nodes."""
        front = await self.start("front", "portal")
        await self.start("store")
        await self.wait_for_members(2)
        self.backends[1].released.clear()
        task = create_task(self.send_request(front, encode("/order/", "r1", "POST")))
        await self.wait_until(lambda: self.backends[1].running == 1)
        for connection in list(front.links.peer_links["store"].connections):
            connection.transport.abort()
        await sleep(0.1)
        self.backends[1].released.set()
        self.assertEqual((await task).status, 200)
        self.assertEqual(self.backends[1].runs["r1"], 1)

    async def test_node_restarted_with_its_clock_set_back(self):
        """Guards against a node that gets no requests since its new process seems older."""
        front = await self.start("front", "portal")
        store = await self.start("store")
        await self.wait_for_members(2)
        self.assertEqual((await self.send_request(front, encode("/read/", "r1"))).status, 200)
        await self.wait_until(lambda: store.membership.own_record.written is not None)
        store.close()
        await sleep(0.02)
        clock = "coltsfoottrack._internal.mesh.daemon.unix_time_ms"
        with patch(clock, lambda: unix_time_ms() - 100_000):
            again = await self.start_node(store.settings)
        await self.backends[1].report(again.settings.report_address)
        await self.wait_until(lambda: again.membership.own_record.written is not None)
        for number in range(5):
            answer = await self.send_request(front, encode("/order/", f"o{number}", "POST"))
            self.assertEqual(answer.status, 200)

    async def test_nodes_started_in_the_same_millisecond(self):
        """Guards against answers mixed up between calls of two nodes with the same number."""
        one = await self.start("one", "portal")
        two = await self.start("two", "portal")
        await self.start("store")
        for node in (one, two):
            node.directory.set_own(node.directory.own._replace(epoch=5))
        await self.wait_for_members(3)
        for number in range(5):
            for node in (one, two):
                request_id = f"{node.settings.node}{number}"
                answer = await self.send_request(node, encode("/read/", request_id))
                self.assertEqual(answer.headers["request-id"], request_id)


class CrashTest(MeshTestCase):
    """Requests that crash each backend server that runs them."""

    async def test_request_is_refused_after_two_crashes(self):
        """Guards against one request that crashes all backend servers of a service.

        A request that was suspected at one node must be refused at the other nodes as well.
        """
        one = await self.start("one")
        two = await self.start("two")
        await self.wait_for_members(2)
        for node in (one, two):
            for backend in self.backends:
                backend.fault = "crash"
            await self.send_request(
                node, encode("/order/", f"c-{node.settings.node}", "POST", b"bad")
            )
            await self.wait_until(
                lambda: not all(backend.server.is_serving() for backend in self.backends)
            )
            for backend, beside in zip(self.backends, (one, two), strict=True):
                if backend.server.is_serving():
                    continue
                # Stands for a request whose connection is refused.
                beside.runner.handle_backend_crash("connection_refused")
                await backend.restart()
                await backend.report(beside.settings.report_address)
            for other in (one, two):
                suspects = other.runner.crash_watch.suspects
                await self.wait_until(lambda suspects=suspects: suspects.entries)
        for node in (one, two):
            suspects = node.runner.crash_watch.suspects
            await self.wait_until(lambda suspects=suspects: suspects.quarantined() == 1)
        for backend in self.backends:
            backend.fault = ""
        for node in (one, two):
            answer = await self.send_request(
                node, encode("/order/", f"again-{node.settings.node}", "POST", b"bad")
            )
            self.assertEqual(answer.status, 503)
            answer = await self.send_request(
                node, encode("/order/", f"good-{node.settings.node}", "POST", b"good")
            )
            self.assertEqual(answer.status, 200)
        runs = sum(
            backend.runs[f"again-{name}"] for backend in self.backends for name in ("one", "two")
        )
        self.assertEqual(runs, 0)

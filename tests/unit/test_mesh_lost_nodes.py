"""Nodes that end without a word, links that break, and requests that crash backend servers."""

from asyncio import create_task, gather, sleep
from time import time
from unittest.mock import patch

from coltsfoottrack._internal.mesh.link import LinkConnection
from tests.standins.mesh import (
    Answer,
    MeshTestCase,
    encode,
    free_address,
)


def silent_at(node, connection_class):
    """Returns a method that drops what a node's own links receive."""
    receive = connection_class.data_received

    def data_received(connection, data):
        if connection.handler is not node.links:
            receive(connection, data)

    return data_received


class LostNodeTest(MeshTestCase):
    """Nodes that end, and links that break."""

    async def _answer_after_restart(self, path: str, method: str) -> Answer:
        """Restarts a node between a request's run and its answer, and returns the answer."""
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
        restarted = await self.start_node(settings)
        await self.backends[1].report(restarted.settings.report_address)
        for connection in list(store.links.accepted):
            connection.transport.abort()
        await self.wait_until(lambda: bool(restarted.links.accepted))
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
        self.assertEqual(self.nodes[0].statistics.retries, 1)

    async def test_order_at_a_killed_node_is_unknown(self):
        """Guards against a second run of an order whose runner has gone."""
        front = await self.start("front", "portal")
        store = await self.start("store")
        await self.start("other")
        await self.wait_for_members(3)
        # The order goes to the first of the two.
        self.backends[2].close()
        await self.backends[2].deregister(self.nodes[2].settings.report_address)
        await self.wait_until(lambda: front.directory.peers["other"].member.left)
        self.backends[1].released.clear()
        task = create_task(self.send_request(front, encode("/order/", "r1", "POST")))
        await self.wait_until(lambda: self.backends[1].running == 1)
        store.close()
        answer = await task
        self.assertEqual(answer.status, 502)

    async def test_order_at_a_silent_node_goes_elsewhere(self):
        """Guards against orders that are held to their end at a frozen or cut-off node."""
        front = await self.start("front", "portal")
        store = await self.start("store")
        await self.start("other")
        await self.wait_for_members(3)
        # Links to the node are open, and it answers nothing any more.
        with patch.object(LinkConnection, "data_received", silent_at(store, LinkConnection)):
            answers = await gather(
                *(self.send_request(front, encode("/order/", f"r{n}", "POST")) for n in range(6))
            )
        self.assertEqual({answer.status for answer in answers}, {200})
        for number in range(6):
            runs = sum(backend.runs[f"r{number}"] for backend in self.backends)
            self.assertEqual(runs, 1)

    async def test_order_that_was_given_up_is_not_run_later(self):
        """Guards against a run after the caller was told that there was none."""
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

    async def test_order_goes_on_over_a_new_link(self):
        """Guards against the loss of an order by a reset connection between two nodes."""
        front = await self.start("front", "portal")
        await self.start("store")
        await self.wait_for_members(2)
        self.backends[1].released.clear()
        task = create_task(self.send_request(front, encode("/order/", "r1", "POST")))
        await self.wait_until(lambda: self.backends[1].running == 1)
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
        await self.wait_for_members(2)
        self.assertEqual((await self.send_request(front, encode("/read/", "r1"))).status, 200)
        await self.wait_until(lambda: store.sync.own_written is not None)
        store.close()
        await sleep(0.02)
        with patch("coltsfoottrack._internal.mesh.daemon.time", lambda: time() - 100.0):
            again = await self.start_node(store.settings)
        await self.backends[1].report(again.settings.report_address)
        await self.wait_until(lambda: again.sync.own_written is not None)
        for number in range(5):
            answer = await self.send_request(front, encode("/order/", f"o{number}", "POST"))
            self.assertEqual(answer.status, 200)

    async def test_nodes_started_in_the_same_millisecond(self):
        """Guards against answers of another node's call with the same number."""
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
        """Guards against one request that takes down a whole service, also by other nodes."""
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
                # A request that is sent meanwhile shows that nobody listens.
                beside.runner.handle_backend_crash("connection_refused")
                await backend.restart()
                await backend.report(beside.settings.report_address)
            for other in (one, two):
                suspects = other.runner.crashes.suspects
                await self.wait_until(lambda suspects=suspects: suspects.entries)
        for node in (one, two):
            suspects = node.runner.crashes.suspects
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

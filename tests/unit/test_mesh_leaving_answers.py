"""Backend servers that say in their answers, and nowhere else, that they leave."""

from asyncio import sleep

from tests.standins.mesh import MeshTestCase, encode


class LeavingAnswerTest(MeshTestCase):
    """A leave that an answer tells binds like a reported one."""

    async def test_server_that_leaves_by_its_answers_gets_no_more_requests(self):
        """Guards against requests to a server that has said in an answer that it leaves (DRAIN)."""
        front = await self.start("front", "portal")
        await self.start("store")
        await self.start("other")
        await self.wait_for_members(3)
        backend = self.backends[1]
        backend.leaving = True
        number = 0
        while not backend.received:
            number += 1
            answer = await self.send_request(front, encode("/read/", f"r{number}"))
            self.assertEqual(answer.status, 200)
        self.assertEqual(answer.headers["server-leaving"], "1")
        before = len(backend.received)
        for more in range(20):
            path = "/order/" if more % 2 else "/read/"
            answer = await self.send_request(front, encode(path, f"m{more}"))
            self.assertEqual(answer.body.split()[0], b"i-other")
        self.assertEqual(len(backend.received), before)

    async def test_leave_told_by_an_answer_outlasts_the_node_beside_the_server(self):
        """Guards against requests to a leaving server after a restart of its node (DRAIN).

        The restarted node gets a late report only, the store is away, and no other node knows.
        """
        front = await self.start("front", "portal")
        store = await self.start("store")
        await self.wait_for_members(2)
        backend = self.backends[1]
        self.store.status = 503
        backend.leaving = True
        answer = await self.send_request(front, encode("/read/", "r1"))
        self.assertEqual(answer.headers["server-leaving"], "1")
        store.close()
        await sleep(0.02)
        again = await self.start_node(store.settings)
        await backend.report(again.settings.report_address)
        before = len(backend.received)
        for number in range(10):
            await self.send_request(front, encode("/read/", f"m{number}"))
            await sleep(0.05)
        self.assertEqual(len(backend.received), before)

    async def test_next_process_of_a_server_that_has_left_is_used(self):
        """Guards against a leave that binds a later process of the same server."""
        front = await self.start("front", "portal")
        store = await self.start("store")
        await self.wait_for_members(2)
        backend = self.backends[1]
        backend.leaving = True
        await self.send_request(front, encode("/read/", "r1"))
        backend.leaving = False
        backend.started_ms += 1000
        backend.number = 0
        await backend.report(store.settings.report_address)
        await sleep(1.0)
        answer = await self.send_request(front, encode("/read/", "r2"))
        self.assertEqual(answer.status, 200)

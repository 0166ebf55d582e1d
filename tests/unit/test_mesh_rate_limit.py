"""Backend servers that name a rate limit in their answers."""

from asyncio import Task, create_task, gather, get_running_loop, sleep

from coltsfoottrack._internal.mesh.daemon import MeshNode
from tests.standins.backend import StandInBackend
from tests.standins.mesh import Answer, MeshTestCase, encode

WINDOW_SECONDS = 4.0
LIMIT_PER_SECOND = 10.0
# The users' rule: one and a half times the limit, and 5 requests, in any window.
ALLOWED = 1.5 * LIMIT_PER_SECOND * WINDOW_SECONDS + 5


class RateLimitTest(MeshTestCase):
    """The rate limit of a backend server holds for all nodes together."""

    async def send_at_rate(
        self, nodes: list[MeshNode], per_second: float, seconds: float, path: str = "/read/"
    ) -> list[Answer]:
        """Sends requests at a constant rate, from the nodes in turn; returns the answers."""
        tasks: list[Task[Answer]] = []
        count = int(per_second * seconds)
        began = get_running_loop().time()
        for number in range(count):
            await sleep(began + number / per_second - get_running_loop().time())
            request = encode(path, f"r{began}-{number}", Deadline_Ms="1500")
            node = nodes[number % len(nodes)]
            tasks.append(create_task(self.send_request(node, request)))
        return await gather(*tasks)

    def assert_within_limit(self, backend: StandInBackend, since: float) -> None:
        """Checks each window of the arrivals after a time."""
        arrivals = [at for at in backend.arrivals if at >= since]
        for first, start in enumerate(arrivals):
            within = [at for at in arrivals[first:] if at < start + WINDOW_SECONDS]
            self.assertLessEqual(len(within), ALLOWED, f"from {start - since:.2f} s on")

    async def test_backend_server_gets_no_more_than_its_rate_limit(self):
        """Guards against a rate limit that no node keeps, which LIMIT forbids."""
        fronts = [await self.start("front", "portal"), await self.start("other", "portal")]
        await self.start("store", slots=50)
        await self.wait_for_members(3)
        backend = self.backends[2]
        backend.rate_limit = str(LIMIT_PER_SECOND)
        for front in fronts:
            answer = await self.send_request(
                front, encode("/read/", f"first-{front.settings.node}")
            )
            self.assertEqual(answer.headers["server-limit"], backend.rate_limit)
        named = get_running_loop().time()
        answers = await self.send_at_rate(fronts, 60.0, WINDOW_SECONDS + 1.0)
        self.assert_within_limit(backend, named)
        statuses = {answer.status for answer in answers}
        self.assertEqual(statuses, {200, 503})
        served = [answer for answer in answers if answer.status == 200]
        # What the backend server asks for is used.
        self.assertGreaterEqual(len(served), 0.8 * LIMIT_PER_SECOND * WINDOW_SECONDS)

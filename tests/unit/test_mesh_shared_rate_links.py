"""A shared rate between complete nodes, over real links."""

from asyncio import sleep

from coltsfoottrack._internal.mesh.clock import current_time
from coltsfoottrack._internal.mesh.shared_rate.terms import RateTerms
from tests.standins.mesh import MeshTestCase

RATE = RateTerms(20.0, 20.0)


class SharedRateLinkTest(MeshTestCase):
    """Reports and grants between three nodes."""

    def take(self, name="customer"):
        """Offers a request at each node; returns how many were admitted."""
        taken = [node.shared_rates.try_take(name, current_time()) for node in self.nodes]
        return taken.count(None)

    async def test_rate_holds_over_all_nodes(self):
        """Guards against reports or grants that do not arrive, so that each node is on its own."""
        for name in ("a", "b", "c"):
            await self.start(name)
        await self.wait_for_members(3)
        for node in self.nodes:
            node.shared_rates.set_limits({"customer": RATE})
        await self.wait_until(
            lambda: not any(n.shared_rates.rates["customer"].scarce for n in self.nodes)
        )
        admitted = 0
        for _ in range(150):
            admitted += self.take()
            await sleep(0.01)
        self.assertGreater(admitted, 20)
        # Burst, the rate for at most 4 s on a busy machine, and the permitted excess.
        self.assertLess(admitted, 122)
        self.assertEqual(self.take("other"), 3)

"""A store that comes back from an older copy of itself."""

from asyncio import sleep

from coltsfoottrack._internal.mesh.model import Member
from coltsfoottrack.platform.names import MEMBER_KIND
from tests.standins.mesh import MeshTestCase, configuration

# An entry must be back this long after the return of the store.
BACK_SECONDS = 2.0


class RestoredStoreTest(MeshTestCase):
    """What was acknowledged before the return is written or read again."""

    def stored_members(self) -> set[str]:
        """Returns the nodes whose record the store holds."""
        return {name for kind, name in self.store.objects if kind == MEMBER_KIND}

    async def start_with_copy(self, nodes: int) -> None:
        """Starts nodes, then brings the store back from a copy without their records."""
        copy = self.store.copy()
        names = {f"n{number}" for number in range(nodes)}
        for name in sorted(names):
            await self.start(name)
        await self.wait_for_members(nodes)
        await self.wait_until(lambda: self.stored_members() == names)
        self.store.restore(copy)
        await self.wait_until(lambda: self.stored_members() == names, BACK_SECONDS)

    async def test_record_of_a_node_is_written_again(self):
        """Guards against new nodes that find nobody, since the records of all were lost."""
        await self.start_with_copy(1)

    async def test_records_of_nodes_that_do_not_follow_the_store_are_written_again(self):
        """Guards against records that only the few nodes that follow the store write again."""
        await self.start_with_copy(7)

    async def test_leave_survives_the_return_and_a_restart_of_the_node(self):
        """Guards against an acknowledged leave that is forgotten with the store's copy (DRAIN)."""
        store = await self.start("store")
        await self.wait_for_members(1)
        await self.wait_until(lambda: self.stored_members() == {"store"})
        backend = self.backends[0]
        copy = self.store.copy()
        await backend.report(store.settings.report_address, "draining")
        record = store.membership.own_record
        await self.wait_until(lambda: record.written is not None and record.written.left_backend)
        self.store.restore(copy)
        await sleep(BACK_SECONDS)
        store.close()
        await sleep(0.02)
        again = await self.start_node(store.settings)
        await self.wait_until(lambda: again.backend.left)
        await backend.report(again.settings.report_address, "ready", seq=1)
        self.assertFalse(again.backend.accepting)

    async def test_change_at_a_revision_given_out_again_is_learnt(self):
        """Guards against a watch that goes on from a revision of before the return."""
        node = await self.start("n0")
        await self.wait_for_members(1)
        await self.wait_until(lambda: self.stored_members() == {"n0"})
        copy = self.store.copy()
        for number in range(5):
            self.store.put("other", "counter", number)
        # Moves the node's watch of the members to the present revision.
        self.store.put(MEMBER_KIND, "unreadable", {})
        await self.wait_until(lambda: node.log.counts.get("member_unreadable"))
        self.store.status = 503
        self.store.restore(copy)
        await sleep(0.2)
        member = Member("n1", "127.0.0.1:9", "east", "stock", "i-n1", epoch=1, accepting=True)
        self.store.put(MEMBER_KIND, "n1", member._asdict())
        for number in range(20):
            self.store.put("other", "counter", number)
        self.store.status = None
        await self.wait_until(lambda: "n1" in node.directory.peers, BACK_SECONDS)

    async def test_watch_that_the_restored_store_has_forgotten_is_begun_anew(self):
        """Guards against a configuration that waits for the end of a forgotten watch (CONFIG)."""
        node = await self.start("n0")
        await self.wait_for_members(1)
        await self.wait_until(lambda: self.stored_members() == {"n0"})
        self.store.restore(self.store.copy(), forgets_watches=True)
        # Another call of the node tells it of the return.
        await self.backends[0].report(node.settings.report_address, "draining")
        self.store.put("config", "main", configuration(2))
        await self.wait_until(lambda: node.active_configuration.version == 2, BACK_SECONDS)

"""Connections to the store that fall silent while new ones work."""

from asyncio import sleep

from coltsfoottrack._internal.mesh.daemon import MeshNode
from coltsfoottrack.platform.names import CONFIGURATION_KIND, MEMBER_KIND
from coltsfoottrack.platform.store import MEMBER_WATCH_MS, REQUEST_TIMEOUT_SECONDS
from tests.standins.mesh import MeshTestCase, configuration

# After a reset of its connections a node has this long before a stored version must be in force.
IN_FORCE_SECONDS = 3.0
# A member that joins is to get requests within this time.
MEMBERS_KNOWN_SECONDS = 8.0
NEW_ROUTE = {"pathPrefix": "/new/", "service": "stock"}


class SilentStoreTest(MeshTestCase):
    """A watch is not proven by what the store answers on another connection."""

    async def started(self, watched: str) -> MeshNode:
        """Returns a node that follows the store, once its watch of a kind waits."""
        node = await self.start("one")
        await self.wait_for_members(1)
        await self.wait_until(lambda: self.is_watched(watched))
        return node

    def is_watched(self, kind: str) -> bool:
        """Returns whether the store was last asked for changes of a kind on a connection."""
        return any(f"{kind}?" in p and "watch=" in p for p in self.store.waiting.values())

    async def check_change(self, node: MeshNode) -> None:
        """Stores a version and checks that it is in force in time."""
        self.store.put("config", "main", configuration(2, new=NEW_ROUTE))
        await self.wait_until(lambda: node.active_configuration.version == 2, IN_FORCE_SECONDS)

    # CONFIG: the probe went out on a new connection, which the store answered.
    async def test_change_after_all_open_connections_fell_silent(self):
        node = await self.started(CONFIGURATION_KIND)
        self.store.fall_silent()
        await self.check_change(node)

    async def test_change_long_after_all_open_connections_fell_silent(self):
        node = await self.started(CONFIGURATION_KIND)
        await sleep(2.5)
        self.store.fall_silent()
        await sleep(1.0)
        await self.check_change(node)

    # CONFIG: the connection of the watch alone is silent, while that of the probe is not.
    async def test_change_while_the_watch_alone_is_silent(self):
        node = await self.started(CONFIGURATION_KIND)
        await sleep(2.5)
        self.store.fall_silent_to_watches(CONFIGURATION_KIND)
        await self.check_change(node)
        # The watch itself works again as well.
        await self.wait_until(lambda: self.store.calls.count("GET /api/objects/config") > 1)

    async def test_member_that_joins_while_watches_of_members_are_silent(self):
        """Guards against members that stay unknown for as long as a silent watch waits."""
        node = await self.started(MEMBER_KIND)
        # The watch waits again once the node has read its own record.
        await sleep(2.5)
        self.store.fall_silent_to_watches(MEMBER_KIND)
        spec = node.directory.own._replace(node="two", address="127.0.0.1:9", serial=1)._asdict()
        self.store.put(MEMBER_KIND, "two", spec)
        bound = MEMBER_WATCH_MS / 1000.0 + REQUEST_TIMEOUT_SECONDS + 1.0
        await self.wait_until(lambda: "two" in node.directory.peers, bound)
        self.assertLess(bound, MEMBERS_KNOWN_SECONDS)

    async def test_quiet_store_is_not_read_again(self):
        """Guards against watches that begin anew although their connections work."""
        node = await self.started(CONFIGURATION_KIND)
        await sleep(4.0)
        watches = [call for call in self.store.calls if "config?watch=" in call]
        self.assertEqual(len(watches), 1, self.store.calls)
        self.assertTrue(node.membership.watch.following)

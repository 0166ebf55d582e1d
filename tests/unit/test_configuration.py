"""Invariant 8: an accepted configuration comes into force at all nodes and never reverts."""

from asyncio import Runner
from random import Random
from unittest import IsolatedAsyncioTestCase

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from coltsfoottrack._internal.configuration.codec import CURRENT_PATH, encode_record
from coltsfoottrack._internal.configuration.exceptions import (
    ChangeUncertainError,
    ConfigurationConflictError,
    ConfigurationError,
    InvalidConfigurationError,
    StoreUnavailableError,
)
from coltsfoottrack._internal.configuration.holder import ConfigurationHolder
from coltsfoottrack._internal.configuration.store import ConfigurationStore
from coltsfoottrack._internal.membership.registration import encode_member, member_path
from coltsfoottrack._internal.object_store.client import StoredObject
from coltsfoottrack._internal.observability.invariants import InvariantChecker
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import (
    ConfigurationRecord,
    FleetConfiguration,
    OperationPolicy,
    OverloadPolicy,
)
from tests.unit.fakes import FakeNetwork, FakePeers

# Twice as many as the command pushes to, so that the others depend on distribution by nodes.
NODES = 12
# Requirement 8.8: in force at all nodes within 6 s.
IN_FORCE_SECONDS = 6


def configuration_with(budget: int) -> FleetConfiguration:
    return FleetConfiguration(
        defaults=OverloadPolicy(attempt_budget=budget),
        operations=[OperationPolicy(service="stores", operation="lookup")],
    )


async def no_pause(seconds: float) -> None:
    """Replaces the delay between attempts."""


class Cluster:
    """Nodes, a platform that holds their member records, and operators."""

    def __init__(self, nodes: int = NODES, seed: int = 7) -> None:
        self.network = FakeNetwork(seed)
        for index in range(nodes):
            self.network.add(index)
        self.platform = self.network.platform
        for node in self.network.nodes.values():
            member = node.local.member
            self.platform.put(member_path(member), encode_member(member), 0)
        self.random = Random(seed)

    def operator(self) -> ConfigurationStore:
        peers = FakePeers(self.network, None)
        return ConfigurationStore(self.platform, peers, self.random, no_pause)

    async def read_platform_at_watchers(self) -> None:
        for node in list(self.network.nodes.values()):
            if node.address not in self.network.paused and node.distribution.is_watcher():
                before = node.holder.generation
                await node.distribution.read_platform()
                if node.holder.generation != before:
                    node.detector.gossip_now()

    def generations(self) -> set[int]:
        return {node.holder.generation for node in self.network.nodes.values()}


class StoreTest(IsolatedAsyncioTestCase):
    """Changes by one or two operators, with faults of the platform."""

    async def asyncSetUp(self) -> None:
        self.cluster = Cluster()
        await self.cluster.network.run(2)
        self.store = self.cluster.operator()

    async def test_change_is_accepted_by_two_failure_domains(self) -> None:
        """Guards against an accepted change that no node holds when the command returns."""
        result = await self.store.set(configuration_with(1), "a")
        self.assertTrue(result.accepted)
        self.assertGreaterEqual(len({holder.failure_domain for holder in result.holders}), 2)

    async def test_accepted_change_survives_a_platform_outage(self) -> None:
        """Guards against an accepted change that is lost or not distributed in an outage."""
        await self.store.set(configuration_with(1), "a")
        self.cluster.platform.down = True
        await self.cluster.network.run(IN_FORCE_SECONDS)
        self.assertEqual({1}, self.cluster.generations())

    async def test_change_confirmed_in_one_failure_domain_is_not_accepted(self) -> None:
        """Guards against a change that is lost when one failure domain fails."""
        for node in self.cluster.network.nodes.values():
            if node.local.member.failure_domain != "d0":
                self.cluster.network.paused.add(node.address)
        result = await self.store.set(configuration_with(1), "a")
        self.assertFalse(result.accepted)
        self.cluster.network.paused.clear()
        self.assertTrue((await self.store.confirm(result.record)).accepted)

    async def test_change_on_an_outdated_base_is_a_conflict(self) -> None:
        """Guards against a change that silently overwrites that of another operator."""
        base = await self.store.read()
        await self.store.set(configuration_with(1), "a", base)
        with self.assertRaises(ConfigurationConflictError) as caught:
            await self.cluster.operator().set(configuration_with(2), "b", base)
        self.assertEqual("a", caught.exception.found.author)
        self.assertEqual(1, (await self.store.read()).record.generation)

    async def test_change_between_read_and_write_is_a_conflict(self) -> None:
        """Guards against overwriting a change that was stored after this one read the base."""
        platform = self.cluster.platform
        other = ConfigurationRecord(generation=1, change_id="other", author="b")

        def store_other(path: str) -> None:
            if path == CURRENT_PATH:
                platform.before_write = lambda path: None
                platform.put(CURRENT_PATH, encode_record(other), 0)

        platform.before_write = store_other
        with self.assertRaises(ConfigurationConflictError) as caught:
            await self.store.set(configuration_with(1), "a")
        self.assertEqual("other", caught.exception.found.change_id)
        self.assertEqual("other", (await self.store.read()).record.change_id)

    async def test_lost_write_response_is_resolved_by_a_read(self) -> None:
        """Guards against a change stored twice or reported as failed after a lost response."""
        self.cluster.platform.lose_answers = 1
        result = await self.store.set(configuration_with(1), "a")
        self.assertTrue(result.accepted)
        self.assertEqual(1, (await self.store.read()).record.generation)
        self.assertEqual([result.record], await self.store.history())

    async def test_replaced_change_is_found_after_a_lost_response(self) -> None:
        """Guards against a conflict reported for a change that took effect before another."""
        platform = self.cluster.platform
        conflicting = []

        def replace_once(path: str) -> None:
            stored = platform.objects.get(CURRENT_PATH)
            if path != CURRENT_PATH or conflicting or stored is None:
                return
            conflicting.append(path)
            first = ConfigurationRecord.FromString(b"")
            first.CopyFrom(self.pushed)
            platform.objects["configuration/history/000000000001"] = stored
            later = ConfigurationRecord(generation=2, change_id="other")
            content = encode_record(later)
            platform.objects[CURRENT_PATH] = StoredObject(CURRENT_PATH, 999, content)

        self.pushed = ConfigurationRecord()
        platform.lose_answers = 1
        platform.before_write = replace_once
        result = await self.store.set(configuration_with(1), "a")
        self.assertTrue(conflicting)
        self.assertEqual(1, result.record.generation)

    async def test_write_that_cannot_be_confirmed_is_uncertain(self) -> None:
        """Guards against success or failure reported for a write whose effect is not known."""
        self.cluster.platform.lose_writes = 100
        with self.assertRaises(ChangeUncertainError):
            await self.store.set(configuration_with(1), "a")

    async def test_unavailable_platform_changes_nothing(self) -> None:
        """Guards against nodes that apply a change that was never stored."""
        self.cluster.platform.down = True
        with self.assertRaises(StoreUnavailableError):
            await self.store.set(configuration_with(1), "a")
        self.assertEqual({0}, self.cluster.generations())

    async def test_newer_record_is_written_back_after_a_restore(self) -> None:
        """Guards against a restored platform that reverts the configuration of the fleet."""
        await self.store.set(configuration_with(1), "a")
        older = dict(self.cluster.platform.objects)
        await self.store.set(configuration_with(2), "a")
        self.cluster.platform.objects = older
        with self.assertRaises(ConfigurationConflictError):
            await self.store.set(configuration_with(3), "b")
        await self.cluster.read_platform_at_watchers()
        self.assertEqual(2, (await self.store.read()).record.generation)
        await self.cluster.network.run(IN_FORCE_SECONDS)
        self.assertEqual({2}, self.cluster.generations())

    async def test_new_node_loads_the_newest_record_before_it_is_ready(self) -> None:
        """Guards against a node that starts with the older record of a restored platform."""
        await self.store.set(configuration_with(1), "a")
        older = dict(self.cluster.platform.objects)
        await self.store.set(configuration_with(2), "a")
        await self.cluster.network.run(IN_FORCE_SECONDS)
        self.cluster.platform.objects = older
        node = self.cluster.network.add(NODES)
        self.assertTrue(await node.distribution.load())
        self.assertEqual(2, node.holder.generation)

    async def test_new_node_loads_from_peers_during_an_outage(self) -> None:
        """Guards against nodes that do not start, or start without configuration, in an outage."""
        await self.store.set(configuration_with(1), "a")
        await self.cluster.network.run(IN_FORCE_SECONDS)
        self.cluster.platform.down = True
        node = self.cluster.network.add(NODES)
        self.assertTrue(await node.distribution.load())
        self.assertEqual(1, node.holder.generation)

    async def test_unreadable_record_is_reported_and_the_last_valid_one_kept(self) -> None:
        """Guards against one unusable object that removes the configuration in force."""
        await self.store.set(configuration_with(1), "a")
        bad = ConfigurationRecord(generation=2, change_id="bad")
        bad.configuration.defaults.attempt_budget = 1000
        for content in (b"not a record", encode_record(bad)):
            version = self.cluster.platform.get(CURRENT_PATH).version
            self.cluster.platform.put(CURRENT_PATH, content, version)
            node = self.cluster.network.nodes[("127.0.0.1", 20_000)]
            await node.distribution.read_platform()
            self.assertEqual(1, node.holder.generation)
            self.assertTrue(node.holder.problem)

    async def test_conflicting_change_of_equal_generation_is_counted(self) -> None:
        """Guards against a fleet that silently runs two configurations of one generation."""
        holder = ConfigurationHolder(InvariantChecker())
        holder.offer(ConfigurationRecord(generation=3, change_id="one"), "test")
        self.assertFalse(holder.offer(ConfigurationRecord(generation=3, change_id="other"), "test"))
        self.assertEqual(1, holder.conflicts)
        self.assertEqual("one", holder.record.change_id)
        self.assertIn("other", holder.problem)

    async def test_invalid_configuration_is_not_stored(self) -> None:
        """Guards against a stored configuration that no node can use."""
        with self.assertRaises(InvalidConfigurationError):
            await self.store.set(configuration_with(1000), "a")
        self.assertNotIn(CURRENT_PATH, self.cluster.platform.objects)


class ConfigurationMachine(RuleBasedStateMachine):
    """Changes, outages, restarts, partitions and restores in any order.

    After each step, no node has reverted to a lower generation or violated an invariant. At the
    end, once everything is reachable, all nodes run the newest accepted change or a later one.
    """

    def __init__(self) -> None:
        super().__init__()
        self.runner = Runner()
        self.cluster = Cluster()
        self.runner.run(self.cluster.network.run(2))
        self.accepted: list[ConfigurationRecord] = []
        self.seen: dict[int, int] = {}
        self.snapshot = dict(self.cluster.platform.objects)
        self.budget = 0

    def change(self, base: object = None) -> None:
        self.budget = (self.budget + 1) % 20
        try:
            result = self.runner.run(
                self.cluster.operator().set(configuration_with(self.budget), "op", base)
            )
        except ConfigurationError:
            return
        if result.accepted:
            self.accepted.append(result.record)

    @rule(lost=st.integers(0, 2), dropped=st.integers(0, 1))
    def set(self, lost: int, dropped: int) -> None:
        self.cluster.platform.lose_answers = lost
        self.cluster.platform.lose_writes = dropped
        self.change()
        self.cluster.platform.lose_answers = 0
        self.cluster.platform.lose_writes = 0

    @rule()
    def set_by_two(self) -> None:
        try:
            base = self.runner.run(self.cluster.operator().read())
        except ConfigurationError:
            return
        before = len(self.accepted)
        self.change(base)
        self.change(base)
        assert len(self.accepted) <= before + 1, "two changes on one base accepted"
        generations = [record.generation for record in self.accepted]
        assert len(set(generations)) == len(generations), "one generation accepted twice"

    @rule()
    def set_then_outage(self) -> None:
        self.change()
        self.cluster.platform.down = True

    @rule(down=st.booleans())
    def platform(self, down: bool) -> None:
        self.cluster.platform.down = down

    @rule()
    def take_snapshot(self) -> None:
        self.snapshot = dict(self.cluster.platform.objects)

    @rule()
    def restore(self) -> None:
        self.cluster.platform.objects = dict(self.snapshot)

    @rule(index=st.integers(0, NODES - 1))
    def cut_off(self, index: int) -> None:
        self.cluster.network.sides[("127.0.0.1", 20_000 + index)] = 1

    @rule(index=st.integers(0, NODES - 1))
    def drop_inbound(self, index: int) -> None:
        self.cluster.network.inbound_blocked = {("127.0.0.1", 20_000 + index)}

    @rule()
    def reconnect(self) -> None:
        self.cluster.network.sides.clear()

    @rule(index=st.integers(0, NODES - 1))
    def restart(self, index: int) -> None:
        """Restarts one node; its previous process has ended."""
        node = self.cluster.network.nodes[("127.0.0.1", 20_000 + index)]
        self.cluster.network.remove(node)
        self.seen.pop(index, None)
        fresh = self.cluster.network.add(index)
        self.runner.run(fresh.distribution.load())

    @rule()
    def watch(self) -> None:
        self.runner.run(self.cluster.read_platform_at_watchers())

    @rule(seconds=st.integers(1, 5))
    def run(self, seconds: int) -> None:
        self.runner.run(self.cluster.network.run(seconds))

    @precondition(lambda self: self.accepted)
    @rule()
    def settle(self) -> None:
        self.check_in_force()

    @invariant()
    def never_reverts(self) -> None:
        for node in self.cluster.network.nodes.values():
            assert node.checker.total() == 0
            before = self.seen.get(node.index, 0)
            assert node.holder.generation >= before, f"node {node.index} went back"
            self.seen[node.index] = node.holder.generation

    def check_in_force(self) -> None:
        network = self.cluster.network
        network.sides.clear()
        network.inbound_blocked.clear()
        self.cluster.platform.down = False
        self.runner.run(self.cluster.read_platform_at_watchers())
        self.runner.run(network.run(30))
        self.runner.run(self.cluster.read_platform_at_watchers())
        self.runner.run(network.run(IN_FORCE_SECONDS))
        newest = self.accepted[-1]
        for node in network.nodes.values():
            assert node.holder.generation >= newest.generation, f"node {node.index} is behind"
            if node.holder.generation == newest.generation:
                assert node.holder.record.change_id == newest.change_id

    def teardown(self) -> None:
        if self.accepted:
            self.check_in_force()
        self.runner.close()


ConfigurationStateTest = ConfigurationMachine.TestCase
ConfigurationStateTest.settings = settings(max_examples=40, stateful_step_count=15)

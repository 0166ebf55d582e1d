"""Failure detection, dissemination of changes, anti-entropy and registration of members."""

from random import Random
from unittest import IsolatedAsyncioTestCase, TestCase

from hypothesis import given
from hypothesis import strategies as st

from coltsfoottrack._internal.experiment.measure_partition import simulate_partition
from coltsfoottrack._internal.experiment.measure_start import simulate_start
from coltsfoottrack._internal.membership.local import LocalMember
from coltsfoottrack._internal.membership.registration import (
    Registration,
    encode_member,
    member_path,
)
from coltsfoottrack._internal.membership.sync import bucket_digests, bucket_of, differing_buckets
from coltsfoottrack._internal.membership.table import MembershipTable, member_id
from coltsfoottrack._internal.membership.updates import UpdateQueue
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import (
    MEMBER_STATUS_ALIVE,
    MEMBER_STATUS_DEAD,
    MEMBER_STATUS_LEAVING,
    MEMBER_STATUS_SUSPECT,
    Datagram,
    Member,
    ProbePing,
)
from tests.unit.fakes import FakeNetwork, FakePlatform, make_member

SEED = 41


def network_of(count: int, loss: float = 0.0) -> FakeNetwork:
    network = FakeNetwork(SEED, loss)
    for index in range(count):
        network.add(index)
    return network


class DetectionTest(IsolatedAsyncioTestCase):
    """The failure detector on a simulated network."""

    async def test_silent_node_is_dead_everywhere(self) -> None:
        """Guards against silent nodes that stay in the routing tables."""
        network = network_of(16)
        await network.run(5)
        victim = network.nodes[("127.0.0.1", 20_003)]
        network.remove(victim)
        await network.run(15)
        for viewer in network.nodes.values():
            self.assertEqual(MEMBER_STATUS_DEAD, network.status(viewer, victim))

    async def test_packet_loss_causes_no_false_deaths(self) -> None:
        """Guards against false deaths when one datagram in ten is lost."""
        network = network_of(12, loss=0.1)
        await network.run(60)
        deaths = sum(node.detector.counts["declared_dead"] for node in network.nodes.values())
        self.assertEqual(0, deaths)

    async def test_node_that_receives_nothing_causes_no_false_deaths(self) -> None:
        """Guards against a node that receives no datagrams and declares all others dead."""
        network = network_of(12)
        await network.run(5)
        unreachable = network.nodes[("127.0.0.1", 20_005)]
        network.inbound_blocked.add(unreachable.address)
        await network.run(20)
        for viewer in network.nodes.values():
            for node in network.nodes.values():
                if unreachable in (viewer, node):
                    continue
                self.assertNotEqual(MEMBER_STATUS_DEAD, network.status(viewer, node))
        self.assertGreater(unreachable.detector.health, 0)

    async def test_partition_heals(self) -> None:
        """Guards against regions that stay separate after a partition of minutes has healed."""
        network = network_of(12)
        await network.run(5)
        for index, address in enumerate(network.nodes):
            network.sides[address] = index % 2
        await network.run(120)
        one, other = list(network.nodes.values())[:2]
        self.assertEqual(MEMBER_STATUS_DEAD, network.status(one, other))
        network.sides.clear()
        await network.run(60)
        self.assertTrue(network.all_alive())

    def test_partition_and_healing_stay_within_the_bandwidth_limit(self) -> None:
        """Guards against traffic bursts and local views that never converge after a partition."""
        for phase in simulate_partition(60, SEED):
            self.assertLessEqual(phase.worst_window, 2000.0)
            self.assertLessEqual(phase.agreed_seconds or 1000.0, 120.0)

    async def test_own_entry_is_sent_when_the_budget_is_spent(self) -> None:
        """Guards against a joining node that stays unknown because its sync spent the budget."""
        network = network_of(6)
        await network.run(5)
        node = network.nodes[("127.0.0.1", 20_000)]
        node.detector.disseminator.charge(100_000)
        node.local.set_ready(False)
        node.detector.publish_own_entry(node.local.member)
        node.detector.gossip_now()
        await network.run(0.2)
        for viewer in network.nodes.values():
            self.assertFalse(viewer.table.members[node.name].backend_ready)

    async def test_missed_refutation_is_sent_with_the_next_ack(self) -> None:
        """Guards against a member that stays dead in a local view that missed its refutation."""
        network = network_of(3)
        await network.run(5)
        one, other, _ = network.nodes.values()
        claim = Member.FromString(other.local.member.SerializeToString())
        other.local.member.revision += 5
        other.detector.updates.pending.clear()
        claim.status = MEMBER_STATUS_DEAD
        one.detector.apply(claim)
        one.detector.updates.pending.clear()
        await network.run(15)
        self.assertEqual(MEMBER_STATUS_ALIVE, network.status(one, other))

    def test_only_changes_of_a_known_process_are_sent_in_short_form(self) -> None:
        """Guards against nodes that cannot apply a change because they lack the member's entry."""
        queue = UpdateQueue()
        member = make_member(0)
        queue.add(member)
        queue.add(member, known=True)
        self.assertEqual([member], queue.take(3).members)
        queue.pending.clear()
        leaving = make_member(1)
        leaving.status = MEMBER_STATUS_LEAVING
        for index in range(2, 40):
            queue.add(make_member(index), known=True)
        queue.add(leaving, known=True)
        taken = queue.take(3)
        self.assertEqual([leaving], taken.members)
        table = MembershipTable()
        table.merge(make_member(2))
        self.assertEqual(make_member(2), table.changed_member(taken.changes[0]))
        self.assertIsNone(MembershipTable().changed_member(taken.changes[0]))
        self.assertLess(taken.changes[0].ByteSize(), 20)

    async def test_claim_from_a_sync_is_sent_to_the_member_to_refute(self) -> None:
        """Guards against a side that suspects all of its own members when a partition heals."""
        network = network_of(3)
        await network.run(5)
        one, other, third = network.nodes.values()
        claim = Member.FromString(other.local.member.SerializeToString())
        claim.status = MEMBER_STATUS_DEAD
        one.detector.apply_all([claim])
        self.assertEqual(MEMBER_STATUS_ALIVE, network.status(one, other))
        await network.run(2)
        self.assertGreater(other.local.member.revision, claim.revision)
        self.assertTrue(network.all_alive())
        self.assertEqual(0, third.detector.counts["suspected"])

    async def test_resumed_node_causes_no_false_deaths(self) -> None:
        """Guards against timers that expire while the process is paused."""
        network = network_of(8)
        await network.run(5)
        paused = network.nodes[("127.0.0.1", 20_002)]
        network.paused.add(paused.address)
        await network.run(30)
        network.paused.clear()
        await network.run(40)
        self.assertEqual(0, paused.detector.counts["declared_dead"])
        self.assertTrue(network.all_alive())

    async def test_one_broken_link_causes_no_suspicion(self) -> None:
        """Guards against a broken link between two nodes that is taken for a crash of one."""
        network = network_of(8)
        await network.run(5)
        one, other = list(network.nodes)[:2]
        network.cut_links = {(one, other), (other, one)}
        await network.run(40)
        suspected = sum(node.detector.counts["suspected"] for node in network.nodes.values())
        self.assertEqual(0, suspected)

    async def test_suspicion_does_not_expire_while_the_process_is_paused(self) -> None:
        """Guards against a resumed node that declares members dead before it reads their acks."""
        network = network_of(2)
        await network.run(5)
        paused, other = network.nodes.values()
        network.inbound_blocked.add(other.address)
        while network.status(paused, other) != MEMBER_STATUS_SUSPECT:
            await network.run(0.1)
        network.paused.add(paused.address)
        network.inbound_blocked.clear()
        await network.run(30)
        network.paused.clear()
        await network.run(0.3)
        self.assertEqual(0, paused.detector.counts["declared_dead"])

    async def test_restarted_node_replaces_its_earlier_process(self) -> None:
        """Guards against entries of an earlier process, and against late datagrams of it."""
        network = network_of(8)
        await network.run(5)
        earlier = network.nodes[("127.0.0.1", 20_004)]
        late = Member.FromString(earlier.local.member.SerializeToString())
        late.revision = 1000
        network.remove(earlier)
        network.add(4)
        await network.run(5)
        self.assertTrue(network.all_alive())
        for node in network.nodes.values():
            node.detector.apply(late)
        await network.run(5)
        self.assertTrue(network.all_alive())

    async def test_restart_with_clock_behind(self) -> None:
        """Guards against a replacement whose clock is behind that of the process it replaces."""
        network = network_of(6)
        await network.run(5)
        earlier = network.nodes[("127.0.0.1", 20_004)]
        network.remove(earlier)
        network.starts = 0
        replacement = network.add(4)
        await network.run(10)
        self.assertFalse(replacement.local.replaced)
        self.assertTrue(network.all_alive())

    async def test_leaving_node_gets_no_new_work(self) -> None:
        """Guards against leaving nodes that still get work when their grace period ends."""
        network = network_of(32)
        await network.run(5)
        leaving = network.nodes[("127.0.0.1", 20_007)]
        leaving.local.mark_leaving()
        leaving.detector.publish_own_entry(leaving.local.member)
        leaving.detector.gossip_now()
        await network.run(2)
        for viewer in network.nodes.values():
            self.assertEqual(MEMBER_STATUS_LEAVING, network.status(viewer, leaving))
            names = [member_id(m) for m in viewer.table.serving(leaving.local.member.service)]
            self.assertNotIn(leaving.name, names)

    async def test_dead_node_is_removed_after_an_hour(self) -> None:
        """Guards against tables that grow with every replaced instance."""
        network = network_of(3)
        await network.run(3)
        victim = network.nodes[("127.0.0.1", 20_002)]
        network.remove(victim)
        await network.run(3700)
        for viewer in network.nodes.values():
            self.assertNotIn(victim.name, viewer.table.members)


class RejectedDatagramsTest(TestCase):
    """Datagrams that must be rejected."""

    @given(st.binary(max_size=200))
    def test_random_bytes_never_raise(self, content: bytes) -> None:
        """Guards against datagrams that end the membership task."""
        node = network_of(1).nodes[("127.0.0.1", 20_000)]
        node.detector.receive(content, ("127.0.0.1", 9))
        self.assertEqual(1, node.detector.counts["malformed"] + node.detector.counts["foreign"])

    @given(
        st.integers(0, 2**64 - 1),
        st.integers(0, 2**64 - 1),
        st.integers(0, 2**31 - 1),
        st.text(max_size=5),
        st.integers(0, 2**32 - 1),
    )
    def test_any_update_of_the_own_entry_is_handled(
        self, revision: int, order: int, status: int, address: str, port: int
    ) -> None:
        """Guards against updates about the node itself with values at the limits."""
        node = network_of(2).nodes[("127.0.0.1", 20_000)]
        update = Member(
            name="n0",
            service="s0",
            address=address or "127.0.0.1",
            peer_port=port or 1,
            call_port=1,
            revision=revision,
            start_order=order,
            incarnation=revision,
            status=status,
        )
        content = Datagram(
            cluster="test",
            protocol_version=1,
            sender="x/y",
            event_clock=2**64 - 1,
            updates=[update],
            ping=ProbePing(sequence=revision, target="s0/n0"),
        ).SerializeToString()
        node.detector.receive(content, ("127.0.0.1", 9))
        for now in range(1, 20):
            node.detector.advance(float(now))

    def test_claim_with_the_greatest_revision_is_rejected(self) -> None:
        """Guards against a claim that cannot be refuted because no greater revision exists."""
        node = network_of(1).nodes[("127.0.0.1", 20_000)]
        claim = Member.FromString(node.local.member.SerializeToString())
        claim.revision = 2**64 - 1
        claim.status = MEMBER_STATUS_SUSPECT
        datagram = Datagram(cluster="test", protocol_version=1, updates=[claim])
        node.detector.receive(datagram.SerializeToString(), ("127.0.0.1", 9))
        self.assertEqual(1, node.detector.counts["malformed"])

    def test_other_cluster_and_version_are_counted(self) -> None:
        """Guards against two clusters that merge when their addresses are reused."""
        network = network_of(1)
        node = network.nodes[("127.0.0.1", 20_000)]
        for cluster, version in (("other", 1), ("test", 99)):
            content = Datagram(
                cluster=cluster, protocol_version=version, updates=[make_member(5)]
            ).SerializeToString()
            node.detector.receive(content, ("127.0.0.1", 9))
        self.assertEqual(2, node.detector.counts["foreign"])
        self.assertEqual(1, len(node.table.members))


class MergeOrderTest(TestCase):
    """Merging of updates that arrive in any order."""

    @given(st.lists(st.tuples(st.integers(1, 3), st.integers(1, 3), st.integers(1, 4)), max_size=8))
    def test_updates_in_any_order_give_the_same_entry(
        self, changes: list[tuple[int, int, int]]
    ) -> None:
        """Guards against entries that depend on the order in which datagrams arrive."""
        updates = []
        for order, revision, status in changes:
            member = make_member(0, order)
            member.revision = revision
            member.status = status
            updates.append(member)
        tables = []
        for arranged in (updates, updates[::-1], sorted(updates, key=str)):
            table = MembershipTable()
            for update in arranged:
                table.merge(update)
            tables.append(table)
        self.assertEqual(tables[0].members, tables[1].members)
        self.assertEqual(tables[0].members, tables[2].members)
        self.assertEqual([], differing_buckets(tables[0], bucket_digests(tables[1])))


class SyncTest(TestCase):
    """Comparison of tables by bucket digests."""

    def test_any_changed_field_changes_the_digest(self) -> None:
        """Guards against a sync that leaves out a changed member."""
        for field, value in (
            ("revision", 2),
            ("status", MEMBER_STATUS_LEAVING),
            ("incarnation", 77),
            ("start_order", 9),
            ("backend_ready", False),
        ):
            with self.subTest(field):
                tables = (MembershipTable(), MembershipTable())
                for table in tables:
                    table.merge(make_member(0))
                    table.merge(make_member(1))
                changed = make_member(1)
                setattr(changed, field, value)
                tables[1].members[member_id(changed)] = changed
                found = differing_buckets(tables[0], bucket_digests(tables[1]))
                self.assertEqual([bucket_of(member_id(changed))], found)


class RegistrationTest(IsolatedAsyncioTestCase):
    """Registration of nodes as objects in the platform."""

    def registration(self, platform: FakePlatform, order: int) -> Registration:
        return Registration(platform, LocalMember(make_member(0, order)), Random(SEED))

    async def test_late_write_of_an_earlier_process_is_rejected(self) -> None:
        """Guards against an earlier process that replaces the object of the running one."""
        platform = FakePlatform()
        earlier = self.registration(platform, 1)
        self.assertTrue(await earlier.register(0))
        stale_version = earlier.version
        later = self.registration(platform, 2)
        self.assertTrue(await later.register(0))
        stored = platform.get(member_path(later.local.member))
        earlier.version = stale_version
        self.assertFalse(await earlier.deregister(1))
        earlier.local.joined = True
        self.assertFalse(await earlier.register(0))
        self.assertEqual(stored, platform.get(member_path(later.local.member)))

    async def test_paused_process_does_not_overwrite_its_successor(self) -> None:
        """Guards against a paused process that overwrites its successor's object on resuming."""
        platform = FakePlatform()
        earlier = self.registration(platform, 1)
        earlier.local.joined = True
        later = make_member(0, 2)

        def register_later(path: str) -> None:
            platform.before_write = lambda path: None
            platform.put(path, encode_member(later), 0)

        platform.before_write = register_later
        self.assertFalse(await earlier.register(0))
        stored = platform.get(member_path(later))
        self.assertEqual(encode_member(later), stored.content)

    async def test_write_with_a_lost_answer_is_not_repeated(self) -> None:
        """Guards against a second write after a successful one whose answer was lost."""
        platform = FakePlatform()
        platform.lose_answers = 1
        registration = self.registration(platform, 1)
        self.assertTrue(await registration.register(0))
        self.assertEqual(1, platform.writes)
        self.assertTrue(await registration.deregister(1))

    async def test_only_dead_members_are_cleaned_up(self) -> None:
        """Guards against the deletion of a restarted node's object."""
        platform = FakePlatform()
        dead = make_member(1, 1)
        dead.status = MEMBER_STATUS_DEAD
        for member in (make_member(1, 1), make_member(2, 5)):
            platform.put(member_path(member), b"", 0)
            registration = Registration(platform, LocalMember(member), Random(SEED))
            platform.objects.clear()
            await registration.register(0)
        restarted = make_member(3, 9)
        await Registration(platform, LocalMember(restarted), Random(SEED)).register(0)
        await Registration(platform, LocalMember(dead), Random(SEED)).register(0)
        earlier = make_member(3, 2)
        cleaner = self.registration(platform, 1)
        self.assertEqual(1, await cleaner.clean([dead, earlier]))
        self.assertIn(member_path(restarted), platform.objects)
        self.assertNotIn(member_path(dead), platform.objects)

    def test_mass_start_on_an_empty_platform_is_rate_limited(self) -> None:
        """Guards against 1,000 nodes that write at once because none is registered yet."""
        for seed in (SEED, SEED + 1):
            result = simulate_start(1000, seed)
            self.assertLessEqual(result.writes_in_busiest_second, 300)
            self.assertLessEqual(result.reads_in_busiest_second, 2000)
        self.assertLess(simulate_start(3, SEED).seconds, 5.0)

    def test_mass_restart_stays_below_the_write_rate(self) -> None:
        """Guards against 1,000 nodes that write their objects within a few seconds."""
        random = Random(SEED)
        registration = Registration(FakePlatform(), LocalMember(make_member(0)), random)
        waits = [int(registration.jitter_seconds(1000)) for _ in range(1000)]
        busiest = max(waits.count(second) for second in set(waits))
        self.assertLessEqual(busiest, 100)


class RefutationTest(TestCase):
    """Refutation of claims about the local node."""

    def test_wrong_claims_are_refuted(self) -> None:
        """Guards against a node that stays suspect or dead although it is alive."""
        for status in (MEMBER_STATUS_SUSPECT, MEMBER_STATUS_DEAD):
            local = LocalMember(make_member(0))
            claim = make_member(0)
            claim.status = status
            claim.revision = 7
            self.assertTrue(local.handle_claim(claim))
            self.assertEqual(8, local.member.revision)
            self.assertEqual(MEMBER_STATUS_ALIVE, local.member.status)

"""Members and configurations in a mesh where few nodes follow the store, in simulated time."""

from asyncio import get_running_loop, sleep
from random import Random
from unittest import TestCase

from coltsfoottrack._internal.mesh.left_records import MIN_KEPT_RECORDS
from coltsfoottrack._internal.mesh.model import Member
from coltsfoottrack._internal.mesh.own_record import REWRITES_PER_SECOND
from coltsfoottrack._internal.mesh.publisher import UNKNOWN_AGE_MS
from coltsfoottrack._internal.mesh.store_look import PAUSE_JITTER, REPEATED_LOOKS_PER_SECOND
from coltsfoottrack._internal.mesh.watchers import choose_sources, watcher_count, watcher_order
from coltsfoottrack._internal.schema.links_pb2 import Frame, Notice
from tests.unit.simulated_mesh import SimulatedMesh, SimulatedNode, run_simulated

# The platform's strictest bound on the time until a stored configuration is in force.
IN_FORCE_SECONDS = 2.0
START_SECONDS = 8.0
NODES = 60
DOMAINS = 3


def missing(mesh: SimulatedMesh, version: int) -> list[str]:
    """Returns the running nodes at which a version is not in force."""
    return [node.name for node in mesh.running() if node.configuration.version < version]


def has_all_members(mesh: SimulatedMesh) -> bool:
    """Returns whether each running node knows all running nodes."""
    names = {node.name for node in mesh.running()}
    for node in mesh.running():
        if not names <= {member.node for member in node.directory.known_members()}:
            return False
    return True


class FrameCollector:
    """A connection that collects what is sent on it."""

    def __init__(self, frames: list[Frame]) -> None:
        self.frames = frames

    def send(self, frame: Frame) -> None:
        self.frames.append(frame)


class WatcherChoiceTest(TestCase):
    """Choice of the nodes that follow the store."""

    def members(self, count: int, domains: int) -> list[Member]:
        """Returns a number of members, spread over failure domains."""
        members = []
        for number in range(count):
            domain = f"domain-{number % domains}"
            members.append(Member(f"node-{number}", f"10.0.0.1:{number}", domain, "stock"))
        return members

    def test_subscribers_of_a_watcher_do_not_grow_with_the_nodes(self):
        """Guards against watchers that need more time and bandwidth in a larger mesh."""
        for count in (12, 79, 196, 1000):
            members = self.members(count, 5)
            order = watcher_order(members)
            subscribers: dict[str, int] = {}
            for own in members:
                for source in choose_sources(own, order, (), 2):
                    subscribers[source.node] = subscribers.get(source.node, 0) + 1
            with self.subTest(count=count):
                self.assertLessEqual(len(subscribers), watcher_count(count) + 1)
                self.assertLessEqual(max(subscribers.values()), 90)

    def test_watchers_are_spread_over_the_failure_domains(self):
        """Guards against the loss of all watchers with one failure domain."""
        first = watcher_order(self.members(196, 5))[: watcher_count(196)]
        per_domain = [
            len([m for m in first if m.failure_domain == f"domain-{n}"]) for n in range(5)
        ]
        self.assertGreaterEqual(min(per_domain), 2)

    def test_watchers_subscribe_across_failure_domains(self):
        members = self.members(40, 4)
        order = watcher_order(members)
        for watcher in order[: watcher_count(40)]:
            for source in choose_sources(watcher, order, (), 2):
                self.assertNotEqual(source.failure_domain, watcher.failure_domain)

    def test_excluded_watchers_are_replaced_by_the_next(self):
        members = self.members(40, 4)
        order = watcher_order(members)
        lost = {member.node for member in order[: watcher_count(40)]}
        chosen = choose_sources(members[0], order, lost, 2)
        self.assertEqual(len(chosen), 2)
        self.assertFalse(lost & {member.node for member in chosen})


class DistributionTest(TestCase):
    """Changes while watchers, the network or the store fail."""

    async def started(self, count: int = NODES, domains: int = DOMAINS) -> SimulatedMesh:
        """Returns a mesh whose nodes were started together."""
        mesh = SimulatedMesh()
        mesh.add_all(count, domains)
        await sleep(START_SECONDS)
        self.assertEqual(missing(mesh, 1), [])
        self.assertTrue(has_all_members(mesh))
        return mesh

    async def check_change(self, mesh: SimulatedMesh, version: int) -> None:
        """Stores a version and checks that it is in force in time."""
        mesh.store.put_configuration(version)
        await sleep(IN_FORCE_SECONDS)
        self.assertEqual(missing(mesh, version), [])

    def test_start_of_all_nodes_costs_few_calls(self):
        """Guards against calls to the store that grow with nodes times changes."""

        async def scenario() -> None:
            mesh = await self.started(196, 5)
            self.assertLessEqual(mesh.store.calls, 2.0 * 196)
            self.assertLessEqual(len(mesh.watching()), watcher_count(196) + 4)
            before = mesh.store.calls
            for version in range(2, 7):
                await self.check_change(mesh, version)
                await sleep(3.0)
            # Five changes and 25 s of watches by 13 nodes.
            self.assertLessEqual(mesh.store.calls - before, 0.8 * 196)

        run_simulated(scenario())

    def test_change_reaches_all_nodes_within_two_tenths_of_a_second(self):
        async def scenario() -> None:
            mesh = await self.started()
            mesh.store.put_configuration(5)
            await sleep(0.2)
            self.assertEqual(missing(mesh, 5), [])

        run_simulated(scenario())

    def test_change_right_after_all_watchers_were_killed(self):
        """Guards against nodes that nobody tells of a change."""

        async def scenario() -> None:
            mesh = await self.started()
            for node in mesh.watching():
                node.stop()
            await self.check_change(mesh, 2)

        run_simulated(scenario())

    def test_node_that_has_just_started_confirms_nothing(self):
        """Guards against subscribers that take the word of a node which knows nothing yet."""

        async def scenario() -> None:
            mesh = await self.started()
            mesh.store.is_down = True
            late = mesh.add("late", "domain-0")
            frames: list[Frame] = []
            late.publisher.subscribe(FrameCollector(frames), False, late.started_at)
            self.assertEqual(frames[0].notice.age_ms, UNKNOWN_AGE_MS)
            asker = mesh.nodes["node-3"]
            source = next(iter(asker.subscriptions.sources.values()))
            confirmed = source.confirmed_at
            asker.subscriptions.handle_notice(source.connection, frames[0].notice, confirmed + 9.0)
            self.assertEqual(source.confirmed_at, confirmed)

        run_simulated(scenario())

    def test_change_right_after_all_watchers_froze(self):
        """Guards against nodes that wait for sources which stay connected but say nothing."""

        async def scenario() -> None:
            mesh = await self.started()
            for node in mesh.watching():
                node.frozen = True
                node.watch.stop()
            await self.check_change(mesh, 2)

        run_simulated(scenario())

    def test_change_while_most_watchers_are_turned_away_by_the_store(self):
        """Guards against watchers that pass on old knowledge as if it were new."""

        async def scenario() -> None:
            mesh = await self.started()
            for node in mesh.watching()[1:]:
                mesh.store.refused.add(node.name)
            mesh.store.notify()
            await self.check_change(mesh, 2)

        run_simulated(scenario())

    def test_change_while_all_watchers_are_turned_away_by_the_store(self):
        """Guards against a mesh that stays behind although most nodes can reach the store."""

        async def scenario() -> None:
            mesh = await self.started()
            for node in mesh.watching():
                mesh.store.refused.add(node.name)
            mesh.store.notify()
            mesh.store.put_configuration(2)
            # The platform allows 5 s more while the store fails.
            await sleep(IN_FORCE_SECONDS + 5.0)
            self.assertEqual(missing(mesh, 2), [])

        run_simulated(scenario())

    # CONFIG: a watch that the store has fallen silent on counted as up to date until its end.
    def test_change_while_the_store_is_silent_to_all_watchers(self):
        async def scenario() -> None:
            mesh = await self.started()
            for node in mesh.watching():
                mesh.store.silent.add(node.name)
            mesh.store.put_configuration(2)
            # The platform allows 5 s more while the store fails.
            await sleep(IN_FORCE_SECONDS + 5.0)
            behind = set(missing(mesh, 2)) - mesh.store.silent
            self.assertEqual(behind, set())

        run_simulated(scenario())

    # CONFIG: watches on connections that fell silent, beside probes on newer ones, told of nothing.
    def test_change_after_all_open_connections_to_the_store_fell_silent(self):
        async def scenario() -> None:
            for pause in (0.0, 0.4, 1.0, 2.0, 4.5):
                mesh = await self.started()
                mesh.store.silent_before = get_running_loop().time()
                await sleep(pause)
                mesh.store.put_configuration(2)
                # The platform allows 3 s after connections have failed.
                await sleep(max(IN_FORCE_SECONDS, 3.0 - pause))
                self.assertEqual(missing(mesh, 2), [], pause)

        run_simulated(scenario())

    # CONFIG: a watch that waited counted as news, at the watcher and at all who heard from it.
    def test_change_after_the_store_fell_silent_to_all_watchers(self):
        async def scenario() -> None:
            for count in (12, NODES):
                for pause in (0.05, 0.3, 0.7, 1.2, 1.9):
                    mesh = await self.started(count)
                    mesh.store.silent.update(node.name for node in mesh.watching())
                    await sleep(pause)
                    mesh.store.put_configuration(2)
                    await sleep(IN_FORCE_SECONDS)
                    behind = set(missing(mesh, 2)) - mesh.store.silent
                    self.assertEqual(behind, set(), (count, pause))

        run_simulated(scenario())

    def test_change_while_the_store_turns_a_third_of_the_nodes_away(self):
        """Guards against nodes whose sources are all among those that the store turns away."""

        async def scenario() -> None:
            for number in range(20):
                mesh = await self.started(12 if number % 2 else NODES)
                names = Random(number).sample(sorted(mesh.nodes), len(mesh.nodes) // 3)
                (mesh.store.silent if number % 4 < 2 else mesh.store.refused).update(names)
                mesh.store.notify()
                await sleep(0.1)
                mesh.store.put_configuration(2)
                await sleep(IN_FORCE_SECONDS)
                self.assertEqual(set(missing(mesh, 2)) - set(names), set(), number)

        run_simulated(scenario())

    # CONFIG: eight sources that the store turned away counted as proof that it serves nobody.
    def test_change_while_the_store_turns_away_all_that_are_asked_first(self):
        async def scenario() -> None:
            for pause, silent in ((0.05, True), (0.3, False), (2.0, True), (2.0, False)):
                mesh = await self.started(42, 1)
                turned_away = set(self.asked_first(mesh)[:14])
                (mesh.store.silent if silent else mesh.store.refused).update(turned_away)
                mesh.store.notify()
                await sleep(pause)
                await self.check_change_at(mesh, 2, set(mesh.nodes) - turned_away)

        run_simulated(scenario())

    def test_change_while_the_store_serves_a_single_node(self):
        """Guards against a node that the store serves and that never asks it."""

        async def scenario() -> None:
            mesh = await self.started(42, 1)
            *turned_away, served = self.asked_first(mesh)
            mesh.store.silent.update(turned_away)
            await self.check_change_at(mesh, 2, {served})
            # The others hear of it from that node.
            await sleep(1.0)
            self.assertEqual(missing(mesh, 2), [])

        run_simulated(scenario())

    def test_looks_of_all_nodes_in_an_outage_are_bounded(self):
        """Guards against a store that each node asks again and again."""

        async def scenario() -> None:
            for count, silent in ((42, True), (42, False), (196, False)):
                mesh = await self.started(count)
                looks = mesh.log.counts.get("store_look", 0)
                if silent:
                    mesh.store.silent.update(mesh.nodes)
                mesh.store.is_down = True
                mesh.store.notify()
                await sleep(9.0)
                looks = mesh.log.counts["store_look"] - looks
                repeated = 9.0 * REPEATED_LOOKS_PER_SECOND
                self.assertLessEqual(looks, count + repeated * (1.0 + PAUSE_JITTER))

        run_simulated(scenario())

    def asked_first(self, mesh: SimulatedMesh) -> list[str]:
        """Returns the nodes in the order in which others ask them for what the store says."""
        known = next(iter(mesh.nodes.values())).directory.known_members()
        return [member.node for member in watcher_order(known)]

    async def check_change_at(self, mesh: SimulatedMesh, version: int, served: set[str]) -> None:
        """Stores a version and checks that it is in force in time at some nodes."""
        mesh.store.put_configuration(version)
        await sleep(IN_FORCE_SECONDS)
        self.assertEqual(set(missing(mesh, version)) & served, set())

    def test_age_of_knowledge_counts_from_the_last_answer(self):
        """Guards against notices that call knowledge new because a watch is open."""

        async def scenario() -> None:
            mesh = await self.started(12)
            watcher = mesh.watching()[0]
            for source in list(watcher.subscriptions.sources.values()):
                source.connection.silent = source.connection.other.silent = True
            mesh.store.silent.add(watcher.name)
            answered_at = watcher.watch.confirmed_at
            await sleep(0.9)
            self.assertTrue(watcher.watch.following)
            frames: list[Frame] = []
            watcher.publisher.subscribe(FrameCollector(frames), False, get_running_loop().time())
            confirmed_at = get_running_loop().time() - frames[0].notice.age_ms / 1000.0
            heard = watcher.subscriptions.heard_confirmed
            self.assertLess(confirmed_at, max(answered_at, heard) + 0.1)

        run_simulated(scenario())

    # CONFIG: sources that were heard counted as reached, and were asked for a version in vain.
    def test_change_at_a_node_whose_questions_are_lost(self):
        async def scenario() -> None:
            for count in (6, NODES):
                mesh = await self.started(count)
                node = next(n for n in mesh.running() if not n.watch.started)
                deaf = set(node.subscriptions.sources)
                for end in mesh.connections_of(node):
                    end.silent = end.node in deaf
                for version in (2, 3):
                    mesh.store.put_configuration(version)
                    await sleep(IN_FORCE_SECONDS)
                    self.assertEqual(missing(mesh, version), [], count)
                # It has turned to others, and so does not wait for the next version.
                self.assertTrue(set(node.subscriptions.sources) - deaf)
                mesh.store.put_configuration(4)
                await sleep(0.5)
                self.assertEqual(missing(mesh, 4), [], count)

        run_simulated(scenario())

    def test_newer_version_that_was_not_fetched_confirms_nothing(self):
        """Guards against an old configuration that counts as confirmed by news of a newer one."""

        async def scenario() -> None:
            mesh = await self.started(12)
            node = next(n for n in mesh.running() if not n.watch.started)
            confirmed = node.subscriptions.last_confirmed()
            source = next(iter(node.subscriptions.sources.values()))
            notice = Notice(configuration_version=9, age_ms=0)
            node.subscriptions.handle_notice(source.connection, notice, confirmed + 0.5)
            self.assertEqual(node.subscriptions.last_confirmed(), confirmed)
            self.assertEqual(source.confirmed_at, confirmed + 0.5)

        run_simulated(scenario())

    def test_calls_in_an_outage_stay_few(self):
        """Guards against nodes that all look at once, although others look already."""

        async def scenario() -> None:
            calls = {}
            for count in (60, 196):
                for seconds in (3.5, 9.0):
                    mesh = await self.started(count)
                    before = mesh.store.calls
                    mesh.store.is_down = True
                    mesh.store.notify()
                    await sleep(seconds)
                    calls[count, seconds] = mesh.store.calls - before
            # The watchers and further sources of all nodes; 13 watchers at 196 nodes, 4 at 60.
            self.assertLess(calls[196, 3.5], 100.0)
            self.assertLess(calls[196, 3.5], 3.0 * calls[60, 3.5])
            self.assertLess(calls[196, 9.0], 4.0 * 196)

        run_simulated(scenario())

    def test_change_after_an_outage_and_a_lost_history(self):
        """Guards against nodes that stay behind after the store returns."""

        async def scenario() -> None:
            mesh = await self.started()
            before = mesh.store.calls
            mesh.store.is_down = True
            mesh.store.notify()
            await sleep(6.0)
            # Not each node may call a store that is down again and again.
            self.assertLess(mesh.store.calls - before, 6.0 * NODES)
            mesh.store.is_down = False
            mesh.store.forget_history()
            await sleep(3.0)
            await self.check_change(mesh, 2)

        run_simulated(scenario())

    def test_halves_of_a_partition_follow_the_store_and_meet_again(self):
        """Guards against a half without watchers, and against members that stay unknown."""

        async def scenario() -> None:
            mesh = await self.started()
            for number in range(NODES // 2):
                mesh.group[f"node-{number}"] = 1
            await self.check_change(mesh, 2)
            joined = mesh.add("late", "domain-0")
            mesh.group["late"] = 1
            await sleep(5.0)
            mesh.group = {}
            await sleep(10.0)
            self.assertTrue(has_all_members(mesh))
            self.assertIn("late", {m.node for m in joined.directory.known_members()})
            await self.check_change(mesh, 3)

        run_simulated(scenario())

    def test_all_nodes_find_each_other_after_a_power_loss(self):
        """Guards against a mesh that does not form again from old records."""

        async def scenario() -> None:
            mesh = await self.started()
            nodes = list(mesh.nodes.values())
            for node in nodes:
                node.stop()
            mesh.store.put_configuration(2)
            for node in nodes:
                mesh.add(node.name, node.directory.own.failure_domain, epoch=2)
            await sleep(IN_FORCE_SECONDS)
            self.assertEqual(missing(mesh, 2), [])
            self.assertTrue(has_all_members(mesh))

        run_simulated(scenario())

    def test_nodes_that_start_one_by_one_after_a_power_loss_serve_soon(self):
        """Guards against nodes that wait for sources which are not up yet."""

        async def scenario() -> None:
            mesh = await self.started()
            nodes = list(mesh.nodes.values())
            for node in nodes:
                node.stop()
            calls = mesh.store.calls
            for node in nodes:
                mesh.add(node.name, node.directory.own.failure_domain, epoch=2)
                await sleep(0.7 / NODES)
            await sleep(2.0)
            waits = [node.in_force[1] - node.started_at for node in mesh.running()]
            self.assertLess(max(waits), 0.8)
            await sleep(10.0)
            # Not each node may follow the store from then on.
            self.assertLessEqual(mesh.store.calls - calls, 4.0 * NODES)
            self.assertLessEqual(len(mesh.watching()), NODES // 4)

        run_simulated(scenario())

    def test_leave_reaches_all_nodes_within_a_second(self):
        """Guards against requests that still go to a node that has left."""

        async def scenario() -> None:
            mesh = await self.started()
            leaving = mesh.nodes["node-7"]
            own = leaving.directory.own
            leaving.directory.set_own(own._replace(left=True, serial=own.serial + 1))
            leaving.subscriptions.announce()
            await sleep(1.0)
            for node in mesh.running():
                self.assertTrue(node.directory.peers["node-7"].member.left, node.name)

        run_simulated(scenario())

    def test_leave_of_a_node_whose_sources_hear_nothing_goes_by_the_store(self):
        """Guards against a leave that depends on connections which are silent in one direction."""

        async def scenario() -> None:
            mesh = await self.started()
            leaving = mesh.nodes["node-7"]
            for connection in mesh.connections_of(leaving):
                connection.silent = True
            own = leaving.directory.own
            leaving.directory.set_own(own._replace(left=True, serial=own.serial + 1))
            leaving.subscriptions.announce()
            leaving.record.changed.set()
            await sleep(2.0)
            for node in mesh.running():
                self.assertTrue(node.directory.peers["node-7"].member.left, node.name)

        run_simulated(scenario())

    def test_records_of_leaves_are_bounded(self):
        """Guards against a store that fills with records of machines that were removed."""

        async def scenario() -> None:
            mesh = await self.started()
            client = next(iter(mesh.nodes.values())).record.store
            for number in range(MIN_KEPT_RECORDS + 40):
                name = f"gone-{number}"
                left = Member(name, f"{name}:1", "domain-0", "stock", "i", left=True, epoch=1)
                await client.create_member(left)
            await sleep(30.0)
            kept = [name for name in mesh.store.members if name.startswith("gone")]
            self.assertEqual(len(kept), MIN_KEPT_RECORDS)
            self.assertEqual(kept[-1], f"gone-{MIN_KEPT_RECORDS + 39}")
            self.assertEqual(len(mesh.store.members) - len(kept), NODES)

        run_simulated(scenario())

    def test_record_lost_on_the_way_is_found_by_comparison(self):
        """Guards against members that stay unknown since one message was lost."""

        async def scenario() -> None:
            mesh = await self.started()
            node = mesh.nodes["node-9"]
            node.directory.remove("node-11")
            await sleep(5.0)
            self.assertIn("node-11", node.directory.peers)

        run_simulated(scenario())

    def test_restarted_node_whose_clock_was_set_back_is_believed(self):
        """Guards against a node whose records count as old for as long as its clock is behind."""

        async def scenario() -> None:
            mesh = await self.started()
            mesh.nodes["node-5"].stop()
            again = mesh.add("node-5", "domain-2", epoch=0)
            again.members.on_own_record = lambda member: adopt_later_epoch(again, member)
            await sleep(5.0)
            for node in mesh.running():
                self.assertEqual(node.directory.peers["node-5"].member.epoch, 2, node.name)

        run_simulated(scenario())


def adopt_later_epoch(node: SimulatedNode, member: Member) -> None:
    """Does what a complete node does with a record of its own from a later epoch."""
    own = node.directory.own
    if member.epoch > own.epoch:
        later = own._replace(epoch=member.epoch + 1, serial=own.serial + 1)
        node.directory.set_own(later)
        node.subscriptions.announce()


class RestoredStoreTest(TestCase):
    """A store that comes back from an older copy of itself, in a large mesh."""

    async def _restore(self, nodes: int, revision: int) -> tuple[float, float]:
        """Returns the time until the records of all nodes are stored again, and the calls."""
        mesh = SimulatedMesh()
        mesh.add_all(nodes, DOMAINS)
        await sleep(START_SECONDS)
        self.assertEqual(len(mesh.store.members), nodes)
        mesh.store.calls = 0.0
        mesh.store.restore(revision)
        began = get_running_loop().time()
        while len(mesh.store.members) < nodes:
            await sleep(0.1)
            self.assertLess(get_running_loop().time() - began, 30.0)
        seconds = get_running_loop().time() - began
        await sleep(5.0)
        return seconds, mesh.store.calls

    def test_records_are_written_again_at_a_bounded_rate(self):
        """Guards against records that stay lost, and against all nodes that write at once."""
        for nodes in (12, 196):
            with self.subTest(nodes=nodes):
                seconds, calls = run_simulated(self._restore(nodes, 1))
                self.assertLess(seconds, 2.0 + nodes / REWRITES_PER_SECOND)
                # A refused and a repeated write of each node, and what the watchers read.
                self.assertLess(calls, 2 * nodes + 12 * watcher_count(nodes))

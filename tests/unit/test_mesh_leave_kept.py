"""An acknowledged leave of a backend server binds, whatever the node knew when it acknowledged."""

from asyncio import gather, sleep
from os import O_WRONLY, close, devnull
from os import open as open_file
from unittest import TestCase
from unittest.mock import patch

from coltsfoottrack._internal.mesh import backend_state
from coltsfoottrack._internal.mesh.backend_state import BackendState, Lifetime
from coltsfoottrack._internal.mesh.clock import current_time, unix_time_ms
from coltsfoottrack._internal.mesh.daemon import MeshNode
from coltsfoottrack._internal.mesh.decisions import DecisionLog, LineWriter
from coltsfoottrack._internal.mesh.directory import Directory
from coltsfoottrack._internal.mesh.member_updates import MemberUpdates
from coltsfoottrack._internal.mesh.model import BackendLeave, BackendReport, Member
from tests.standins.backend import StandInBackend
from tests.standins.mesh import MeshTestCase, encode

# Numbers of reports that were sent before the leave and arrive after it.
LATE_NUMBER = 9


class LeaveKeptTest(MeshTestCase):
    """Late reports of a process that has left do not make it ready again."""

    def senders(self, node: MeshNode) -> list[MeshNode]:
        """Returns the node and all others that still run."""
        return [sender for sender in self.nodes if sender is node or not sender.closed]

    async def assert_unused(self, node: MeshNode) -> None:
        """Checks that no request reaches the first backend server from any node."""
        await sleep(0.3)
        before = len(self.backends[0].received)
        for number in range(10):
            for sender in self.senders(node):
                path = "/order/" if number % 2 else "/read/"
                answer = await self.send_request(sender, encode(path, f"{id(sender)}-{number}"))
                self.assertEqual(answer.status, 503)
        self.assertEqual(len(self.backends[0].received), before)
        self.assertFalse(node.backend.accepting)

    async def restart(self, node: MeshNode, *seeds: MeshNode) -> MeshNode:
        """Ends a node at once and starts its next process, which may know other nodes."""
        node.close()
        await sleep(0.02)
        addresses = tuple(seed.settings.link_address for seed in seeds)
        return await self.start_node(node.settings._replace(seed_addresses=addresses))

    async def store_leave(self, node: MeshNode) -> StandInBackend:
        """Announces the leave of the first backend server, waits until it is stored."""
        backend = self.backends[0]
        await backend.deregister(node.settings.report_address)
        record = node.membership.own_record
        await self.wait_until(lambda: record.written is not None and record.written.left_backend)
        return backend

    async def stop_and_start(self, *nodes: MeshNode) -> list[MeshNode]:
        """Stops nodes as SIGTERM does and starts their next processes, which know each other."""
        await gather(*[node.stop() for node in nodes])
        running = [node for node in self.nodes if not node.closed]
        addresses = tuple(node.settings.link_address for node in (*nodes, *running))
        started = []
        for node in nodes:
            settings = node.settings._replace(seed_addresses=addresses)
            started.append(await self.start_node(settings))
        return started

    # Review, case 13, DRAIN: a stopping node deleted the record that keeps the leave.
    async def test_leave_outlasts_a_restart_of_all_nodes(self):
        store = await self.start("store")
        front = await self.start("front", "portal")
        await self.wait_for_members(2)
        backend = await self.store_leave(store)
        again, _ = await self.stop_and_start(store, front)
        await self.wait_until(again.is_ready)
        await self.wait_until(lambda: again.backend.left)
        await backend.report(again.settings.report_address, seq=LATE_NUMBER)
        await self.assert_unused(again)

    # The same with a store that is away: a node without a report of its server was told nothing.
    async def test_leave_outlasts_restarts_in_turn_while_the_store_is_away(self):
        store = await self.start("store")
        front = await self.start("front", "portal")
        await self.wait_for_members(2)
        self.store.status = 503
        backend = self.backends[0]
        await backend.deregister(store.settings.report_address)
        await self.wait_until(lambda: front.directory.peers["store"].member.left)
        (again,) = await self.stop_and_start(store)
        await self.wait_until(again.is_ready)
        await self.wait_until(lambda: again.backend.left)
        await self.stop_and_start(front)
        await backend.report(again.settings.report_address, seq=LATE_NUMBER)
        await self.assert_unused(again)

    async def test_record_of_a_server_that_has_ended_is_deleted(self):
        """Guards against records that outlast what they are about."""
        store = await self.start("store")
        await self.wait_for_members(1)
        backend = await self.store_leave(store)
        backend.close()
        await store.stop()
        self.assertNotIn("store", [name for _, name in self.store.objects])

    # Incident inc1, DRAIN: a node that had just started acknowledged a leave and forgot it.
    async def test_leave_acknowledged_before_the_first_report_is_kept(self):
        store = await self.start("store")
        await self.wait_for_members(1)
        await self.wait_until(lambda: store.membership.own_record.written is not None)
        again = await self.restart(store)
        backend = self.backends[0]
        self.assertEqual(await backend.deregister(again.settings.report_address), 200)
        await backend.report(again.settings.report_address, seq=LATE_NUMBER)
        await self.assert_unused(again)

    # The same where no record of an earlier process tells which server it was.
    async def test_leave_of_a_server_that_nobody_knows_is_kept(self):
        store = await self.start("store")
        self.store.status = 503
        again = await self.restart(store)
        backend = self.backends[0]
        self.assertEqual(await backend.deregister(again.settings.report_address), 200)
        await backend.report(again.settings.report_address, seq=LATE_NUMBER)
        self.assertFalse(again.backend.accepting)

    # A late report with a higher number than the stored leave came first and hid it (DRAIN).
    async def test_stored_leave_binds_after_a_late_report_with_a_higher_number(self):
        store = await self.start("store")
        await self.wait_for_members(1)
        backend = await self.store_leave(store)
        self.store.status = 503
        again = await self.restart(store)
        await backend.report(again.settings.report_address, seq=LATE_NUMBER)
        self.store.status = None
        await self.wait_until(lambda: again.backend.left)
        await self.assert_unused(again)

    # A draining report that a later one had overtaken was acknowledged and dropped (DRAIN).
    async def test_leave_in_a_report_that_was_overtaken_is_kept(self):
        store = await self.start("store")
        await self.wait_for_members(1)
        backend = self.backends[0]
        await backend.report(store.settings.report_address, seq=LATE_NUMBER)
        status = await backend.report(store.settings.report_address, "draining", seq=3)
        self.assertEqual(status, 200)
        await self.assert_unused(store)

    # With the store away, other nodes forgot the leave at the restart of the node (DRAIN).
    async def test_leave_that_only_other_nodes_know_outlasts_a_restart(self):
        store = await self.start("store")
        front = await self.start("front", "portal")
        await self.wait_for_members(2)
        self.store.status = 503
        backend = self.backends[0]
        await backend.deregister(store.settings.report_address)
        await self.wait_until(lambda: front.directory.peers["store"].member.left)
        again = await self.restart(store, front)
        await backend.report(again.settings.report_address, seq=LATE_NUMBER)
        await self.wait_until(lambda: again.backend.left)
        await self.assert_unused(again)

    # A node that restored a leave while its clock was set back announced that it went on (DRAIN).
    async def test_leave_is_announced_by_a_node_whose_clock_was_set_back(self):
        store = await self.start("store")
        await self.wait_for_members(1)
        own = store.directory.own
        store.restore(own._replace(epoch=own.epoch + 60_000, left=True, accepting=False))
        self.assertEqual(store.directory.own.epoch, own.epoch + 60_001)
        self.assertTrue(store.directory.own.left)
        self.assertFalse(store.directory.own.accepting)

    async def start_unreported(self, *seeds: MeshNode) -> MeshNode:
        """Starts a node whose backend server has not reported yet."""
        backend = StandInBackend("i-store", "stock")
        await backend.open()
        self.backends.insert(0, backend)
        addresses = tuple(seed.settings.link_address for seed in seeds)
        settings = self.settings("store", "stock", backend)
        return await self.start_node(settings._replace(seed_addresses=addresses))

    # DRAIN: a leave acknowledged before any report was lost if the node was restarted then.
    async def test_leave_of_an_unknown_server_outlasts_a_restart(self):
        node = await self.start_unreported()
        await self.wait_until(lambda: node.active_configuration.table is not None)
        backend = self.backends[0]
        self.assertEqual(await backend.deregister(node.settings.report_address), 200)
        await sleep(0.3)
        again = await self.restart(node)
        await sleep(0.3)
        await backend.report(again.settings.report_address, seq=LATE_NUMBER)
        await self.assert_unused(again)

    # The same with the store away: the other nodes know it.
    async def test_leave_of_an_unknown_server_outlasts_a_restart_without_the_store(self):
        front = await self.start("front", "portal")
        await self.wait_for_members(1)
        node = await self.start_unreported(front)
        await self.wait_until(lambda: "store" in front.directory.peers)
        self.store.status = 503
        backend = self.backends[0]
        self.assertEqual(await backend.deregister(node.settings.report_address), 200)
        await sleep(0.3)
        again = await self.restart(node, front)
        await sleep(0.5)
        await backend.report(again.settings.report_address, seq=LATE_NUMBER)
        await self.assert_unused(again)

    # The same where the late report comes before the node has read what was recorded.
    async def test_recorded_leave_of_an_unknown_server_binds_after_a_late_report(self):
        node = await self.start_unreported()
        await self.wait_until(lambda: node.active_configuration.table is not None)
        backend = self.backends[0]
        await backend.deregister(node.settings.report_address)
        await sleep(0.3)
        self.store.status = 503
        again = await self.restart(node)
        await backend.report(again.settings.report_address, seq=LATE_NUMBER)
        self.store.status = None
        await self.wait_until(lambda: again.backend.left)
        await self.assert_unused(again)

    async def test_record_without_a_server_does_not_hide_an_earlier_one(self):
        """Guards against a deregistration that finds no process, as a newer record names none."""
        store = await self.start("store")
        await self.wait_for_members(1)
        own = store.directory.own
        again = await self.restart(store)
        again.restore(own._replace(epoch=1))
        again.restore(own._replace(epoch=2, backend="", backend_started_ms=0))
        await self.backends[0].deregister(again.settings.report_address)
        self.assertTrue(again.directory.own.left)

    # The bound of the above: a later process of the same server is no longer bound.
    async def test_next_process_of_a_server_that_left_unknown_is_used(self):
        store = await self.start("store")
        await self.wait_for_members(1)
        again = await self.restart(store)
        backend = self.backends[0]
        await backend.deregister(again.settings.report_address)
        backend.started_ms = unix_time_ms() + 1000
        backend.number = 0
        await backend.report(again.settings.report_address)
        answer = await self.send_request(again, encode("/read/", "r1"))
        self.assertEqual(answer.status, 200)


class UndatedLeaveTest(TestCase):
    """A leave that tells no process, at a node that knows none."""

    def setUp(self) -> None:
        self.null = open_file(devnull, O_WRONLY)
        self.addCleanup(close, self.null)
        log = DecisionLog("n", LineWriter(self.null))
        self.backend = BackendState("10.0.0.1:1", log)
        self.backend.leave(BackendLeave("i-1"))

    def report(self, started_ms: int) -> bool:
        """Applies a report; returns whether the node takes requests then."""
        self.backend.apply_report(
            BackendReport("i-1", "s", "10.0.0.1:1", "east", 5, False, 0, 1, started_ms)
        )
        return self.backend.accepting

    def test_process_that_started_long_before_has_left_for_good(self):
        """Guards against a late report that is taken for the next process."""
        started_ms = unix_time_ms() - 60_000
        self.assertFalse(self.report(started_ms))
        self.assertTrue(self.backend.left)
        with patch.object(backend_state, "current_time", lambda: current_time() + 60.0):
            self.assertFalse(self.report(started_ms))

    def test_next_process_of_a_server_with_another_clock_is_used(self):
        """Guards against a server that is never used again since its clock is behind."""
        started_ms = unix_time_ms() - 3_000
        self.assertFalse(self.report(started_ms))
        with patch.object(backend_state, "current_time", lambda: current_time() + 11.0):
            self.assertTrue(self.report(started_ms))

    def test_later_process_is_used_at_once(self):
        """Guards against a restarted server that waits for its requests."""
        self.assertTrue(self.report(unix_time_ms() + 1_000))


class OlderRecordTest(TestCase):
    """A node that starts learns of an older process of its server from a restored store."""

    # Soak seed 4103, DRAIN: the leave of the present process was taken for one of the older.
    def test_leave_is_that_of_the_newest_process_that_is_known(self):
        null = open_file(devnull, O_WRONLY)
        self.addCleanup(close, null)
        backend = BackendState("10.0.0.1:1", DecisionLog("n", LineWriter(null)))
        now = unix_time_ms()
        backend.restore_leave(Lifetime("i-1", now - 80_000), 0)
        # Another node tells of the process that was there before this node was restarted.
        backend.note_earlier(Lifetime("i-1", now - 2_300))
        backend.leave(BackendLeave("i-1"))
        late = BackendReport("i-1", "s", "10.0.0.1:1", "east", 5, False, 0, 4, now - 2_300)
        backend.apply_report(late)
        self.assertFalse(backend.accepting)
        self.assertTrue(backend.left)
        backend.apply_report(late._replace(started_ms=now + 100, number=1))
        self.assertTrue(backend.accepting)


class RemovedRecordTest(TestCase):
    """The deletion of a stored record, of which the store may tell late."""

    def test_deletion_is_no_leave_of_a_process(self):
        """Guards against a server that is never used again since an earlier record was deleted."""
        null = open_file(devnull, O_WRONLY)
        self.addCleanup(close, null)
        directory = Directory(Member("own", "10.0.0.1:1", "east", "portal", epoch=1))
        updates = MemberUpdates(directory, DecisionLog("own", LineWriter(null)))
        member = Member("n", "10.0.0.2:1", "east", "s", "i-1", 5, 1, True, 5, epoch=2, serial=1)
        updates.learn_direct(member, "hello")
        updates.remove("n", None, "store")
        self.assertTrue(directory.peers["n"].member.left)
        self.assertIsNone(updates.learn_direct(member._replace(serial=5), "link"))
        self.assertFalse(directory.peers["n"].member.left)

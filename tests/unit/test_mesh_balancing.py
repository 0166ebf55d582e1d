"""Choice by load and capacity, without a network."""

from collections import Counter
from random import Random
from random import seed as seed_random
from unittest import TestCase
from unittest.mock import patch

from coltsfoottrack._internal.mesh.directory import Directory
from coltsfoottrack._internal.mesh.model import Member
from tests.unit.simulated_choice import Play

CLOCK = "coltsfoottrack._internal.mesh.directory.current_time"
RUN_SECONDS = 0.1


class ChoiceTestCase(TestCase):
    """Base of tests with a clock of their own."""

    def setUp(self) -> None:
        self.now = 1000.0
        clock = patch(CLOCK, lambda: self.now)
        clock.start()
        self.addCleanup(clock.stop)
        seed_random(4)

    def make_entry(self, number: int, members: int, slots: int = 20) -> Directory:
        """Returns the directory of an entry that knows members of one service."""
        directory = Directory(Member(f"e{number}", "", "east", "portal"))
        for index in range(members):
            self.add(directory, index, slots)
        return directory

    def add(self, directory: Directory, index: int, slots: int = 20, domain: str = "east") -> None:
        address = f"10.0.0.1:{index}"
        record = Member(f"m{index}", address, domain, "stock", "i", accepting=True, epoch=1)
        directory.put(record._replace(slots=slots))

    def report(self, directory: Directory, index: int, load: int, capacity: float = 200.0) -> None:
        """Records the reply of a member."""
        peer = directory.peers[f"m{index}"]
        directory.record_reply(peer, load, capacity, 0, answered=True)

    def chosen(self, directory: Directory, count: int = 1) -> Counter:
        """Returns how often each member is chosen while answers take RUN_SECONDS."""
        found = Counter()
        for _ in range(count):
            found[directory.choose("stock", set()).member.node] += 1
            self.now += RUN_SECONDS
        return found


class WithoutCapacityTest(ChoiceTestCase):
    """Services whose members report no capacity."""

    def test_members_are_chosen_as_before(self):
        """Guards against a changed choice where no capacity is reported."""
        directory = self.make_entry(0, 0)
        for index in range(12):
            self.add(directory, index, (5, 20, 100)[index % 3], ("east", "west")[index % 2])
        random = Random(9)
        names = []
        for step in range(400):
            self.now += random.uniform(0.0, 0.02)
            peer = directory.choose("stock", {"m3"} if step % 7 == 0 else set(), "read", 0.5)
            names.append(peer.member.node)
            directory.record_reply(peer, random.randrange(30), 0.0, 0, answered=True)
            peer.record_time("read", random.uniform(0.0, 0.4), self.now)
            peer.record_result(step % 11 == 0)
            if step % 50 == 0:
                peer.block()
        self.assertEqual(digest(names), PINNED)
        self.assertEqual(directory.balancer.services, {})


class HerdingTest(ChoiceTestCase):
    """All nodes choose at the same time from the same information."""

    def test_full_member_beside_one_with_room_is_counted(self):
        """Guards against uneven load that no metric shows, and counts without free slots."""
        directory = self.make_entry(0, 2)
        for load, counted in ((25, 0), (2, 1)):
            self.report(directory, 0, 25)
            self.report(directory, 1, load)
            directory.choose("stock", set())
            for _ in range(20):
                directory.record_reply(directory.peers["m0"], 25, 200.0, 5, answered=False)
            self.assertEqual(directory.balancer.uneven > 0, bool(counted))

    def test_one_idle_member_is_not_overloaded(self):
        """Guards against all choosers that send to the one member that looks idle."""
        found = Counter()
        for number in range(300):
            directory = self.make_entry(number, 10)
            for index in range(10):
                self.report(directory, index, 0 if index == 0 else 15)
            found += self.chosen(directory)
        self.assertLess(found["m0"], 0.5 * 300)
        self.assertEqual(len(found), 10)

    def test_lost_information_spreads_by_capacity(self):
        """Guards against a wave at the members of which nothing is known."""
        found = Counter()
        for number in range(300):
            directory = self.make_entry(number, 10)
            for index in range(10):
                self.report(directory, index, 10, 300.0 if index < 5 else 100.0)
            self.now += 5.0
            found += self.chosen(directory)
        fast = sum(found[f"m{index}"] for index in range(5))
        self.assertAlmostEqual(fast / 300, 0.75, delta=0.1)

    def test_old_reports_lose_their_value(self):
        """Guards against a member that is avoided for a load that it no longer has."""
        directory = self.make_entry(0, 2)
        self.report(directory, 0, 40)
        for _ in range(30):
            self.report(directory, 1, 8)
        self.assertEqual(self.chosen(directory, 1), {"m1": 1})
        self.now += 3.0
        self.assertGreater(self.chosen(directory, 40)["m0"], 10)


class TroubleTest(ChoiceTestCase):
    """Members that fail, come and go."""

    def test_half_of_the_members_are_new(self):
        """Guards against new members without a share, and with more than theirs."""
        directory = self.make_entry(0, 4)
        for index in range(4):
            self.report(directory, index, 10)
        self.chosen(directory, 10)
        for index in range(4, 8):
            self.add(directory, index)
        found = self.chosen(directory, 80)
        new = sum(found[f"m{index}"] for index in range(4, 8))
        self.assertAlmostEqual(new / 80, 0.5, delta=0.2)

    def test_failing_and_unavailable_members_get_less(self):
        """Guards against random draws that ignore failures, blocks and members that stop."""
        directory = self.make_entry(0, 6)
        for index in range(6):
            self.report(directory, index, 10)
        for _ in range(10):
            directory.peers["m0"].record_result(True)
        directory.peers["m1"].block(60.0)
        stopping = directory.peers["m2"].member._replace(accepting=False, serial=1)
        directory.put(stopping)
        found = self.chosen(directory, 45)
        self.assertLess(found["m0"], 3)
        self.assertEqual(found["m1"] + found["m2"], 0)
        # Recovery: failures of the past do not keep a member out.
        for _ in range(6):
            self.report(directory, 3, 10)
            found += self.chosen(directory, 50)
        self.assertGreater(found["m0"], 30)

    def test_flapping_member(self):
        """Guards against a member that gets a wave each time that it accepts requests again."""
        directory = self.make_entry(0, 5)
        found = Counter()
        for turn in range(20):
            for index in range(5):
                self.report(directory, index, 10)
            record = directory.peers["m0"].member
            directory.put(record._replace(accepting=turn % 2 == 0, serial=turn + 1))
            found[turn % 2] += self.chosen(directory, 10)["m0"]
        self.assertEqual(found[1], 0)
        self.assertLess(found[0], 0.4 * 100)
        self.assertGreater(found[0], 0.1 * 100)

    def test_service_of_one_member(self):
        """Guards against a request that finds no member after a decline or in trouble."""
        directory = self.make_entry(0, 1)
        self.report(directory, 0, 50)
        self.assertEqual(self.chosen(directory, 3), {"m0": 3})
        directory.put(directory.peers["m0"].member._replace(accepting=False, serial=1))
        self.assertEqual(self.chosen(directory), {"m0": 1})
        self.assertIsNone(directory.choose("stock", {"m0"}))

    def test_own_failure_domain_first_while_it_has_room(self):
        """Guards against bytes between failure domains that are not needed, and idle slots."""
        directory = self.make_entry(0, 4)
        for index in range(4, 8):
            self.add(directory, index, domain="west")
        for index in range(8):
            self.report(directory, index, 12)
        own = {"m0", "m1", "m2", "m3"}
        self.assertIn(directory.choose("stock", set()).member.node, own)
        for index in range(4):
            self.report(directory, index, 25)
        self.assertNotIn(directory.choose("stock", set()).member.node, own)
        for index in range(4):
            self.report(directory, index, 5)
        self.assertIn(directory.choose("stock", set()).member.node, own)

    def test_cost_does_not_grow_with_the_members(self):
        """Guards against a choice whose cost grows with the size of the service."""
        directory = self.make_entry(0, 400)
        for index in range(400):
            self.report(directory, index, 10)
        directory.choose("stock", set())
        with patch.object(directory, "penalty", wraps=directory.penalty) as penalty:
            directory.choose("stock", set())
        self.assertLess(penalty.call_count, 20)


class EvenLoadTest(TestCase):
    """Shared instances of different size and speed at four fifths of their capacity."""

    def test_fewer_and_shorter_waits_than_by_load_alone(self):
        """Guards against waits at slowed members while others have free slots."""
        for entries in (60, 300):
            with self.subTest(entries=entries):
                before = Play(entries, 18, 0.8, capacity=False).play(2.0)
                after = Play(entries, 18, 0.8).play(2.0)
                self.assertLess(after.wait_mean, before.wait_mean)
                self.assertLess(after.wait_p99, before.wait_p99)
                self.assertLess(after.far_fraction, before.far_fraction)
                self.assertLess(after.sends, before.sends)


def digest(names: list[str]) -> int:
    """Returns a number that depends on all names and their order."""
    value = 0
    for name in names:
        value = (value * 31 + int(name[1:])) % 1_000_000_007
    return value


# Choices before capacities were reported.
PINNED = 363584747

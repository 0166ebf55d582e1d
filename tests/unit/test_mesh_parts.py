"""Single parts of the routed path, without a network."""

from unittest import TestCase
from unittest.mock import patch

from coltsfoottrack._internal.mesh.clock import current_time
from coltsfoottrack._internal.mesh.directory import Directory
from coltsfoottrack._internal.mesh.levels import (
    MIN_ADMITTED_SHARE,
    Admission,
    OwnLevel,
    ReportedLevels,
)
from coltsfoottrack._internal.mesh.model import (
    CallerLimits,
    Member,
    RetryBounds,
    Route,
    RoutingConfiguration,
    WeightedService,
)
from coltsfoottrack._internal.mesh.parent_requests import ParentRequests, RunningRequest
from coltsfoottrack._internal.mesh.retry_budget import RetryBudget
from coltsfoottrack._internal.mesh.routes import RouteTable
from coltsfoottrack.platform.names import parent_identifier

# A little over the interval of the level, so that rounding does not join two intervals.
STEP_SECONDS = 0.1001


def route(name: str, prefix: str, *services: WeightedService, host: str = "a.example") -> Route:
    """Returns a route whose other fields do not matter."""
    parts = services or (WeightedService("s", 1),)
    return Route(name, host, prefix, parts, True, 1000, 500, 2, 0, 0)


def table(*routes: Route, previous: RouteTable | None = None) -> RouteTable:
    """Returns a table of routes."""
    return RouteTable(RoutingConfiguration(1, routes, CallerLimits(), b""), previous)


class RouteTableTest(TestCase):
    """Choice of a route and of its service."""

    def test_longest_prefix_wins(self):
        """Guards against a request that goes to the route of a shorter prefix."""
        routes = table(route("short", "/a/"), route("long", "/a/b/"), route("root", "/"))
        cases = {
            "/a/b/c": "long",
            "/a/b/": "long",
            "/a/b": "short",
            "/a/bc/d": "short",
            "/x": "root",
            "/a/?q=/a/b/": "short",
        }
        for path, name in cases.items():
            with self.subTest(path=path):
                self.assertEqual(routes.find("a.example", path).name, name)

    def test_host_is_compared_without_case_and_port(self):
        """Guards against a 404 for a host that is written in another way."""
        routes = table(route("r", "/a/"))
        self.assertEqual(routes.find("A.Example:8080", "/a/").name, "r")
        self.assertIsNone(routes.find("b.example", "/a/"))
        self.assertIsNone(routes.find("a.example", "/b/"))

    def test_shares_hold_in_short_sequences(self):
        """Guards against shares that are right only in the long run."""
        weighted = route("r", "/", WeightedService("x", 90), WeightedService("y", 10))
        routes = table(weighted)
        chosen = [routes.service_of(weighted) for _ in range(100)]
        self.assertEqual(chosen.count("y"), 10)
        self.assertLessEqual(chosen[:50].count("y"), 6)

    def test_shares_go_on_over_a_new_version(self):
        """Guards against shares that start anew with each of many changes."""
        weighted = route("r", "/", WeightedService("x", 9), WeightedService("y", 1))
        routes = table(weighted)
        chosen = []
        for _ in range(100):
            routes = table(weighted, previous=routes)
            chosen.append(routes.service_of(weighted))
        self.assertEqual(chosen.count("y"), 10)


class RetryBudgetTest(TestCase):
    """Share of a node in the repeat budget of its service."""

    def test_sum_over_the_nodes_keeps_the_bound(self):
        """Guards against repeats beyond the service's budget in any window."""
        bounds = RetryBounds(0.2, 48.0, 10.0)
        nodes = [RetryBudget(bounds) for _ in range(3)]
        taken = []
        firsts = 0
        for step in range(400):
            now = 100.0 + step * 0.05
            for node in nodes:
                node.count_first(now)
                firsts += now >= 110.0
                while node.try_take(now, 3):
                    taken.append(now)
        in_window = sum(1 for now in taken if now >= 110.0)
        self.assertLessEqual(in_window, 0.2 * firsts + 48.0)
        self.assertGreater(len(taken), 0)

    def test_calls_of_repeated_runs_use_the_budget(self):
        """Guards against repeats below that nobody counts."""
        budget = RetryBudget(RetryBounds(0.2, 48.0, 10.0))
        for _ in range(20):
            budget.charge(1.0)
        self.assertFalse(budget.try_take(1.0, 1))
        self.assertTrue(budget.try_take(20.0, 1))


class LevelTest(TestCase):
    """Admission levels under load."""

    def test_surge_sheds_the_lowest_rank_first(self):
        """Pattern: twice the capacity, most of it lookups. Guards against orders shed early."""
        own = OwnLevel()
        own.set_ranks(2)
        now = own.updated
        admission = Admission()
        demand = {0: 5, 1: 15}
        admitted = {0: 0, 1: 0}
        # Calls arrive three intervals after their request was admitted. Ten of them end in an
        # interval; the rest waits.
        arriving = [20, 20, 20]
        waiting = 0
        delays = []
        for _ in range(300):
            now += STEP_SECONDS
            arrived = arriving.pop(0)
            waiting = max(0, waiting + arrived - 10)
            delays.append(waiting * 0.01)
            own.arrived = arrived
            own.update(0.1, 10, waiting, now)
            taken = 0
            for rank, count in demand.items():
                for _ in range(count):
                    if admission.admit(f"r{rank}", rank, own.level):
                        admitted[rank] += 1
                        taken += 1
            arriving.append(taken)
        self.assertEqual(admitted[0], 1500)
        self.assertLess(max(delays[100:]), 0.3)
        served = (admitted[0] + admitted[1]) / 300
        self.assertGreater(served, 9.0)

    def test_no_rank_is_shed_whole(self):
        """Pattern: orders alone exceed the capacity. Guards against lookups that starve."""
        own = OwnLevel()
        own.set_ranks(2)
        now = own.updated
        for _ in range(100):
            now += STEP_SECONDS
            own.arrived = 30
            own.update(0.1, 10, 20, now)
        admission = Admission()
        admitted = sum(admission.admit("r", 1, own.level) for _ in range(100))
        self.assertGreaterEqual(admitted, int(100 * MIN_ADMITTED_SHARE) - 1)

    def test_level_rises_after_the_surge(self):
        """Guards against overload that outlasts its trigger."""
        own = OwnLevel()
        own.set_ranks(2)
        own.level = 0.2
        now = own.updated
        for _ in range(100):
            now += STEP_SECONDS
            own.arrived = 5
            own.update(0.1, 10, 0, now)
        self.assertEqual(own.level, 2.0)

    def test_silent_reports_are_forgotten(self):
        """Guards against requests that are shed for a service nobody has asked lately."""
        levels = ReportedLevels()
        with patch("coltsfoottrack._internal.mesh.levels.current_time", lambda: 10.0):
            levels.record("r", "n", 0.5)
        self.assertEqual(levels.level("r", 2, 10.1), 0.5)
        self.assertGreater(levels.level("r", 2, 11.5), 0.5)
        self.assertEqual(levels.level("r", 2, 14.0), 2.0)


class ParentRequestsTest(TestCase):
    """Calls and the requests that they are made for."""

    def test_only_a_run_of_this_server_is_believed(self):
        """Guards against a caller that claims the rank of another request."""
        parent_requests = ParentRequests(parent_identifier)
        parent_requests.begin(RunningRequest("orders", 0, 9.0, False, "aa.bb"))
        self.assertEqual(parent_requests.parent("aa.bb.cc").route, "orders")
        self.assertIsNone(parent_requests.parent("aa.cc"))
        self.assertIsNone(parent_requests.parent("aa"))
        parent_requests.end("aa.bb")
        self.assertIsNone(parent_requests.parent("aa.bb.cc"))


class DirectoryTest(TestCase):
    """Choice of a member."""

    def setUp(self):
        self.own = Member("n0", "a:0", "east", "portal")
        self.directory = Directory(self.own)
        for name, domain in (("n1", "east"), ("n2", "west")):
            self.directory.put(
                Member(name, f"a:{name}", domain, "s", f"i-{name}", accepting=True, slots=10)
            )

    def choose(self, count: int) -> list[str]:
        """Chooses members for requests that all stay in flight."""
        return [self.directory.choose("s", set()).member.node for _ in range(count)]

    def test_own_failure_domain_while_it_has_room(self):
        """Guards against bytes between failure domains that nothing makes necessary."""
        self.assertEqual(set(self.choose(2)), {"n1"})
        self.assertIn("n2", self.choose(10))

    def test_failing_member_gets_few(self):
        """Guards against a server that fails part of its requests and stays first choice."""
        for _ in range(10):
            self.directory.peers["n1"].record_result(True)
        self.assertEqual(set(self.choose(5)), {"n2"})

    def test_earlier_records_are_not_taken(self):
        """Guards against an older record of a peer or the store that wins over a newer one."""
        known = self.directory.peers["n1"].member
        self.directory.put(known._replace(serial=5, left=True))
        self.assertFalse(self.directory.put(known._replace(serial=4)))
        self.assertEqual(set(self.choose(3)), {"n2"})

    def test_address_given_to_another_node(self):
        """Guards against requests to the service that had an address before."""
        self.directory.put(Member("n9", "a:n1", "east", "t", "i-9", epoch=7, slots=10))
        self.assertNotIn("n1", self.directory.peers)

    def test_word_that_a_member_takes_nothing_lapses(self):
        """Guards against a member that stays out when the word of its return is lost."""
        known = self.directory.peers["n1"].member
        self.directory.put(known._replace(serial=5, accepting=False))
        self.assertEqual(set(self.choose(2)), {"n2"})
        self.directory.peers["n1"].seen_at -= 10.0
        self.assertIn("n1", self.choose(2))

    def test_leaving_member_is_better_than_none(self):
        """Pattern: all nodes of a service restarted in turn. Guards against needless refusals."""
        for name in ("n1", "n2"):
            known = self.directory.peers[name].member
            self.directory.put(known._replace(serial=5, accepting=False))
        self.assertEqual(set(self.choose(1)), {"n1"})

    def test_slow_member_gets_no_long_work(self):
        """Pattern: servers of different speed. Guards against lookups that are late there."""
        now = current_time()
        for _ in range(20):
            self.directory.peers["n1"].record_time("long", 0.6, now)
            self.directory.peers["n1"].record_time("short", 0.03, now)
        chosen = self.directory.choose("s", set(), "long", 1.0)
        self.assertEqual(chosen.member.node, "n2")
        chosen = self.directory.choose("s", set(), "short", 1.0)
        self.assertEqual(chosen.member.node, "n1")

    def test_slowness_is_forgotten(self):
        """Guards against a server that stays out after a slow time."""
        peer = self.directory.peers["n1"]
        peer.record_time("long", 5.0, 100.0)
        self.assertGreater(peer.latency_penalty("long", 1.0, 101.0), 1.0)
        self.assertLess(peer.latency_penalty("long", 1.0, 120.0), 0.2)

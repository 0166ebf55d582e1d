"""Single parts of the mesh, without a network."""

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

# Slightly longer than the update interval of the level, so that rounding skips no update.
STEP_SECONDS = 0.1001


def route(name: str, prefix: str, *services: WeightedService, host: str = "a.example") -> Route:
    """Returns a route whose other fields do not matter."""
    parts = services or (WeightedService("s", 1),)
    return Route(name, host, prefix, parts, True, 1000, 500, 2, 0, 0)


def table(*routes: Route, previous: RouteTable | None = None) -> RouteTable:
    """Returns a table of routes."""
    return RouteTable(RoutingConfiguration(1, routes, CallerLimits(), b""), previous)


class RouteTableTest(TestCase):
    """Choice of route and service."""

    def test_longest_prefix_wins(self):
        """Guards against requests sent to the route of a shorter prefix."""
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

    def test_host_matches_without_case_and_port(self):
        """Guards against a 404 for a host in upper case or with a port."""
        routes = table(route("r", "/a/"))
        self.assertEqual(routes.find("A.Example:8080", "/a/").name, "r")
        self.assertIsNone(routes.find("b.example", "/a/"))
        self.assertIsNone(routes.find("a.example", "/b/"))

    def test_shares_hold_in_short_sequences(self):
        """Guards against shares that hold only over many requests."""
        weighted = route("r", "/", WeightedService("x", 90), WeightedService("y", 10))
        routes = table(weighted)
        chosen = [routes.service_of(weighted) for _ in range(100)]
        self.assertEqual(chosen.count("y"), 10)
        self.assertLessEqual(chosen[:50].count("y"), 6)

    def test_shares_survive_a_new_configuration_version(self):
        """Guards against wrong shares because each configuration change restarts them."""
        weighted = route("r", "/", WeightedService("x", 9), WeightedService("y", 1))
        routes = table(weighted)
        chosen = []
        for _ in range(100):
            routes = table(weighted, previous=routes)
            chosen.append(routes.service_of(weighted))
        self.assertEqual(chosen.count("y"), 10)


class RetryBudgetTest(TestCase):
    """Share of a node in the retry budget of its service."""

    def test_sum_over_the_nodes_stays_within_the_budget(self):
        """Guards against more retries in a window than the service's budget."""
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

    def test_calls_of_retried_requests_use_the_budget(self):
        """Guards against uncounted retries at called services."""
        budget = RetryBudget(RetryBounds(0.2, 48.0, 10.0))
        for _ in range(20):
            budget.charge(1.0)
        self.assertFalse(budget.try_take(1.0, 1))
        self.assertTrue(budget.try_take(20.0, 1))

    def test_lowered_bounds_apply_to_retries_earned_before(self):
        """Guards against an error of the node when a reload forbids retries."""
        budget = RetryBudget(RetryBounds(0.2, 48.0, 10.0))
        for _ in range(50):
            budget.count_first(1.0)
        budget.bounds = RetryBounds(0.0, 0.0, 10.0)
        self.assertFalse(budget.try_take(1.1, 1))

    def test_saved_retries_expire_and_do_not_add_up(self):
        """Guards against memory that grows, and a burst saved up in a calm hour."""
        budget = RetryBudget(RetryBounds(0.2, 0.0, 10.0))
        budget.set_leaf(True)
        for step in range(100_000):
            budget.count_first(step * 0.01)
        self.assertLess(len(budget.earned), 10)
        taken = 0
        while budget.try_take(1000.0, 1):
            taken += 1
        self.assertLessEqual(taken, 0.2 * 0.8 * 250)

    def test_last_retries_go_to_the_most_important_ranks(self):
        """Guards against lookups that use up the retries of orders."""
        budget = RetryBudget(RetryBounds(0.2, 100.0, 10.0))
        budget.set_leaf(True)
        for rank in range(3):
            budget.count_first(1.0, rank)
        taken = {}
        for rank in (2, 1, 0):
            taken[rank] = 0
            while budget.try_take(1.0, 1, rank):
                taken[rank] += 1
        self.assertEqual(taken, {2: 31, 1: 15, 0: 14})

    def test_a_single_rank_uses_the_whole_budget(self):
        """Guards against a reserve for ranks that have no requests."""
        budget = RetryBudget(RetryBounds(0.2, 100.0, 10.0))
        budget.set_leaf(True)
        budget.count_first(1.0, 0)
        self.assertEqual(sum(budget.try_take(20.0, 1, 2) for _ in range(100)), 60)


class LevelTest(TestCase):
    """Admission levels under load."""

    def test_surge_sheds_the_least_important_rank_first(self):
        """Guards against shed orders at twice the capacity while most requests are lookups."""
        own = OwnLevel()
        own.set_ranks(2)
        now = own.updated
        admission = Admission()
        demand = {0: 5, 1: 15}
        admitted = {0: 0, 1: 0}
        # Calls arrive three intervals after their request was admitted. Ten finish in each
        # interval; the others wait.
        arriving = [20, 20, 20]
        waiting = 0
        delays = []
        for _ in range(300):
            now += STEP_SECONDS
            arrived = arriving.pop(0)
            waiting = max(0, waiting + arrived - 10)
            delays.append(waiting * 0.01)
            own.arrived = arrived
            own.update(0.1 / 10, waiting, now)
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

    def test_no_rank_is_shed_completely(self):
        """Guards against starved lookups when orders alone exceed the capacity."""
        own = OwnLevel()
        own.set_ranks(2)
        now = own.updated
        for _ in range(100):
            now += STEP_SECONDS
            own.arrived = 30
            own.update(0.1 / 10, 20, now)
        admission = Admission()
        admitted = sum(admission.admit("r", 1, own.level) for _ in range(100))
        self.assertGreaterEqual(admitted, int(100 * MIN_ADMITTED_SHARE) - 1)

    def test_level_rises_after_the_surge(self):
        """Guards against shedding that continues after the overload."""
        own = OwnLevel()
        own.set_ranks(2)
        own.level = 0.2
        now = own.updated
        for _ in range(100):
            now += STEP_SECONDS
            own.arrived = 5
            own.update(0.1 / 10, 0, now)
        self.assertEqual(own.level, 2.0)

    def test_backend_server_that_is_idle_sheds_nothing(self):
        """Guards against a request that is refused for a load that is over."""
        own = OwnLevel()
        own.set_ranks(2)
        own.level = 0.2
        now = own.updated
        for interval in range(13):
            now += STEP_SECONDS
            # A run that goes on for long is work as well.
            own.update(0.1 / 10, 0, now, running=1 if interval < 2 else 0)
            if interval < 11:
                self.assertLess(own.level, 1.0, interval)
        self.assertEqual(own.level, 2.0)

    def test_level_of_the_own_backend_server_needs_no_reply(self):
        """Guards against a refusal by the level that the last of many replies carried."""
        reported = ReportedLevels()
        reported.refresh("r", "own", 2.0)
        self.assertEqual(reported.reports, {})
        reported.record("r", "own", 1.1)
        reported.refresh("r", "own", 2.0)
        self.assertEqual(reported.level("r", 2, current_time()), 2.0)

    def test_stale_reports_expire(self):
        """Guards against shedding because of old reports of a service without recent requests."""
        levels = ReportedLevels()
        with patch("coltsfoottrack._internal.mesh.levels.current_time", lambda: 10.0):
            levels.record("r", "n", 0.5)
        self.assertEqual(levels.level("r", 2, 10.1), 0.5)
        self.assertGreater(levels.level("r", 2, 11.5), 0.5)
        self.assertEqual(levels.level("r", 2, 14.0), 2.0)


class ParentRequestsTest(TestCase):
    """Calls and their parent requests."""

    def test_only_a_request_running_here_is_a_parent(self):
        """Guards against a caller that obtains the rank of another request by its identifier."""
        parent_requests = ParentRequests(parent_identifier)
        run = RunningRequest("orders", 0, 9.0, False, "aa.bb")
        parent_requests.begin(run)
        self.assertEqual(parent_requests.parent("aa.bb.cc", 1.0).route, "orders")
        self.assertIsNone(parent_requests.parent("aa.cc", 1.0))
        self.assertIsNone(parent_requests.parent("aa", 1.0))
        parent_requests.end(run, 1.0)
        self.assertIsNone(parent_requests.parent("aa.bb.cc", 1.0))


class DirectoryTest(TestCase):
    """Choice of members."""

    def setUp(self):
        self.own = Member("n0", "a:0", "east", "portal")
        self.directory = Directory(self.own)
        for name, domain in (("n1", "east"), ("n2", "west")):
            self.directory.put(
                Member(name, f"a:{name}", domain, "s", f"i-{name}", accepting=True, slots=10)
            )

    def choose(self, count: int) -> list[str]:
        """Returns the members chosen for requests that all stay in flight."""
        return [self.directory.choose("s", set()).member.node for _ in range(count)]

    def test_own_failure_domain_is_preferred_below_capacity(self):
        """Guards against unnecessary traffic between failure domains."""
        self.assertEqual(set(self.choose(2)), {"n1"})
        self.assertIn("n2", self.choose(10))

    def test_failing_member_is_avoided(self):
        """Guards against a failing server that remains the first choice."""
        for _ in range(10):
            self.directory.peers["n1"].record_result(True)
        self.assertEqual(set(self.choose(5)), {"n2"})

    def test_older_records_are_ignored(self):
        """Guards against an older record that replaces a newer one."""
        known = self.directory.peers["n1"].member
        self.directory.put(known._replace(serial=5, left=True))
        self.assertFalse(self.directory.put(known._replace(serial=4)))
        self.assertEqual(set(self.choose(3)), {"n2"})

    def test_reused_address_removes_the_earlier_member(self):
        """Guards against requests sent to a reused address of another service."""
        self.directory.put(Member("n9", "a:n1", "east", "t", "i-9", epoch=7, slots=10))
        self.assertNotIn("n1", self.directory.peers)

    def test_not_accepting_expires(self):
        """Guards against a member that gets no requests after a lost announcement."""
        known = self.directory.peers["n1"].member
        self.directory.put(known._replace(serial=5, accepting=False))
        self.assertEqual(set(self.choose(2)), {"n2"})
        self.directory.peers["n1"].updated_at -= 10.0
        self.assertIn("n1", self.choose(2))

    def test_leaving_member_is_chosen_if_there_is_no_other(self):
        """Guards against refusals when all nodes of a service are leaving at the same time."""
        for name in ("n1", "n2"):
            known = self.directory.peers[name].member
            self.directory.put(known._replace(serial=5, accepting=False))
        self.assertEqual(set(self.choose(1)), {"n1"})

    def test_slow_member_gets_no_long_requests(self):
        """Guards against late answers when servers differ in speed."""
        now = current_time()
        for _ in range(20):
            self.directory.peers["n1"].record_time("long", 0.6, now)
            self.directory.peers["n1"].record_time("short", 0.03, now)
        chosen = self.directory.choose("s", set(), "long", 1.0)
        self.assertEqual(chosen.member.node, "n2")
        chosen = self.directory.choose("s", set(), "short", 1.0)
        self.assertEqual(chosen.member.node, "n1")

    def test_latency_penalty_decays(self):
        """Guards against a server that gets no requests after it was slow for some time."""
        peer = self.directory.peers["n1"]
        peer.record_time("long", 5.0, 100.0)
        self.assertGreater(peer.latency_penalty("long", 1.0, 101.0), 1.0)
        self.assertLess(peer.latency_penalty("long", 1.0, 120.0), 0.2)

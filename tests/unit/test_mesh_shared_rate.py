"""Rates that many nodes share, in virtual time.

The load is that of customers whose demand is spread unevenly over all nodes, moves between them,
and rises suddenly to 7.5 times the usual, while nodes are killed, cut off or frozen.
"""

from unittest import TestCase

from tests.unit.simulated_rates import NAME, STEP_SECONDS, SimulatedRates

SIZES = (2, 60, 300)
# Limits as a large and a small customer have them; the usual demand is the limit / 1.6.
LIMITS = ((327.0, 327.0), (5.0, 5.0), (1152.0, 300.0))
USUAL = 1.0 / 1.6
SURGE = 7.5 * USUAL


class BoundTest(TestCase):
    """The number of admitted requests in any window."""

    def each(self, scenario):
        """Runs a scenario with each size and limit, and checks the bound after it."""
        for count in SIZES:
            for rate, burst in LIMITS:
                with self.subTest(nodes=count, rate=rate):
                    mesh = SimulatedRates(count, rate, burst)
                    first = scenario(mesh, rate) or 0
                    self.assertLessEqual(mesh.most_in_window(first), mesh.allowed())

    def test_sudden_demand(self):
        """Guards against tokens used before the first report that are never repaid."""

        def scenario(mesh, rate):
            mesh.run(6.0, mesh.spread(USUAL * rate, 1.0))
            mesh.run(8.0, mesh.spread(SURGE * rate, 0.5))
            used = sum(mesh.admitted[-400:]) / 4.0
            self.assertGreater(used, 0.9 * rate - 2.0)

        self.each(scenario)

    def test_lender_killed_and_restarted(self):
        """Guards against a second burst from a lender that knows nothing of the first."""

        def scenario(mesh, rate):
            mesh.run(4.0, mesh.spread(SURGE * rate))
            lender = mesh.lender()
            mesh.down.add(lender)
            mesh.run(4.0, mesh.spread(SURGE * rate))
            mesh.start(lender)
            mesh.run(6.0, mesh.spread(SURGE * rate))

        self.each(scenario)

    def test_lender_killed_just_before_sudden_demand(self):
        """Guards against grants of a dead lender that are used for too long."""

        def scenario(mesh, rate):
            mesh.run(6.0, mesh.spread(USUAL * rate))
            mesh.down.add(mesh.lender())
            mesh.run(6.0, mesh.spread(SURGE * rate))

        self.each(scenario)

    def test_all_nodes_restarted_at_once(self):
        """Guards against a burst from each lender that restarts."""

        def scenario(mesh, rate):
            mesh.run(5.0, mesh.spread(SURGE * rate))
            for name in list(mesh.nodes):
                mesh.start(name)
            mesh.run(6.0, mesh.spread(SURGE * rate))

        self.each(scenario)

    def test_third_of_the_nodes_cut_off(self):
        """Guards against nodes that use the whole rate on both sides of a partition."""

        def scenario(mesh, rate):
            mesh.run(5.0, mesh.spread(SURGE * rate))
            for name in list(mesh.nodes)[: len(mesh.nodes) // 3]:
                mesh.side[name] = 1
            mesh.run(8.0, mesh.spread(SURGE * rate))
            mesh.side = {}
            mesh.run(8.0, mesh.spread(SURGE * rate))

        self.each(scenario)

    def test_limit_that_drops_to_a_hundredth(self):
        """Guards against grants of the former limit; it may be used for one window more."""

        def scenario(mesh, rate):
            mesh.run(5.0, mesh.spread(SURGE * rate))
            mesh.set_limit(rate / 100.0, rate / 100.0)
            first = mesh.steps + 500
            mesh.run(12.0, mesh.spread(SURGE * rate))
            return first

        self.each(scenario)

    def test_lender_frozen_for_seconds(self):
        """Guards against two lenders at once after the frozen one has resumed."""

        def scenario(mesh, rate):
            mesh.run(5.0, mesh.spread(SURGE * rate))
            lender = mesh.lender()
            mesh.down.add(lender)
            mesh.run(3.0, mesh.spread(SURGE * rate))
            mesh.down.discard(lender)
            mesh.run(6.0, mesh.spread(SURGE * rate))

        self.each(scenario)

    def test_nodes_that_know_different_members(self):
        """Guards against two lenders of one name that lend the whole rate each."""

        def scenario(mesh, rate):
            mesh.run(5.0, mesh.spread(SURGE * rate))
            lender = mesh.lender()
            for name in list(mesh.nodes)[::2]:
                node = mesh.nodes[name]
                node.known = {key: mesh.members[key] for key in mesh.members if key != lender}
                node.changes += 1
            mesh.run(6.0, mesh.spread(SURGE * rate))
            for node in mesh.nodes.values():
                node.known = mesh.members
                node.changes += 1
            mesh.run(6.0, mesh.spread(SURGE * rate))

        self.each(scenario)

    def test_frozen_nodes_use_no_expired_grants(self):
        """Guards against grants that are used after others were given the same tokens."""
        mesh = SimulatedRates(60, 327.0, 327.0)
        mesh.run(5.0, mesh.spread(SURGE * 327.0))
        frozen = list(mesh.nodes)[-5:]
        mesh.down.update(frozen)
        mesh.run(3.0, mesh.spread(SURGE * 327.0))
        for name in frozen:
            # Requests that have waited at a frozen node are handled before its first tick.
            taken = [mesh.nodes[name].rates.try_take(NAME, mesh.now) for _ in range(100)]
            self.assertLessEqual(taken.count(None), 1)


class UseTest(TestCase):
    """Requests within the limit."""

    def test_whole_limit_is_usable_at_one_node(self):
        """Guards against shares of nodes without demand that nobody can use."""
        for count in SIZES:
            for rate, burst in LIMITS:
                with self.subTest(nodes=count, rate=rate):
                    mesh = SimulatedRates(count, rate, burst)
                    name = list(mesh.nodes)[-1]
                    mesh.run(5.0, {name: 3.0 * rate})
                    mesh.run(10.0, {name: 3.0 * rate})
                    self.assertGreaterEqual(sum(mesh.admitted[-1000:]), 0.95 * rate * 10.0 - 1.0)

    def test_nothing_is_refused_below_the_limit(self):
        """Guards against refusals of demand that is skewed or moves between nodes."""
        for count in SIZES:
            for rate, burst in LIMITS:
                with self.subTest(nodes=count, rate=rate):
                    mesh = SimulatedRates(count, rate, burst)
                    mesh.run(6.0, mesh.spread(0.5 * rate, 1.0))
                    first = mesh.steps
                    mesh.run(4.0, mesh.spread(0.88 * rate, 1.0))
                    names = list(mesh.nodes)
                    mesh.run(4.0, {names[-1]: 0.88 * rate})
                    mesh.run(4.0, {names[0]: 0.44 * rate, names[-1]: 0.44 * rate})
                    self.assertEqual(sum(mesh.refused[first:]), 0)

    def test_use_continues_while_the_lender_changes(self):
        """Guards against refusals below the limit for as long as a new lender cannot lend."""
        mesh = SimulatedRates(3, 327.0, 327.0)
        mesh.run(6.0, mesh.spread(USUAL * 327.0))
        lender = mesh.lender()
        demand = {name: USUAL * 327.0 / 3.0 for name in mesh.nodes if name != lender}
        mesh.leave(lender)
        mesh.run(3.0, demand)
        self.assertLess(sum(mesh.refused[-300:]), 0.05 * USUAL * 327.0 * 2.0)

    def test_new_process_does_not_claim_that_the_rate_is_used_up(self):
        """Guards against a 429 of a node that has just started, at a customer within its limit."""
        mesh = SimulatedRates(60, 327.0, 327.0)
        mesh.run(5.0, mesh.spread(0.1 * 327.0))
        mesh.start("n7")
        wait = mesh.nodes["n7"].rates.try_take(NAME, mesh.now)
        self.assertFalse(wait.is_used_up)
        self.assertLessEqual(wait.seconds, 0.5)
        # A grant of a lender that has just started proves nothing either.
        for name in list(mesh.nodes):
            mesh.start(name)
        for _ in range(20):
            mesh.run(0.1, mesh.spread(0.1 * 327.0))
            for node in mesh.nodes.values():
                wait = node.rates.try_take(NAME, mesh.now)
                self.assertFalse(wait is not None and wait.is_used_up)
        mesh.run(8.0, mesh.spread(SURGE * 327.0, 0.5))
        waits = [node.rates.try_take(NAME, mesh.now) for node in mesh.nodes.values()]
        self.assertTrue(any(wait is not None and wait.is_used_up for wait in waits))

    def test_tokens_that_were_given_back_are_usable(self):
        """Guards against a quota that requests use which reach no backend server."""
        mesh = SimulatedRates(2, 5.0, 5.0)
        mesh.run(6.0, {})
        rates = mesh.nodes["n1"].rates
        for _ in range(100):
            self.assertIsNone(rates.try_take(NAME, mesh.now))
            rates.give_back(NAME)

    def test_no_work_without_limits(self):
        """Guards against messages in deployments without quotas."""
        mesh = SimulatedRates(60, 5.0, 5.0)
        mesh.run(2.0, {})
        for node in mesh.nodes.values():
            node.rates.set_limits({}, mesh.now)
        mesh.run(0.5, {})
        mesh.sent = 0
        mesh.run(5.0, mesh.spread(100.0))
        self.assertEqual(mesh.sent, 0)
        self.assertEqual(sum(mesh.refused[-500:]), 0)

    def test_messages_grow_with_lenders_not_with_nodes_squared(self):
        """Guards against a message for each pair of nodes."""
        mesh = SimulatedRates(300, 327.0, 327.0)
        mesh.run(5.0, mesh.spread(USUAL * 327.0))
        mesh.sent = 0
        seconds = 500 * STEP_SECONDS
        mesh.run(seconds, mesh.spread(USUAL * 327.0))
        self.assertLess(mesh.sent / seconds / 300, 10.0)

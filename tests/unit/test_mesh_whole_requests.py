"""Admission by whole requests and retries at the bottom, in virtual time without a network.

The load is a service at the bottom that refuses 55 of 100 requests whatever its load, and a service
above it that makes four such calls one after another for each request, of two ranks.
"""

from collections import Counter, deque
from random import Random
from typing import NamedTuple
from unittest import TestCase

from coltsfoottrack._internal.mesh.levels import MIN_ADMITTED_SHARE, Admission
from coltsfoottrack._internal.mesh.model import RetryBounds
from coltsfoottrack._internal.mesh.retry_budget import RetryBudget
from coltsfoottrack._internal.mesh.runner_call import CallKey, RunnerCall, RunResult
from coltsfoottrack._internal.mesh.whole_requests import WholeRequests
from coltsfoottrack._internal.schema.links_pb2 import (
    RESULT_ANSWERED,
    RESULT_NOT_RUN,
    RESULT_UNKNOWN,
    Request,
)

STEP_SECONDS = 0.05
BOUNDS = RetryBounds(0.2, 100.0, 10.0)
CALLS = 4
TOP_NODES = 6
BOTTOM_NODES = 6
# Requests of each rank in one step, and steps from admission to the end of a run.
DEMAND = {0: 6, 1: 12}
RUN_STEPS = 4
REPORT_STEPS = 8


class Policy(NamedTuple):
    """What a simulated mesh does about failed calls."""

    retries_above: bool
    leaf_budget: bool
    whole_requests: bool


BEFORE = Policy(True, False, False)
WITHOUT_ADMISSION = Policy(False, True, False)
AFTER = Policy(False, True, True)


class Mesh:
    """Entries, the service in the middle and the one at the bottom."""

    def __init__(self, policy: Policy, capacity: int | None = None) -> None:
        self.policy = policy
        # Requests that the bottom can serve in one step, None if it does not depend on the load.
        self.capacity = capacity
        self.served = 0
        self.random = Random(3)
        self.admission = Admission()
        self.top = [WholeRequests() for _ in range(TOP_NODES)]
        for node in self.top:
            node.set_ranks(2)
        self.budgets = {
            name: [RetryBudget(BOUNDS) for _ in range(count)]
            for name, count in (("top", TOP_NODES), ("bottom", BOTTOM_NODES))
        }
        for node in self.budgets["bottom"]:
            node.set_leaf(policy.leaf_budget)
        # Levels on their way to the entries, newest last.
        self.levels = deque([2.0] * REPORT_STEPS, REPORT_STEPS)
        self.running: deque[list[int]] = deque([[] for _ in range(RUN_STEPS)], RUN_STEPS)
        self.step = 0
        self.refused_share = 0.0
        self.asked: Counter[int] = Counter()
        self.finished: Counter[int] = Counter()
        # Runs at the top, and requests that reach the bottom.
        self.runs = 0
        self.sends = 0
        self.retries: Counter[str] = Counter()

    def run(self, seconds: float, refused_share: float) -> float:
        """Simulates some time; returns the level at its end."""
        self.refused_share = refused_share
        for _ in range(round(seconds / STEP_SECONDS)):
            self._step(1000.0 + self.step * STEP_SECONDS)
            self.step += 1
        return self.levels[-1]

    def _step(self, now: float) -> None:
        self.served = 0
        level = self.levels[0] if self.policy.whole_requests else 2.0
        admitted = []
        for rank, count in DEMAND.items():
            self.asked[rank] += count
            admitted += [
                rank for _ in range(count) if self.admission.admit(f"r{rank}", rank, level)
            ]
        ending = self.running[0]
        self.running.append(admitted)
        self.random.shuffle(ending)
        for rank in ending:
            self.finished[rank] += self._request(rank, now)
        for node in self.top:
            node.update(now)
        self.levels.append(sum(node.level("r") for node in self.top) / TOP_NODES)

    def _request(self, rank: int, now: float) -> bool:
        """Runs a request, and once more if that is allowed; returns whether it has finished."""
        node = self.random.randrange(TOP_NODES)
        self.budgets["top"][node].count_first(now, rank)
        if self._run(node, rank, False, now):
            return True
        other = (node + 1) % TOP_NODES
        if not self.policy.retries_above:
            return False
        if not self._try_retry("top", other, rank, now):
            return False
        return self._run(other, rank, True, now)

    def _run(self, node: int, rank: int, repeated: bool, now: float) -> bool:
        self.runs += 1
        done = all(self._call(rank, repeated, now) for _ in range(CALLS))
        self.top[node].record_outcome("r", rank, not done, now)
        return done

    def _call(self, rank: int, repeated: bool, now: float) -> bool:
        node = self.random.randrange(BOTTOM_NODES)
        budget = self.budgets["bottom"][node]
        if repeated:
            budget.charge(now)
        else:
            budget.count_first(now, rank)
        if self._serve():
            return True
        if not self._try_retry("bottom", (node + 1) % BOTTOM_NODES, rank, now):
            return False
        return self._serve()

    def _serve(self) -> bool:
        self.sends += 1
        if self.capacity is not None and self.served >= self.capacity:
            return False
        self.served += 1
        return self.random.random() >= self.refused_share

    def _try_retry(self, service: str, node: int, rank: int, now: float) -> bool:
        nodes = self.budgets[service]
        # Without the reserve for important ranks, all requests are of one rank.
        budget_rank = rank if self.policy.leaf_budget else 0
        taken = nodes[node].try_take(now, len(nodes), budget_rank)
        self.retries[service] += taken
        return taken


class RefusingServiceTest(TestCase):
    """Shares of finished requests while the service at the bottom refuses 55 of 100."""

    def test_important_requests_finish_more_often_with_less_work(self):
        """Guards against retries that are spent above or on unimportant requests that fail."""
        before, after = Mesh(BEFORE), Mesh(AFTER)
        for mesh in (before, after):
            mesh.run(60.0, 0.55)
        self.assertGreater(after.finished[0], 2.5 * before.finished[0])
        self.assertGreater(sum(after.finished.values()), 1.3 * sum(before.finished.values()))
        self.assertLess(after.runs, before.runs)
        self.assertEqual(after.retries["top"], 0)

    def test_refusing_requests_ends_where_it_does_not_help(self):
        """Guards against a smaller retry budget and fewer finished requests of all ranks."""
        without, after = Mesh(WITHOUT_ADMISSION), Mesh(AFTER)
        for mesh in (without, after):
            mesh.run(120.0, 0.55)
        for rank in DEMAND:
            self.assertGreater(after.finished[rank], 0.8 * without.finished[rank])

    def test_full_service_at_the_bottom_serves_the_important_ones(self):
        """Guards against capacity that is used up by requests that will fail."""
        before, after = Mesh(BEFORE, capacity=24), Mesh(AFTER, capacity=24)
        for mesh in (before, after):
            mesh.run(60.0, 0.0)
        self.assertGreater(after.finished[0], 1.4 * before.finished[0])
        self.assertGreater(
            4 * after.finished[1] / after.asked[1], after.finished[0] / after.asked[0]
        )
        self.assertGreaterEqual(sum(after.finished.values()), sum(before.finished.values()))
        self.assertLess(after.runs, 0.7 * before.runs)

    def test_everything_is_admitted_soon_after_the_failures(self):
        """Guards against refusals that outlast their cause."""
        for refused_share, capacity in ((0.55, None), (0.0, 24)):
            with self.subTest(refused_share=refused_share):
                mesh = Mesh(AFTER, capacity)
                while mesh.run(0.2, refused_share) > 1.3:
                    self.assertLess(mesh.step, 20.0 / STEP_SECONDS)
                mesh.capacity = None
                self.assertEqual(mesh.run(2.0, 0.0), 2.0)


class WholeRequestsTest(TestCase):
    """What lowers the level of a route, and what does not."""

    def level_after(self, shares: dict[int, float], seconds: float = 20.0) -> float:
        """Returns the level after runs of which these shares fail, for ranks of three."""
        requests = WholeRequests()
        requests.set_ranks(3)
        random = Random(5)
        for step in range(int(seconds * 20)):
            now = 1000.0 + step * 0.05
            for rank, share in shares.items():
                requests.record_outcome("r", rank, random.random() < share, now)
            requests.update(now)
        return requests.level("r")

    def test_small_share_of_failures_is_ignored(self):
        """Guards against refusals because of single failed calls."""
        self.assertEqual(self.level_after({0: 0.2, 1: 0.2, 2: 0.2}), 3.0)

    def test_only_ranks_that_fail_are_refused_least_important_first(self):
        self.assertAlmostEqual(self.level_after({0: 0.0, 1: 0.1, 2: 0.9}), 2.0, delta=0.5)
        self.assertLess(self.level_after({0: 0.0, 1: 0.9, 2: 1.0}), 1.6)

    def test_most_important_rank_is_never_refused(self):
        """Guards against refusing all of a route although some of its requests finish."""
        self.assertEqual(self.level_after({1: 1.0}), 3.0)
        self.assertAlmostEqual(self.level_after({0: 1.0, 2: 1.0}), 2.0 + MIN_ADMITTED_SHARE)

    def test_rank_that_becomes_the_most_important_is_admitted(self):
        """Guards against a route that stays closed after its important callers have gone."""
        requests = WholeRequests()
        requests.set_ranks(2)
        for step in range(200):
            for rank in (0, 1) if step < 100 else (1,):
                requests.record_outcome("r", rank, True, step * 0.05)
            requests.update(step * 0.05)
        self.assertEqual(requests.level("r"), 2.0)

    def test_only_lack_of_capacity_of_new_requests_counts(self):
        """Guards against refusals for a backend server's own errors, and for first refusals."""
        refused = RunResult(RESULT_NOT_RUN, "backend_refused")
        cases = (
            (RunResult(RESULT_ANSWERED, "", 500, failed_below=True), {}, 2.0),
            (RunResult(RESULT_UNKNOWN, "overdue"), {}, 2.0),
            (refused, {}, 2.0),
            (RunResult(RESULT_ANSWERED, "", 500, short_of_capacity=True), {"nested": True}, 2.0),
            (RunResult(RESULT_ANSWERED, "", 500, short_of_capacity=True), {}, 1.12),
            (refused, {"repeat": True}, 1.12),
        )
        for result, fields, level in cases:
            with self.subTest(result=result, fields=fields):
                requests = WholeRequests()
                requests.set_ranks(2)
                for step in range(60):
                    for rank in (0, 1):
                        message = Request(route="r", rank=rank, **fields)
                        call = RunnerCall(CallKey("n", 1, step), message, lambda call: None)
                        requests.record(call, result, step * 0.05)
                    requests.update(step * 0.05)
                self.assertAlmostEqual(requests.level("r"), level)

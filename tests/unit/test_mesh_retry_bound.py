"""The retry budget of a service over 60 nodes, in virtual time.

The load is a leaf service that refuses half of its requests and moves between its nodes, so that
what one node may still use was earned by requests that now arrive at others.
"""

from collections.abc import Callable
from random import Random
from unittest import TestCase

from coltsfoottrack._internal.mesh.model import RetryBounds
from coltsfoottrack._internal.mesh.retry_budget import RetryBudget

NODES = 60
STEP_SECONDS = 0.1
WINDOW_STEPS = 100
STEPS = 900
BOUNDS = RetryBounds(0.2, 100.0, WINDOW_STEPS * STEP_SECONDS)
REQUESTS_PER_STEP = 60
REFUSED = 0.55
# Part of the requests that are calls of retried runs.
CHARGED = 0.02


class Load:
    """First sends and retries of all nodes by step."""

    def __init__(self, weight: Callable[[int, int], float], wanted: Callable[[int], bool]) -> None:
        self.firsts = [0] * STEPS
        self.retries = [0] * STEPS
        self.wanting = 0
        random = Random(7)
        nodes = [RetryBudget(BOUNDS) for _ in range(NODES)]
        for node in nodes:
            node.set_leaf(True)
        for step in range(STEPS):
            now = 100.0 + step * STEP_SECONDS
            weights = [weight(node, step) for node in range(NODES)]
            for node in random.choices(nodes, weights, k=REQUESTS_PER_STEP):
                if random.random() < CHARGED:
                    node.charge(now)
                    self.retries[step] += 1
                    continue
                node.count_first(now, random.randrange(2))
                self.firsts[step] += 1
            if not wanted(step):
                continue
            for node in random.choices(nodes, weights, k=int(REQUESTS_PER_STEP * REFUSED)):
                self.wanting += 1
                self.retries[step] += node.try_take(now, NODES, random.randrange(2))

    def highest_use(self) -> float:
        """Returns the highest fraction of the limit that was used in any window."""
        highest = 0.0
        for end in range(WINDOW_STEPS, STEPS):
            firsts = []
            for earlier in (0, WINDOW_STEPS // 2, WINDOW_STEPS):
                last = end - earlier
                firsts.append(sum(self.firsts[max(0, last - WINDOW_STEPS) : max(0, last)]))
            limit = BOUNDS.ratio * max(firsts) + BOUNDS.slack
            highest = max(highest, sum(self.retries[end - WINDOW_STEPS : end]) / limit)
        return highest


class MovingLoadTest(TestCase):
    """Sum over the nodes in each sliding window."""

    def test_bound_holds_while_load_moves(self):
        """Guards against the same requests that grant retries at several nodes in turn."""
        moves = {
            "even": lambda node, step: 1.0,
            "halves in turn": lambda node, step: (node % 2) == (step // 50) % 2,
            "thirds in turn": lambda node, step: (node % 3) == (step // 100) % 3,
            "one node after another": lambda node, step: node == step // 15,
            "skewed": lambda node, step: 1.0 / (1 + (node + step // 40) % NODES),
        }
        # Retries are wanted all the time, after a calm time, or just before and after each move.
        wants = {
            "always": lambda step: True,
            "after a calm time": lambda step: step % 300 > 150,
            "around moves": lambda step: step % 50 < 10 or step % 50 > 40,
        }
        for move, weight in moves.items():
            for want, wanted in wants.items():
                with self.subTest(move=move, want=want):
                    load = Load(weight, wanted)
                    self.assertLessEqual(load.highest_use(), 1.0)
                    self.assertGreater(sum(load.retries), 0.15 * load.wanting)

    def test_most_of_the_budget_is_usable(self):
        """Guards against refused retries while the service is far from its limit."""
        load = Load(lambda node, step: 1.0, lambda step: True)
        self.assertGreater(load.highest_use(), 0.7)

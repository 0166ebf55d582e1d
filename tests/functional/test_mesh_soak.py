"""A short soak of the mesh with real nodes and a fixed seed."""

from asyncio import run
from unittest import TestCase

from tests.soak.mesh_faults import plan_faults
from tests.soak.mesh_soak import play_seed

SEED = 1
SECONDS = 6.0


class MeshSoakTest(TestCase):
    """Guards against violations that occur only when several faults coincide."""

    def test_no_invariant_is_violated(self):
        verdict = run(play_seed(SEED, SECONDS))
        self.assertEqual(verdict.violations, [])
        self.assertTrue(verdict.passed, verdict)
        self.assertGreater(verdict.statuses.get(200, 0), 100)

    def test_same_seed_gives_same_faults(self):
        self.assertEqual(plan_faults(3, 30.0), plan_faults(3, 30.0))
        self.assertNotEqual(plan_faults(3, 30.0), plan_faults(4, 30.0))

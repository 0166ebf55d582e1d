"""A short soak with real processes and a fixed seed."""

from asyncio import run
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import TestCase

from coltsfoottrack._internal.experiment.shapes import wheel_works
from coltsfoottrack._internal.experiment.soak import plan_faults, soak_in

SEED = 7
SECONDS = 8.0


class SoakTest(TestCase):
    """Guards against violations that occur only when several faults coincide."""

    def test_no_invariant_is_violated(self) -> None:
        shape = wheel_works()
        services = tuple(service._replace(backend_servers=2) for service in shape.services)
        with TemporaryDirectory(prefix="coltsfoottrack-") as directory:
            verdict, results, _ = run(
                soak_in(Path(directory), shape._replace(services=services), SECONDS, SEED)
            )
        self.assertTrue(verdict.passed, verdict)
        self.assertLessEqual(verdict.crashed_by_one_request, 2)
        self.assertTrue(any(result.answer.outcome == "done" for result in results))

    def test_same_seed_gives_same_faults(self) -> None:
        self.assertEqual(plan_faults(SEED, 60.0, 12), plan_faults(SEED, 60.0, 12))
        self.assertNotEqual(plan_faults(SEED, 60.0, 12), plan_faults(SEED + 1, 60.0, 12))

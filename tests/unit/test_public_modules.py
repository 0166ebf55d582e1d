"""Tests of the public modules."""

from importlib import import_module
from unittest import TestCase

import coltsfoottrack.budget as budget
import coltsfoottrack.identifiers as identifiers

PUBLIC = (
    "admission",
    "backend",
    "budget",
    "client",
    "configuration",
    "deadline",
    "events",
    "identifiers",
    "membership",
)


class PublicModulesTest(TestCase):
    """Guards against public names that are lost when private modules are moved."""

    def test_every_public_name_exists_and_is_documented(self) -> None:
        for name in PUBLIC:
            module = import_module(f"coltsfoottrack.{name}")
            for public in module.__all__:
                self.assertTrue(getattr(module, public).__doc__, f"{name}.{public}")

    def test_budgets_and_identifiers_work_without_a_node(self) -> None:
        shares = budget.AttemptBudget(5).split(2)
        self.assertEqual([share.retries for share in shares], [3, 2])
        request_id = identifiers.new_request_id()
        self.assertEqual(identifiers.rank_bucket(request_id), identifiers.rank_bucket(request_id))

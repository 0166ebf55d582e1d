"""Admission of customers of one rank, without a network.

The load is a few customers that suddenly send several times their usual demand, while the entry
must refuse a share of a rank.
"""

from random import Random
from unittest import TestCase

from coltsfoottrack._internal.mesh.fairness import FairAdmission, FairShares, equal_part
from coltsfoottrack._internal.mesh.levels import Admission


def admitted_shares(
    demand: dict[str, float], level: float, seconds: float = 30.0, rank: int = 1
) -> dict[str, float]:
    """Returns the share of each customer's requests that is admitted, and that of all as ``all``.

    ``demand`` is in requests per second.
    """
    admission = FairAdmission()
    random = Random(2)
    names = list(demand)
    weights = list(demand.values())
    sent = dict.fromkeys(names, 0)
    admitted = dict.fromkeys(names, 0)
    now = 1000.0
    while now < 1000.0 + seconds:
        now += random.expovariate(sum(weights))
        name = random.choices(names, weights)[0]
        sent[name] += 1
        admitted[name] += admission.admit("r", rank, level, name, now)
    shares = {name: admitted[name] / max(1, sent[name]) for name in names}
    shares["all"] = sum(admitted.values()) / sum(sent.values())
    return shares


class FairAdmissionTest(TestCase):
    """Shares of admitted requests."""

    def test_customer_with_most_demand_is_refused_first(self):
        """Guards against a surge of one customer that is refused to all of them."""
        demand = {f"c{number}": 5.0 for number in range(9)}
        shares = admitted_shares({**demand, "surge": 60.0}, 1.6)
        self.assertAlmostEqual(shares["all"], 0.6, delta=0.05)
        self.assertAlmostEqual(shares["surge"], (0.6 * 105 - 45) / 60, delta=0.08)
        for name in demand:
            self.assertGreater(shares[name], 0.9)

    def test_entry_with_few_requests(self):
        """Guards against fairness that works only where an entry sees much of each customer."""
        demand = {f"c{number}": 0.1 for number in range(40)}
        shares = admitted_shares({**demand, "surge": 6.0}, 1.6, 300.0)
        small = sum(shares[name] for name in demand) / len(demand)
        self.assertAlmostEqual(shares["all"], 0.6, delta=0.06)
        self.assertGreater(small, 1.5 * shares["surge"])

    def test_equal_customers_get_equal_shares(self):
        shares = admitted_shares({f"c{number}": 8.0 for number in range(6)}, 1.5)
        for share in shares.values():
            self.assertAlmostEqual(share, 0.5, delta=0.12)

    def test_no_customer_is_served_less_than_a_quarter_as_often_as_all(self):
        """Guards against a large customer that gets nearly nothing beside many small ones."""
        demand = {f"c{number}": 1.0 for number in range(72)}
        shares = admitted_shares({**demand, "large": 400.0}, 1.16)
        self.assertAlmostEqual(shares["all"], 0.16, delta=0.02)
        self.assertGreaterEqual(shares["large"], 0.25 * shares["all"] * 0.95)

    def test_total_is_that_of_the_level_for_skewed_demand(self):
        """Guards against more load than the level admits."""
        demand = {f"c{number}": 200.0 / (number + 1) for number in range(73)}
        for level in (1.2, 1.5, 1.8):
            shares = admitted_shares(demand, level, 10.0)
            self.assertAlmostEqual(shares["all"], level - 1.0, delta=0.06)

    def test_without_customers_as_plain_admission(self):
        """Guards against another order of refusals where no customers are configured."""
        plain, fair = Admission(), FairAdmission()
        for number in range(400):
            expected = plain.admit("r", 1, 1.37)
            self.assertEqual(fair.admit("r", 1, 1.37, "", number * 0.01), expected)

    def test_part_covers_the_admitted_total(self):
        self.assertAlmostEqual(equal_part([1.0, 1.0, 10.0], 0.5), 4.0, places=3)
        self.assertEqual(equal_part([], 0.5), 0.0)

    def test_customers_that_fell_silent_are_forgotten(self):
        """Guards against memory that grows with all customers ever seen."""
        shares = FairShares()
        for number in range(1000):
            shares.admit(f"c{number}", 0.5, number * 0.1)
        self.assertLess(len(shares.customers), 100)

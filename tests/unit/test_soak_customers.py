"""Checks of the soak on customers, on requests made up for the purpose.

Guards against a soak that passes because its checks see nothing.
"""

from asyncio import Lock, gather
from types import SimpleNamespace
from unittest import IsolatedAsyncioTestCase, TestCase

from tests.soak.mesh_customers import (
    ROTATING,
    Customers,
    KeyedRequest,
    forwarding_violations,
    key_violations,
    quota_violations,
)
from tests.soak.mesh_faults import Disturbance, FaultPlayer, plan_customer_faults
from tests.standins.backend import StandInBackend
from tests.standins.http import Message
from tests.standins.store import StandInStore


def never(node: str, began: float, ended: float) -> bool:
    """Returns that no node was ever disturbed."""
    return False


def always(node: str, began: float, ended: float) -> bool:
    """Returns that all nodes were disturbed."""
    return True


class CalmPair:
    """A node that was never interrupted."""

    def __init__(self, name: str) -> None:
        self.name = name

    def was_interrupted(self, began: float, ended: float) -> bool:
        return False


class RefusedNodesTest(TestCase):
    """Nodes that only the store refuses learn versions from the others, if it refuses not all."""

    def setUp(self) -> None:
        pairs = [CalmPair("a"), CalmPair("b")]
        self.faults = FaultPlayer(pairs, StandInStore(), [], Customers(1))
        self.faults.refusals = [Disturbance("a", 5.3, 8.7), Disturbance("b", 5.5, 10.0)]

    def test_version_is_late_where_the_store_refuses_all(self) -> None:
        """Soak seed 9003: a version stored while each node was refused was in force late."""
        for began, ended, disturbed in (
            (4.0, 5.4, False),
            (5.0, 5.6, True),
            (6.5, 9.0, True),
            (8.8, 11.3, False),
            (10.1, 12.0, False),
        ):
            with self.subTest(began=began, ended=ended):
                self.assertEqual(self.faults.was_disturbed("a", began, ended), disturbed)

    def test_version_is_not_late_where_the_store_refuses_some(self) -> None:
        """Guards against a check that excuses any refused node."""
        self.faults.refusals.pop()
        self.assertFalse(self.faults.was_disturbed("a", 5.0, 9.0))


class RestartedServerTest(IsolatedAsyncioTestCase):
    """Overlapping faults at one server."""

    # Soak seed 9114: two faults restarted a server at the same time, address already in use.
    async def test_two_faults_may_restart_a_server_at_the_same_time(self) -> None:
        backend = StandInBackend("i-1", "stock")
        await backend.open()
        server = SimpleNamespace(name="a", backend=backend, restarting=Lock())
        faults = FaultPlayer([], StandInStore(), [], Customers(1))
        await gather(faults._restart_server(server), faults._restart_server(server))
        self.assertTrue(backend.server.is_serving())
        self.assertIsNone(server.out_of_service_since)
        backend.close()


class CustomerCheckTest(TestCase):
    """A removed key, requests that arrive with it, and a quota of 6 requests per second."""

    def setUp(self) -> None:
        self.customers = Customers(1)
        self.removed = self.customers.rotating
        self.customers.replace_key(10.0)

    def check(self, key: str, status: int, sent_at: float, disturbed=never) -> int:
        """Returns how many violations a request causes; one with status 200 has run."""
        request = KeyedRequest("q1", key, status, "portal0", sent_at, sent_at + 0.1)
        runs = int(status == 200)
        return len(key_violations(self.customers, [request], lambda _: runs, disturbed))

    def test_keys(self) -> None:
        """A node that runs requests of strangers, keeps removed keys, or denies valid ones."""
        kept = self.customers.credentials("stable").key
        cases = (
            ("", 200, 5.0, never, 1),
            ("", 401, 5.0, never, 0),
            (self.removed, 200, 12.6, never, 1),
            (self.removed, 200, 12.4, never, 0),
            (self.removed, 200, 12.6, always, 0),
            (self.removed, 401, 9.0, never, 1),
            (self.removed, 401, 9.95, never, 0),
            (self.customers.rotating, 401, 12.4, never, 0),
            (self.customers.rotating, 401, 12.6, never, 1),
            (kept, 401, 12.6, always, 1),
        )
        for key, status, sent_at, disturbed, expected in cases:
            with self.subTest(key=key, status=status, sent_at=sent_at):
                self.assertEqual(self.check(key, status, sent_at, disturbed), expected)

    def test_forwarded_headers(self) -> None:
        """A node that passes on a key, or a customer's name that the caller made up."""
        for headers, expected in (
            ({"tenant": ROTATING}, 0),
            ({}, 1),
            ({"tenant": f"intruder, {ROTATING}"}, 1),
            ({"tenant": ROTATING, "authorization": "Bearer x"}, 1),
            ({"tenant": ROTATING, "x": self.removed}, 1),
        ):
            message = Message("GET", "/read/1", {"request-id": "q1", **headers}, b"")
            found = forwarding_violations(
                self.customers, [message], {"q1": self.removed}, "request-id"
            )
            self.assertEqual(len(found), expected, headers)

    def test_quotas(self) -> None:
        """Nodes that together admit more than the bound, also after a quota was lowered."""
        self.customers.set_rate("small", 2.0, 100.0)
        for start, count, expected in (
            (20.0, 59, 0),
            (20.0, 60, 1),
            (107.0, 59, 0),
            (107.6, 34, 1),
        ):
            times = [start + number * 0.01 for number in range(count)]
            found = quota_violations(self.customers, {"small": times}, ["portal0"], never)
            self.assertEqual(len(found), expected, (start, count))

    def test_plan(self) -> None:
        """A seed gives the same faults each time."""
        self.assertEqual(plan_customer_faults(3, 30.0), plan_customer_faults(3, 30.0))

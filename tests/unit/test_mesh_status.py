"""Tests of ``coltsfoottrack mesh status``."""

from asyncio import to_thread
from contextlib import redirect_stdout
from io import StringIO
from json import loads
from unittest import TestCase

from coltsfoottrack._internal.cli.commands.mesh import MeshCommands
from coltsfoottrack._internal.cli.exceptions import EXIT_BAD_INPUT, EXIT_UNREACHABLE, CommandError
from coltsfoottrack._internal.cli.mesh_metrics import (
    NodeMetrics,
    mean_load_age,
    parse_metrics,
    relative_loads,
    route_rates,
)
from tests.standins.mesh import MeshTestCase, encode, free_address


def node_metrics(answers: dict[tuple[str, str], float], problem: str = "") -> NodeMetrics:
    """Returns metrics of a node with these answers."""
    return NodeMetrics("a", {}, answers, problem)


class MeshMetricsTest(TestCase):
    """Guards against wrong rates when a node is restarted or does not answer."""

    def test_rates_are_summed_over_nodes(self):
        before = [node_metrics({("read", "answered"): 10.0}), node_metrics({})]
        after = [
            node_metrics({("read", "answered"): 30.0, ("read", "overload"): 4.0}),
            node_metrics({("read", "answered"): 2.0}),
        ]
        rates = route_rates(before, after, 2.0)
        self.assertEqual(rates, [("read", 11.0, {"overload": 2.0})])

    def test_restarted_node_counts_from_zero_and_unresponsive_node_is_excluded(self):
        before = [node_metrics({("read", "answered"): 1000.0}), node_metrics({}, "timed out")]
        after = [
            node_metrics({("read", "answered"): 6.0}),
            node_metrics({("read", "answered"): 9.0}),
        ]
        self.assertEqual(route_rates(before, after, 2.0), [("read", 3.0, {})])

    def test_load_relative_to_capacity(self):
        """Guards against nodes without a capacity that count as idle, and ages of past choices."""
        values = {"capacity": 50.0, "arrivals": 40.0, "load_age_seconds_sum": 3.0}
        known = NodeMetrics("a", {**values, "load_age_seconds_count": 20.0}, {}, "")
        later = NodeMetrics(
            "a", {"load_age_seconds_sum": 4.0, "load_age_seconds_count": 30.0}, {}, ""
        )
        unknown = NodeMetrics("b", {"capacity": 0.0, "arrivals": 40.0}, {}, "")
        self.assertEqual(relative_loads([known, unknown]), [0.8])
        self.assertAlmostEqual(mean_load_age([known], [later]), 0.1)
        self.assertIsNone(mean_load_age([unknown], [unknown]))

    def test_metrics_of_another_program_are_rejected(self):
        with self.assertRaises(ValueError):
            parse_metrics("a", "# TYPE up gauge\nup 1\n")


class MeshStatusTest(MeshTestCase):
    """Guards against a status command that fails with real nodes or has wrong exit statuses."""

    async def status(self, *addresses: str, **options: str) -> str:
        """Returns the standard output of the command."""
        printed = StringIO()
        with redirect_stdout(printed):
            await to_thread(MeshCommands.status, *addresses, seconds="0.3", **options)
        return printed.getvalue()

    async def test_status_of_real_nodes(self):
        node = await self.start("one")
        self.nodes.remove(node)
        node.close()
        metrics = free_address()
        node = await self.start_node(node.settings._replace(metrics_address=metrics))
        await self.backends[0].report(node.settings.report_address)
        await self.wait_for_members(1)
        await self.send_request(node, encode("/read/1", "q1"))
        text = await self.status(metrics, free_address())
        self.assertIn(metrics, text)
        self.assertIn("read: answered 0.0/s", text)
        self.assertIn("refused", text)
        document = loads(await self.status(metrics, output="json"))
        self.assertEqual(document["nodes"][0]["values"]["requests_total"], 1.0)

    async def test_exit_statuses_for_bad_arguments_and_unresponsive_nodes(self):
        with self.assertRaises(CommandError) as raised:
            await self.status()
        self.assertEqual(raised.exception.exit_status, EXIT_BAD_INPUT)
        with self.assertRaises(CommandError) as raised:
            await self.status(free_address())
        self.assertEqual(raised.exception.exit_status, EXIT_UNREACHABLE)
        with self.assertRaises(CommandError) as raised:
            await to_thread(MeshCommands.status, "127.0.0.1:1", seconds="soon")
        self.assertEqual(raised.exception.exit_status, EXIT_BAD_INPUT)

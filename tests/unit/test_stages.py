"""Stage histograms, exported and parsed again."""

from unittest import TestCase

from aioprometheus import render

from coltsfoottrack._internal.experiment.stage_metrics import StageCounts, parse_stages
from coltsfoottrack._internal.observability.metrics import NodeMetrics
from coltsfoottrack._internal.observability.stages import Stage


class StagesTest(TestCase):
    """Guards against counts in a wrong bucket, and counts lost or repeated by a second scrape."""

    def setUp(self) -> None:
        self.metrics = NodeMetrics()

    def scrape(self) -> str:
        self.metrics.publish()
        return render(self.metrics.registry, [])[0].decode()

    def test_observations_are_counted_in_their_buckets(self) -> None:
        for value in (0.0, 0.00005, 0.00006, 0.0014, 7.0):
            self.metrics.stages.add(Stage.PARSE, value)
        self.scrape()
        counts = parse_stages(self.scrape())[Stage.PARSE]
        self.assertEqual(counts.calls(), 5)
        self.assertAlmostEqual(counts.sum_seconds, 7.00151)
        found = [counts.buckets[bound] for bound in (0.00005, 0.0001, 0.001, 0.0014, 0.1)]
        self.assertEqual(found, [2, 3, 3, 4, 4])
        self.assertEqual(counts.buckets[float("inf")], 5)
        self.assertEqual(counts.percentile_ms(0.5), 0.1)

    def test_difference_of_two_scrapes_has_only_new_observations(self) -> None:
        self.metrics.stages.add(Stage.WRITE, 0.001)
        before = parse_stages(self.scrape())[Stage.WRITE]
        self.metrics.stages.add(Stage.WRITE, 0.002)
        counts = parse_stages(self.scrape())[Stage.WRITE].since(before)
        self.assertEqual((counts.calls(), counts.percentile_ms(0.99)), (1, 2.0))
        self.assertEqual(counts.since(counts), StageCounts(dict.fromkeys(counts.buckets, 0.0), 0.0))

    def test_histogram_without_observations_is_not_exported(self) -> None:
        text = self.scrape()
        self.assertEqual(parse_stages(text), {})
        self.metrics.queue_delay.observe(0.003)
        self.assertIn('coltsfoottrack_queue_delay_seconds_bucket{le="0.005"} 1', self.scrape())

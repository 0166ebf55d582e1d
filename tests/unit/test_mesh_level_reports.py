"""Admission levels that reach an entry by way of watchers.

The pattern is a surge at hundreds of nodes, where an entry hears from few members of a service, and
from these late.
"""

from unittest import TestCase

from coltsfoottrack._internal.mesh.level_reports import LevelCollector
from coltsfoottrack._internal.mesh.levels import OwnLevel, ReportedLevels
from coltsfoottrack._internal.mesh.route_summaries import SUMMARY_RETENTION_SECONDS, RouteSummaries
from coltsfoottrack._internal.schema.links_pb2 import RouteLevel

NOW = 1000.0


def reported(route: str, level: float, *called: str, members: int = 1) -> RouteLevel:
    """Returns a level as it is reported."""
    return RouteLevel(route=route, level=int(level * 1000), members=members, called=called)


class CollectorTest(TestCase):
    """What a watcher passes on."""

    def setUp(self):
        self.collector = LevelCollector()
        self.collector.ranks = 2

    def test_mean_over_the_members_that_report(self):
        for number, level in enumerate((2.0, 1.0, 1.5)):
            self.collector.record(f"n{number}", [reported("read", level, "below")], NOW)
        (summary,) = self.collector.summaries(NOW)
        self.assertEqual((summary.level, summary.members), (1500, 3))
        self.assertEqual(list(summary.called), ["below"])

    def test_nothing_is_sent_while_all_admit_everything(self):
        """Guards against bytes that a calm day does not need."""
        self.collector.record("n1", [reported("read", 2.0)], NOW)
        self.assertEqual(self.collector.summaries(NOW), [])

    def test_members_that_fall_silent_are_dropped(self):
        """Guards against a level that stays low because its member has gone."""
        self.collector.record("n1", [reported("read", 0.5)], NOW)
        self.assertEqual(self.collector.summaries(NOW + 10.0), [])


class SummaryTest(TestCase):
    """What an entry concludes."""

    def setUp(self):
        self.summaries = RouteSummaries()

    def test_lowest_level_on_the_path_counts(self):
        """Guards against requests that are admitted although a service below them is full."""
        self.summaries.record("w1", [reported("read", 2.0, "mid", members=5)], NOW)
        self.summaries.record("w1", [reported("mid", 1.9, "deep", members=5)], NOW)
        self.summaries.record("w1", [reported("deep", 1.2, "read", members=5)], NOW)
        self.assertAlmostEqual(self.summaries.level("read", NOW), 1.2)

    def test_few_members_are_not_taken_for_all(self):
        self.summaries.record("w1", [reported("read", 0.2, members=1)], NOW)
        self.assertIsNone(self.summaries.level("read", NOW))
        self.summaries.record("w2", [reported("read", 0.8, members=3)], NOW)
        self.assertAlmostEqual(self.summaries.level("read", NOW), 0.65)

    def test_old_summaries_give_way_to_the_answers_of_members(self):
        """Guards against shedding for as long as no newer summary arrives."""
        levels = ReportedLevels()
        levels.summaries.record("w1", [reported("read", 0.5, members=9)], NOW)
        self.assertAlmostEqual(levels.level("read", 2, NOW), 0.5)
        self.assertAlmostEqual(levels.level("read", 2, NOW + SUMMARY_RETENTION_SECONDS + 0.1), 2.0)


class QueueDelayTest(TestCase):
    """A queue that grows although arrivals match the slots, as after a burst."""

    def test_level_falls_within_a_second_of_a_queue_of_two_runs(self):
        """Guards against calls that wait until the time of their parent requests is over."""
        level = OwnLevel()
        level.set_ranks(2)
        now = level.updated
        # Five slots, runs of 50 ms, arrivals at nine tenths of the rate, ten calls waiting.
        for _ in range(10):
            now += 0.101
            level.arrived = 9
            level.update(0.05 / 5, 10, now)
        self.assertLess(level.level, 1.7)

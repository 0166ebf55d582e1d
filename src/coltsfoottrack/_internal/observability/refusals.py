"""Tracks episodes of refusals: which calls are being refused, and since when."""

from time import time

from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import RefusalCount

# An episode has ended when there was no refusal for this long.
EPISODE_GAP_MS = 5000


class RefusalTracker:
    """Counts refusals and their episodes by priority and reason, which are small fixed sets."""

    def __init__(self) -> None:
        self.episodes: dict[tuple[str, str], RefusalCount] = {}

    def count(self, priority: str, reason: str) -> None:
        """Counts one refusal."""
        now_ms = int(time() * 1000)
        episode = self.episodes.get((priority, reason))
        if episode is None:
            episode = RefusalCount(priority=priority, reason=reason, since_ms=now_ms)
            self.episodes[(priority, reason)] = episode
        if episode.count and now_ms - episode.last_ms > EPISODE_GAP_MS:
            episode.since_ms = now_ms
        episode.count += 1
        episode.last_ms = now_ms

    def shedding_since_ms(self, reasons: frozenset[str]) -> int:
        """Returns the start of the oldest ongoing episode with one of the reasons.

        The time is the wall clock in ms since the epoch, 0 if there is no such episode.
        """
        now_ms = int(time() * 1000)
        since = 0
        for (_, reason), episode in self.episodes.items():
            if reason not in reasons or now_ms - episode.last_ms > EPISODE_GAP_MS:
                continue
            since = min(since, episode.since_ms) if since else episode.since_ms
        return since

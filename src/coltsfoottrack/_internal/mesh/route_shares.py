"""Splits what a backend server can take of one rank among the routes of that rank.

Routes whose runs are short go first, since the same slot time then serves more requests. Each route
keeps a floor, so that none starves.
"""

from typing import NamedTuple

INTERVAL_SECONDS = 0.1
# Weight of the newest interval in the moving average of slot time.
SLOT_TIME_WEIGHT = 0.1
# Weight of the newest run in the moving average of run times.
RUN_TIME_WEIGHT = 0.05
# Share of each route that is admitted before the rest is split, if there is enough for all.
FLOOR_SHARE = 0.35


class RouteKey(NamedTuple):
    """A route and the rank of its requests, which calls inherit from their parent requests."""

    rank: int
    route: str


class RouteUse:
    """The use of the backend server by the requests of one route and rank."""

    def __init__(self) -> None:
        # Slot time since the last update, in seconds.
        self.busy = 0.0
        # Moving average of slots in use.
        self.slots = 0.0
        # Moving average of run times, in seconds.
        self.run_seconds = 0.0
        # Share that was admitted lately.
        self.share = 1.0

    def offered(self) -> float:
        """Returns the slots that would be in use if all requests were admitted."""
        return self.slots / max(self.share, FLOOR_SHARE)


class RouteShares:
    """The admitted share of each route."""

    def __init__(self) -> None:
        self.uses: dict[RouteKey, RouteUse] = {}
        self.updated = 0.0

    def record_run(self, rank: int, route: str, seconds: float) -> None:
        """Records a run that has ended."""
        key = RouteKey(rank, route)
        use = self.uses.get(key)
        if use is None:
            use = self.uses[key] = RouteUse()
        use.busy += seconds
        if not use.run_seconds:
            use.run_seconds = seconds
        use.run_seconds += RUN_TIME_WEIGHT * (seconds - use.run_seconds)

    def update(self, rank: int, share: float, now: float) -> None:
        """Splits a share of a rank among its routes; all of the others are admitted."""
        elapsed = now - self.updated
        if elapsed < INTERVAL_SECONDS:
            return
        self.updated = now
        of_rank: list[RouteUse] = []
        for key, use in self.uses.items():
            use.slots += SLOT_TIME_WEIGHT * (use.busy / elapsed - use.slots)
            use.busy = 0.0
            if key.rank == rank:
                of_rank.append(use)
            else:
                use.share = 1.0
        _split(of_rank, share)

    def share(self, rank: int, route: str, default: float) -> float:
        """Returns the admitted share of a route, ``default`` if it was not seen lately."""
        use = self.uses.get(RouteKey(rank, route))
        return use.share if use is not None else default


def _split(uses: list[RouteUse], share: float) -> None:
    """Gives each route its floor and the rest to those with the shortest runs."""
    offered = [use.offered() for use in uses]
    total = sum(offered)
    if share >= 1.0 or share <= FLOOR_SHARE or not total:
        for use in uses:
            use.share = min(1.0, share)
        return
    left = (share - FLOOR_SHARE) * total
    ranked = sorted(zip(uses, offered, strict=True), key=lambda item: item[0].run_seconds)
    for use, slots in ranked:
        given = min(left, (1.0 - FLOOR_SHARE) * slots)
        left -= given
        use.share = FLOOR_SHARE + given / slots if slots else share

"""Terms of a shared rate, and the part of its bound that the lender may use."""

from hashlib import blake2b
from typing import NamedTuple

from coltsfoottrack._internal.mesh.model import QuotaBounds

DIGEST_BYTES = 8
# Parts of the permitted excess and of the slack that the lender uses, so that requests within the
# limit are admitted whatever their order of arrival. The rest covers tokens used before a report.
USED_EXCESS = 0.5
USED_SLACK = 0.25
# Below this many seconds of the rate, or this part of the capacity, tokens are scarce.
SCARCE_SECONDS = 0.5
SCARCE_RATIO = 0.5
# Tokens are plentiful again once the level has risen by this part of the capacity.
PLENTIFUL_RATIO = 0.2
# A node that knows others only in part lends nothing, and uses nothing without a lender, for this
# long after its start.
START_SECONDS = 1.0


class RateTerms(NamedTuple):
    """A rate in tokens per second, and a burst in tokens."""

    rate_per_second: float
    burst: float

    def capacity(self, bounds: QuotaBounds) -> float:
        """Returns the size of the lender's bucket, in tokens."""
        burst = max(1.0, self.burst)
        by_burst = burst * (1.0 + USED_EXCESS * bounds.over) + USED_SLACK * bounds.slack
        by_rate = USED_EXCESS * bounds.over * bounds.window_seconds * self.rate_per_second
        return max(by_burst, by_rate)

    def spare(self, bounds: QuotaBounds) -> float:
        """Returns the permitted excess that no bucket uses, in tokens for a window."""
        by_rate = bounds.over * bounds.window_seconds * self.rate_per_second
        return (1.0 - USED_EXCESS) * (bounds.slack + by_rate)

    def earned_per_second(self, bounds: QuotaBounds) -> float:
        """Returns the tokens that the lender's bucket earns, in tokens per second."""
        by_slack = USED_SLACK * bounds.slack / bounds.window_seconds
        return self.rate_per_second * (1.0 + USED_EXCESS * bounds.over) + by_slack

    def scarce_below(self, bounds: QuotaBounds) -> float:
        """Returns the level below which tokens are scarce."""
        by_rate = SCARCE_SECONDS * self.rate_per_second + 1.0
        return min(by_rate, SCARCE_RATIO * self.capacity(bounds))


class TokenWait(NamedTuple):
    """Why there is no token, and when there may be one."""

    # Seconds until a token is likely.
    seconds: float
    # Whether the rate is known to be used up; otherwise no lender has told how much is left.
    is_used_up: bool


def name_digest(name: str) -> int:
    """Returns the number that stands for a name in messages."""
    digest = blake2b(name.encode("utf-8"), digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big")

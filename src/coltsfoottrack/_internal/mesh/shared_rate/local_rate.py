"""What this node may use of one shared rate."""

from random import random
from typing import NamedTuple

from coltsfoottrack._internal.mesh.shared_rate.terms import START_SECONDS, RateTerms, TokenWait

# A grant is valid for this long after the report that it answers was sent.
LEASE_SECONDS = 1.0
# Part of an equal share of the rate that a node uses while it reaches no lender. With it, a third
# of the nodes may be cut off within a permitted excess of 10%.
FALLBACK_RATIO = 0.25
FALLBACK_BURST = 1.0
# After a change of lender, use goes on as before for this long, if tokens were plentiful: the new
# lender cannot lend until it is known to be the only one.
CONTINUE_SECONDS = 1.6
PACE_WEIGHT = 0.3
MIN_PACE_SECONDS = 0.4
# Use at the former pace that is allowed while the lender does not answer.
HELD_BACK_SECONDS = 0.8
# Tokens of continued use are saved for this long.
CONTINUE_BURST_SECONDS = 0.2
# A process that has just started uses nothing for this long; then the other nodes are known.
START_HOLD_SECONDS = 0.3
MIN_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 5.0


class Source(NamedTuple):
    """A node that grants tokens, and its process."""

    node: str
    epoch: int


class LocalRate:
    """Tokens of one name at this node."""

    def __init__(self, terms: RateTerms, digest: int, now: float) -> None:
        self.terms = terms
        self.digest = digest
        # Tokens used since the start of the process.
        self.used = 0
        self.reported_used = 0
        # Requests since the last report, refused ones included.
        self.wanted = 0
        self.wanted_before = 0
        # Use since the last report from which on it is reported at once.
        self.report_at = 0
        # The same while tokens are scarce.
        self.scarce_report_at = 0
        # Up to which count of used tokens this node may go, and until when.
        self.limit = 0
        self.expires = 0.0
        # Who granted it, and whether tokens were scarce there.
        self.source: Source | None = None
        self.scarce = True
        # Whether the lender knows how many tokens are in use.
        self.lender_knows_use = False
        # Tokens used per second.
        self.pace = 0.0
        self.paced_at = now
        self.paced_used = 0
        # Until when use goes on at this pace after a change of lender or a start.
        self.continues_until = 0.0
        self.continued_at = 0.0
        self.continued_level = 0.0
        # Probability of a token at once for continued use.
        self.continue_probability = 0.0
        self.last_grant = 0
        # Tokens for use without a lender.
        self.fallback_rate = 0.0
        self.fallback_level = 0.0
        self.fallback_at = now + START_SECONDS

    def try_take(self, now: float) -> TokenWait | None:
        """Takes a token and returns None, or returns when one is likely."""
        self.wanted += 1
        if now < self.expires:
            if self.used < self.limit:
                self.used += 1
                return None
            if now < self.continues_until and self._try_continue(now):
                return None
            return TokenWait(self._retry_seconds(), is_used_up=self.lender_knows_use)
        if now < self.continues_until and self._try_continue(now):
            return None
        self._refill_fallback(now)
        if self.fallback_level >= 1.0:
            self.fallback_level -= 1.0
            self.used += 1
            return None
        return TokenWait(self._seconds_without_lender(), is_used_up=False)

    def _seconds_without_lender(self) -> float:
        if self.source is None and not self.continues_until:
            return START_HOLD_SECONDS
        return min(MAX_RETRY_SECONDS, max(LEASE_SECONDS, 1.0 / max(0.01, self.fallback_rate)))

    def _try_continue(self, now: float) -> bool:
        """Takes a token at the pace of the use before a change of lender."""
        most = max(1.0, CONTINUE_BURST_SECONDS * self.pace)
        earned = (now - self.continued_at) * self.pace
        self.continued_at = now
        self.continued_level = min(most, self.continued_level + earned)
        if self.continued_level < 1.0:
            return False
        self.continued_level -= 1.0
        self.used += 1
        return True

    def continue_after_start(
        self, pace: float, probability: float, now: float, until: float
    ) -> None:
        """Allows use at a pace, in tokens per second, until lenders of a restarted mesh can lend.

        ``probability`` is that of a token at once.
        """
        if not self.continues_until:
            self.continued_at = now
            self.continued_level = 1.0 if random() < probability else 0.0
        self.pace = pace
        self.continues_until = until

    def _refill_fallback(self, now: float) -> None:
        # A grant and the fallback are not used for the same time.
        since = max(self.fallback_at, self.expires)
        if now <= since:
            return
        self.fallback_at = now
        earned = (now - since) * self.fallback_rate
        self.fallback_level = min(FALLBACK_BURST, self.fallback_level + earned)

    def _retry_seconds(self) -> float:
        ratio = (self.wanted + self.wanted_before) / max(1, self.last_grant)
        return min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, 0.25 * ratio))

    def apply_grant(
        self,
        source: Source,
        limit: int,
        scarce: bool,
        sent_at: float,
        now: float,
        knows_use: bool = True,
    ) -> None:
        """Applies a grant; one of a new lender does not end a larger one that is still valid.

        ``knows_use`` tells whether the lender knows how many tokens are in use.
        """
        expires = sent_at + LEASE_SECONDS
        if expires <= now:
            return
        if source != self.source:
            if not self.scarce and now < self.expires + LEASE_SECONDS:
                self.continues_until = now + CONTINUE_SECONDS
                self.continued_at = now
                # Most of many nodes have less than one request in this time.
                self.continued_level = 1.0 if random() < self.continue_probability else 0.0
                self.scarce = True
            if now < self.expires and limit < self.limit:
                return
        self.source = source
        self.scarce = scarce
        self.lender_knows_use = knows_use
        self.limit = limit
        self.expires = expires
        self.last_grant = max(0, limit - self.used)

    def hold_back(self) -> None:
        """Keeps use to what it was before, while the lender does not answer."""
        most = max(1, int(HELD_BACK_SECONDS * self.pace))
        self.limit = min(self.limit, self.used + most)

    def is_large(self) -> bool:
        """Returns whether use should be reported at once although tokens are scarce."""
        return self.used - self.reported_used >= self.scarce_report_at

    def is_urgent(self) -> bool:
        """Returns whether use or demand should be reported at once."""
        if self.used - self.reported_used >= min(self.report_at, max(1, self.last_grant // 2)):
            return True
        return self.wanted > 0 and self.wanted_before == 0 and self.used >= self.limit

    def note_reported(self, now: float) -> None:
        """Records that use and demand were reported."""
        elapsed = now - self.paced_at
        if elapsed >= MIN_PACE_SECONDS and now >= self.continues_until:
            pace = (self.used - self.paced_used) / elapsed
            self.pace += PACE_WEIGHT * (pace - self.pace)
            self.paced_used = self.used
            self.paced_at = now
        self.reported_used = self.used
        self.wanted_before = self.wanted
        self.wanted = 0

    def set_terms(self, terms: RateTerms) -> None:
        """Applies changed terms; a lower limit ends what was granted by the former one."""
        if terms.rate_per_second < self.terms.rate_per_second or terms.burst < self.terms.burst:
            ratio = terms.rate_per_second / max(self.terms.rate_per_second, 1e-9)
            self.limit = self.used + int(max(0, self.limit - self.used) * min(1.0, ratio))
        self.terms = terms

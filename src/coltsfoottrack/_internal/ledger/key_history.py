"""Compact history of used idempotency keys whose records were dropped: two bits per key."""

BATCH_SIZE = 1024
# 4,096 batches are 4 million keys in about 1.3 MB.
MAX_BATCHES = 4096


class KeyHistory:
    """Records which key numbers of one incarnation were used, and which of these were refused.

    The oldest batches are dropped when there are more than ``max_batches``; ``covers`` then
    returns False for their numbers.
    """

    def __init__(self, max_batches: int = MAX_BATCHES) -> None:
        self.max_batches = max_batches
        self.used: dict[int, int] = {}
        self.refused: dict[int, int] = {}
        self.oldest_batch = 0

    def covers(self, number: int) -> bool:
        """Returns whether the history still covers a key number."""
        return number // BATCH_SIZE >= self.oldest_batch

    def mark_used(self, number: int) -> None:
        """Records that a key was used."""
        batch, bit = divmod(number, BATCH_SIZE)
        self.used[batch] = self.used.get(batch, 0) | 1 << bit
        if len(self.used) > self.max_batches:
            oldest = min(self.used)
            del self.used[oldest]
            self.refused.pop(oldest, None)
            self.oldest_batch = max(self.oldest_batch, oldest + 1)

    def mark_refused(self, number: int) -> None:
        """Records that the request under a used key was refused."""
        batch, bit = divmod(number, BATCH_SIZE)
        self.refused[batch] = self.refused.get(batch, 0) | 1 << bit

    def was_used(self, number: int) -> bool:
        """Returns whether a key that the history covers was used."""
        batch, bit = divmod(number, BATCH_SIZE)
        return bool(self.used.get(batch, 0) >> bit & 1)

    def was_refused(self, number: int) -> bool:
        """Returns whether a key that the history covers was used and refused."""
        batch, bit = divmod(number, BATCH_SIZE)
        return bool(self.refused.get(batch, 0) >> bit & 1)

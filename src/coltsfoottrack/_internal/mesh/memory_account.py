"""Account of the memory that callers and backend servers make a node hold.

Everything that a remote end can make grow is charged here at what it costs the process: requests
and answers while they are received, held and sent, and the receive buffers of sockets. The sum is
bounded. A transfer that finds no room may displace others; see docs/design/client-memory.md.
"""

from collections.abc import Callable, Iterable
from typing import Protocol as Interface

# Memory that the process needs for itself: code, configuration, members and links.
PROCESS_BYTES = 48 * 1024 * 1024
# Part of the remaining memory that is accounted; the rest covers what is not, such as the bytes of
# one read and the fragmentation of the heap.
ACCOUNTED_FRACTION = 0.75
# Part of all memory that is accounted at least, if the process is given little.
MIN_FRACTION = 0.25
# Part of the account that large transfers may use, so that small requests still find room.
LARGE_FRACTION = 0.85

# Limit of an account whose owner is not told how much memory it has.
DEFAULT_LIMIT_BYTES = 128 * 1024 * 1024


def account_limit(memory_bytes: int) -> int:
    """Returns the limit of the account of a process with this much memory."""
    free = (memory_bytes - PROCESS_BYTES) * ACCOUNTED_FRACTION
    return int(max(free, memory_bytes * MIN_FRACTION))


class Holder(Interface):
    """Something that holds accounted memory and can be made to free it."""

    def held_bytes(self) -> int:
        """Returns the accounted bytes that would become free."""

    def give_way(self) -> None:
        """Frees the memory at once; what it was held for fails."""


class MemoryAccount:
    """Accounted memory of one process, in bytes."""

    def __init__(self, limit_bytes: int = DEFAULT_LIMIT_BYTES) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self.peak_bytes = 0
        # Reservations that found no room, and holders that were made to give way.
        self.refused = 0
        self.displaced = 0
        # Incomplete bodies, the oldest first.
        self.uploads: dict[Holder, None] = {}
        # Holders that made little progress lately, the largest last.
        self.slow: list[Holder] = []
        # Frees memory that is held only in case it is needed again.
        self.drop_cached: Callable[[], None] = lambda: None

    def add(self, size: int) -> None:
        """Charges memory that is already held."""
        self.used_bytes += size
        if self.used_bytes > self.peak_bytes:
            self.peak_bytes = self.used_bytes

    def remove(self, size: int) -> None:
        """Credits memory that was freed."""
        self.used_bytes -= size

    def try_add(self, size: int, requester: Holder | None = None) -> bool:
        """Charges memory for a small request or an answer; returns False if there is no room.

        Slow holders other than the requester give way first.
        """
        if self.used_bytes + size > self.limit_bytes and not self._make_room(size, requester):
            self.refused += 1
            return False
        self.add(size)
        return True

    def try_add_answer(self, size: int) -> bool:
        """Charges memory for a part of an answer; uploads give way to it, the newest first."""
        while self.used_bytes + size > self.limit_bytes:
            if self._displace_slow():
                continue
            if not self.uploads:
                self.refused += 1
                return False
            self._displace(next(reversed(self.uploads)))
        self.add(size)
        return True

    def try_add_upload(self, upload: Holder, size: int) -> bool:
        """Charges a part of a large body that is being received; returns False if it gives way.

        Slow holders give way first, then the newest upload, which may be this one.
        """
        self.uploads.setdefault(upload)
        large_limit = self.limit_bytes * LARGE_FRACTION
        while self.used_bytes + size > large_limit:
            if self._displace_slow(upload):
                continue
            newest = next(reversed(self.uploads))
            if newest is upload:
                del self.uploads[upload]
                self.refused += 1
                return False
            self._displace(newest)
        self.add(size)
        return True

    def end_upload(self, upload: Holder) -> None:
        """Notes that a body is complete or was dropped; its charge is credited apart."""
        self.uploads.pop(upload, None)

    def has_room(self, size: int) -> bool:
        """Returns whether a large body of this size could be held; slow holders would give way."""
        return bool(self.slow) or self.used_bytes + size <= self.limit_bytes * LARGE_FRACTION

    def set_slow(self, holders: Iterable[Holder]) -> None:
        """Replaces the holders that make little progress."""
        self.slow = sorted(holders, key=lambda holder: holder.held_bytes())

    def _make_room(self, size: int, requester: Holder | None) -> bool:
        while self.used_bytes + size > self.limit_bytes:
            if not self._displace_slow(requester):
                return False
        return True

    def _displace_slow(self, requester: Holder | None = None) -> bool:
        """Makes the largest slow holder give way; returns False if there is none."""
        before = self.used_bytes
        self.drop_cached()
        if self.used_bytes < before:
            return True
        while self.slow:
            holder = self.slow.pop()
            if holder is requester or not holder.held_bytes():
                continue
            self._displace(holder)
            return True
        return False

    def _displace(self, holder: Holder) -> None:
        self.uploads.pop(holder, None)
        self.displaced += 1
        holder.give_way()

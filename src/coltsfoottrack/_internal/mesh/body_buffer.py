"""Bodies of requests and answers, held once and freed at once.

A small body is a bytes object. A large one lies in pages of its own, which the system gets back
when the last reference to the body goes, whatever the state of the heap.
"""

from collections.abc import Iterator
from mmap import MAP_ANONYMOUS, MAP_PRIVATE, PAGESIZE, mmap
from typing import Protocol as Interface

from coltsfoottrack._internal.mesh.memory_account import MemoryAccount

# Bodies up to this size are bytes objects.
SMALL_BODY_BYTES = 32 * 1024
# Parts of a large body are collected up to this size before they are copied to its pages.
TAIL_BYTES = 4 * 1024
# Size of the pieces in which a large body is sent.
PIECE_BYTES = 128 * 1024


class LargeBody:
    """A complete large body; its memory is credited to the account when it is freed."""

    __slots__ = ("account", "charged_bytes", "memory", "size")

    def __init__(self, memory: mmap, size: int, account: MemoryAccount) -> None:
        self.memory = memory
        self.size = size
        self.account = account
        self.charged_bytes = len(memory)

    def __len__(self) -> int:
        return self.size

    def __del__(self) -> None:
        self.account.remove(self.charged_bytes)

    def pieces(self) -> Iterator[memoryview]:
        """Yields the content in pieces that refer to the memory of the body."""
        view = memoryview(self.memory)
        for start in range(0, self.size, PIECE_BYTES):
            yield view[start : min(start + PIECE_BYTES, self.size)]

    def to_bytes(self) -> bytes:
        """Returns a copy of the content."""
        return self.memory[: self.size]


Body = bytes | LargeBody


def large_body(body: Body) -> LargeBody | None:
    """Returns a body if it is large, None otherwise."""
    return body if type(body) is LargeBody else None


class Reservation(Interface):
    """Charges the memory of one body."""

    def __call__(self, size: int) -> bool:
        """Charges ``size`` further bytes; returns False if there is no room."""


class BodyBuffer:
    """Collects a body. What it allocates is charged before."""

    __slots__ = ("account", "charged_bytes", "expected_bytes", "memory", "reserve", "size", "small")

    def __init__(self, account: MemoryAccount, reserve: Reservation) -> None:
        self.account = account
        self.reserve = reserve
        # Announced length, or the greatest that is possible.
        self.expected_bytes = 0
        # The body while it is small, afterwards the part that was not copied to the pages yet.
        self.small: bytes | bytearray = b""
        self.memory: mmap | None = None
        # Bytes in the pages, and charged bytes.
        self.size = 0
        self.charged_bytes = 0

    def __len__(self) -> int:
        return self.size + len(self.small)

    def append(self, chunk: bytes) -> bool:
        """Adds a part of the body; returns False if there is no room for it."""
        if not self.small:
            self.small = chunk
            if self.memory is None and len(chunk) <= TAIL_BYTES:
                return True
        elif type(self.small) is bytes:
            self.small = bytearray(self.small)
            self.small += chunk
        else:
            self.small += chunk
        size = len(self.small)
        if size <= TAIL_BYTES:
            return True
        if self.memory is None and size <= SMALL_BODY_BYTES:
            return self.charged_bytes > 0 or self._charge(SMALL_BODY_BYTES)
        return self._move_to_pages()

    def _charge(self, size: int) -> bool:
        if not self.reserve(size):
            return False
        self.charged_bytes += size
        return True

    def _move_to_pages(self) -> bool:
        end = self.size + len(self.small)
        if not self._provide(end):
            return False
        self.memory[self.size : end] = self.small
        self.size = end
        self.small = b""
        return True

    def _provide(self, size: int) -> bool:
        """Provides pages for this many bytes, and for more to come."""
        capacity = len(self.memory) if self.memory is not None else 0
        if size <= capacity:
            return True
        wanted = max(size, min(size + size // 2, self.expected_bytes))
        wanted = (wanted + PAGESIZE - 1) // PAGESIZE * PAGESIZE
        if not self._charge(wanted - self.charged_bytes):
            return False
        if self.memory is None:
            self.memory = mmap(-1, wanted, flags=MAP_PRIVATE | MAP_ANONYMOUS)
        else:
            self.memory.resize(wanted)
        return True

    def finish(self) -> Body:
        """Returns the complete body and empties the buffer. Raises MemoryError without room."""
        if self.memory is None:
            body = bytes(self.small)
            self.discard()
            return body
        if self.small and not self._move_to_pages():
            self.discard()
            raise MemoryError("no room for the end of a body")
        body = LargeBody(self.memory, self.size, self.account)
        # The body now holds the charge.
        self.account.remove(self.charged_bytes - body.charged_bytes)
        self.charged_bytes = 0
        self.discard()
        return body

    def discard(self) -> None:
        """Frees the memory and credits its charge."""
        self.small = b""
        self.memory = None
        self.size = 0
        self.account.remove(self.charged_bytes)
        self.charged_bytes = 0

"""Compact form of a batch of finished outcomes."""

from array import array
from bisect import bisect_left
from collections.abc import Iterable
from hashlib import blake2b
from itertools import accumulate
from zlib import compress, decompressobj, error

from google.protobuf.message import DecodeError

from coltsfoottrack._internal.calls.identifiers import IdempotencyKey
from coltsfoottrack._internal.calls.outcome import Answer
from coltsfoottrack._internal.calls.outcome_records import to_record
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import (
    CopiedAnswer,
    CopiedAnswers,
    OutcomeRecord,
)

# A key that was made up hits the digest of another one with a chance of 1 in 2^64.
TAG_BYTES = 8
# Bounds what a damaged batch may expand to.
MAX_ANSWERS_BYTES = 1_000_000
MAX_NUMBER = 2**63


def key_tag(text: str) -> bytes:
    """Returns the digest by which a key's text is recognised, its checksum included."""
    return blake2b(text.encode(), digest_size=TAG_BYTES).digest()


def delta_encode(numbers: list[int]) -> list[int]:
    """Returns each number's distance from the one before, the first one's from 0."""
    steps = []
    before = 0
    for number in sorted(numbers):
        steps.append(number - before)
        before = number
    return steps


class PackedNumbers:
    """Sorted numbers of keys, in 8 bytes each."""

    __slots__ = ("numbers",)

    def __init__(self, steps: Iterable[int]) -> None:
        numbers = (number for number in accumulate(steps) if number < MAX_NUMBER)
        self.numbers = array("Q", numbers)

    def __contains__(self, number: int) -> bool:
        index = bisect_left(self.numbers, number)
        return index < len(self.numbers) and self.numbers[index] == number

    @property
    def size(self) -> int:
        """Memory of the numbers, in bytes."""
        return self.numbers.itemsize * len(self.numbers)


def encode_answer(key: IdempotencyKey, answer: Answer) -> bytes:
    """Returns a whole answer in the form in which a batch lists it."""
    copied = CopiedAnswer(number=key.number, tag=key_tag(key.encode()), record=to_record(answer))
    return CopiedAnswers(answers=[copied]).SerializeToString()


def pack(entries: list[bytes]) -> bytes:
    """Returns encoded answers in compressed form; those of one operation are mostly alike."""
    # Messages of one type that follow each other are read as one message with all their entries.
    return compress(b"".join(entries)) if entries else b""


def find_answer(content: bytes, number: int, text: str) -> OutcomeRecord | None:
    """Returns the answer to a key, None if there is none or the key's text is another one.

    Raises ValueError if the content is damaged.
    """
    try:
        expanded = decompressobj().decompress(content, MAX_ANSWERS_BYTES)
        answers = CopiedAnswers.FromString(expanded).answers
    except (error, DecodeError) as damage:
        raise ValueError("copied answers are damaged") from damage
    for answer in answers:
        if answer.number == number:
            return answer.record if answer.tag == key_tag(text) else None
    return None

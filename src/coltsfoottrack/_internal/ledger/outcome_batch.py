"""Compact encoding of a batch of outcomes."""

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

# A forged key matches the digest of a real one with a probability of 1 in 2^64.
TAG_BYTES = 8
# Limits the decompressed size of a damaged batch.
MAX_ANSWERS_BYTES = 1_000_000
MAX_NUMBER = 2**63


def key_tag(text: str) -> bytes:
    """Returns a digest of a key's text, including its checksum."""
    return blake2b(text.encode(), digest_size=TAG_BYTES).digest()


def delta_encode(numbers: list[int]) -> list[int]:
    """Returns the sorted numbers as differences, each from its predecessor, the first from 0."""
    steps = []
    before = 0
    for number in sorted(numbers):
        steps.append(number - before)
        before = number
    return steps


class PackedNumbers:
    """Sorted key numbers, 8 bytes each."""

    __slots__ = ("numbers",)

    def __init__(self, steps: Iterable[int]) -> None:
        numbers = (number for number in accumulate(steps) if number < MAX_NUMBER)
        self.numbers = array("Q", numbers)

    def __contains__(self, number: int) -> bool:
        index = bisect_left(self.numbers, number)
        return index < len(self.numbers) and self.numbers[index] == number

    @property
    def size(self) -> int:
        """Size of the numbers in bytes."""
        return self.numbers.itemsize * len(self.numbers)


def encode_answer(key: IdempotencyKey, answer: Answer) -> bytes:
    """Returns a complete answer encoded as one entry of a batch."""
    copied = CopiedAnswer(number=key.number, tag=key_tag(key.encode()), record=to_record(answer))
    return CopiedAnswers(answers=[copied]).SerializeToString()


def pack(entries: list[bytes]) -> bytes:
    """Returns encoded answers compressed together; answers of one operation are mostly alike."""
    # Protobuf merges concatenated messages of one type into one with all their entries.
    return compress(b"".join(entries)) if entries else b""


def find_answer(content: bytes, number: int, text: str) -> OutcomeRecord | None:
    """Returns the answer for a key, or None if there is none or the key's text does not match.

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

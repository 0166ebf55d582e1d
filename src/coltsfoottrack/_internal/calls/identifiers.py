"""Request identifiers, call identifiers and idempotency keys."""

from base64 import urlsafe_b64decode, urlsafe_b64encode
from binascii import Error as Base64Error
from functools import lru_cache
from hashlib import blake2b
from hmac import compare_digest
from re import compile as compile_pattern
from secrets import token_hex
from typing import NamedTuple, Self

from coltsfoottrack._internal.calls.exceptions import BadRequestError, InvalidKeyError

MAX_IDENTIFIER_LENGTH = 128
MAX_KEY_LENGTH = 400
RANK_BUCKETS = 128
CHECKSUM_BYTES = 12
IDENTIFIER_BYTES = 12
IDENTIFIER_BATCH = 64
# Requests whose bucket is cached, as it is computed up to four times during one call.
BUCKET_CACHE_ENTRIES = 1024

_IDENTIFIER_PATTERN = compile_pattern(r"[A-Za-z0-9._:/-]{1,128}")


class RandomIdentifiers:
    """Generates random identifiers in batches, since a call needs three and each would cost a
    system call.
    """

    def __init__(self) -> None:
        self.batch: list[str] = []

    def take(self) -> str:
        """Returns a new identifier."""
        while True:
            try:
                return self.batch.pop()
            except IndexError:
                drawn = token_hex(IDENTIFIER_BYTES * IDENTIFIER_BATCH)
                width = 2 * IDENTIFIER_BYTES
                self.batch.extend(drawn[at : at + width] for at in range(0, len(drawn), width))


_identifiers = RandomIdentifiers()


def new_request_id() -> str:
    """Returns an identifier for a whole request, unique across all callers."""
    return _identifiers.take()


def new_call_id() -> str:
    """Returns an identifier for one copy of a call on one hop."""
    return _identifiers.take()


def is_identifier(value: str) -> bool:
    """Returns whether a value has the form of an identifier."""
    return _IDENTIFIER_PATTERN.fullmatch(value) is not None


def check_identifier(value: str, header: str) -> str:
    """Returns an identifier from a request unchanged.

    Raises BadRequestError if it is empty, longer than 128 characters, or contains characters
    other than letters, digits and ``. _ : / -``.
    """
    if not is_identifier(value):
        raise BadRequestError(
            f"{header} must be 1 to {MAX_IDENTIFIER_LENGTH} letters, digits or . _ : / -"
        )
    return value


@lru_cache(maxsize=BUCKET_CACHE_ENTRIES)
def rank_bucket(request_id: str) -> int:
    """Returns the bucket of a request, 0 to 127, the same at every layer."""
    return blake2b(request_id.encode(), digest_size=1).digest()[0] % RANK_BUCKETS


class IdempotencyKey(NamedTuple):
    """A key for one run of a non-idempotent request, bound to the node that issued it.

    Only the home's incarnation decides about the key, so a key always has a single owner without
    consensus between nodes.
    """

    service: str
    home: str
    home_call_address: str
    home_peer_address: str
    incarnation: int
    backup_peer_address: str
    number: int
    expires_at_ms: int
    checksum: str = ""

    @classmethod
    def parse(cls, text: str) -> Self:
        """Returns the key that a header value encodes.

        Raises InvalidKeyError if the text is malformed. The checksum is not verified here, since
        only the home has the secret.
        """
        if len(text) > MAX_KEY_LENGTH:
            raise InvalidKeyError(f"idempotency key is longer than {MAX_KEY_LENGTH} characters")
        try:
            fields = urlsafe_b64decode(text.encode("ascii")).decode("utf-8").split("|")
        except (Base64Error, UnicodeError, ValueError) as error:
            raise InvalidKeyError("idempotency key is malformed") from error
        if len(fields) != len(cls._fields):
            raise InvalidKeyError("idempotency key is malformed")
        try:
            key = cls(
                service=fields[0],
                home=fields[1],
                home_call_address=fields[2],
                home_peer_address=fields[3],
                incarnation=int(fields[4]),
                backup_peer_address=fields[5],
                number=int(fields[6]),
                expires_at_ms=int(fields[7]),
                checksum=fields[8],
            )
        except ValueError as error:
            raise InvalidKeyError("idempotency key is malformed") from error
        # Two encodings of one key would get two records at its home.
        if key.encode() != text:
            raise InvalidKeyError("idempotency key is not in its canonical form")
        return key

    def encode(self) -> str:
        """Returns the key encoded as a header value."""
        return urlsafe_b64encode("|".join(map(str, self)).encode()).decode("ascii")

    def sign(self, secret: bytes) -> Self:
        """Returns the key with its checksum set."""
        return self._replace(checksum=self.compute_checksum(secret))

    def is_signed_by(self, secret: bytes) -> bool:
        """Returns whether the checksum was computed with the given secret."""
        return compare_digest(self.checksum, self.compute_checksum(secret))

    def compute_checksum(self, secret: bytes) -> str:
        """Returns the checksum over all other fields, in hexadecimal."""
        content = "|".join(map(str, self[:-1])).encode()
        return blake2b(content, digest_size=CHECKSUM_BYTES, key=secret).hexdigest()

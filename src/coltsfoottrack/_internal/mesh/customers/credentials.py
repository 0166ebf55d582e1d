"""Reads the key of a customer from a header value, ``Bearer KEY``."""

SCHEME = b"bearer"
# Longer values are not searched for a key. Hashing a key takes time in proportion to its length.
MAX_AUTHORIZATION_BYTES = 4096
OPTIONAL_SPACE = b" \t"


def read_key(authorization: bytes | None) -> bytes:
    """Returns the key in a header value, empty if the value is missing or has another form."""
    if not authorization or len(authorization) > MAX_AUTHORIZATION_BYTES:
        return b""
    scheme, _, key = authorization.strip(OPTIONAL_SPACE).partition(b" ")
    return key.lstrip(b" ") if scheme.lower() == SCHEME else b""

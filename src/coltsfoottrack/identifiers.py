"""Request identifiers and idempotency keys."""

from coltsfoottrack._internal.calls.exceptions import InvalidKeyError
from coltsfoottrack._internal.calls.identifiers import (
    IdempotencyKey,
    new_call_id,
    new_request_id,
    rank_bucket,
)

__all__ = ["IdempotencyKey", "InvalidKeyError", "new_call_id", "new_request_id", "rank_bucket"]

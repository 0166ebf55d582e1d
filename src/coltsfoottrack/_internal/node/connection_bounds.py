"""Limits on the connections and requests of a node's ports."""

from typing import NamedTuple, Self

from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import NodeLimits
from coltsfoottrack._internal.settings.rules import milliseconds_to_seconds, number_or_default


class ConnectionBounds(NamedTuple):
    """Limits on the connections and requests of one port."""

    max_connections: int
    max_header_bytes: int
    max_header_count: int
    max_body_bytes: int
    max_held_body_bytes: int
    first_byte_seconds: float
    body_seconds: float

    @classmethod
    def from_config(cls, limits: NodeLimits) -> Self:
        """Returns the limits from the settings, with the defaults of the schema."""
        return cls(
            max_connections=int(number_or_default(limits, "max_connections")),
            max_header_bytes=int(number_or_default(limits, "max_header_bytes")),
            max_header_count=int(number_or_default(limits, "max_header_count")),
            max_body_bytes=int(number_or_default(limits, "max_body_bytes")),
            max_held_body_bytes=int(number_or_default(limits, "max_held_body_bytes")),
            first_byte_seconds=milliseconds_to_seconds(limits, "first_byte_timeout_ms"),
            body_seconds=milliseconds_to_seconds(limits, "body_timeout_ms"),
        )

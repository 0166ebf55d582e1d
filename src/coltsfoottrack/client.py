"""The client that a backend server embeds to call other services."""

from coltsfoottrack._internal.calls.context import CallContext
from coltsfoottrack._internal.calls.outcome import Answer, Outcome, Reason
from coltsfoottrack._internal.routing.client import CallClient, OutgoingCall, path_headers

__all__ = [
    "Answer",
    "CallClient",
    "CallContext",
    "Outcome",
    "OutgoingCall",
    "Reason",
    "path_headers",
]

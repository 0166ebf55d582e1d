"""Errors of the node daemon."""

from coltsfoottrack._internal.calls.exceptions import BadRequestError


class NodeError(Exception):
    """Base of the errors of the node daemon."""


class ListenError(NodeError):
    """A port of the settings cannot be opened."""


class HeadersTooLargeError(BadRequestError):
    """The header fields of a request are larger than the settings accept."""


class WrongClusterError(BadRequestError):
    """A request is for another cluster or speaks another protocol version."""

"""Errors of the node daemon."""

from coltsfoottrack._internal.calls.exceptions import BadRequestError


class NodeError(Exception):
    """Base of the errors of the node daemon."""


class ListenError(NodeError):
    """A port of the settings cannot be opened."""


class WrongClusterError(BadRequestError):
    """A request is for another cluster or speaks another protocol version."""

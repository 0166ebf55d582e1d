"""Errors of the node daemon."""


class NodeError(Exception):
    """Base of the errors of the node daemon."""


class ListenError(NodeError):
    """A port of the settings cannot be opened."""

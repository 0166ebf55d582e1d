"""Errors of the routing layer."""


class RoutingError(Exception):
    """Base of the errors of the routing layer."""


class NotSentError(RoutingError):
    """No byte of a call was sent, so this copy of it was certainly not run."""


class ConnectTimeoutError(NotSentError):
    """No connection came about in time; the other end may be busy rather than gone."""


class ConnectionLostError(RoutingError):
    """The connection broke after bytes of a call were sent; it may have been run."""


class MismatchedResponseError(ConnectionLostError):
    """A response names another call than the one that was sent; it was thrown away."""

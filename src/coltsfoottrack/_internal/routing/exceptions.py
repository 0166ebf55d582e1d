"""Errors of the routing layer."""


class RoutingError(Exception):
    """Base class of the errors of the routing layer."""


class NotSentError(RoutingError):
    """No byte of a call was sent, so this copy was certainly not run."""


class ConnectTimeoutError(NotSentError):
    """Connecting timed out; the peer may be overloaded rather than unavailable."""


class ConnectionLostError(RoutingError):
    """The connection failed after bytes of a call were sent, so the call may have run."""


class MismatchedResponseError(ConnectionLostError):
    """The response carries the identifier of another call and was discarded."""

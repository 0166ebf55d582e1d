"""Errors of the call layer."""


class CallError(Exception):
    """Base class for errors of the call layer."""


class BadRequestError(CallError):
    """A request has a malformed header or path and was not run."""


class UnauthenticatedPeerError(CallError):
    """A message claims to come from a peer but has no valid signature of the cluster."""


class SecretFileError(CallError):
    """The cluster secret file is missing, unreadable or invalid."""


class InvalidKeyError(CallError):
    """An idempotency key is malformed or was not issued by the node that it names."""

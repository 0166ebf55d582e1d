"""Errors of the call layer."""


class CallError(Exception):
    """Base of the errors of the call layer."""


class BadRequestError(CallError):
    """A header or path of a request cannot be used; the request was not run."""


class UnauthenticatedPeerError(CallError):
    """A message poses as one of a peer and does not prove that it comes from the cluster."""


class SecretFileError(CallError):
    """The file of the cluster secret cannot be used."""


class InvalidKeyError(CallError):
    """An idempotency key is malformed or was not issued by the node that it names."""

"""Errors of the call layer."""


class CallError(Exception):
    """Base of the errors of the call layer."""


class BadRequestError(CallError):
    """A header or path of a request cannot be used; the request was not run."""


class InvalidKeyError(CallError):
    """An idempotency key is malformed or was not issued by the node that it names."""

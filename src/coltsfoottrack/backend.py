"""Session that a backend server embeds to communicate with the node beside it."""

from coltsfoottrack._internal.calls.exceptions import BadRequestError, SecretFileError
from coltsfoottrack._internal.embedding.backend_session import BackendPlace, BackendSession

__all__ = ["BackendPlace", "BackendSession", "BadRequestError", "SecretFileError"]

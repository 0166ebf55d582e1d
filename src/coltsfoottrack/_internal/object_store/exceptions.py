"""Errors of the platform client."""


class PlatformError(Exception):
    """Base of the errors of the platform client."""


class PlatformUnavailableError(PlatformError):
    """The platform did not respond in time, or reported that it is unavailable or rate-limited."""


class WriteUncertainError(PlatformError):
    """A write was sent and its result is not known; it may have taken effect."""


class VersionConflictError(PlatformError):
    """The object's version is not the one that the conditional write expected."""


class ObjectNotFoundError(PlatformError):
    """The object does not exist."""

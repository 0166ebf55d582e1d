"""Errors of the platform client."""


class PlatformError(Exception):
    """Base of the errors of the platform client."""


class PlatformUnavailableError(PlatformError):
    """The platform did not answer in time, or said that it is down or over its rate."""


class WriteUncertainError(PlatformError):
    """A write was sent and its answer was lost; it may have taken effect."""


class VersionConflictError(PlatformError):
    """The object's version is not the one that the conditional update named."""


class ObjectNotFoundError(PlatformError):
    """There is no such object."""

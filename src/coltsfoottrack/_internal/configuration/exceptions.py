"""Errors of the configuration layer."""

from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import ConfigurationRecord


class ConfigurationError(Exception):
    """Base of the errors of the configuration layer."""


class InvalidConfigurationError(ConfigurationError):
    """A configuration is invalid; it was not stored and is not in force."""


class ConfigurationConflictError(ConfigurationError):
    """The configuration was changed since it was read; this change had no effect.

    ``found`` is the conflicting record.
    """

    def __init__(self, found: ConfigurationRecord) -> None:
        super().__init__(
            f"generation {found.generation} was stored by {found.author or 'unknown'} in the "
            f"meantime (change {found.change_id})"
        )
        self.found = found


class UnreadableConfigurationError(ConfigurationError):
    """A stored configuration record cannot be decoded.

    ``version`` is the version of the platform's object, or 0 for a record from another source.
    """

    version = 0


class ChangeUncertainError(ConfigurationError):
    """A change was sent to the platform, and it is not known whether it took effect.

    ``change_id`` identifies the change; the history contains it if it took effect.
    """

    def __init__(self, change_id: str) -> None:
        super().__init__(f"it is not known whether change {change_id} took effect")
        self.change_id = change_id


class StoreUnavailableError(ConfigurationError):
    """The platform cannot be reached; nothing was changed."""


class PeerUnavailableError(ConfigurationError):
    """A node did not respond to a fetch or push of the configuration, or returned an error."""

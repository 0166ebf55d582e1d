"""Errors of the configuration layer."""

from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import ConfigurationRecord


class ConfigurationError(Exception):
    """Base of the errors of the configuration layer."""


class InvalidConfigurationError(ConfigurationError):
    """A configuration breaks a rule; it was not stored and is not in force."""


class ConfigurationConflictError(ConfigurationError):
    """Another operator has changed the configuration since it was read; nothing was altered.

    ``found`` is the record that is stored now.
    """

    def __init__(self, found: ConfigurationRecord) -> None:
        super().__init__(
            f"generation {found.generation} was stored by {found.author or 'unknown'} in the "
            f"meantime (change {found.change_id})"
        )
        self.found = found


class UnreadableConfigurationError(ConfigurationError):
    """A stored configuration record cannot be decoded.

    ``version`` is the version of the platform's object, 0 if the record came from elsewhere.
    """

    version = 0


class ChangeUncertainError(ConfigurationError):
    """A change was sent to the platform, and whether it took effect could not be found out.

    ``change_id`` names the change; it shows in the history if it took effect.
    """

    def __init__(self, change_id: str) -> None:
        super().__init__(f"the platform did not tell whether change {change_id} took effect")
        self.change_id = change_id


class StoreUnavailableError(ConfigurationError):
    """The platform cannot be reached; nothing was changed."""


class PeerUnavailableError(ConfigurationError):
    """A node did not answer a request for its configuration, or refused a push."""

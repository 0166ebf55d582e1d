"""Errors of the configuration layer."""


class ConfigurationError(Exception):
    """Base of the errors of the configuration layer."""


class InvalidConfigurationError(ConfigurationError):
    """A configuration breaks a rule; it was not stored and is not in force."""


class ConfigurationConflictError(ConfigurationError):
    """Another operator has changed the configuration since it was read."""


class UnreadableConfigurationError(ConfigurationError):
    """A stored configuration record cannot be decoded."""

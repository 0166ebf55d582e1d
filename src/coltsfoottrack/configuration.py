"""The fleet configuration: the store that operators change, and the policies in force."""

from coltsfoottrack._internal.configuration.exceptions import (
    ConfigurationConflictError,
    ConfigurationError,
    InvalidConfigurationError,
)
from coltsfoottrack._internal.configuration.holder import ConfigurationHolder
from coltsfoottrack._internal.configuration.policy import PolicyTable
from coltsfoottrack._internal.configuration.store import ConfigurationStore
from coltsfoottrack._internal.configuration.validation import validate

__all__ = [
    "ConfigurationConflictError",
    "ConfigurationError",
    "ConfigurationHolder",
    "ConfigurationStore",
    "InvalidConfigurationError",
    "PolicyTable",
    "validate",
]

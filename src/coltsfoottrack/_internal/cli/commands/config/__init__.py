"""``coltsfoottrack config``: reads and changes the fleet configuration."""

from coltsfoottrack._internal.cli.commands.config.check import check_routes_file
from coltsfoottrack._internal.cli.commands.config.diff import diff_configuration
from coltsfoottrack._internal.cli.commands.config.get import get_configuration
from coltsfoottrack._internal.cli.commands.config.history import configuration_history
from coltsfoottrack._internal.cli.commands.config.set import set_configuration
from coltsfoottrack._internal.cli.commands.config.status import configuration_status


class ConfigCommands:
    """Reads and changes the fleet configuration: defaults, and exceptions with a reason."""

    check = staticmethod(check_routes_file)
    get = staticmethod(get_configuration)
    set = staticmethod(set_configuration)
    diff = staticmethod(diff_configuration)
    history = staticmethod(configuration_history)
    status = staticmethod(configuration_status)

"""``coltsfoottrack logs``: evaluates the decision logs of a mesh."""

from coltsfoottrack._internal.cli.commands.logs.explain import explain_logged_request
from coltsfoottrack._internal.cli.commands.logs.summary import summarize_logs
from coltsfoottrack._internal.cli.commands.logs.timeline import logs_timeline


class LogsCommands:
    """Explains requests, summarizes failures and lists events from the nodes' standard output."""

    explain = staticmethod(explain_logged_request)
    summary = staticmethod(summarize_logs)
    timeline = staticmethod(logs_timeline)

"""``coltsfoottrack logs``: answers from the decision logs of a mesh."""

from coltsfoottrack._internal.cli.commands.logs.explain import explain_request_of_logs
from coltsfoottrack._internal.cli.commands.logs.summary import summary_of_logs
from coltsfoottrack._internal.cli.commands.logs.timeline import timeline_of_logs


class LogsCommands:
    """Answers from the nodes' standard output: one request, what is slow, what happened when."""

    explain = staticmethod(explain_request_of_logs)
    summary = staticmethod(summary_of_logs)
    timeline = staticmethod(timeline_of_logs)

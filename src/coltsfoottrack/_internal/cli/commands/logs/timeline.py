"""``coltsfoottrack logs timeline``: shows the log lines of all nodes in time order."""

from fire.decorators import SetParseFn

from coltsfoottrack._internal.cli.log_files import (
    line_document,
    line_text,
    missing_notes,
    read_files,
)
from coltsfoottrack._internal.cli.output import check_output, emit


@SetParseFn(str)
def logs_timeline(
    *files: str,
    event: str = "",
    node: str = "",
    requests: str = "no",
    since: str = "",
    until: str = "",
    output: str = "text",
) -> None:
    """Shows state changes and decisions of all nodes, ordered by their wall clock times.

    Args:
        files: Files with the standard output of nodes, - for standard input.
        event: Only lines of this event.
        node: Only lines of this node.
        requests: yes to show lines about single requests as well.
        since: Only lines from this time on: an age such as 10m, or an RFC 3339 time.
        until: Only lines up to this time: an age such as 10m, or an RFC 3339 time.
        output: text or json.
    """
    check_output(output)
    found = read_files(files, since, until)
    shown = []
    for line in found.lines:
        if event and line.event != event:
            continue
        if node and line.node != node:
            continue
        if line.request_id and requests != "yes" and not event:
            continue
        shown.append(line)
    document = {"lines": [line_document(line) for line in shown], "left_out": found.left_out}
    texts = [line_text(line) for line in shown]
    emit(output, document, (texts or ["no line matches"]) + missing_notes(found))

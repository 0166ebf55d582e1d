"""``coltsfoottrack logs summary``: counts unserved requests by route, node and reason."""

from fire.decorators import SetParseFn

from coltsfoottrack._internal.cli.log_files import line_time, missing_notes, read_files
from coltsfoottrack._internal.cli.output import check_output, emit, table
from coltsfoottrack._internal.decision_log.reasons import describe
from coltsfoottrack._internal.decision_log.summary import LogSummary, summarize


@SetParseFn(str)
def summarize_logs(*files: str, since: str = "", until: str = "", output: str = "text") -> None:
    """Summarizes unserved requests by route and reason, and nodes with problems.

    Args:
        files: Files with the standard output of nodes, - for standard input.
        since: Only lines from this time on: an age such as 10m, or an RFC 3339 time.
        until: Only lines up to this time: an age such as 10m, or an RFC 3339 time.
        output: text or json.
    """
    check_output(output)
    found = read_files(files, since, until)
    summary = summarize(found.lines)
    document = {
        "unserved": [group._asdict() for group in summary.unserved],
        "periods": [period._asdict() for period in summary.periods],
        "unreachable": dict(summary.unreachable),
        "versions": summary.versions,
        "left_out": found.left_out,
    }
    emit(output, document, _lines(summary) + missing_notes(found))


def _lines(summary: LogSummary) -> list[str]:
    lines = []
    if summary.unserved:
        rows = []
        for group in summary.unserved:
            rows.append((group.count, group.route or "-", group.node, describe(group.reason)))
        lines.extend(table(("unserved", "route", "mostly at", "why"), rows))
    for period in summary.periods:
        end = line_time(period.ended) if period.ended is not None else "now"
        lines.append(f"{period.node}: {period.state} from {line_time(period.began)} to {end}")
    for peer, count in summary.unreachable:
        lines.append(f"{peer}: could not be reached, {count} times")
    if summary.versions:
        versions = ", ".join(f"{node} {version}" for node, version in summary.versions.items())
        lines.append(f"configuration versions differ: {versions}")
    return lines or ["nothing was refused or failed, and no node reports trouble"]

"""Reads decision logs from files and formats their lines."""

import sys
from collections.abc import Iterator, Sequence
from pathlib import Path

from coltsfoottrack._internal.cli.exceptions import EXIT_BAD_INPUT, CommandError
from coltsfoottrack._internal.cli.output import format_time, parse_time
from coltsfoottrack._internal.decision_log.lines import DecisionLines, LogLine, read_lines

STANDARD_INPUT = "-"


def read_files(files: Sequence[str], since: str = "", until: str = "") -> DecisionLines:
    """Returns the lines of all files between two times.

    Raises CommandError if a file cannot be read, a time is malformed or no line is a log line.
    """
    if not files:
        raise CommandError(
            "name the files with the nodes' standard output, or - to read it from standard input",
            EXIT_BAD_INPUT,
        )
    from_ms = parse_time(since, "--since")
    until_ms = parse_time(until, "--until")
    found = read_lines(_read_text_lines(files))
    if not found.lines:
        raise CommandError(f"no line of a decision log in {', '.join(files)}", EXIT_BAD_INPUT)
    if not from_ms and not until_ms:
        return found
    lines = []
    for line in found.lines:
        line_ms = line.at * 1000.0
        if line_ms < from_ms or (until_ms and line_ms > until_ms):
            continue
        lines.append(line)
    return found._replace(lines=lines)


def _read_text_lines(files: Sequence[str]) -> Iterator[str]:
    for name in files:
        if name == STANDARD_INPUT:
            yield from sys.stdin
            continue
        try:
            with Path(name).open(encoding="utf-8", errors="replace") as stream:
                yield from stream
        except OSError as error:
            raise CommandError(f"{name}: {error.strerror}", EXIT_BAD_INPUT) from error


def line_text(line: LogLine) -> str:
    """Returns the text form of a line: time, node, event and fields."""
    fields = " ".join(f"{name}={value}" for name, value in line.fields.items())
    return f"{line_time(line.at)} {line.node} {line.event} {fields}".rstrip()


def line_document(line: LogLine) -> dict[str, object]:
    """Returns the JSON form of a line."""
    return {"timestamp": line.at, "node": line.node, "event": line.event, **line.fields}


def line_time(at: float) -> str:
    """Returns the text form of a wall clock time in seconds."""
    return format_time(int(at * 1000.0))


def missing_notes(found: DecisionLines) -> list[str]:
    """Returns notes on lines that the nodes omitted and on lines that could not be parsed."""
    lines = []
    if found.left_out:
        lines.append(f"note: the nodes left out {found.left_out} lines about single requests")
    if found.unreadable:
        lines.append(f"note: {found.unreadable} lines are not of a decision log")
    return lines

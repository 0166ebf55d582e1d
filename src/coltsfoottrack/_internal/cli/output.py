"""Text and JSON output of the commands."""

from collections.abc import Iterable, Mapping, Sequence
from datetime import UTC, datetime, timedelta
from json import dumps
from re import compile as compile_pattern
from time import time

from coltsfoottrack._internal.cli.exceptions import EXIT_BAD_INPUT, CommandError

OUTPUTS = ("text", "json")
UNIT_SECONDS = {"s": 1, "m": 60, "h": 3600, "d": 86400}
_DURATION = compile_pattern(r"(\d{1,6})([smhd])")


def check_output(output: str) -> str:
    """Returns the output format. Raises CommandError if it is unknown."""
    if output not in OUTPUTS:
        raise CommandError(
            f"--output {output!r} is unknown; accepted: {', '.join(OUTPUTS)}", EXIT_BAD_INPUT
        )
    return output


def emit(output: str, document: Mapping[str, object], lines: Iterable[str]) -> None:
    """Prints a result as text or JSON."""
    if output == "json":
        print(dumps(document, indent=2, sort_keys=True))
        return
    for line in lines:
        print(line)


def table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> list[str]:
    """Returns the lines of a table with aligned columns."""
    texts = [[str(cell) for cell in row] for row in [header, *rows]]
    widths = [max(len(row[index]) for row in texts) for index in range(len(header))]
    lines = []
    for row in texts:
        cells = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
        lines.append("  ".join(cells).rstrip())
    return lines


def format_time(wall_ms: int) -> str:
    """Returns the text form of a wall clock time, in UTC with milliseconds; a dash for 0."""
    if not wall_ms:
        return "-"
    try:
        wall_time = datetime.fromtimestamp(wall_ms / 1000.0, UTC)
    except (OverflowError, ValueError, OSError):
        return str(wall_ms)
    return f"{wall_time:%Y-%m-%dT%H:%M:%S}.{wall_ms % 1000:03d}Z"


def format_since(wall_ms: int) -> str:
    """Returns the text form of a wall clock time with its age in seconds; a dash for 0."""
    if not wall_ms:
        return "-"
    age = max(0.0, time() - wall_ms / 1000.0)
    return f"{format_time(wall_ms)} ({age:.0f} s ago)"


def parse_time(text: str, flag: str) -> int:
    """Parses an age such as ``10m`` or an RFC 3339 time; returns ms since the epoch.

    Returns 0 for an empty text. Raises CommandError if the text is neither.
    """
    if not text:
        return 0
    match = _DURATION.fullmatch(text)
    try:
        if match is not None:
            ago = timedelta(seconds=int(match.group(1)) * UNIT_SECONDS[match.group(2)])
            return int((datetime.now(UTC) - ago).timestamp() * 1000)
        parsed_time = datetime.fromisoformat(text)
        if parsed_time.tzinfo is None:
            parsed_time = parsed_time.replace(tzinfo=UTC)
        return max(0, int(parsed_time.timestamp() * 1000))
    except (ValueError, OverflowError) as error:
        raise CommandError(
            f"{flag} {text!r} cannot be read; accepted: an age such as 30s, 10m or 2h, or a time "
            "such as 2026-12-31T18:00:00Z",
            EXIT_BAD_INPUT,
        ) from error

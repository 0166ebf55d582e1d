"""Lines of decision logs, as the nodes write them to standard output."""

from collections.abc import Iterable
from operator import attrgetter
from typing import Any, NamedTuple

from orjson import JSONDecodeError, loads

# Fields that each line has; the others depend on the event.
COMMON_FIELDS = ("timestamp", "node", "event")


class LogLine(NamedTuple):
    """One decision of a node."""

    # Unix time in seconds by the clock of the node.
    at: float
    node: str
    event: str
    fields: dict[str, Any]

    @property
    def request_id(self) -> str:
        """Request that the decision is about, empty if it is about none."""
        return str(self.fields.get("request_id", ""))

    @property
    def reason(self) -> str:
        """Reason that the line states, empty if it states none."""
        return str(self.fields.get("reason", ""))


class DecisionLines(NamedTuple):
    """The lines of some nodes in the order of their times."""

    lines: list[LogLine]
    # Lines that are not of a decision log.
    unreadable: int
    # Lines about single requests that the nodes left out, as far as they said so.
    left_out: int


def parse_line(text: str) -> LogLine | None:
    """Returns the decision of a line, None if it holds none.

    What a log collector has put before the JSON object is passed over.
    """
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = loads(text[start:])
    except JSONDecodeError:
        return None
    if not isinstance(fields, dict):
        return None
    at, node, event = (fields.pop(name, None) for name in COMMON_FIELDS)
    if not isinstance(at, int | float) or not isinstance(node, str) or not isinstance(event, str):
        return None
    return LogLine(float(at), node, event, fields)


def read_lines(texts: Iterable[str]) -> DecisionLines:
    """Reads the lines of one or more nodes."""
    lines = []
    unreadable = 0
    left_out = 0
    for text in texts:
        if not text.strip():
            continue
        line = parse_line(text)
        if line is None:
            unreadable += 1
            continue
        left_out += int(line.fields.get("left_out_before", 0))
        lines.append(line)
    lines.sort(key=attrgetter("at"))
    return DecisionLines(lines, unreadable, left_out)

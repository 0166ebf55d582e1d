"""Parses decision logs that nodes write to standard output."""

from collections.abc import Iterable
from operator import attrgetter
from typing import Any, NamedTuple

from orjson import JSONDecodeError, loads

# Fields of every line; the others depend on the event.
COMMON_FIELDS = ("timestamp", "node", "event")


class LogLine(NamedTuple):
    """One decision of a node."""

    # Unix time in seconds of the node's clock.
    at: float
    node: str
    event: str
    fields: dict[str, Any]

    @property
    def request_id(self) -> str:
        """Identifier of the request that the decision concerns, empty if there is none."""
        return str(self.fields.get("request_id", ""))

    @property
    def reason(self) -> str:
        """Reason of the decision, empty if it has none."""
        return str(self.fields.get("reason", ""))


class DecisionLines(NamedTuple):
    """The lines of one or more nodes, ordered by time."""

    lines: list[LogLine]
    # Number of lines that don't belong to a decision log.
    unreadable: int
    # Number of lines about single requests that the nodes reported as left out.
    left_out: int


def parse_line(text: str) -> LogLine | None:
    """Returns the decision in a line, None if there is none.

    A prefix that a log collector put before the JSON object is ignored.
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
    """Parses the lines of one or more nodes and orders them by time."""
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

"""Summarizes decision logs: requests that were not served, and states of nodes meanwhile."""

from collections import Counter
from collections.abc import Sequence
from operator import attrgetter
from typing import NamedTuple

from coltsfoottrack._internal.decision_log.explanation import FINAL_EVENTS
from coltsfoottrack._internal.decision_log.lines import LogLine

# Events that begin (True) or end a state of a node, and the field that qualifies the state.
STATES = {
    "shedding_started": ("shedding", True, ""),
    "shedding_ended": ("shedding", False, ""),
    "route_shedding_started": ("shedding for lack of capacity in called services", True, "route"),
    "route_shedding_ended": ("shedding for lack of capacity in called services", False, "route"),
    "store_lost": ("store lost", True, "what"),
    "store_regained": ("store lost", False, "what"),
    "callers_short_of": ("short of room for callers", True, "what"),
    "callers_no_longer_short_of": ("short of room for callers", False, "what"),
    "stopping": ("stopping", True, ""),
    "stopped": ("stopping", False, ""),
}


class UnservedGroup(NamedTuple):
    """Requests of one route that were not served for the same reason."""

    route: str
    reason: str
    count: int
    # The most frequent node to which the requests were last sent, or which refused them.
    node: str


class StatePeriod(NamedTuple):
    """A period during which a node was in a degraded state."""

    node: str
    state: str
    began: float
    # None if it has not ended.
    ended: float | None


class LogSummary(NamedTuple):
    """The summary of decision logs."""

    unserved: list[UnservedGroup]
    periods: list[StatePeriod]
    # Peers that could not be reached, and the number of lines that report it.
    unreachable: list[tuple[str, int]]
    # Newest configuration version of each node, empty if all have the same.
    versions: dict[str, int]


def summarize(lines: Sequence[LogLine]) -> LogSummary:
    """Summarizes lines, which must be ordered by time."""
    groups: Counter[tuple[str, str]] = Counter()
    nodes: dict[tuple[str, str], Counter[str]] = {}
    unreachable: Counter[str] = Counter()
    versions: dict[str, int] = {}
    for line in lines:
        if line.event == "peer_unreachable":
            unreachable[str(line.fields.get("peer"))] += 1
        elif line.event == "configuration_in_force":
            versions[line.node] = int(line.fields.get("version", 0))
        elif line.event in FINAL_EVENTS:
            reason = line.reason or line.event
            key = (str(line.fields.get("route", "")), reason)
            groups[key] += 1
            node = str(line.fields.get("sent_to") or line.node)
            nodes.setdefault(key, Counter())[node] += 1
    unserved = []
    for (route, reason), count in groups.most_common():
        node = nodes[(route, reason)].most_common(1)[0][0]
        unserved.append(UnservedGroup(route, reason, count, node))
    differing = versions if len(set(versions.values())) > 1 else {}
    return LogSummary(unserved, _periods(lines), unreachable.most_common(), differing)


def _periods(lines: Sequence[LogLine]) -> list[StatePeriod]:
    open_since: dict[tuple[str, str], float] = {}
    periods = []
    for line in lines:
        if line.event == "started":
            # The process that was in these states ended without logging it.
            for key in [key for key in open_since if key[0] == line.node]:
                periods.append(StatePeriod(*key, open_since.pop(key), line.at))
            continue
        known = STATES.get(line.event)
        if known is None:
            continue
        state, begins, field = known
        if field:
            state = f"{state} ({line.fields.get(field)})"
        key = (line.node, state)
        if begins:
            open_since.setdefault(key, line.at)
        elif key in open_since:
            periods.append(StatePeriod(*key, open_since.pop(key), line.at))
    for key, began in open_since.items():
        periods.append(StatePeriod(*key, began, None))
    return sorted(periods, key=attrgetter("began"))

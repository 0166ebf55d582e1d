"""Explains from decision logs why a request had its outcome."""

from collections.abc import Sequence
from operator import attrgetter
from typing import NamedTuple

from coltsfoottrack._internal.decision_log.lines import LogLine
from coltsfoottrack._internal.decision_log.reasons import describe

# Limit on the depth of nested calls in an explanation; routes are up to 7 deep.
MAX_DEPTH = 8
FINAL_EVENTS = frozenset(
    (
        "request_not_served",
        "request_refused",
        "request_rejected",
        "request_failed_at_backend",
        "request_without_route",
        "caller_gone",
    )
)
# State changes of a node that may explain a later decision, and for how many seconds. Ordinary
# changes, such as a start, explain only decisions shortly after them.
CONTEXT_SECONDS = {
    "callers_short_of": 30.0,
    "crash_suspected": 30.0,
    "peer_unreachable": 5.0,
    "route_shedding_started": 30.0,
    "shedding_started": 30.0,
    "stopping": 30.0,
    "store_lost": 30.0,
    "backend_state": 3.0,
    "configuration_in_force": 3.0,
    "started": 3.0,
}


BYTES_PER_MEGABYTE = 1024 * 1024


class Explanation(NamedTuple):
    """The outcome of a request and its cause."""

    request_id: str
    verdict: str
    # Steps that led to the outcome, earliest first.
    steps: list[str]
    # State changes of the nodes on the request's path shortly before.
    context: list[LogLine]
    # Calls that the request made and that were not served.
    calls: list["Explanation"]
    lines: list[LogLine]


class LineIndex:
    """Index of the lines of all nodes by request and parent request; lists are ordered by time."""

    def __init__(self, lines: Sequence[LogLine]) -> None:
        self.by_request: dict[str, list[LogLine]] = {}
        # Identifiers of the calls of a parent request, in the order of their first lines.
        self.calls: dict[str, dict[str, None]] = {}
        # Lines with an event of CONTEXT_SECONDS.
        self.state_changes: list[LogLine] = []
        for line in lines:
            if line.event in CONTEXT_SECONDS:
                self.state_changes.append(line)
            if line.request_id:
                self.by_request.setdefault(line.request_id, []).append(line)
            parent = line.fields.get("parent")
            if parent and parent != line.request_id:
                self.calls.setdefault(parent, {})[line.request_id] = None


def explain_request(request_id: str, lines: Sequence[LogLine]) -> Explanation:
    """Explains a request from the lines of all nodes, ordered by time."""
    return _explain(request_id, LineIndex(lines), MAX_DEPTH)


def _explain(request_id: str, index: LineIndex, depth: int) -> Explanation:
    request_lines = index.by_request.get(request_id, [])
    calls = []
    if depth > 0:
        for call_id in index.calls.get(request_id, ()):
            calls.append(_explain(call_id, index, depth - 1))
    final = _final_line(request_lines)
    steps = [_step(line) for line in request_lines if line is not final]
    context = _context(request_lines, final, index.state_changes)
    return Explanation(
        request_id, _verdict(final, request_lines, calls), steps, context, calls, request_lines
    )


def _final_line(request_lines: Sequence[LogLine]) -> LogLine | None:
    final = None
    for line in request_lines:
        if line.event in FINAL_EVENTS:
            final = line
    return final


def _verdict(
    final: LogLine | None, request_lines: Sequence[LogLine], calls: Sequence[Explanation]
) -> str:
    if final is None:
        if calls:
            return "a call that it needed was not served; its own answer is the backend server's"
        if request_lines:
            return "no node logged a refusal or failure; its answer is the backend server's"
        return "no line names it: it was served without problems, or its lines were left out"
    where = f"at {final.node}"
    if final.event == "request_without_route":
        version = final.fields.get("configuration_version")
        return f"404 {where}: no route of version {version} fits {final.fields.get('path')}"
    if final.event == "caller_gone":
        elapsed = final.fields.get("elapsed_ms")
        return f"no answer {where}: its caller disconnected after {elapsed} ms{_customer(final)}"
    if final.event == "request_refused":
        status = final.fields.get("status", 503)
        return f"{status} {where}, never sent: {describe(final.reason)}{_customer(final)}"
    status = final.fields.get("status")
    if final.event == "request_rejected":
        return f"{status} {where}, not read to its end: {describe(final.reason)}{_held(final)}"
    if final.event == "request_failed_at_backend":
        cause = "as a call that it needed was not served" if calls else "of its own"
        return (
            f"{status} {where}: a failure of backend server {final.fields.get('backend')} {cause}"
            f"{_customer(final)}"
        )
    ran = "it may have run" if final.fields.get("attempts") else "it did not run"
    return f"{status} {where}, {ran}: {describe(final.reason)}{_customer(final)}"


def _customer(final: LogLine) -> str:
    """Returns the customer of a request and the configuration version that applied to it."""
    described = []
    if final.fields.get("customer"):
        described.append(f"customer {final.fields['customer']}")
    if final.fields.get("configuration_version"):
        described.append(f"configuration version {final.fields['configuration_version']}")
    return f" ({', '.join(described)})" if described else ""


def _held(final: LogLine) -> str:
    """Returns what a node held for its callers when it rejected a request."""
    fields = final.fields
    held = int(fields.get("held_bytes", 0)) / BYTES_PER_MEGABYTE
    limit = int(fields.get("held_limit_bytes", 0)) / BYTES_PER_MEGABYTE
    received = int(fields.get("received_bytes", 0))
    return (
        f" ({received} bytes received on its connection; {held:.0f} of {limit:.0f} MB held for "
        f"callers on {fields.get('connections')} connections)"
    )


def _step(line: LogLine) -> str:
    fields = line.fields
    if line.event == "request_sent":
        age = fields.get("load_age_ms", -1)
        load = "load not known" if age < 0 else f"load {fields.get('load')}, {age} ms old"
        return f"{line.node} sent it to {fields.get('sent_to')} ({load})"
    if line.event in ("request_sent_elsewhere", "request_repeated"):
        again = "retried it" if line.event == "request_repeated" else "sent it elsewhere"
        return f"{line.node} {again} after {fields.get('sent_to')}: {describe(line.reason)}"
    if line.event in ("run_refused", "run_without_answer"):
        did = "refused it" if line.event == "run_refused" else "got no valid answer for it"
        return (
            f"{line.node} {did}: {describe(line.reason)} (waited {fields.get('waited_ms')} ms, "
            f"ran {fields.get('ran_ms')} ms; {fields.get('running')} of {fields.get('slots')} "
            f"slots in use, {fields.get('waiting')} waiting)"
        )
    return f"{line.node}: {line.event}"


def _context(
    request_lines: Sequence[LogLine], final: LogLine | None, state_changes: Sequence[LogLine]
) -> list[LogLine]:
    """Returns the last state change of each kind at each node on the path, if recent enough."""
    if not request_lines:
        return []
    end = request_lines[-1].at
    nodes = _nodes_on_path(request_lines, final)
    last: dict[tuple[str, str], LogLine] = {}
    for line in state_changes:
        if line.at > end:
            break
        if line.node in nodes and line.at >= end - CONTEXT_SECONDS[line.event]:
            last[(line.node, line.event)] = line
    return sorted(last.values(), key=attrgetter("at"))


def _nodes_on_path(request_lines: Sequence[LogLine], final: LogLine | None) -> set[str]:
    nodes = set()
    for line in request_lines:
        nodes.add(line.node)
        if line.fields.get("sent_to"):
            nodes.add(line.fields["sent_to"])
    if final is not None:
        nodes.update(final.fields.get("reported", {}))
    return nodes

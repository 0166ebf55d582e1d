"""Formats the state of a fleet as text, with the most urgent parts first."""

from collections import defaultdict

from coltsfoottrack._internal.cli.output import format_since, format_time, table
from coltsfoottrack._internal.cli.status_document import (
    NodeDocument,
    ServiceDocument,
    ShedDocument,
    StatusDocument,
)
from coltsfoottrack._internal.observability.invariants import PROCESS_CLIENT

MAX_NAMES_SHOWN = 6
SERVICE_HEADER = (
    "SERVICE",
    "READY",
    "LIMIT",
    "RUNNING",
    "QUEUED",
    "SHEDDING",
    "REFUSED",
    "UNKNOWN",
)
NODE_HEADER = (
    "NODE",
    "DOMAIN",
    "STATE",
    "SLOTS",
    "LIMIT",
    "RUNNING",
    "QUEUED",
    "LEVEL",
    "GENERATION",
    "MEMORY",
)


def status_lines(document: StatusDocument) -> list[str]:
    """Returns the text form of the document, with the most urgent parts first."""
    nodes = document["nodes"]
    lines = [f"note: {note}" for note in document["notes"]]
    lines.append(
        f"cluster {document['cluster']}: {len(nodes)} nodes answer, "
        f"{len(document['unreachable'])} do not; configuration generation {document['generation']}"
    )
    lines.extend(_authentication_lines(nodes))
    lines.extend(_problem_lines(document))
    lines.append("")
    lines.extend(table(SERVICE_HEADER, [_service_row(service) for service in document["services"]]))
    lines.append("")
    lines.extend(table(NODE_HEADER, [_node_row(node) for node in nodes]))
    return lines


def _service_row(service: ServiceDocument) -> tuple[object, ...]:
    refused = ", ".join(f"{name} {count}" for name, count in service["refused"].items())
    return (
        service["name"],
        f"{service['backend_servers_ready']}/{service['nodes']}",
        service["limit"],
        service["in_flight"],
        service["queued"],
        service["shedding_nodes"],
        refused or "-",
        service["unknown_outcomes"],
    )


def _node_row(node: NodeDocument) -> tuple[object, ...]:
    return (
        node["name"],
        node["failure_domain"],
        node["state"],
        node["announced_slots"],
        node["limit"],
        node["in_flight"],
        node["queued"],
        node["level"],
        node["configuration"]["generation"],
        f"{node['resident_bytes'] / 1e6:.0f} MB",
    )


def _shed_lines(shed: list[ShedDocument]) -> list[str]:
    """Returns one line for each service, priority and reason; a line a node would be too many."""
    groups: dict[tuple[str, str, str], list[ShedDocument]] = defaultdict(list)
    for item in shed:
        groups[(item["service"], item["priority"], item["reason"])].append(item)
    lines = []
    for (service, priority, reason), items in sorted(groups.items()):
        count = sum(item["count"] for item in items)
        since_text = format_since(min(item["since_ms"] for item in items))
        lines.append(
            f"SHED {service}: {priority}, reason {reason}, {count} in all, since {since_text}, at "
            f"{_join_names([item['node'] for item in items])}"
        )
    return lines


def _join_names(names: list[str]) -> str:
    shown = ", ".join(names[:MAX_NAMES_SHOWN])
    more = len(names) - MAX_NAMES_SHOWN
    return f"{shown} and {more} more" if more > 0 else shown


def _authentication_lines(nodes: list[NodeDocument]) -> list[str]:
    """Returns a line for each mode that does not require signed peer messages.

    Without required signatures, a caller can pose as a peer.
    """
    lines = []
    for mode in ("off", "optional"):
        names = [node["name"] for node in nodes if node["peer_authentication"] == mode]
        if names:
            lines.append(
                f"peer authentication {mode} at {len(names)} of {len(nodes)} nodes, so callers can "
                f"pose as peers there: {_join_names(names)}"
            )
    return lines


def _problem_lines(document: StatusDocument) -> list[str]:
    lines = []
    for item in document["violations"]:
        lines.append(
            f"VIOLATION {item['invariant']} at {item['node']}"
            f"{' (embedded client)' if item['process'] == PROCESS_CLIENT else ''}: "
            f"{item['count']} since {format_since(item['since_ms'])}"
        )
    for item in document["unreachable"]:
        lines.append(
            f"UNREACHABLE {item['name'] or 'node'} at {item['address']}: {item['problem']}; "
            f"peers say {item['peers_say']}"
        )
    lines.extend(_shed_lines(document["shed"]))
    for item in document["unconfirmed"]:
        problem = f": {item['problem']}" if item["problem"] else ""
        lines.append(
            f"UNCONFIRMED configuration at {item['node']}: generation {item['generation']} in "
            f"force since {format_time(item['since_ms'])}{problem}"
        )
    for node in document["nodes"]:
        if node["unauthenticated_messages"]:
            lines.append(
                f"UNAUTHENTICATED {node['name']}: refused {node['unauthenticated_messages']} "
                "messages that posed as those of peers"
            )
        if node["not_ready"]:
            lines.append(f"NOT READY {node['name']}: {node['not_ready']}")
    disconnected = [node for node in document["nodes"] if not node["platform"]["reachable"]]
    if disconnected:
        since_text = format_since(min(node["platform"]["since_ms"] for node in disconnected))
        lines.append(
            f"PLATFORM not reachable from {len(disconnected)} of {len(document['nodes'])} nodes "
            f"since {since_text}: {_join_names([node['name'] for node in disconnected])}"
        )
    return lines or ["nothing is shed, refused for configuration, violated or unreachable"]

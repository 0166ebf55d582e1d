"""The state of a fleet as one document, and its text form."""

from collections import Counter, defaultdict
from typing import Any

from coltsfoottrack._internal.cli.fleet_access import FleetAccess, NodeAnswer
from coltsfoottrack._internal.cli.output import clock_time, since, table
from coltsfoottrack._internal.membership.table import member_id
from coltsfoottrack._internal.observability.invariants import PROCESS_CLIENT
from coltsfoottrack._internal.observability.refusals import RUN_GAP_MS
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import MemberStatus, StatusReply

MAX_NAMES_SHOWN = 6
STATUS_PREFIX = "MEMBER_STATUS_"


def build_status(access: FleetAccess, answers: list[NodeAnswer]) -> dict[str, Any]:
    """Builds the document of ``status`` from the answers of all nodes."""
    nodes = [_node(answer) for answer in answers if answer.reply is not None]
    nodes.sort(key=lambda node: node["name"])
    generation = max(node["configuration"]["generation"] for node in nodes)
    shed, violations, unconfirmed = [], [], []
    for node in nodes:
        for refusal in node["refusals"]:
            if refusal["now"]:
                shed.append({"node": node["name"], "service": node["service"], **refusal})
        for violation in node["violations"]:
            violations.append({"node": node["name"], **violation})
        configuration = node["configuration"]
        if configuration["generation"] < generation or configuration["problem"]:
            unconfirmed.append({"node": node["name"], **configuration})
    unreachable = []
    for answer in answers:
        if answer.reply is None:
            unreachable.append(_unreachable(access, answer))
    return {
        "cluster": access.cluster,
        "notes": access.notes,
        "generation": generation,
        "services": _services(nodes),
        "nodes": nodes,
        "shed": shed,
        "unconfirmed": unconfirmed,
        "violations": violations,
        "unreachable": unreachable,
    }


def _node(answer: NodeAnswer) -> dict[str, Any]:
    reply = answer.reply
    return {
        "name": member_id(reply.self),
        "address": answer.address,
        "service": reply.self.service,
        "failure_domain": reply.self.failure_domain,
        "region": reply.self.region,
        "state": _state(reply),
        "not_ready": reply.not_ready,
        "backend_ready": reply.backend_ready,
        "announced_slots": reply.announced_slots,
        "limit": reply.concurrency_limit,
        "in_flight": reply.in_flight,
        "queued": reply.queued,
        "level": reply.admission_level,
        "shedding_since_ms": reply.shedding_since_ms,
        "refusals": _refusals(reply),
        "unknown_outcomes": reply.unknown_outcomes,
        "good_calls": reply.good_calls,
        "retries": {"sent": reply.retries_sent, "refused": reply.retries_refused},
        "open_keys": reply.open_keys,
        "members": len(reply.members),
        "platform": {
            "reachable": reply.platform_reachable,
            "since_ms": reply.platform_since_ms,
        },
        "configuration": {
            "generation": reply.configuration_generation,
            "change_id": reply.configuration_change_id,
            "since_ms": reply.configuration_since_ms,
            "problem": reply.configuration_problem,
        },
        "violations": [
            {
                "invariant": item.invariant,
                "count": item.count,
                "since_ms": item.since_ms,
                "process": item.process,
            }
            for item in reply.violations_by_invariant
        ],
        "peer_authentication": reply.peer_authentication,
        "unauthenticated_messages": reply.unauthenticated_messages,
        "started_ms": reply.started_ms,
        "resident_bytes": reply.resident_bytes,
    }


def _state(reply: StatusReply) -> str:
    if reply.draining:
        return "draining"
    return "not ready" if reply.not_ready else "ready"


def _refusals(reply: StatusReply) -> list[dict[str, Any]]:
    # The event clock of the reply is the node's own time; the command's clock may differ.
    node_now_ms = reply.envelope.event_clock >> 16
    found = []
    for run in reply.refusals:
        found.append(
            {
                "priority": run.priority,
                "reason": run.reason,
                "count": run.count,
                "since_ms": run.since_ms,
                "last_ms": run.last_ms,
                "now": node_now_ms - run.last_ms <= RUN_GAP_MS,
            }
        )
    return found


def _unreachable(access: FleetAccess, answer: NodeAnswer) -> dict[str, Any]:
    member = access.members.get(answer.address)
    status = "unknown"
    if member is not None:
        status = MemberStatus.Name(member.status).removeprefix(STATUS_PREFIX).lower()
    return {
        "address": answer.address,
        "name": answer.name,
        "problem": answer.problem,
        "peers_say": status,
    }


def _services(nodes: list[dict[str, Any]]) -> list[dict[str, Any]]:
    by_name: dict[str, list[dict[str, Any]]] = defaultdict(list)
    for node in nodes:
        by_name[node["service"]].append(node)
    services = []
    for name, group in sorted(by_name.items()):
        refused: Counter[str] = Counter()
        for node in group:
            for refusal in node["refusals"]:
                refused[refusal["priority"]] += refusal["count"]
        services.append(
            {
                "name": name,
                "nodes": len(group),
                "backend_servers_ready": sum(
                    node["backend_ready"] and not node["not_ready"] for node in group
                ),
                "limit": sum(node["limit"] for node in group),
                "in_flight": sum(node["in_flight"] for node in group),
                "queued": sum(node["queued"] for node in group),
                "shedding_nodes": sum(bool(node["shedding_since_ms"]) for node in group),
                "refused": dict(refused),
                "unknown_outcomes": sum(node["unknown_outcomes"] for node in group),
            }
        )
    return services


def status_lines(document: dict[str, Any]) -> list[str]:
    """Returns the text form of the document, the most urgent parts first."""
    nodes = document["nodes"]
    lines = [f"note: {note}" for note in document["notes"]]
    lines.append(
        f"cluster {document['cluster']}: {len(nodes)} nodes answer, "
        f"{len(document['unreachable'])} do not; configuration generation {document['generation']}"
    )
    lines.extend(_authentication_lines(nodes))
    lines.extend(_trouble_lines(document))
    lines.append("")
    rows = []
    for service in document["services"]:
        refused = ", ".join(f"{name} {count}" for name, count in service["refused"].items())
        rows.append(
            (
                service["name"],
                f"{service['backend_servers_ready']}/{service['nodes']}",
                service["limit"],
                service["in_flight"],
                service["queued"],
                service["shedding_nodes"],
                refused or "-",
                service["unknown_outcomes"],
            )
        )
    header = ("SERVICE", "READY", "LIMIT", "RUNNING", "QUEUED", "SHEDDING", "REFUSED", "UNKNOWN")
    lines.extend(table(header, rows))
    lines.append("")
    rows = []
    for node in nodes:
        rows.append(
            (
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
        )
    header = ("NODE", "DOMAIN", "STATE", "SLOTS", "LIMIT", "RUNNING", "QUEUED", "LEVEL")
    lines.extend(table((*header, "GENERATION", "MEMORY"), rows))
    return lines


def _shed_lines(shed: list[dict[str, Any]]) -> list[str]:
    """Returns one line for each service, priority and reason; a fleet has too many nodes."""
    groups: dict[tuple[str, str, str], list[dict[str, Any]]] = defaultdict(list)
    for item in shed:
        groups[(item["service"], item["priority"], item["reason"])].append(item)
    lines = []
    for (service, priority, reason), items in sorted(groups.items()):
        count = sum(item["count"] for item in items)
        moment = since(min(item["since_ms"] for item in items))
        lines.append(
            f"SHED {service}: {priority}, reason {reason}, {count} in all, since {moment}, at "
            f"{_names([item['node'] for item in items])}"
        )
    return lines


def _names(names: list[str]) -> str:
    shown = ", ".join(names[:MAX_NAMES_SHOWN])
    more = len(names) - MAX_NAMES_SHOWN
    return f"{shown} and {more} more" if more > 0 else shown


def _authentication_lines(nodes: list[dict[str, Any]]) -> list[str]:
    """Says where a caller could pose as a peer; nothing if all nodes require signatures."""
    lines = []
    for mode in ("off", "optional"):
        names = [node["name"] for node in nodes if node["peer_authentication"] == mode]
        if names:
            lines.append(
                f"peer authentication {mode} at {len(names)} of {len(nodes)} nodes, so callers can "
                f"pose as peers there: {_names(names)}"
            )
    return lines


def _trouble_lines(document: dict[str, Any]) -> list[str]:
    lines = []
    for item in document["violations"]:
        lines.append(
            f"VIOLATION {item['invariant']} at {item['node']}"
            f"{' (embedded client)' if item['process'] == PROCESS_CLIENT else ''}: "
            f"{item['count']} since {since(item['since_ms'])}"
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
            f"force since {clock_time(item['since_ms'])}{problem}"
        )
    for node in document["nodes"]:
        if node["unauthenticated_messages"]:
            lines.append(
                f"UNAUTHENTICATED {node['name']}: refused {node['unauthenticated_messages']} "
                "messages that posed as those of peers"
            )
        if node["not_ready"]:
            lines.append(f"NOT READY {node['name']}: {node['not_ready']}")
    cut_off = [node for node in document["nodes"] if not node["platform"]["reachable"]]
    if cut_off:
        moment = since(min(node["platform"]["since_ms"] for node in cut_off))
        lines.append(
            f"PLATFORM not reachable from {len(cut_off)} of {len(document['nodes'])} nodes since "
            f"{moment}: {_names([node['name'] for node in cut_off])}"
        )
    return lines or ["nothing is shed, refused for configuration, violated or unreachable"]

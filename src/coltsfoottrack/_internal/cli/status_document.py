"""Builds the document that ``status --output json`` prints."""

from collections import Counter, defaultdict
from typing import TypedDict

from coltsfoottrack._internal.cli.fleet_client import FleetClient, NodeAnswer
from coltsfoottrack._internal.membership.table import member_id
from coltsfoottrack._internal.observability.refusals import EPISODE_GAP_MS
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import MemberStatus, StatusReply

STATUS_PREFIX = "MEMBER_STATUS_"


class RefusalDocument(TypedDict):
    """Refusals of one priority for one reason at a node; ``now`` is set while they continue."""

    priority: str
    reason: str
    count: int
    since_ms: int
    last_ms: int
    now: bool


class ViolationDocument(TypedDict):
    """Violations of one invariant in a node or in the client embedded in its backend server."""

    invariant: str
    count: int
    since_ms: int
    process: str


class HeldConfigurationDocument(TypedDict):
    """The configuration in force at a node, and the problem that prevents a newer one."""

    generation: int
    change_id: str
    since_ms: int
    problem: str


class PlatformContactDocument(TypedDict):
    """Whether a node reaches the platform, and the time of the last change."""

    reachable: bool
    since_ms: int


class RetriesDocument(TypedDict):
    """Number of retries that a node sent, and that its retry budgets refused."""

    sent: int
    refused: int


class NodeDocument(TypedDict):
    """One node that answered."""

    name: str
    address: str
    service: str
    failure_domain: str
    region: str
    state: str
    not_ready: str
    backend_ready: bool
    announced_slots: int
    limit: int
    in_flight: int
    queued: int
    level: int
    shedding_since_ms: int
    refusals: list[RefusalDocument]
    unknown_outcomes: int
    good_calls: int
    retries: RetriesDocument
    open_keys: int
    members: int
    platform: PlatformContactDocument
    configuration: HeldConfigurationDocument
    violations: list[ViolationDocument]
    peer_authentication: str
    unauthenticated_messages: int
    started_ms: int
    resident_bytes: int


class ShedDocument(RefusalDocument):
    """Continuing refusals of one priority for one reason, with node and service."""

    node: str
    service: str


class NodeViolationDocument(ViolationDocument):
    """Violations of one invariant, with the node."""

    node: str


class UnconfirmedDocument(HeldConfigurationDocument):
    """A node without the newest configuration, and the one in force there."""

    node: str


class UnreachableDocument(TypedDict):
    """A node that did not answer, and its member status according to its peers."""

    address: str
    name: str
    problem: str
    peers_say: str


class ServiceDocument(TypedDict):
    """Totals over the nodes of one service."""

    name: str
    nodes: int
    backend_servers_ready: int
    limit: int
    in_flight: int
    queued: int
    shedding_nodes: int
    refused: dict[str, int]
    unknown_outcomes: int


class StatusDocument(TypedDict):
    """State of the whole fleet."""

    cluster: str
    notes: list[str]
    generation: int
    services: list[ServiceDocument]
    nodes: list[NodeDocument]
    shed: list[ShedDocument]
    unconfirmed: list[UnconfirmedDocument]
    violations: list[NodeViolationDocument]
    unreachable: list[UnreachableDocument]


def build_status(fleet: FleetClient, answers: list[NodeAnswer]) -> StatusDocument:
    """Builds the document of ``status`` from the answers of all nodes."""
    nodes = [_node(answer) for answer in answers if answer.reply is not None]
    nodes.sort(key=lambda node: node["name"])
    generation = max(node["configuration"]["generation"] for node in nodes)
    shed: list[ShedDocument] = []
    violations: list[NodeViolationDocument] = []
    unconfirmed: list[UnconfirmedDocument] = []
    for node in nodes:
        for refusal in node["refusals"]:
            if refusal["now"]:
                shed.append({"node": node["name"], "service": node["service"], **refusal})
        for violation in node["violations"]:
            violations.append({"node": node["name"], **violation})
        configuration = node["configuration"]
        if configuration["generation"] < generation or configuration["problem"]:
            unconfirmed.append({"node": node["name"], **configuration})
    unreachable: list[UnreachableDocument] = []
    for answer in answers:
        if answer.reply is None:
            unreachable.append(_unreachable(fleet, answer))
    return {
        "cluster": fleet.cluster,
        "notes": fleet.notes,
        "generation": generation,
        "services": _services(nodes),
        "nodes": nodes,
        "shed": shed,
        "unconfirmed": unconfirmed,
        "violations": violations,
        "unreachable": unreachable,
    }


def _node(answer: NodeAnswer) -> NodeDocument:
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


def _refusals(reply: StatusReply) -> list[RefusalDocument]:
    # Uses the node's own time, from the event clock of the reply, because the clock of this
    # machine may differ.
    node_now_ms = reply.envelope.event_clock >> 16
    found: list[RefusalDocument] = []
    for run in reply.refusals:
        found.append(
            {
                "priority": run.priority,
                "reason": run.reason,
                "count": run.count,
                "since_ms": run.since_ms,
                "last_ms": run.last_ms,
                "now": node_now_ms - run.last_ms <= EPISODE_GAP_MS,
            }
        )
    return found


def _unreachable(fleet: FleetClient, answer: NodeAnswer) -> UnreachableDocument:
    member = fleet.members.get(answer.address)
    status = "unknown"
    if member is not None:
        status = MemberStatus.Name(member.status).removeprefix(STATUS_PREFIX).lower()
    return {
        "address": answer.address,
        "name": answer.name,
        "problem": answer.problem,
        "peers_say": status,
    }


def _services(nodes: list[NodeDocument]) -> list[ServiceDocument]:
    by_name: dict[str, list[NodeDocument]] = defaultdict(list)
    for node in nodes:
        by_name[node["service"]].append(node)
    services: list[ServiceDocument] = []
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

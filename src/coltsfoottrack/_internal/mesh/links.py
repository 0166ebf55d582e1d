"""All links of a node: sends messages to its peers and handles those that it receives."""

from asyncio import Server, get_running_loop
from functools import partial
from random import getrandbits
from typing import Any

from google.protobuf.message import Message

from coltsfoottrack._internal.admission.suspects import SuspectReport
from coltsfoottrack._internal.mesh.backend_connection import NO_MEMORY
from coltsfoottrack._internal.mesh.body_buffer import Body, LargeBody, large_body
from coltsfoottrack._internal.mesh.clock import current_time
from coltsfoottrack._internal.mesh.configuration import ActiveConfiguration
from coltsfoottrack._internal.mesh.decisions import DecisionLog
from coltsfoottrack._internal.mesh.directory import Directory
from coltsfoottrack._internal.mesh.distribution import Distribution
from coltsfoottrack._internal.mesh.levels import ReportedLevels
from coltsfoottrack._internal.mesh.link import LinkCall, LinkConnection, PeerLink, ReplyHandler
from coltsfoottrack._internal.mesh.memory_account import MemoryAccount
from coltsfoottrack._internal.mesh.model import Member
from coltsfoottrack._internal.mesh.parent_requests import ParentRequests
from coltsfoottrack._internal.mesh.records import to_record
from coltsfoottrack._internal.mesh.route_summaries import LEVEL_UNIT
from coltsfoottrack._internal.mesh.runner import MEMORY, Runner
from coltsfoottrack._internal.mesh.runner_call import CallKey, RunnerCall
from coltsfoottrack._internal.mesh.shared_rate.shared_rates import SharedRates
from coltsfoottrack._internal.mesh.sockets import BACKLOG, split_address
from coltsfoottrack._internal.schema.links_pb2 import (
    RESULT_NOT_RUN,
    RESULT_UNKNOWN,
    Cancel,
    Claim,
    Frame,
    Grant,
    Hello,
    RateGrant,
    RateLimit,
    RateUsage,
    Reply,
    Request,
    Suspect,
)

PROCESS_BITS = 63
# Reason with which a process refuses a call that is addressed to another process.
OTHER_PROCESS = "other_process"
# Reason of a call without a reply because the process to which it was sent was replaced.
NODE_RESTARTED = "node_restarted"


class Links:
    """The links of one node, and the handlers of the messages on them."""

    def __init__(
        self,
        directory: Directory,
        runner: Runner,
        parent_requests: ParentRequests,
        levels: ReportedLevels,
        active_configuration: ActiveConfiguration,
        distribution: Distribution,
        log: DecisionLog,
        account: MemoryAccount,
    ) -> None:
        self.account = account
        self.directory = directory
        self.runner = runner
        self.parent_requests = parent_requests
        self.levels = levels
        self.active_configuration = active_configuration
        self.distribution = distribution
        self.log = log
        self.peer_links: dict[str, PeerLink] = {}
        # Links to addresses whose nodes are not known yet.
        self.contacts: dict[str, PeerLink] = {}
        self.accepted: set[LinkConnection] = set()
        self.server: Server | None = None
        # All links were closed as the node ends; no new ones are opened.
        self.finished = False
        self.process = getrandbits(PROCESS_BITS)
        # Set once by the node; it needs the links to send its messages.
        self.shared_rates: SharedRates | None = None
        # Epochs that this process has used.
        self.epochs = {directory.own.epoch}
        # Number of crashes last sent, by node, epoch of the node and digest.
        self.reported_suspects: dict[tuple[str, int, bytes], int] = {}
        # Unanswered calls received, by connection.
        self.calls_by_connection: dict[LinkConnection, set[CallKey]] = {}
        self.handlers = {
            "request": self._handle_request,
            "reply": self._handle_reply,
            "cancel": self._handle_cancel,
            "claim": self._handle_claim,
            "grant": self._handle_grant,
            "hello": self._handle_hello,
            "suspect": self._handle_suspect,
            "rate_usage": self._handle_rate_usage,
            "rate_grant": self._handle_rate_grant,
            **distribution.handlers,
        }

    async def open(self, address: str) -> None:
        """Opens the link port. Raises OSError."""
        host, port = split_address(address)
        self.server = await get_running_loop().create_server(
            partial(LinkConnection, self, account=self.account),
            host,
            port,
            backlog=BACKLOG,
            reuse_address=True,
        )

    def send(self, member: Member, call: LinkCall) -> None:
        """Sends a call to a member."""
        self._peer(member).send(call)

    def send_message(self, member: Member, frame: Frame) -> None:
        """Sends a message without a reply to a member, after connecting if needed."""
        if not self.finished:
            self._peer(member).send_when_connected(frame)

    def contact(self, address: str) -> None:
        """Connects to a node of which only the address is known; its first message names it."""
        if address == self.directory.own.address:
            return
        peer = self.contacts.get(address)
        if peer is None:
            unknown = Member(node="", address=address, failure_domain="", service="")
            peer = self.contacts[address] = PeerLink(
                unknown, self, lambda node, seconds: None, self.account
            )
        peer.connect()

    def _peer(self, member: Member) -> PeerLink:
        peer = self.peer_links.get(member.node)
        if peer is None or peer.member.address != member.address:
            if peer is not None:
                peer.close()
            peer = self.peer_links[member.node] = PeerLink(member, self, self._block, self.account)
        return peer

    def _block(self, node: str, seconds: float) -> None:
        known = self.directory.peers.get(node)
        if known is not None:
            known.block(seconds)
        self.distribution.subscriptions.handle_unreachable(node)
        if self.shared_rates is not None:
            self.shared_rates.handle_unreachable(node, current_time())
        self.log.decision("peer_unreachable", peer=node, not_chosen_for_s=seconds)

    def run_locally(
        self, message: Request, handler: ReplyHandler, body: LargeBody | None = None
    ) -> None:
        """Runs a call on the local backend server; ``body`` is that of the request if large."""

        def deliver(call: RunnerCall) -> None:
            answer_body = large_body(call.answer.body)
            handler.handle_reply(call.key.number, self._to_reply(call), answer_body)

        key = self._own_key(message.number)
        self.runner.submit(RunnerCall(key, message, deliver, None, body))

    def _own_key(self, number: int) -> CallKey:
        return CallKey(self.directory.own.node, self.process, number)

    def cancel(self, member: Member, number: int) -> None:
        """Cancels a call at a member; its reply is no longer needed."""
        if member.node == self.directory.own.node:
            self.runner.cancel(self._own_key(number))
            return
        peer = self.peer_links.get(member.node)
        if peer is None:
            return
        connection = peer.connection_of(number)
        peer.drop_call(number)
        if connection is not None:
            connection.send(Frame(cancel=Cancel(number=number)))

    def has_run_locally(self, number: int) -> bool:
        """Returns whether a call was sent to the local backend server."""
        call = self.runner.call_cache.get(self._own_key(number))
        return call is not None and call.sent_at is not None

    def _to_reply(self, call: RunnerCall) -> Reply:
        answer = call.answer
        capacity = self.runner.reported_capacity()
        return Reply(
            number=call.key.number,
            result=answer.result,
            reason=answer.reason,
            status=answer.status,
            head=answer.head,
            body=answer.body if type(answer.body) is bytes else b"",
            load=self.runner.load,
            level=int(self._level(call.message.route) * LEVEL_UNIT),
            configuration_version=self.active_configuration.version,
            rate_limit=self._rate_limit(),
            left_started_ms=self._left_started_ms(call),
            failed_below=answer.failed_below,
            short_of_capacity=answer.short_of_capacity,
            capacity=capacity,
            waiting=len(self.runner.queue) if capacity else 0,
        )

    def _left_started_ms(self, call: RunnerCall) -> int:
        """Returns the start of the process that ran a call if it has left, 0 otherwise."""
        backend = self.runner.backend
        if not backend.left or call.lifetime != backend.lifetime:
            return 0
        return backend.started_ms

    def _rate_limit(self) -> RateLimit | None:
        rate = self.runner.rate
        if rate.limit is None:
            return None
        return RateLimit(per_second=rate.limit, backend_started_ms=rate.lifetime.started_ms)

    def _level(self, route: str) -> float:
        """Returns the lowest level of this node, of a route here, and of those called for it."""
        own = self.runner.level
        level = min(own.level, self.runner.whole_requests.level(route))
        now = current_time()
        for below in self.parent_requests.recently_called(route, now):
            level = min(level, self.levels.level(below, own.ranks, now))
        return level

    def hello(self) -> Message:
        """Returns the first message on a new connection."""
        return Hello(
            member=to_record(self.directory.own),
            configuration_version=self.active_configuration.version,
            process=self.process,
        )

    def receive(self, connection: LinkConnection, kind: str, message: Any) -> None:
        """Passes a message of a peer to its handler."""
        self.handlers[kind](connection, message)

    def receive_large(
        self, connection: LinkConnection, kind: str, message: Any, body: Body | None
    ) -> None:
        """Handles a request or a reply with a large body, None if there was no memory for it."""
        if type(body) is bytes:
            message.body = body
            self.receive(connection, kind, message)
        elif kind == "request":
            self._handle_request(connection, message, body, refused=body is None)
        else:
            self._handle_reply(connection, message, body, lost=body is None)

    def handle_link_lost(self, connection: LinkConnection) -> None:
        """Handles a lost connection; calls received on an accepted one become orphans."""
        if not self.finished:
            self.distribution.subscriptions.handle_connection_lost(connection)
        if connection.peer is not None:
            connection.peer.handle_lost(connection, silent=False)
            return
        self.accepted.discard(connection)
        now = current_time()
        for key in self.calls_by_connection.pop(connection, ()):
            call = self.runner.call_cache.get(key)
            if call is not None and not call.done:
                call.orphaned_at = now

    def _handle_request(
        self,
        connection: LinkConnection,
        message: Request,
        body: LargeBody | None = None,
        refused: bool = False,
    ) -> None:
        self.distribution.compare_version(connection, message.configuration_version)
        key = CallKey(connection.node, connection.process, message.number)
        other_process = message.epoch and message.epoch not in self.epochs
        if other_process or (refused and self.runner.call_cache.get(key) is None):
            # A call that was sent again may have run, unless it was for another process.
            may_have_run = message.resent and not other_process
            reply = Reply(
                number=message.number,
                result=RESULT_UNKNOWN if may_have_run else RESULT_NOT_RUN,
                reason=OTHER_PROCESS if other_process else MEMORY,
                level=int(self._level(message.route) * LEVEL_UNIT),
                configuration_version=self.active_configuration.version,
            )
            connection.send(Frame(reply=reply))
            return
        served = self.calls_by_connection.setdefault(connection, set())
        served.add(key)

        def deliver(call: RunnerCall) -> None:
            served.discard(key)
            reply = self._to_reply(call)
            if type(call.answer.body) is bytes:
                connection.send_message("reply", reply)
            else:
                connection.send_with_body("reply", reply, call.answer.body)

        def claim(call: RunnerCall) -> None:
            connection.send_message("claim", Claim(number=call.key.number))

        asks = None if message.idempotent else claim
        self.runner.submit(RunnerCall(key, message, deliver, asks, body))

    def _handle_claim(self, connection: LinkConnection, message: Claim) -> None:
        """Grants a claim unless the call has ended or was sent to another node meanwhile."""
        call = connection.calls.get(message.number)
        granted = call is not None and call.handler.grant(message.number)
        connection.send_message("grant", Grant(number=message.number, granted=granted))

    def _handle_grant(self, connection: LinkConnection, message: Grant) -> None:
        key = CallKey(connection.node, connection.process, message.number)
        self.runner.grant(key, message.granted)

    def _handle_reply(
        self,
        connection: LinkConnection,
        message: Reply,
        body: LargeBody | None = None,
        lost: bool = False,
    ) -> None:
        self.distribution.compare_version(connection, message.configuration_version)
        call = connection.calls.pop(message.number, None)
        if call is None:
            return
        if connection.calls:
            connection.busy_since = current_time()
        if call.request.resent and message.reason == OTHER_PROCESS:
            # The reply is from a new process; the earlier one may have run the call.
            call.fail(True, NODE_RESTARTED)
            return
        if lost:
            call.fail(True, NO_MEMORY)
            return
        call.handler.handle_reply(message.number, message, body)

    def _handle_cancel(self, connection: LinkConnection, message: Cancel) -> None:
        self.runner.cancel(CallKey(connection.node, connection.process, message.number))

    def _handle_hello(self, connection: LinkConnection, message: Hello) -> None:
        member = connection.member
        if connection.peer is None:
            self.accepted.add(connection)
        elif connection.peer.member.node and member.node != connection.peer.member.node:
            # The address now belongs to another node.
            self.directory.remove(connection.peer.member.node)
            connection.transport.abort()
        self.distribution.learn_direct(connection, member, "hello")
        self.distribution.compare_version(connection, message.configuration_version)

    def _handle_suspect(self, connection: LinkConnection, message: Suspect) -> None:
        self.runner.crash_watch.suspects.merge(
            SuspectReport(message.digest, message.crashes, message.age_ms)
        )

    def _handle_rate_usage(self, connection: LinkConnection, message: RateUsage) -> None:
        if self.shared_rates is None:
            return

        def answer(grant: RateGrant) -> None:
            connection.send(Frame(rate_grant=grant))

        self.shared_rates.handle_usage(connection.node, message, current_time(), answer)

    def _handle_rate_grant(self, connection: LinkConnection, message: RateGrant) -> None:
        if self.shared_rates is not None:
            self.shared_rates.handle_grant(connection.node, message, current_time())

    def broadcast_suspects(self) -> None:
        """Sends requests suspected of crashing a backend server to all nodes of the service.

        Called periodically, so that nodes that were unreachable or have restarted receive them
        later.
        """
        suspects = self.runner.crash_watch.suspects
        if not suspects.entries:
            self.reported_suspects.clear()
            return
        own = self.directory.own
        for peer in self.directory.by_service.get(own.service, ()):
            member = peer.member
            if member.node == own.node or not member.epoch:
                continue
            for digest in list(suspects.entries):
                self._send_suspect(member, suspects.report(digest))

    def _send_suspect(self, member: Member, report: SuspectReport | None) -> None:
        if report is None:
            return
        key = (member.node, member.epoch, report.digest)
        if self.reported_suspects.get(key, 0) >= report.crashes:
            return
        frame = Frame(
            suspect=Suspect(digest=report.digest, crashes=report.crashes, age_ms=report.age_ms)
        )
        if self._peer(member).send_message(frame):
            self.reported_suspects[key] = report.crashes

    def tick(self, now: float) -> None:
        """Closes silent and unused connections."""
        for peer in list(self.peer_links.values()):
            peer.tick(now)

    def open_connections(self) -> int:
        """Returns the number of connections to other nodes."""
        count = len(self.accepted)
        for peer in (*self.peer_links.values(), *self.contacts.values()):
            count += len(peer.connections)
        return count

    def finish(self) -> None:
        """Closes the port, and all links after what was sent on them."""
        if self.server is not None:
            self.server.close()
        self.finished = True
        for peer in (*self.peer_links.values(), *self.contacts.values()):
            peer.stop_connecting()
        for connection in self._connections():
            connection.close()

    def _connections(self) -> list[LinkConnection]:
        connections = list(self.accepted)
        for peer in (*self.peer_links.values(), *self.contacts.values()):
            connections += peer.connections
        return connections

    def unreceived(self, with_silent: bool = True) -> int:
        """Returns the number of connections whose peers have not received all that was sent.

        Those of peers that acknowledge nothing are left out without ``with_silent``.
        """
        count = 0
        for connection in self._connections():
            if connection.has_unreceived() and (with_silent or not connection.is_silent()):
                count += 1
        return count

    def close(self) -> None:
        """Closes all links at once."""
        if self.server is not None:
            self.server.close()
        for connection in self._connections():
            connection.transport.close()
        for peer in (*self.peer_links.values(), *self.contacts.values()):
            peer.connections = []

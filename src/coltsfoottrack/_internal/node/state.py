"""Builds and connects the components of one node from its settings."""

from asyncio import wait_for
from random import Random
from time import time
from typing import Self

from coltsfoottrack._internal.admission.controller import AdmissionController
from coltsfoottrack._internal.admission.limiter import ConcurrencyLimiter
from coltsfoottrack._internal.admission.suspects import SuspectTable
from coltsfoottrack._internal.calls.budget import RequestBudgets
from coltsfoottrack._internal.calls.context import PROTOCOL_VERSION
from coltsfoottrack._internal.calls.peer_authentication import PeerAuthentication
from coltsfoottrack._internal.configuration.distribution import ConfigurationDistribution
from coltsfoottrack._internal.configuration.holder import ConfigurationHolder
from coltsfoottrack._internal.configuration.peers import GrpcConfigurationPeers
from coltsfoottrack._internal.events.clock import HybridClock
from coltsfoottrack._internal.events.ring import EventRing
from coltsfoottrack._internal.ledger.call_registry import CallRegistry
from coltsfoottrack._internal.ledger.dispatcher import Dispatcher
from coltsfoottrack._internal.ledger.ledger import Ledger
from coltsfoottrack._internal.ledger.outcome_copies import CopySender, OutcomeCopies
from coltsfoottrack._internal.ledger.wall_clock import WallClock
from coltsfoottrack._internal.membership.backup import BackupSelector
from coltsfoottrack._internal.membership.cluster import ClusterMembership
from coltsfoottrack._internal.membership.local import LocalMember, new_member
from coltsfoottrack._internal.membership.messages import DatagramCodec
from coltsfoottrack._internal.membership.registration import Registration
from coltsfoottrack._internal.membership.table import MembershipTable
from coltsfoottrack._internal.node.backend_link import BackendLink
from coltsfoottrack._internal.node.drain import Drain
from coltsfoottrack._internal.node.local_calls import LocalCalls
from coltsfoottrack._internal.object_store.client import PlatformClient
from coltsfoottrack._internal.observability.invariants import InvariantChecker, ReportedViolations
from coltsfoottrack._internal.observability.metrics import NodeMetrics
from coltsfoottrack._internal.observability.refusals import RefusalTracker
from coltsfoottrack._internal.routing.outcome_client import RPC_ERRORS
from coltsfoottrack._internal.routing.peer_channels import PeerChannels
from coltsfoottrack._internal.routing.router import Router
from coltsfoottrack._internal.routing.transport import Transport
from coltsfoottrack._internal.schema.coltsfoottrack_grpc import OutcomePeerStub
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import (
    Envelope,
    NodeSettings,
    OutcomeBatch,
    StoreOutcomeRequest,
)
from coltsfoottrack._internal.settings.rules import milliseconds_to_seconds, number_or_default

STORE_TIMEOUT_SECONDS = 1.0
# Limits the wait at shutdown for a backup node that does not answer.
FINISH_COPIES_SECONDS = 2.0


class NodeState:
    """Components that a node's servers and tasks share."""

    def __init__(self, settings: NodeSettings) -> None:
        self.settings = settings
        advertised_call_port = settings.advertised_call_port or settings.call_port
        advertised_peer_port = settings.advertised_peer_port or settings.peer_port
        self.name = f"{settings.service}/{settings.name}"
        self.authentication = PeerAuthentication.from_file(
            settings.cluster_secret_file, settings.unsigned_peers_allowed
        )
        self.clock = HybridClock()
        self.ring = EventRing(self.name, self.clock)
        self.metrics = NodeMetrics()
        self.refusals = RefusalTracker()
        self.started_ms = int(time() * 1000)
        self.checker = InvariantChecker()
        self.client_violations = ReportedViolations()
        self.configuration = ConfigurationHolder(self.checker)
        self.members = MembershipTable()
        self.platform = PlatformClient.from_config(settings.platform_addresses)
        self.suspects = SuspectTable(
            lambda: number_or_default(
                self.configuration.policies.policy(settings.service), "quarantine_ms"
            )
        )
        self.backend = BackendLink(
            settings.cluster, self.clock, self.suspects, lambda: Transport(self.checker)
        )
        self.backend.on_backend_down = self.publish_member
        self.wall_clock = WallClock()
        self.registry = CallRegistry(self.checker, self.wall_clock.now_ms)
        self.backend.registry = self.registry
        self.channels = PeerChannels(self.authentication)
        self.limiter = ConcurrencyLimiter()
        self.admission = AdmissionController(
            self.limiter,
            self.checker,
            lambda: self.configuration.policies.policy(settings.service),
        )
        self.drain = Drain(self._grace_seconds, self.checker)
        self.local_calls = LocalCalls(self.admission, self.backend, self.ring, self.metrics)
        self.local_calls.refuses_new_work = self.drain.refuses_new_work
        self.backend.refuses_new_work = self.drain.refuses_new_work
        self.backend.check_dispatch = self.drain.check_dispatch
        self.ledger = Ledger(
            service=settings.service,
            home=self.name,
            home_call_address=f"{settings.address}:{advertised_call_port}",
            home_peer_address=f"{settings.address}:{advertised_peer_port}",
            checker=self.checker,
            wall_ms=self.wall_clock.now_ms,
            choose_backup=BackupSelector(
                self.members, settings.service, self.name, settings.failure_domain
            ).choose,
            on_finished=lambda *finished: self.copy_sender.enqueue(*finished),
        )
        self.outcome_copies = OutcomeCopies(self.wall_clock.now_ms)
        self.copy_sender = CopySender(
            self.store_outcomes, lambda: self.cluster.detector.disseminator.is_backlogged()
        )
        self.router = Router(
            cluster=settings.cluster,
            members=self.members,
            policies=lambda: self.configuration.policies,
            clock=self.clock,
            ring=self.ring,
            random=Random(),
            checker=self.checker,
            authentication=self.authentication,
        )
        self.local_calls.absent_services = self.router.absent_services
        self.router.decisions_off = settings.decisions_off
        self.admission.decisions_off = settings.decisions_off
        self.dispatcher = Dispatcher(
            self.registry,
            lambda context, body: self.local_calls.run(context, body),
            self.router.choose,
            self.router.exchange.send,
            self.ledger.home_call_address,
            self.checker,
        )
        self.requests = RequestBudgets()
        self.local = LocalMember(new_member(settings, self.ledger.incarnation))
        self.member = self.local.member
        self.cluster = ClusterMembership(
            local=self.local,
            table=self.members,
            codec=DatagramCodec(
                settings.cluster,
                self.name,
                self.clock,
                lambda: (self.configuration.generation, self.configuration.record.change_id),
                self.authentication,
            ),
            registration=Registration(self.platform, self.local, Random()),
            channels=self.channels,
            envelope=self.envelope,
            seed_nodes=list(settings.seed_nodes),
            random=Random(),
        )
        self.distribution = ConfigurationDistribution(
            holder=self.configuration,
            objects=self.platform,
            peers=GrpcConfigurationPeers(self.channels, self.envelope),
            table=self.members,
            own_member=self.member,
            random=Random(),
            notify=self.cluster.detector.gossip_now,
        )
        self.cluster.detector.on_generation = self.distribution.record_announcement
        self.ready = False

    @classmethod
    def from_config(cls, settings: NodeSettings) -> Self:
        """Builds the components of a node; must run inside an event loop."""
        return cls(settings)

    def envelope(self) -> Envelope:
        """Returns the envelope for a message from this node."""
        return Envelope(
            cluster=self.settings.cluster,
            protocol_version=PROTOCOL_VERSION,
            sender=self.name,
            event_clock=self.clock.tick(),
        )

    def publish_member(self) -> None:
        """Publishes a change of this node's own state to the cluster."""
        self.drain.set_backend_leaving(self.backend.leaving)
        if self.local.set_ready(self.ready and self.backend.is_ready):
            self.cluster.publish()

    def _grace_seconds(self) -> float:
        policy = self.configuration.policies.policy(self.settings.service)
        return milliseconds_to_seconds(policy, "drain_grace_ms")

    def start_drain(self) -> None:
        """Starts to drain: the node takes no new work and completes the calls in flight."""
        self.drain.start()
        self.cluster.leave()

    def not_ready_reason(self) -> str:
        """Returns why this node should get no calls, empty if it is ready."""
        if self.drain.is_leaving:
            return "the node is draining"
        if not self.ready:
            return "the node has not yet taken its configuration from the platform or a peer"
        if not self.backend.address:
            return "no backend server has announced itself"
        if self.backend.leaving:
            return "the backend server is leaving"
        return ""

    async def store_outcomes(self, address: str, batch: OutcomeBatch) -> bool:
        """Sends copies of outcomes to a backup node; returns whether it confirmed them."""
        request = StoreOutcomeRequest(envelope=self.envelope(), batch=batch)
        try:
            await OutcomePeerStub(self.channels.channel(address)).StoreOutcome(
                request, timeout=STORE_TIMEOUT_SECONDS
            )
        except RPC_ERRORS:
            self.channels.discard(address)
            return False
        return True

    async def close(self) -> None:
        """Sends the remaining outcome copies for up to 2 s, then closes outgoing connections."""
        try:
            await wait_for(self.copy_sender.close(), FINISH_COPIES_SECONDS)
        except TimeoutError:
            self.copy_sender.counts["dropped"] += self.copy_sender.queued
        await self.router.close()
        await self.backend.close()
        self.channels.close()

"""The parts of one node, put together from its settings."""

from asyncio import Event
from random import Random
from typing import Self

from coltsfoottrack._internal.admission.controller import AdmissionController
from coltsfoottrack._internal.admission.limiter import ConcurrencyLimiter
from coltsfoottrack._internal.calls.context import PROTOCOL_VERSION
from coltsfoottrack._internal.configuration.holder import ConfigurationHolder
from coltsfoottrack._internal.events.clock import HybridClock
from coltsfoottrack._internal.events.ring import EventRing
from coltsfoottrack._internal.ledger.ledger import Ledger
from coltsfoottrack._internal.membership.table import MembershipTable
from coltsfoottrack._internal.node.backend_link import BackendLink
from coltsfoottrack._internal.node.local_calls import LocalCalls
from coltsfoottrack._internal.observability.invariants import InvariantChecker
from coltsfoottrack._internal.observability.metrics import NodeMetrics
from coltsfoottrack._internal.platform.client import PlatformClient
from coltsfoottrack._internal.routing.router import Router
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import (
    MEMBER_STATUS_ALIVE,
    Envelope,
    Member,
    NodeSettings,
)


class NodeState:
    """Everything that a node's servers and tasks share."""

    def __init__(self, settings: NodeSettings) -> None:
        self.settings = settings
        self.name = f"{settings.service}/{settings.name}"
        self.clock = HybridClock()
        self.ring = EventRing(self.name, self.clock)
        self.metrics = NodeMetrics()
        self.checker = InvariantChecker()
        self.configuration = ConfigurationHolder(self.checker)
        self.members = MembershipTable()
        self.platform = PlatformClient.from_config(settings.platform_addresses)
        self.backend = BackendLink(settings.cluster, self.clock)
        self.limiter = ConcurrencyLimiter()
        self.admission = AdmissionController(
            self.limiter,
            self.checker,
            lambda: self.configuration.policies.policy(settings.service),
        )
        self.local_calls = LocalCalls(self.admission, self.backend, self.ring, self.metrics)
        self.ledger = Ledger(
            service=settings.service,
            home=self.name,
            home_call_address=f"{settings.address}:{settings.call_port}",
            home_peer_address=f"{settings.address}:{settings.peer_port}",
            checker=self.checker,
        )
        self.router = Router(
            cluster=settings.cluster,
            members=self.members,
            policies=lambda: self.configuration.policies,
            clock=self.clock,
            ring=self.ring,
            random=Random(),
        )
        self.router.decisions_off = settings.decisions_off
        self.admission.decisions_off = settings.decisions_off
        self.member = Member(
            name=settings.name,
            service=settings.service,
            failure_domain=settings.failure_domain,
            region=settings.region,
            address=settings.address,
            call_port=settings.call_port,
            peer_port=settings.peer_port,
            incarnation=self.ledger.incarnation,
            revision=1,
            status=MEMBER_STATUS_ALIVE,
        )
        self.member_changed = Event()

    @classmethod
    def from_config(cls, settings: NodeSettings) -> Self:
        """Builds the parts of a node; must run inside an event loop."""
        return cls(settings)

    def envelope(self) -> Envelope:
        """Returns the common part of a message from this node."""
        return Envelope(
            cluster=self.settings.cluster,
            protocol_version=PROTOCOL_VERSION,
            sender=self.name,
            event_clock=self.clock.tick(),
        )

    def publish_member(self) -> None:
        """Makes a change of this node's own state known."""
        if self.member.backend_ready == self.backend.is_ready:
            return
        self.member.backend_ready = self.backend.is_ready
        self.member.revision += 1
        self.members.merge(self.member)
        self.member_changed.set()

    async def close(self) -> None:
        """Closes all outgoing connections."""
        await self.router.close()
        await self.backend.close()

"""This node's own member entry, which only this node changes."""

from time import time

from coltsfoottrack._internal.membership.table import process_order
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import (
    MEMBER_STATUS_ALIVE,
    MEMBER_STATUS_DEAD,
    MEMBER_STATUS_LEAVING,
    Member,
    NodeSettings,
)


def new_member(settings: NodeSettings, incarnation: int) -> Member:
    """Returns the initial entry of a node process that is starting."""
    return Member(
        name=settings.name,
        service=settings.service,
        failure_domain=settings.failure_domain,
        region=settings.region,
        address=settings.address,
        call_port=settings.advertised_call_port or settings.call_port,
        peer_port=settings.advertised_peer_port or settings.peer_port,
        incarnation=incarnation,
        revision=1,
        status=MEMBER_STATUS_ALIVE,
        start_order=int(time() * 1000),
    )


class LocalMember:
    """This node's entry; each change increments its revision."""

    def __init__(self, member: Member) -> None:
        self.member = member
        self.joined = False
        self.replaced = False

    def set_ready(self, ready: bool) -> bool:
        """Sets whether the backend server accepts new work; returns whether that changed."""
        if self.member.backend_ready == ready:
            return False
        self.member.backend_ready = ready
        self.member.revision += 1
        return True

    def mark_leaving(self) -> None:
        """Marks this node as leaving."""
        if self.member.status == MEMBER_STATUS_ALIVE:
            self.member.status = MEMBER_STATUS_LEAVING
            self.member.revision += 1

    def mark_dead(self) -> None:
        """Marks this node as dead, right before its process exits."""
        self.member.status = MEMBER_STATUS_DEAD
        self.member.revision += 1

    def handle_claim(self, claim: Member) -> bool:
        """Handles a claim about this node; returns whether its entry must be gossiped.

        A wrong claim about this process is refuted with a greater revision. A claim about a later
        process of the same name means that this one was replaced. If this node is still joining,
        its clock is instead behind the clock of the process that it replaces, and its start order
        is raised.
        """
        own = self.member
        if process_order(claim) != process_order(own):
            if process_order(claim) < process_order(own):
                return True
            if self.joined:
                self.replaced = True
                return False
            own.start_order = claim.start_order + 1
            return True
        is_same = claim.status == own.status and claim.backend_ready == own.backend_ready
        if claim.revision < own.revision or (claim.revision == own.revision and is_same):
            return False
        own.revision = claim.revision + 1
        return True

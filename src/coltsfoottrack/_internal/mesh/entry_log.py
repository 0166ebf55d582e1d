"""Log lines of the entry: decisions about requests and their inputs."""

from typing import Any

from coltsfoottrack._internal.mesh.backend_state import Lifetime
from coltsfoottrack._internal.mesh.caller_request import CallerRequest
from coltsfoottrack._internal.mesh.decisions import DecisionLog
from coltsfoottrack._internal.mesh.entry_call import EntryCall


class EntryLog:
    """Writes the log lines of the entry."""

    def __init__(self, log: DecisionLog) -> None:
        self.log = log

    def try_sample(self) -> bool:
        """Returns whether to log the present ordinary request."""
        return self.log.try_sample()

    def member_left(self, call: EntryCall, lifetime: Lifetime) -> None:
        """Logs that an answer states that a backend server leaves."""
        self.log.decision(
            "member_left_by_answer",
            member=call.sent_to,
            backend=lifetime.backend,
            started_ms=lifetime.started_ms,
            request_id=call.request_id,
        )

    def without_route(self, request: CallerRequest, version: int) -> None:
        """Logs that no route matches a request."""
        self.log.request(
            "request_without_route",
            request_id=request.request_id.decode("latin-1"),
            host=request.host,
            path=request.path,
            configuration_version=version,
        )

    def refused_unrouted(self, request: CallerRequest, reason: str) -> None:
        """Logs that a request was refused before route lookup."""
        self.log.request(
            "request_refused", request_id=request.request_id.decode("latin-1"), reason=reason
        )

    def rejected(self, request: CallerRequest, status: int, reason: str) -> None:
        """Logs that a request was rejected unread, and what the account of memory held then."""
        connection = request.connection
        self.log.request(
            "request_rejected",
            request_id=request.request_id.decode("latin-1"),
            status=status,
            reason=reason,
            received_bytes=connection.received_bytes,
            held_bytes=connection.account.used_bytes,
            held_limit_bytes=connection.account.limit_bytes,
            connections=len(connection.group.connections),
        )

    def refused(
        self, call: EntryCall, reason: str, level: float, reported: dict[str, str], version: int
    ) -> None:
        """Logs the refusal of a new request, with the level and the reports behind it."""
        self._log_request(
            "request_refused",
            call,
            rank=call.rank,
            reason=reason,
            level=round(level, 2),
            reported=reported,
            configuration_version=version,
        )

    def refused_by_customer(self, call: EntryCall, status: int, reason: str, version: int) -> None:
        """Logs the refusal of a new request because of its key or its customer's quota."""
        self._log_request(
            "request_refused", call, status=status, reason=reason, configuration_version=version
        )

    def sent(self, call: EntryCall, now: float, version: int) -> None:
        """Logs the chosen member, with the statistics behind the choice and their age."""
        peer = call.peer
        # A choice by capacity brings the load up to date, but the report behind it is older.
        reported_at = peer.reported_at or peer.load_at
        self.log.decision(
            "request_sent",
            request_id=call.request_id,
            route=call.route.name,
            rank=call.rank,
            service=call.service,
            sent_to=call.sent_to,
            load=round(peer.load, 1),
            load_age_ms=int((now - reported_at) * 1000.0) if reported_at else -1,
            failures=round(peer.failures, 2),
            record_epoch=peer.member.epoch,
            record_serial=peer.member.serial,
            configuration_version=version,
        )

    def sent_elsewhere(self, call: EntryCall, reason: str) -> None:
        """Logs that a request did not run at one member and is sent to another."""
        self._log_request(
            "request_sent_elsewhere",
            call,
            sent_to=call.sent_to,
            reason=reason,
            record_epoch=call.peer.member.epoch,
        )

    def failed_below(self) -> None:
        """Counts a failed run that is not retried, because one of its calls had failed."""
        self.log.count("request_failed_below")

    def retried(self, call: EntryCall, reason: str, status: int) -> None:
        """Logs the retry of a request that may have run."""
        self._log_request(
            "request_repeated", call, sent_to=call.sent_to, reason=reason, status=status
        )

    def not_served(
        self, call: EntryCall, status: int, reason: str, now: float, version: int
    ) -> None:
        """Logs that the node itself gave the final answer."""
        self._log_outcome(
            "request_not_served", call, status, reason, now, configuration_version=version
        )

    def failed_at_backend(self, call: EntryCall, status: int, now: float) -> None:
        """Logs that the final answer is a failure of the backend server."""
        self._log_outcome(
            "request_failed_at_backend",
            call,
            status,
            "backend_failed",
            now,
            backend=call.failed_backend,
        )

    def caller_gone(self, call: EntryCall, now: float) -> None:
        """Logs that the caller disconnected before its answer."""
        self._log_request(
            "caller_gone", call, sent_to=call.sent_to, elapsed_ms=_elapsed_ms(call, now)
        )

    def _log_outcome(
        self, event: str, call: EntryCall, status: int, reason: str, now: float, **fields: Any
    ) -> None:
        self._log_request(
            event,
            call,
            service=call.service,
            rank=call.rank,
            status=status,
            reason=reason,
            sends=call.sends,
            attempts=call.attempts,
            sent_to=call.sent_to,
            parent=_parent_id(call),
            elapsed_ms=_elapsed_ms(call, now),
            **fields,
        )

    def _log_request(self, event: str, call: EntryCall, **fields: Any) -> None:
        if call.customer is not None:
            fields["customer"] = call.customer.name
        self.log.request(event, request_id=call.request_id, route=call.route.name, **fields)


def _parent_id(call: EntryCall) -> str:
    return call.parent.request_id if call.parent is not None else ""


def _elapsed_ms(call: EntryCall, now: float) -> int:
    return int((now - call.request.received) * 1000.0)

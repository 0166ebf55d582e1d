"""Conversion between answers or settlements and the outcome records sent between nodes."""

from enum import Enum, auto
from typing import NamedTuple

from coltsfoottrack._internal.calls.outcome import Answer, Outcome, Reason, failed, unknown
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import (
    CALL_OUTCOME_DONE,
    CALL_OUTCOME_FAILED,
    CALL_OUTCOME_REFUSED,
    CALL_OUTCOME_RUNNING,
    CALL_OUTCOME_UNKNOWN,
    OutcomeRecord,
)

_TO_RECORD = {
    Outcome.DONE: CALL_OUTCOME_DONE,
    Outcome.REFUSED: CALL_OUTCOME_REFUSED,
    Outcome.FAILED: CALL_OUTCOME_FAILED,
    Outcome.UNKNOWN: CALL_OUTCOME_UNKNOWN,
}
_FROM_RECORD = {number: outcome for outcome, number in _TO_RECORD.items()}


class CallState(Enum):
    """State of a call at a node."""

    RUNNING = auto()
    FINISHED = auto()
    # Was not started and will not be.
    CLOSED = auto()
    # The node has no record of whether the call was started.
    UNCERTAIN = auto()


class Settlement(NamedTuple):
    """State of a call as reported by a node; ``answer`` is set once the call has finished."""

    state: CallState
    answer: Answer | None = None


def without_body(answer: Answer) -> Answer:
    """Returns the reported outcome for an answer whose body was dropped to limit memory.

    ``done`` becomes ``unknown``, since a caller must never get a partial answer.
    """
    if answer.outcome is Outcome.DONE:
        return unknown(Reason.ANSWER_DROPPED)
    if answer.outcome is Outcome.FAILED:
        return failed(Reason.ANSWER_DROPPED)
    return answer._replace(body=b"")


def to_record(answer: Answer) -> OutcomeRecord:
    """Returns the outcome record of a finished call."""
    return OutcomeRecord(
        outcome=_TO_RECORD[answer.outcome],
        reason=answer.reason.value,
        status=answer.status,
        content_type=answer.content_type,
        body=answer.body,
        retry_useful=answer.retry_useful,
        attempts_left=answer.attempts_left,
    )


def from_record(record: OutcomeRecord) -> Answer:
    """Returns the answer in a record; unknown if it has values of another protocol version."""
    try:
        answer = Answer(
            outcome=_FROM_RECORD[record.outcome],
            reason=Reason(record.reason),
            status=record.status,
            body=record.body,
            content_type=record.content_type,
            retry_useful=record.retry_useful,
            attempts_left=record.attempts_left,
            copy_dispatched=record.outcome != CALL_OUTCOME_REFUSED,
        )
    except (KeyError, ValueError):
        return unknown(Reason.CONNECTION_LOST)
    return without_body(answer) if record.body_dropped else answer


def settlement_record(settlement: Settlement) -> OutcomeRecord:
    """Returns a settlement encoded as an outcome record."""
    if settlement.state is CallState.RUNNING:
        return OutcomeRecord(outcome=CALL_OUTCOME_RUNNING)
    if settlement.state is CallState.CLOSED:
        return OutcomeRecord(outcome=CALL_OUTCOME_REFUSED, reason=Reason.CLOSED.value)
    if settlement.answer is None:
        return OutcomeRecord(outcome=CALL_OUTCOME_UNKNOWN, reason=Reason.SILENT.value)
    return to_record(settlement.answer)


def read_settlement(record: OutcomeRecord) -> Settlement:
    """Returns the settlement that a record encodes."""
    if record.outcome == CALL_OUTCOME_RUNNING:
        return Settlement(CallState.RUNNING)
    if record.outcome == CALL_OUTCOME_REFUSED and record.reason == Reason.CLOSED.value:
        return Settlement(CallState.CLOSED)
    if record.outcome == CALL_OUTCOME_UNKNOWN and record.reason == Reason.SILENT.value:
        return Settlement(CallState.UNCERTAIN)
    return Settlement(CallState.FINISHED, from_record(record))

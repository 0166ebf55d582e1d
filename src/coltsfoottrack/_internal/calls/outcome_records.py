"""Conversion between answers and the outcome records that nodes exchange."""

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
    """What a node knows of a call."""

    RUNNING = auto()
    FINISHED = auto()
    # Never started, and never will be.
    CLOSED = auto()
    # The node cannot tell whether the call was started.
    UNCERTAIN = auto()


class Settlement(NamedTuple):
    """Reply to the question of what became of a call; ``answer`` is set once it finished."""

    state: CallState
    answer: Answer | None = None


def without_body(answer: Answer) -> Answer:
    """Returns what can still be told of an answer whose body was dropped to bound memory.

    A call that was done becomes unknown, since no caller may be given part of an answer.
    """
    if answer.outcome is Outcome.DONE:
        return unknown(Reason.ANSWER_DROPPED)
    if answer.outcome is Outcome.FAILED:
        return failed(Reason.ANSWER_DROPPED)
    return answer._replace(body=b"")


def to_record(answer: Answer) -> OutcomeRecord:
    """Builds the record of a finished call."""
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
    """Builds the answer that a record holds; a record of another version means unknown."""
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
    """Builds the record that carries a settlement."""
    if settlement.state is CallState.RUNNING:
        return OutcomeRecord(outcome=CALL_OUTCOME_RUNNING)
    if settlement.state is CallState.CLOSED:
        return OutcomeRecord(outcome=CALL_OUTCOME_REFUSED, reason=Reason.CLOSED.value)
    if settlement.answer is None:
        return OutcomeRecord(outcome=CALL_OUTCOME_UNKNOWN, reason=Reason.SILENT.value)
    return to_record(settlement.answer)


def read_settlement(record: OutcomeRecord) -> Settlement:
    """Reads the settlement that a record carries."""
    if record.outcome == CALL_OUTCOME_RUNNING:
        return Settlement(CallState.RUNNING)
    if record.outcome == CALL_OUTCOME_REFUSED and record.reason == Reason.CLOSED.value:
        return Settlement(CallState.CLOSED)
    if record.outcome == CALL_OUTCOME_UNKNOWN and record.reason == Reason.SILENT.value:
        return Settlement(CallState.UNCERTAIN)
    return Settlement(CallState.FINISHED, from_record(record))

"""Events of answered calls: late, slow, refused, failed and unknown ones leave one each."""

from time import monotonic

from coltsfoottrack._internal.calls.context import CallContext
from coltsfoottrack._internal.calls.outcome import Answer, Outcome, Reason
from coltsfoottrack._internal.events.kinds import EventKind
from coltsfoottrack._internal.events.ring import EventRing


def record_answer(
    ring: EventRing, context: CallContext, answer: Answer, started: float, backend_server: str = ""
) -> None:
    """Records an answer if it was not an ordinary fast one.

    ``started`` is the monotonic time at which the call arrived, in seconds. A call that took
    more than half of the time that it had left on arrival is recorded as slow.
    """
    now = monotonic()
    remaining = context.deadline.expires_at - now
    elapsed = now - started
    if answer.reason is Reason.KEY_REQUIRED:
        # An ordinary step on the way to a key, which would crowd out events of trouble.
        return
    if answer.outcome is Outcome.DONE:
        if elapsed <= remaining:
            return
        kind = EventKind.SLOW if remaining > 0 else EventKind.LATE
    else:
        kind = EventKind(answer.outcome.value)
    ring.add_call(
        kind.value,
        context,
        reason=answer.reason.value,
        duration_ms=elapsed * 1000.0,
        queued_ms=answer.queued_ms,
        running_ms=answer.running_ms,
        served_by=answer.served_by,
        backend_server="" if answer.served_by else backend_server,
    )


def record_cancelled(
    ring: EventRing, context: CallContext, started: float, backend_server: str = ""
) -> None:
    """Records a call whose caller went away before its answer."""
    ring.add_call(
        EventKind.CANCELLED.value,
        context,
        reason="caller_gone",
        duration_ms=(monotonic() - started) * 1000.0,
        backend_server=backend_server,
    )

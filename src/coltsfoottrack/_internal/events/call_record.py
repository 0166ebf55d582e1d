"""Records one event for each call that was late, slow, refused, failed, unknown or cancelled."""

from contextvars import ContextVar
from enum import StrEnum
from time import monotonic

from coltsfoottrack._internal.calls.context import CallContext
from coltsfoottrack._internal.calls.outcome import Answer, Outcome, Reason
from coltsfoottrack._internal.events.kinds import EventKind
from coltsfoottrack._internal.events.ring import EventRing


class CallStage(StrEnum):
    """Stages of a call; the values are the detail texts of events of cancelled calls."""

    ARRIVED = "before it asked for a slot"
    FORWARDED = "while another node had it"
    WAITING = "while it waited for a slot"
    RUNNING = "while it ran"


class CallProgress:
    """The stage of one call and the time spent in each stage."""

    def __init__(self) -> None:
        self.stage = CallStage.ARRIVED
        self.since = monotonic()
        self.seconds: dict[CallStage, float] = {}

    def enter(self, stage: CallStage) -> None:
        """Moves the call to a stage; a shed call may enter the same stage again."""
        now = monotonic()
        self.seconds[self.stage] = self.milliseconds(self.stage) / 1000.0
        self.stage = stage
        self.since = now

    def milliseconds(self, stage: CallStage) -> float:
        """Returns the total time spent in a stage so far, in ms."""
        seconds = self.seconds.get(stage, 0.0)
        if stage is self.stage:
            seconds += monotonic() - self.since
        return seconds * 1000.0


# Progress of the call that the current task answers. A task that it starts to run the call, as
# for a call under a key, inherits the same object.
current_progress: ContextVar[CallProgress | None] = ContextVar("progress", default=None)


def enter_stage(stage: CallStage) -> None:
    """Sets the stage of the call that the current task answers, if there is one."""
    current = current_progress.get()
    if current is not None:
        current.enter(stage)


def record_answer(
    ring: EventRing, context: CallContext, answer: Answer, started: float, backend_server: str = ""
) -> None:
    """Records an answer unless the call was done in good time.

    ``started`` is the monotonic time at which the call arrived, in seconds. A call is recorded as
    slow if it took more than half of the time that remained until its deadline on arrival.
    """
    now = monotonic()
    remaining = context.deadline.expires_at - now
    elapsed = now - started
    if answer.reason is Reason.KEY_REQUIRED:
        # Part of the normal way to get a key; its events would displace those of problems.
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
    """Records a call whose caller disconnected before the answer, and the stage it had reached."""
    current = current_progress.get()
    ring.add_call(
        EventKind.CANCELLED.value,
        context,
        reason="caller_gone",
        detail=current.stage.value if current else "",
        queued_ms=current.milliseconds(CallStage.WAITING) if current else 0.0,
        running_ms=current.milliseconds(CallStage.RUNNING) if current else 0.0,
        duration_ms=(monotonic() - started) * 1000.0,
        backend_server=backend_server,
    )

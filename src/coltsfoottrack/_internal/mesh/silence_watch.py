"""Tells a remote end that pauses in reading from one that is gone.

The kernel ends a connection whose window stays closed, though the remote end answers each probe.
While it does, it gets more time, so that silence alone ends the connection. The kernel probes at
the latest when that time is over.
"""

from asyncio import Transport

from coltsfoottrack._internal.mesh.sockets import (
    SILENCE_SECONDS,
    answers_probes,
    set_silence_timeout,
    unreceived_bytes,
)

# Pause between two checks of a connection.
SWEEP_SECONDS = 1.0


class SilenceWatch:
    """Watches one connection while the remote end has not received all that was written."""

    def __init__(self) -> None:
        # Since when that is so, None while it is not, and when the remote end last answered.
        self.unreceived_since: float | None = None
        self.heard_at = 0.0

    def is_silent(self, transport: Transport, now: float) -> bool:
        """Returns whether the remote end is gone; to be called each SWEEP_SECONDS."""
        if transport.is_closing():
            return False
        if not unreceived_bytes(transport):
            if self.unreceived_since is not None:
                self.unreceived_since = None
                set_silence_timeout(transport, SILENCE_SECONDS)
            return False
        if self.unreceived_since is None:
            self.unreceived_since = self.heard_at = now
        if answers_probes(transport):
            self.heard_at = now
            waited = now - self.unreceived_since + SWEEP_SECONDS
            set_silence_timeout(transport, waited + SILENCE_SECONDS)
        return now - self.heard_at > SILENCE_SECONDS

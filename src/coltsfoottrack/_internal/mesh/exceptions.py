"""Errors of the mesh."""


class MeshError(Exception):
    """Base class of the errors of the mesh."""

    @property
    def log_text(self) -> str:
        """The message as it may be written to a log, without secrets."""
        return str(self)


class StoreError(MeshError):
    """A call to the store was refused, timed out or returned an unreadable answer."""


class StoreHistoryLostError(StoreError):
    """The store has discarded the changes since the given revision."""


class StoreConflictError(StoreError):
    """The object was changed since it was read."""


class ReportError(MeshError):
    """A report of a backend server is invalid."""


class FrameError(MeshError):
    """Bytes received from a peer are not a valid message."""

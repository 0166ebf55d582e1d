"""Which status lines begin an interim answer, a final one, or none (RFC 9110, section 15)."""

from enum import Enum

FIRST_STATUS = 100
FIRST_FINAL_STATUS = 200
LAST_STATUS = 599


class StatusKind(Enum):
    """What a status line begins."""

    INTERIM = "interim"
    FINAL = "final"
    # No answer of HTTP.
    INVALID = "invalid"


def status_kind(status: int, is_framed: bool) -> StatusKind:
    """Returns what a status line begins; ``is_framed`` is whether the headers announce a body.

    An interim answer has none. One that announces a body is the server's answer, under a status
    that no final answer has.
    """
    if not FIRST_STATUS <= status <= LAST_STATUS:
        return StatusKind.INVALID
    if status >= FIRST_FINAL_STATUS:
        return StatusKind.FINAL
    return StatusKind.INVALID if is_framed else StatusKind.INTERIM

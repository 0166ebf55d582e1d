"""Structured logs: one JSON object per line on standard error."""

import sys

from structlog import PrintLoggerFactory, configure
from structlog.processors import JSONRenderer, TimeStamper, add_log_level, dict_tracebacks


def configure_logs() -> None:
    """Configures structlog for a daemon."""
    configure(
        processors=[
            add_log_level,
            TimeStamper(fmt="iso", utc=True),
            dict_tracebacks,
            JSONRenderer(),
        ],
        logger_factory=PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )

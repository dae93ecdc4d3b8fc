"""JSON logs: one object a line on standard error."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

from fulmarward.observability._traces import TraceHandler

_LOGGER = logging.getLogger("fulmarward")


def start_logging(*, instance: str, level: str) -> TraceHandler:
    """Send the instance's log to standard error as JSON lines.

    Returns the handler that keeps the lines of late requests.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            "%(levelname)s %(message)s",
            timestamp=True,
            rename_fields={"levelname": "level", "message": "event"},
            static_fields={"instance": instance},
        )
    )
    traces = TraceHandler()
    _LOGGER.handlers = [handler, traces]
    _LOGGER.propagate = False
    _LOGGER.setLevel(level.upper())
    return traces


def log_event(
    event: str,
    *,
    level: int = logging.INFO,
    exc_info: BaseException | None = None,
    **members: object,
) -> None:
    """Write one log line: what happened, and what is needed to understand it."""
    if _LOGGER.isEnabledFor(level):
        _LOGGER.log(level, event, extra=members, exc_info=exc_info)

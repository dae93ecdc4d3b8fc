"""JSON-lines logging to standard output, bounded and non-blocking."""

import logging
import queue
import sys
import time
from collections.abc import Callable
from logging.handlers import QueueHandler, QueueListener

from pythonjsonlogger.json import JsonFormatter

from fulmarward.observability._traces import TraceHandler

_LOGGER = logging.getLogger("fulmarward")

#: Maximum number of lines queued for standard output. When the reader of the log
#: stalls, a longer queue would take memory and a blocking one would stall the event
#: loop. At about 600 bytes a line this is under 2 MB.
MAX_QUEUED_LINES = 3_000

#: Rate limit in lines a second, and burst size in lines. When an overload gets every
#: request refused, writing log lines must not take the CPU time that refusing needs. At
#: 40 microseconds a line this is a fiftieth of a core.
MAX_LINES_PER_S = 500.0
MAX_BURST_LINES = 1_000.0


class _BoundedHandler(QueueHandler):
    """Queues records for the writer thread, and drops those over the limits.

    Warnings and errors are exempt from the rate limit, so that a burst of other lines
    does not hide them.
    """

    def __init__(self, lines: queue.Queue, read_clock: Callable[[], float]) -> None:
        super().__init__(lines)
        self._read_clock = read_clock
        self._tokens = MAX_BURST_LINES
        self._refilled_at = read_clock()
        #: Number of lines dropped since the start.
        self.dropped = 0
        self._reported = 0

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        return record

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a record, with the number of lines dropped since the last one."""
        if record.levelno < logging.WARNING and not self._take_token():
            self.dropped += 1
            return
        if self.dropped > self._reported:
            record.lines_dropped = self.dropped - self._reported
        try:
            self.queue.put_nowait(record)
            self._reported = self.dropped
        except queue.Full:
            self.dropped += 1

    def _take_token(self) -> bool:
        now = self._read_clock()
        earned = (now - self._refilled_at) * MAX_LINES_PER_S
        self._tokens = min(MAX_BURST_LINES, self._tokens + earned)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def start_logging(*, instance: str, level: str) -> TraceHandler:
    """Log to standard output as JSON lines, written by a separate thread.

    Returns the handler that keeps the lines of recent requests.
    """
    output = logging.StreamHandler(sys.stdout)
    output.setFormatter(
        JsonFormatter(
            "%(levelname)s %(message)s",
            timestamp=True,
            rename_fields={"levelname": "level", "message": "event"},
            static_fields={"instance": instance},
        )
    )
    lines: queue.Queue = queue.Queue(MAX_QUEUED_LINES)
    listener = QueueListener(lines, output)
    listener.start()
    traces = TraceHandler()
    # The writer thread modifies a record once it is queued, so its handler comes last.
    _LOGGER.handlers = [traces, _BoundedHandler(lines, time.monotonic)]
    _LOGGER.propagate = False
    _LOGGER.setLevel(level.upper())
    _stop_writers.append(listener.stop)
    return traces


#: Functions that stop the writer threads, oldest first.
_stop_writers: list[Callable[[], None]] = []


def stop_logging() -> None:
    """Write the queued lines and stop the writer threads."""
    while _stop_writers:
        _stop_writers.pop()()


def count_dropped_lines() -> int:
    """Return the number of lines dropped since the start."""
    handlers = [h for h in _LOGGER.handlers if isinstance(h, _BoundedHandler)]
    return sum(handler.dropped for handler in handlers)


def log_event(
    event: str,
    *,
    level: int = logging.INFO,
    exc_info: BaseException | None = None,
    **fields: object,
) -> None:
    """Log one event with its fields."""
    if _LOGGER.isEnabledFor(level):
        _LOGGER.log(level, event, extra=fields, exc_info=exc_info)

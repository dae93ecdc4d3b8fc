"""JSON logs: one object a line on standard output, bounded, never waiting."""

import logging
import queue
import sys
import time
from collections.abc import Callable
from logging.handlers import QueueHandler, QueueListener

from pythonjsonlogger.json import JsonFormatter

from fulmarward.observability._traces import TraceHandler

_LOGGER = logging.getLogger("fulmarward")

#: Lines that may wait for standard output. Load: a reader of the log that stands
#: still; harm: memory, or an event loop that waits; reason: at about 600 bytes a line
#: this is under 2 MB.
MOST_WAITING_LINES = 3_000

#: Lines a second, and lines saved up for a burst. Load: every request of a storm is
#: refused; harm: writing lines takes the processor that refusing needs; reason: at 40
#: microseconds a line this is a fiftieth of a core.
LINES_A_SECOND = 500.0
MOST_SAVED_LINES = 1_000.0


class _BoundedHandler(QueueHandler):
    """Hands records to the writing thread, and drops what is over the bounds.

    Warnings and errors pass the rate, so that a storm of lines hides none of them.
    """

    def __init__(self, lines: queue.Queue, read_clock: Callable[[], float]) -> None:
        super().__init__(lines)
        self._read_clock = read_clock
        self._saved = MOST_SAVED_LINES
        self._counted_at = read_clock()
        #: Lines dropped since the start.
        self.dropped = 0
        self._told = 0

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        return record

    def emit(self, record: logging.LogRecord) -> None:
        """Queue one record, with the number of lines dropped before it."""
        if record.levelno < logging.WARNING and not self._take_turn():
            self.dropped += 1
            return
        if self.dropped > self._told:
            record.lines_dropped = self.dropped - self._told
        try:
            self.queue.put_nowait(record)
            self._told = self.dropped
        except queue.Full:
            self.dropped += 1

    def _take_turn(self) -> bool:
        now = self._read_clock()
        earned = (now - self._counted_at) * LINES_A_SECOND
        self._saved = min(MOST_SAVED_LINES, self._saved + earned)
        self._counted_at = now
        if self._saved < 1:
            return False
        self._saved -= 1
        return True


def start_logging(*, instance: str, level: str) -> TraceHandler:
    """Send the instance's log to standard output as JSON lines.

    A thread of its own writes them. Returns the handler that keeps the lines of late
    requests.
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
    lines: queue.Queue = queue.Queue(MOST_WAITING_LINES)
    listener = QueueListener(lines, output)
    listener.start()
    traces = TraceHandler()
    # The writing thread adds to a record as soon as it has it, so it comes last.
    _LOGGER.handlers = [traces, _BoundedHandler(lines, time.monotonic)]
    _LOGGER.propagate = False
    _LOGGER.setLevel(level.upper())
    _stop_writing.append(listener.stop)
    return traces


#: What ends the writing threads, oldest first.
_stop_writing: list[Callable[[], None]] = []


def stop_logging() -> None:
    """Write the lines that still wait and end the writing threads."""
    while _stop_writing:
        _stop_writing.pop()()


def count_dropped_lines() -> int:
    """Return how many lines were dropped since the start."""
    handlers = [h for h in _LOGGER.handlers if isinstance(h, _BoundedHandler)]
    return sum(handler.dropped for handler in handlers)


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

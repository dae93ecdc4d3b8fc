"""Keeps the log lines of recent requests, for operators to query by request id."""

import logging
from collections import OrderedDict

#: Maximum number of requests whose lines are kept: at 24 requests/s and about 1 KB a
#: request, a minute and a half of requests in 2 MB of memory.
MAX_REQUESTS = 2_000

#: Maximum number of lines kept for one request, which may be retried many times.
MAX_LINES_PER_REQUEST = 50

#: Standard attributes of a log record, which are not fields of the event.
_STANDARD_ATTRIBUTES = set(vars(logging.makeLogRecord({}))) | {
    "message",
    "asctime",
    "taskName",
}


class TraceHandler(logging.Handler):
    """Keeps the log lines that have a request id, for the most recent requests."""

    def __init__(self) -> None:
        super().__init__()
        self._lines: OrderedDict[str, list[dict[str, object]]] = OrderedDict()

    def emit(self, record: logging.LogRecord) -> None:
        """Store the record if it belongs to a request."""
        fields = {
            name: value
            for name, value in vars(record).items()
            if name not in _STANDARD_ATTRIBUTES
        }
        request = fields.get("request")
        if not isinstance(request, str):
            return
        lines = self._lines.setdefault(request, [])
        if len(lines) < MAX_LINES_PER_REQUEST:
            at = round(record.created, 3)
            lines.append({"at": at, "event": record.getMessage(), **fields})
        while len(self._lines) > MAX_REQUESTS:
            self._lines.popitem(last=False)

    def read_lines(self, request: str) -> list[dict[str, object]]:
        """Return the lines kept for a request, oldest first."""
        return list(self._lines.get(request, ()))

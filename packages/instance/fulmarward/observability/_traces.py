"""The decisions of late requests, kept for the operator who asks about one."""

import logging
from collections import OrderedDict

#: Requests whose lines are kept. Load: 24 requests/s; harm: memory; reason: at
#: about 1 KB a request this is a minute and a half of them in 2 MB.
MOST_REQUESTS = 2_000

#: Lines kept of one request. Harm: a request that is tried again and again.
MOST_LINES = 50

#: Members of a log record that are not the event's own.
_STANDARD = set(vars(logging.makeLogRecord({}))) | {"message", "asctime", "taskName"}


class TraceHandler(logging.Handler):
    """Keeps the log lines that carry a request's id, the newest requests only."""

    def __init__(self) -> None:
        super().__init__()
        self._lines: OrderedDict[str, list[dict[str, object]]] = OrderedDict()

    def emit(self, record: logging.LogRecord) -> None:
        """Keep one line."""
        members = {
            name: value for name, value in vars(record).items() if name not in _STANDARD
        }
        request = members.get("request")
        if not isinstance(request, str):
            return
        lines = self._lines.setdefault(request, [])
        if len(lines) < MOST_LINES:
            at = round(record.created, 3)
            lines.append({"at": at, "event": record.getMessage(), **members})
        while len(self._lines) > MOST_REQUESTS:
            self._lines.popitem(last=False)

    def read_lines(self, request: str) -> list[dict[str, object]]:
        """Return what is kept of a request, oldest first; empty if nothing is."""
        return list(self._lines.get(request, ()))

"""The latest rejections of an instance, for operators who ask about one request."""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

#: Rejections that an instance keeps; the oldest is evicted first.
DENIALS_KEPT = 512

#: Upper bound on the bytes of a request id that can be looked up. Callers choose their
#: ids, and a record may not take more memory than its values.
MAX_REQUEST_ID_BYTES = 256


@dataclass(frozen=True, kw_only=True)
class Denial:
    """One rejection with the values that decided on it."""

    request_id: str
    #: Seconds on the monotonic clock.
    denied_at: float
    service: str
    urgency: int
    cause: str
    #: What the request lacked, a value of `Shortage`; `None` if it is not known.
    shortage: str | None
    #: Seconds since the request arrived.
    waited_s: float
    #: Estimated wait in seconds; `None` if it did not decide or is infinite.
    estimate_s: float | None
    #: Retry delay in seconds.
    return_s: float
    #: Whether the caller was promised capacity on its return.
    is_return_promised: bool
    #: Whether a peer relayed the request, and may have found another that served it.
    is_relayed: bool
    #: Further values of the event `admission_denied`; empty without classes.
    values: Mapping[str, float | int | None] = field(default_factory=dict)


def find_request_id_fault(request_id: str) -> str | None:
    """Return what is wrong with an id that is looked up, `None` if it is valid."""
    try:
        size = len(request_id.encode())
    except UnicodeEncodeError:
        return "invalid UTF-8"
    if 0 < size <= MAX_REQUEST_ID_BYTES:
        return None
    return f"{size} bytes"


class RecentDenials:
    """The last `DENIALS_KEPT` rejections, in chronological order."""

    def __init__(self, *, since: float) -> None:
        #: No rejection after this time is missing; seconds on the monotonic clock.
        self._complete_since = since
        self._denials: deque[Denial] = deque(maxlen=DENIALS_KEPT)

    def record(self, denial: Denial) -> None:
        """Add a rejection, unless its id cannot be looked up."""
        if find_request_id_fault(denial.request_id) is not None:
            return
        if len(self._denials) == DENIALS_KEPT:
            self._complete_since = self._denials[0].denied_at
        self._denials.append(denial)

    def measure_coverage_s(self, *, now: float) -> float:
        """Return for how many seconds up to `now` no rejection is missing."""
        return now - self._complete_since

    def describe(self, request_id: str, *, now: float) -> list[dict[str, Any]]:
        """Return the rejections of requests with an id, the newest first."""
        return [
            _describe_denial(denial, now)
            for denial in reversed(self._denials)
            if denial.request_id == request_id
        ]


def _describe_denial(denial: Denial, now: float) -> dict[str, Any]:
    return {
        "request": denial.request_id,
        "denied_s_ago": round(now - denial.denied_at, 3),
        "service": denial.service,
        "urgency": denial.urgency,
        "cause": denial.cause,
        "shortage": denial.shortage,
        "waited_s": round(denial.waited_s, 3),
        "estimate_s": denial.estimate_s,
        "return_s": round(denial.return_s, 3),
        "is_return_promised": denial.is_return_promised,
        "is_relayed": denial.is_relayed,
        **denial.values,
    }

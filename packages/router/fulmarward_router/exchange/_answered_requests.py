"""The requests that were answered last."""

from collections import deque

from fulmarward_router.exchange._request_state import RequestState

#: Upper bounds on the requests that are remembered, and on the bytes of their bodies.
MAX_REQUESTS = 512
MAX_BODY_BYTES = 1 << 12


class AnsweredRequests:
    """Recognizes a request that was answered before, without a digest of each.

    Guards against a request that many callers send alike: it is in flight whenever a
    target ends, but it has been answered a moment ago.
    """

    def __init__(self) -> None:
        self._requests: deque[tuple[tuple[str, ...], bytes, float]] = deque(
            maxlen=MAX_REQUESTS
        )

    def record(self, state: RequestState, *, now: float) -> None:
        """Record that a target has answered a request."""
        if len(state.body) <= MAX_BODY_BYTES:
            self._requests.append((_get_head(state), state.body, now))

    def find_answered_at(self, state: RequestState) -> float | None:
        """Return when an identical request was last answered, `None` if not lately."""
        head = _get_head(state)
        for other_head, body, answered_at in reversed(self._requests):
            if head == other_head and body == state.body:
                return answered_at
        return None


def _get_head(state: RequestState) -> tuple[str, ...]:
    request = state.request
    host = state.headers.get("Host", "").lower()
    return request.method, host, request.raw_path, state.team_name

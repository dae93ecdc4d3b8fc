"""Silent streams that have found no room in which to go on."""

from fulmarward_router.exchange._admission import compute_resume_end
from fulmarward_router.exchange._attempt import Attempt
from fulmarward_router.exchange._request_state import RequestState


class RoomClaims:
    """The silent streams of this instance that room is kept for.

    A stream whose attempt stays open does not wait in the queue, as it may go on by
    itself, and as one that can use certain targets only would hold up the others. While
    there is one, requests without an answer do not take the room that is released.
    """

    def __init__(self) -> None:
        #: Silent attempts by `id()`.
        self._attempts: dict[int, Attempt] = {}
        #: `id()` of the requests that have given up their room and seek a path.
        self._seekers: set[int] = set()

    def begin_search(self, state: RequestState) -> None:
        """Record that a stream has given up its room for a path with more."""
        self._seekers.add(id(state))

    def end_search(self, state: RequestState) -> None:
        """Record that a stream has reserved its path, or has ended."""
        self._seekers.discard(id(state))

    def has_seeker(self) -> bool:
        """Return whether room that seems free may be that of a stream without a path.

        Guards against several streams that give up theirs for the same free room.
        """
        return bool(self._seekers)

    def add(self, attempt: Attempt) -> None:
        """Keep room for a stream, until its caller is about to leave."""
        self._attempts[id(attempt)] = attempt

    def discard(self, attempt: Attempt) -> None:
        """Keep no room for a stream that goes on, has a path or has ended."""
        self._attempts.pop(id(attempt), None)

    def has_any(self, service: str, *, now: float) -> bool:
        """Return whether room of a service is kept for a silent stream."""
        return any(
            attempt.state.service == service and now < compute_resume_end(attempt.state)
            for attempt in self._attempts.values()
        )

"""One attempt of a stream: its path, what it holds, and how it may end."""

import asyncio

import aiohttp

from fulmarward_core.fleet import EngineModel
from fulmarward_core.loads import Reservation
from fulmarward_core.paces import SlowSigns
from fulmarward_core.paths import Hop, PathRequest
from fulmarward_router.exchange._work import Work


class Attempt:
    """One attempt of a stream: its path, and what it holds."""

    def __init__(
        self,
        *,
        work: Work,
        engine: EngineModel,
        wanted: PathRequest,
        path: tuple[Hop, ...],
        reservation: Reservation,
    ) -> None:
        self.work = work
        self.engine = engine
        self.wanted = wanted
        self.path = path
        self.reservation = reservation
        #: The task that waits for the answer's head, and then the answer.
        self.head: asyncio.Task | None = None
        self.response: aiohttp.ClientResponse | None = None
        #: Why the attempt was ended from outside, `None` while it was not.
        self.end: AttemptEnded | None = None
        #: The task that checks the path, `None` when none does.
        self.checking: asyncio.Task | None = None
        #: Seconds on the steady clock of the last sign of life.
        self.heard_at = 0.0
        #: Seconds on the steady clock of the last event, before any without one.
        self.served_at = float("-inf")
        self.checks = 0
        self.has_begun = False
        self.signs = SlowSigns()
        #: Ends the attempt at the request's deadline.
        self.timer: asyncio.TimerHandle | None = None

    @property
    def first(self) -> Hop:
        return self.path[0]

    def end_now(self, end: "AttemptEnded") -> None:
        """End the attempt: whoever waits for its answer is told why."""
        if self.end is not None:
            return
        self.end = end
        if self.response is not None:
            self.response.close()
        elif self.head is not None:
            self.head.cancel()


class AttemptEnded(Exception):
    """An attempt ended without the whole answer; another may follow."""

    def __init__(
        self,
        *,
        cause: str,
        is_not_run: bool,
        is_not_sent: bool = False,
        has_retry: bool = False,
    ) -> None:
        super().__init__(cause)
        self.cause = cause
        self.is_not_run = is_not_run
        #: Whether the first target was not reached.
        self.is_not_sent = is_not_sent
        #: Whether the retry that follows was taken before it was ended.
        self.has_retry = has_retry


def describe_path(path: tuple[Hop, ...]) -> str:
    """Return a path for the log."""
    return " ".join(f"{h.target}:{h.layers.start}-{h.layers.end}" for h in path)

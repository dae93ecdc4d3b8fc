"""Admission: waiting for room on a path, in order of urgency and arrival."""

import asyncio
import bisect
from collections.abc import Callable
from dataclasses import replace

from fulmarward_core.catalogue import TargetCatalogue
from fulmarward_core.fleet import EngineModel
from fulmarward_core.paths import Hop, PathRequest
from fulmarward_core.results import ResultCode
from fulmarward_router.exchange._path_finder import PathFinder
from fulmarward_router.exchange._pipe_limiter import PipeLimiter
from fulmarward_router.exchange._work import (
    RejectedRequest,
    Shortage,
    TruncatedResponse,
    Work,
)

#: Seconds for which a request waits for room on a path before it is rejected. Half of
#: the time that callers wait is left for the first event.
SATURATED_TIMEOUT_S = 0.9

#: Seconds for which it waits while the list of targets may lack living ones: all
#: instances begin anew, or the store comes back, and targets write their rows again.
INCOMPLETE_TIMEOUT_S = 1.6

#: Seconds after its last event for which a stream that has begun waits for a retry and
#: a path to go on; its caller leaves after two seconds without an event.
RESUME_TIMEOUT_S = 1.7

#: Seconds between two searches for a path of a request that waits.
POLL_INTERVAL_S = 0.04

#: Seconds after which a caller should come back whose request a target refused while
#: others have room: its next try is not counted as a retry of this one.
REFUSED_RETRY_S = 0.05

#: Seconds after which a rejected caller should come back. A range of layers loads, or a
#: few answers end, in about that time.
SATURATED_RETRY_S = 0.8
ABSENT_RETRY_S = 1.5


def find_resume_end(work: Work) -> float:
    """Return until when a stream that has begun may wait before it goes on."""
    heard_at = work.arrived_at if work.given_at is None else work.given_at
    return min(work.deadline, heard_at + RESUME_TIMEOUT_S)


class AdmissionQueue:
    """The requests of an instance that wait for a path."""

    def __init__(
        self,
        *,
        finder: PathFinder,
        pipe: PipeLimiter,
        catalogue: TargetCatalogue,
        read_clock: Callable[[], float],
    ) -> None:
        self._finder = finder
        self._pipe = pipe
        self._catalogue = catalogue
        self._read_clock = read_clock
        #: Urgency and arrival of those that wait, first ones first.
        self._waiting: list[tuple[int, float]] = []

    async def await_path(
        self, work: Work, engine: EngineModel, wanted: PathRequest
    ) -> tuple[Hop, ...]:
        """Return a path, waiting for room.

        Raises `RejectedRequest`, or `TruncatedResponse` where an answer has begun.
        """
        began_at = self._read_clock()
        rank = (work.urgency, work.arrived_at)
        shortage = Shortage.KV_CACHE
        try:
            while True:
                if not any(other < rank for other in self._waiting):
                    found = self._choose_path(work, engine, wanted)
                    if not isinstance(found, Shortage):
                        return found
                    shortage = found
                now = self._read_clock()
                if now >= self._choose_end(work, began_at, now):
                    break
                if rank not in self._waiting:
                    bisect.insort(self._waiting, rank)
                await asyncio.sleep(POLL_INTERVAL_S)
        finally:
            if rank in self._waiting:
                self._waiting.remove(rank)
        if work.has_begun:
            raise TruncatedResponse(cause="no path to go on")
        if self._finder.has_whole_model(work.service, engine):
            raise RejectedRequest(
                ResultCode.QUEUE_FULL,
                cause="no path has room",
                retry_after_s=SATURATED_RETRY_S,
                shortage=shortage,
            )
        raise RejectedRequest(
            ResultCode.NO_TARGET,
            cause="no path holds all layers",
            retry_after_s=ABSENT_RETRY_S,
            shortage=Shortage.LAYERS,
        )

    def find_retry_after_s(
        self, work: Work, engine: EngineModel, wanted: PathRequest
    ) -> float:
        """Return after how long the caller of a refused request should come back."""
        has_room = self._finder.choose(work.service, engine, wanted) is not None
        return REFUSED_RETRY_S if has_room else SATURATED_RETRY_S

    def _choose_path(
        self, work: Work, engine: EngineModel, wanted: PathRequest
    ) -> tuple[Hop, ...] | Shortage:
        """Return the best path, one within a data centre when the pipe is full."""
        path = self._finder.choose(work.service, engine, wanted)
        if path is None:
            return Shortage.KV_CACHE
        if self._pipe.take(engine, wanted, path):
            return path
        within = replace(wanted, may_cross=False)
        return self._finder.choose(work.service, engine, within) or Shortage.PIPE

    def _choose_end(self, work: Work, began_at: float, now: float) -> float:
        """Return until when a request may wait for a path."""
        if work.has_begun:
            return find_resume_end(work)
        is_incomplete = self._catalogue.may_be_short(now=now)
        timeout_s = INCOMPLETE_TIMEOUT_S if is_incomplete else SATURATED_TIMEOUT_S
        return min(work.deadline, began_at + timeout_s)

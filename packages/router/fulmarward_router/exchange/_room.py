"""Waiting for room on a path, in order of urgency and arrival."""

import asyncio
import bisect
from collections.abc import Callable
from dataclasses import replace

from fulmarward_core.catalogue import TargetCatalogue
from fulmarward_core.fleet import EngineModel
from fulmarward_core.paths import Hop, PathRequest
from fulmarward_core.results import ResultCode
from fulmarward_router.exchange._pipe import PipeGate
from fulmarward_router.exchange._stages import PathFinder
from fulmarward_router.exchange._work import Cut, Refused, Work

#: Seconds for which a request waits for room on a path before it is refused. Load: a
#: burst, or a data centre without a whole path; harm: a caller that is refused has one
#: more try and often meets the same crowd, one that waits too long leaves by itself
#: after two seconds without an event; reason: answers end every 0.1 s or so at each
#: instance, and half of the time that callers wait is left for the first event.
FULL_PATIENCE_S = 0.9

#: Seconds for which it waits while the list of targets may be short of living ones.
#: Load: all instances begin anew, or the store comes back, and targets write their
#: rows again within two seconds; harm: everything is refused although nothing is
#: lost; reason: the first event then comes just before the caller leaves.
SHORT_PATIENCE_S = 1.6

#: Seconds after its last event for which a stream that has begun waits for a repeat
#: and a path to go on. Reason: its caller leaves after two seconds without an event.
RESUME_PATIENCE_S = 1.7

#: Seconds between two looks for a path of a request that waits.
WAIT_LOOK_S = 0.04

#: Seconds after which a refused caller should come back. Reason: a caller has one more
#: try; loading a range of layers, or the end of a few answers, takes about as long.
FULL_RETRY_S = 0.8
ABSENT_RETRY_S = 1.5


def find_resume_end(work: Work) -> float:
    """Return until when a stream that has begun may wait before it goes on."""
    heard_at = work.arrived_at if work.given_at is None else work.given_at
    return min(work.deadline, heard_at + RESUME_PATIENCE_S)


class RoomQueue:
    """The requests of an instance that wait for a path."""

    def __init__(
        self,
        *,
        finder: PathFinder,
        pipe: PipeGate,
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
        """Return a path, waiting a little for room; raises `Refused` or `Cut`."""
        began_at = self._read_clock()
        rank = (work.urgency, work.arrived_at)
        try:
            while True:
                if not any(other < rank for other in self._waiting):
                    path = self._choose_path(work, engine, wanted)
                    if path is not None:
                        return path
                now = self._read_clock()
                if now >= self._choose_end(work, began_at, now):
                    break
                if rank not in self._waiting:
                    bisect.insort(self._waiting, rank)
                await asyncio.sleep(WAIT_LOOK_S)
        finally:
            if rank in self._waiting:
                self._waiting.remove(rank)
        if work.has_begun:
            raise Cut(cause="no path to go on")
        if self._finder.has_whole_model(work.service, engine):
            raise Refused(
                ResultCode.QUEUE_FULL,
                cause="no path has room",
                retry_after_s=FULL_RETRY_S,
            )
        raise Refused(
            ResultCode.NO_TARGET,
            cause="no path holds all layers",
            retry_after_s=ABSENT_RETRY_S,
        )

    def _choose_path(
        self, work: Work, engine: EngineModel, wanted: PathRequest
    ) -> tuple[Hop, ...] | None:
        """Return the best path, one within a data centre when the pipe is taken."""
        path = self._finder.choose(work.service, engine, wanted)
        if path is None or self._pipe.take(engine, wanted, path):
            return path
        within = replace(wanted, may_cross=False)
        return self._finder.choose(work.service, engine, within)

    def _choose_end(self, work: Work, began_at: float, now: float) -> float:
        """Return until when a request may wait for a path."""
        if work.has_begun:
            return find_resume_end(work)
        is_short = self._catalogue.may_be_short(now=now)
        patience_s = SHORT_PATIENCE_S if is_short else FULL_PATIENCE_S
        return min(work.deadline, began_at + patience_s)

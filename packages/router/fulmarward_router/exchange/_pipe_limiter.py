"""Limits transfers over the link between data centres (the "pipe")."""

from collections.abc import Callable
from itertools import pairwise

from fulmarward_core.catalogue import TargetCatalogue
from fulmarward_core.fleet import EngineModel
from fulmarward_core.paths import Hop, PathRequest

#: Longest estimated queue, in seconds, on the link between data centres at which paths
#: that cross it are still used. Recomputing the prompt on a path within another data
#: centre takes about as long.
MAX_QUEUED_S = 0.12


class PipeLimiter:
    """Estimates the load of the link from this instance's own transfers.

    All other instances are assumed to transfer as much in proportion to their share.
    """

    def __init__(
        self,
        *,
        catalogue: TargetCatalogue,
        find_share: Callable[[], float],
        read_clock: Callable[[], float],
    ) -> None:
        self._catalogue = catalogue
        self._find_share = find_share
        self._read_clock = read_clock
        #: When the estimated queue will be empty.
        self._busy_until = float("-inf")

    def is_full(self) -> bool:
        """Return whether no path that crosses data centres would get link time now."""
        return self.find_queued_s() > MAX_QUEUED_S

    def find_queued_s(self) -> float:
        """Return for how many seconds the link is busy with what was reserved."""
        return max(0.0, self._busy_until - self._read_clock())

    def reserve(
        self,
        engine: EngineModel,
        wanted: PathRequest,
        path: tuple[Hop, ...],
    ) -> bool:
        """Reserve link time for a path's transfers; return whether there was room.

        Other instances use the link at the same time, so each may fill only its share.
        """
        crossings = self.count_crossings(path)
        transfer_s = (
            wanted.prompt * engine.activation_bytes * 8 / (engine.pipe_mbps * 1e6)
        )
        if crossings and self.is_full():
            return False
        begins_at = max(self._read_clock(), self._busy_until)
        taken_s = crossings * transfer_s / self._find_share()
        self._busy_until = begins_at + taken_s
        return True

    def count_crossings(
        self, path: tuple[Hop, ...], previous: tuple[Hop, ...] = ()
    ) -> int:
        """Return how many new hops of a path cross data centres.

        `previous` is the request's current path: between two of its targets nothing is
        transferred again.
        """
        data_centres = [self._find_data_centre(hop.target) for hop in path]
        kept = {hop.target for hop in previous}
        return sum(
            one != other and not (a.target in kept and b.target in kept)
            for (a, one), (b, other) in pairwise(zip(path, data_centres, strict=True))
        )

    def _find_data_centre(self, target: str) -> str:
        record = self._catalogue.find_target(target)
        return "" if record is None else record.data_centre

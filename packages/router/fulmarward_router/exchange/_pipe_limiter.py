"""The pipe between data centres, which all paths that cross share."""

from collections.abc import Callable
from itertools import pairwise

from fulmarward_core.catalogue import TargetCatalogue
from fulmarward_core.fleet import EngineModel
from fulmarward_core.paths import Hop, PathRequest

#: Seconds for which transfers between data centres may queue before a path that crosses
#: counts as having no room. Reading the prompt again on a whole path of another data
#: centre takes about as long.
MAX_QUEUED_S = 0.12


class PipeLimiter:
    """Counts the transfers that this instance and, by its measure, all others make."""

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
        #: Until when transfers queue, as far as known here.
        self._taken_until = float("-inf")

    def take(
        self,
        engine: EngineModel,
        wanted: PathRequest,
        path: tuple[Hop, ...],
    ) -> bool:
        """Reserve the transfers that a path takes; return whether they fit in.

        Others send requests the same way at the same time, so that an instance may
        fill its share of the pipe only.
        """
        crossings = self.count_crossings(path)
        transfer_s = (
            wanted.prompt * engine.activation_bytes * 8 / (engine.pipe_mbps * 1e6)
        )
        now = self._read_clock()
        begins_at = max(now, self._taken_until)
        if crossings and begins_at - now > MAX_QUEUED_S:
            return False
        taken_s = crossings * transfer_s / self._find_share()
        self._taken_until = begins_at + taken_s
        return True

    def count_crossings(
        self, path: tuple[Hop, ...], known: tuple[Hop, ...] = ()
    ) -> int:
        """Return how often a path goes on in another data centre, where it is new.

        `known` is the path that the request had: between two targets of it nothing is
        transferred anew.
        """
        centres = [self._find_centre(hop.target) for hop in path]
        old = {hop.target for hop in known}
        return sum(
            one != other and not (a.target in old and b.target in old)
            for (a, one), (b, other) in pairwise(zip(path, centres, strict=True))
        )

    def _find_centre(self, target: str) -> str:
        record = self._catalogue.find_target(target)
        return "" if record is None else record.data_centre

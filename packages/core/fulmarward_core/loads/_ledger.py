"""What runs on each target: this instance's own requests, and what peers told."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from fulmarward_core.paths import Hop

#: Seconds for which a peer's word counts. Harm: the load of a dead peer keeps targets
#: empty; reason: several of its heartbeats.
_TOLD_S = 2.5


@dataclass(frozen=True, kw_only=True)
class TargetLoad:
    """What is promised to requests at one target."""

    #: KV cache, tokens times layers.
    kv: float = 0.0
    #: Requests that pass through it.
    running: int = 0
    #: Requests for which it is the first of the path.
    first_running: int = 0


_NO_LOAD = TargetLoad()


@dataclass(frozen=True, kw_only=True)
class Promise:
    """What one request takes at the targets of its path, until it is released."""

    #: Number of the promise.
    number: int
    #: Load by target.
    loads: Mapping[str, TargetLoad]


def _add(one: TargetLoad, other: TargetLoad, sign: int = 1) -> TargetLoad:
    return TargetLoad(
        kv=one.kv + sign * other.kv,
        running=one.running + sign * other.running,
        first_running=one.first_running + sign * other.first_running,
    )


class LoadLedger:
    """Promises of this instance, and the sums that peers told."""

    def __init__(self) -> None:
        self._own: dict[str, TargetLoad] = {}
        self._open: dict[int, Promise] = {}
        self._told: dict[str, tuple[float, Mapping[str, TargetLoad]]] = {}
        #: Sums of other data centres, by their name.
        self._centres: dict[str, tuple[float, Mapping[str, TargetLoad]]] = {}
        self._last = 0

    def promise(self, path: Iterable[Hop], tokens: int) -> Promise:
        """Note that a request of that many tokens takes a path."""
        loads = {
            hop.target: TargetLoad(
                kv=float(tokens * len(hop.layers)),
                running=1,
                first_running=int(index == 0),
            )
            for index, hop in enumerate(path)
        }
        return self._open_promise(loads)

    def promise_one(self, target: str) -> Promise:
        """Note that a request runs at one target of a plain service."""
        return self._open_promise({target: TargetLoad(running=1, first_running=1)})

    def _open_promise(self, loads: Mapping[str, TargetLoad]) -> Promise:
        self._last += 1
        promise = Promise(number=self._last, loads=loads)
        self._open[promise.number] = promise
        for target, load in loads.items():
            self._own[target] = _add(self._own.get(target, _NO_LOAD), load)
        return promise

    def release(self, promise: Promise) -> None:
        """A request has ended; releasing it again changes nothing."""
        if self._open.pop(promise.number, None) is None:
            return
        for target, load in promise.loads.items():
            left = _add(self._own[target], load, -1)
            if left.running <= 0:
                del self._own[target]
            else:
                self._own[target] = left

    def list_own(self) -> Mapping[str, TargetLoad]:
        """Return this instance's own load by target, for peers."""
        return dict(self._own)

    def take_told(
        self, peer: str, loads: Mapping[str, TargetLoad], *, now: float
    ) -> None:
        """Take in what a peer tells of its own load."""
        self._told[peer] = (now, loads)

    def take_centre(
        self, data_centre: str, loads: Mapping[str, TargetLoad], *, now: float
    ) -> None:
        """Take in the load of all instances of another data centre together."""
        self._centres[data_centre] = (now, loads)

    def find_centre_load(self, data_centre: str) -> Mapping[str, TargetLoad]:
        """Return what was last told of another data centre."""
        return self._centres.get(data_centre, (0.0, {}))[1]

    def sum_nearby(self, *, now: float) -> dict[str, TargetLoad]:
        """Return the load by target of this instance and those that it is linked to."""
        return _sum_told(dict(self._own), self._told, now)

    def sum_loads(self, *, now: float) -> dict[str, TargetLoad]:
        """Return the load by target, of this instance and all others."""
        return _sum_told(self.sum_nearby(now=now), self._centres, now)

    def find_load(self, target: str, *, now: float) -> TargetLoad:
        """Return the load of one target, of this instance and all others."""
        return self.sum_loads(now=now).get(target, _NO_LOAD)


def _sum_told(
    total: dict[str, TargetLoad],
    told: dict[str, tuple[float, Mapping[str, TargetLoad]]],
    now: float,
) -> dict[str, TargetLoad]:
    """Add what was told lately to `total`; forget what is older."""
    for teller, (at, loads) in list(told.items()):
        if now - at > _TOLD_S:
            del told[teller]
            continue
        for target, load in loads.items():
            total[target] = _add(total.get(target, _NO_LOAD), load)
    return total

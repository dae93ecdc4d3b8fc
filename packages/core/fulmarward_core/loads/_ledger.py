"""What runs on each target: this instance's own requests, and what peers report."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Protocol

from fulmarward_core.paths import Hop

#: Seconds for which a peer's report counts: several of its heartbeats.
_REPORT_DURATION_S = 2.5


class Load(Protocol):
    """What requests take at one target, as an instance adds it up."""

    @property
    def kv(self) -> float:
        """KV cache, tokens times layers."""

    @property
    def running(self) -> int:
        """Requests that pass through it."""

    @property
    def first_running(self) -> int:
        """Requests for which it is the first of the path."""


@dataclass(frozen=True, kw_only=True)
class TargetLoad:
    """What is reserved to requests at one target."""

    #: KV cache, tokens times layers.
    kv: float = 0.0
    #: Requests that pass through it.
    running: int = 0
    #: Requests for which it is the first of the path.
    first_running: int = 0


_NO_LOAD = TargetLoad()


@dataclass(frozen=True, kw_only=True)
class Reservation:
    """What one request takes at the targets of its path, until it is released."""

    #: Number of the reservation.
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
    """Reservations of this instance, and the loads that peers report."""

    def __init__(self) -> None:
        self._own: dict[str, TargetLoad] = {}
        self._open: dict[int, Reservation] = {}
        self._reports: dict[str, tuple[float, Mapping[str, Load]]] = {}
        #: Sums of other data centres, by their name.
        self._centres: dict[str, tuple[float, Mapping[str, Load]]] = {}
        self._last = 0

    def reserve(self, path: Iterable[Hop], tokens: int) -> Reservation:
        """Note that a request of that many tokens takes a path."""
        loads = {
            hop.target: TargetLoad(
                kv=float(tokens * len(hop.layers)),
                running=1,
                first_running=int(index == 0),
            )
            for index, hop in enumerate(path)
        }
        return self._open_reservation(loads)

    def reserve_one(self, target: str) -> Reservation:
        """Note that a request runs at one target of a plain service."""
        return self._open_reservation({target: TargetLoad(running=1, first_running=1)})

    def _open_reservation(self, loads: Mapping[str, TargetLoad]) -> Reservation:
        self._last += 1
        reservation = Reservation(number=self._last, loads=loads)
        self._open[reservation.number] = reservation
        for target, load in loads.items():
            self._own[target] = _add(self._own.get(target, _NO_LOAD), load)
        return reservation

    def release(self, reservation: Reservation) -> None:
        """A request has ended; releasing it again changes nothing."""
        if self._open.pop(reservation.number, None) is None:
            return
        for target, load in reservation.loads.items():
            left = _add(self._own[target], load, -1)
            if left.running <= 0:
                del self._own[target]
            else:
                self._own[target] = left

    def list_own(self) -> Mapping[str, TargetLoad]:
        """Return this instance's own load by target, for peers."""
        return dict(self._own)

    def merge_report(self, peer: str, loads: Mapping[str, Load], *, now: float) -> None:
        """Take in a peer's report of its own load."""
        self._reports[peer] = (now, loads)

    def merge_centre(
        self, data_centre: str, loads: Mapping[str, Load], *, now: float
    ) -> None:
        """Take in the load of all instances of another data centre together."""
        self._centres[data_centre] = (now, loads)

    def find_centre_load(self, data_centre: str) -> Mapping[str, Load]:
        """Return the last report on another data centre."""
        return self._centres.get(data_centre, (0.0, {}))[1]

    def sum_nearby(self, *, now: float) -> dict[str, TargetLoad]:
        """Return the load by target of this instance and those that it is linked to."""
        return _sum_loads([self._own, *_list_recent(self._reports, now)])

    def sum_loads(self, *, now: float) -> dict[str, TargetLoad]:
        """Return the load by target, of this instance and all others."""
        return _sum_loads(self._list_all(now))

    def find_load(self, target: str, *, now: float) -> TargetLoad:
        """Return the load of one target, of this instance and all others."""
        loads = [loads.get(target) for loads in self._list_all(now)]
        found = [{target: load} for load in loads if load is not None]
        return _sum_loads(found).get(target, _NO_LOAD)

    def _list_all(self, now: float) -> list[Mapping[str, Load]]:
        """Return all loads that count, the own ones first."""
        reports = _list_recent(self._reports, now)
        return [self._own, *reports, *_list_recent(self._centres, now)]


def _list_recent(
    reports: dict[str, tuple[float, Mapping[str, Load]]], now: float
) -> list[Mapping[str, Load]]:
    """Return the loads that still count; forget older ones."""
    for reporter, (at, _) in list(reports.items()):
        if now - at > _REPORT_DURATION_S:
            del reports[reporter]
    return [loads for _, loads in reports.values()]


def _sum_loads(many: Iterable[Mapping[str, Load]]) -> dict[str, TargetLoad]:
    """Return the sum by target.

    A path is chosen from it several times a second, and a thousand loads are known: a
    load is made for each target once, not for each addition.
    """
    sums: dict[str, list[float]] = {}
    for loads in many:
        for target, load in loads.items():
            known = sums.get(target)
            if known is None:
                sums[target] = [load.kv, load.running, load.first_running]
                continue
            known[0] += load.kv
            known[1] += load.running
            known[2] += load.first_running
    return {
        target: TargetLoad(kv=kv, running=running, first_running=first_running)
        for target, (kv, running, first_running) in sums.items()
    }

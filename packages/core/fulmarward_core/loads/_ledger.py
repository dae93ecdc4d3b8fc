"""What runs on each target: this instance's own requests, and what peers report."""

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from fulmarward_core.loads._sums import (
    NO_LOAD,
    Load,
    LoadSum,
    TargetLoad,
    add_loads,
)
from fulmarward_core.paths import Hop

#: Seconds for which a report counts: several heartbeats.
_REPORT_DURATION_S = 2.5

#: Snapshots of the own loads that are kept until a hub says which one it has added.
_MAX_SNAPSHOTS = 32


@dataclass(frozen=True, kw_only=True)
class Reservation:
    """What one request takes at the targets of its path, until it is released."""

    #: Number of the reservation.
    number: int
    #: Load by target.
    loads: Mapping[str, TargetLoad]


@dataclass(frozen=True, kw_only=True)
class LoadSnapshot:
    """This instance's own loads as they were sent to a hub."""

    #: Rises with each snapshot.
    sequence: int
    #: Load by target.
    loads: Mapping[str, TargetLoad]


@dataclass(frozen=True, kw_only=True)
class HubLoads:
    """What a hub reports of the loads of all instances together."""

    #: Name of the hub.
    hub: str
    #: Whether all targets with a load are listed, not only those that changed since
    #: the hub's last report.
    is_full: bool
    #: Load by target; none at all where nothing runs any more.
    loads: Mapping[str, Load]
    #: Sequence of this instance's snapshot that is part of them, `None` for no one.
    included: int | None


@dataclass(kw_only=True)
class _Report:
    """The last report of a peer or data centre, and when it came."""

    at: float
    loads: Mapping[str, Load]


class LoadLedger:
    """Reservations of this instance, and the loads that peers report.

    An instance that hears all peers adds up what each of them reports. One that hears
    a hub takes the hub's sum, without its own part of it, which it knows better.
    """

    def __init__(self, *, note_changed: Callable[[], None] = lambda: None) -> None:
        #: Called whenever the load of a target changes.
        self._note_changed = note_changed
        self._open: dict[int, Reservation] = {}
        self._last_number = 0
        self._all: dict[str, TargetLoad] = {}
        #: The number of the last change, and of the last one of each target.
        self.revision = 0
        self._changed: dict[str, int] = {}
        #: The number of the last change of the own loads.
        self.own_revision = 0
        self._own = LoadSum(note_changed=self._refresh)
        self._near = LoadSum(note_changed=self._refresh)
        self._far = LoadSum(note_changed=self._refresh)
        self._reports: dict[str, _Report] = {}
        self._centres: dict[str, _Report] = {}
        #: The hub that is followed, when it reported last, its sum, and the own part.
        self._hub: str | None = None
        self._hub_at = float("-inf")
        self._fleet: dict[str, Load] = {}
        self._included: Mapping[str, TargetLoad] = {}
        self._snapshots: deque[LoadSnapshot] = deque(maxlen=_MAX_SNAPSHOTS)

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
        self._last_number += 1
        reservation = Reservation(number=self._last_number, loads=loads)
        self._open[reservation.number] = reservation
        self._own.add(loads)
        self.own_revision = self.revision
        return reservation

    def release(self, reservation: Reservation) -> None:
        """A request has ended; releasing it again changes nothing."""
        if self._open.pop(reservation.number, None) is not None:
            self._own.subtract(reservation.loads)
            self.own_revision = self.revision

    def list_own(self) -> Mapping[str, TargetLoad]:
        """Return this instance's own load by target, for peers."""
        return dict(self._own.loads)

    def has_own(self) -> bool:
        """Return whether requests of this instance run."""
        return bool(self._own.loads)

    def list_reporters(self) -> list[str]:
        """Return the peers whose reports of their own loads are added up."""
        return list(self._reports)

    def take_snapshot(self, sequence: int) -> LoadSnapshot:
        """Return the own loads for hubs; the last ones are kept until they are added.

        `sequence` is higher than that of any earlier start of this instance.
        """
        if self._snapshots:
            sequence = max(sequence, self._snapshots[-1].sequence + 1)
        snapshot = LoadSnapshot(sequence=sequence, loads=self.list_own())
        self._snapshots.append(snapshot)
        return snapshot

    def merge_report(self, peer: str, loads: Mapping[str, Load], *, now: float) -> None:
        """Take in a peer's report of its own load."""
        _merge(self._reports, self._near, peer, loads, now)

    def merge_centre(
        self, data_centre: str, loads: Mapping[str, Load], *, now: float
    ) -> None:
        """Take in the load of all instances of another data centre together."""
        _merge(self._centres, self._far, data_centre, loads, now)

    def merge_fleet(self, report: HubLoads, *, now: float) -> bool:
        """Take in a hub's report of the loads of all instances, this one included.

        Return whether it could be: what only changed says nothing without the full
        report that the same hub sent before.
        """
        if report.hub != self._hub and not report.is_full:
            return False
        changed = {*report.loads, *self._included}
        if report.is_full:
            changed |= {*self._fleet, *self._all}
            self._fleet = {}
        self._hub, self._hub_at = report.hub, now
        for target, load in report.loads.items():
            if load.running or load.kv:
                self._fleet[target] = load
            else:
                self._fleet.pop(target, None)
        self._included = self._find_snapshot(report.included)
        changed.update(self._included)
        for target in changed:
            self._refresh(target)
        return True

    def _find_snapshot(self, sequence: int | None) -> Mapping[str, TargetLoad]:
        """Return the own loads that a hub has added; older ones are of no use."""
        while self._snapshots and sequence is not None:
            if self._snapshots[0].sequence >= sequence:
                break
            self._snapshots.popleft()
        known = self._snapshots[0] if self._snapshots else None
        is_found = known is not None and known.sequence == sequence
        return known.loads if is_found else {}

    def leave_hub(self) -> None:
        """Add up what peers report from now on: this instance hears all of them."""
        if self._hub is None:
            return
        left = {*self._fleet, *self._included, *self._all}
        self._hub, self._fleet, self._included = None, {}, {}
        for target in left | {*self._near.loads, *self._far.loads}:
            self._refresh(target)

    def find_centre_load(self, data_centre: str) -> Mapping[str, Load]:
        """Return the last report on another data centre."""
        known = self._centres.get(data_centre)
        return {} if known is None else known.loads

    def sum_nearby(self, *, now: float) -> dict[str, TargetLoad]:
        """Return the load by target of this instance and those that it is linked to."""
        self._expire(now)
        total = dict(self._near.loads)
        for target, load in self._own.loads.items():
            total[target] = add_loads(total.get(target, NO_LOAD), load)
        return total

    def sum_loads(self, *, now: float) -> Mapping[str, TargetLoad]:
        """Return the load by target, of this instance and all others.

        What is returned changes with the loads.
        """
        self._expire(now)
        return self._all

    def find_load(self, target: str, *, now: float) -> TargetLoad:
        """Return the load of one target, of this instance and all others."""
        return self.sum_loads(now=now).get(target, NO_LOAD)

    def list_changes(self, *, after: int, now: float) -> dict[str, TargetLoad]:
        """Return the loads that changed after a revision, of idle targets as well."""
        self._expire(now)
        return {
            target: self._all.get(target, NO_LOAD)
            for target, revision in self._changed.items()
            if revision > after
        }

    def _expire(self, now: float) -> None:
        """Forget reports that no longer count."""
        _drop_old(self._reports, self._near, now)
        _drop_old(self._centres, self._far, now)
        if self._hub is not None and now - self._hub_at > _REPORT_DURATION_S:
            self.leave_hub()

    def _refresh(self, target: str) -> None:
        """Add up the load of a target again."""
        if self._hub is None:
            parts = (self._own.loads, self._near.loads, self._far.loads)
        else:
            parts = (self._own.loads, self._fleet)
        loads = [loads[target] for loads in parts if target in loads]
        self.revision += 1
        self._changed[target] = self.revision
        self._note_changed()
        if not loads:
            self._all.pop(target, None)
            return
        total = NO_LOAD
        for load in loads:
            total = add_loads(total, load)
        if self._hub is not None and target in self._included:
            total = _subtract(total, self._included[target])
        self._all[target] = total


def _subtract(total: Load, part: Load) -> TargetLoad:
    """Return a load without a part of it, which may be newer than the load."""
    left = add_loads(total, part, -1)
    return TargetLoad(
        kv=max(0.0, left.kv),
        running=max(0, left.running),
        first_running=max(0, left.first_running),
    )


def _merge(
    reports: dict[str, _Report],
    total: LoadSum,
    reporter: str,
    loads: Mapping[str, Load],
    now: float,
) -> None:
    known = reports.get(reporter)
    if known is not None and known.loads != loads:
        total.subtract(known.loads)
        total.add(loads)
    elif known is None:
        total.add(loads)
    reports[reporter] = _Report(at=now, loads=loads)


def _drop_old(reports: dict[str, _Report], total: LoadSum, now: float) -> None:
    old = [
        reporter
        for reporter, report in reports.items()
        if now - report.at > _REPORT_DURATION_S
    ]
    for reporter in old:
        total.subtract(reports.pop(reporter).loads)

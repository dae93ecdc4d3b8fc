"""Load of each target: requests of this instance, and reports of its peers."""

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

#: Seconds for which a report is valid; several heartbeats.
_REPORT_DURATION_S = 2.5

#: Snapshots of the own loads that are kept until a hub reports which one it included.
_MAX_SNAPSHOTS = 32


@dataclass(frozen=True, kw_only=True)
class Reservation:
    """Resources of one request at the targets of its path, until it is released."""

    #: Unique within the ledger.
    number: int
    #: Load by target.
    loads: Mapping[str, TargetLoad]


@dataclass(frozen=True, kw_only=True)
class LoadSnapshot:
    """This instance's own loads as they were sent to a hub."""

    #: Increases with each snapshot.
    sequence: int
    #: Load by target.
    loads: Mapping[str, TargetLoad]


@dataclass(frozen=True, kw_only=True)
class HubReport:
    """Report of a hub on the combined loads of all instances."""

    #: Name of the hub.
    hub: str
    #: Whether it lists all targets with a load, and not only those that changed since
    #: the last report of the hub.
    is_full: bool
    #: Load by target; zero if nothing runs there any more.
    loads: Mapping[str, Load]
    #: Sequence of this instance's snapshot that they include; `None` for none.
    included: int | None


@dataclass(kw_only=True)
class _Report:
    """The last report of a peer or data centre, and when it arrived."""

    at: float
    loads: Mapping[str, Load]


class LoadLedger:
    """Reservations of this instance, and the loads that peers report.

    An instance that is connected to all peers sums up their reports. One that follows a
    hub uses the sum of the hub, but replaces its own part by its current loads.
    """

    def __init__(self, *, note_changed: Callable[[], None] = lambda: None) -> None:
        #: Called whenever the load of a target changes.
        self._note_changed = note_changed
        self._reservations: dict[int, Reservation] = {}
        self._last_number = 0
        self._totals: dict[str, TargetLoad] = {}
        #: Revision of the last change, and of the last change by target.
        self.revision = 0
        self._changed_at: dict[str, int] = {}
        #: Revision of the last change of the own loads.
        self.own_revision = 0
        self._own_sum = LoadSum(note_changed=self._refresh)
        self._peer_sum = LoadSum(note_changed=self._refresh)
        self._centre_sum = LoadSum(note_changed=self._refresh)
        self._peer_reports: dict[str, _Report] = {}
        self._centre_reports: dict[str, _Report] = {}
        #: The hub that is followed, the time of its last report, its sum, and the part
        #: of this instance in that sum.
        self._hub: str | None = None
        self._hub_reported_at = float("-inf")
        self._hub_loads: dict[str, Load] = {}
        self._own_in_hub_loads: Mapping[str, TargetLoad] = {}
        self._snapshots: deque[LoadSnapshot] = deque(maxlen=_MAX_SNAPSHOTS)

    def reserve(self, path: Iterable[Hop], tokens: int) -> Reservation:
        """Reserve KV cache for `tokens` at each target of a request's path."""
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
        """Reserve one target of a plain service for a request."""
        return self._open_reservation({target: TargetLoad(running=1, first_running=1)})

    def _open_reservation(self, loads: Mapping[str, TargetLoad]) -> Reservation:
        self._last_number += 1
        reservation = Reservation(number=self._last_number, loads=loads)
        self._reservations[reservation.number] = reservation
        self._own_sum.add(loads)
        self.own_revision = self.revision
        return reservation

    def release(self, reservation: Reservation) -> None:
        """Release the reservation of a request; a second release has no effect."""
        if self._reservations.pop(reservation.number, None) is not None:
            self._own_sum.subtract(reservation.loads)
            self.own_revision = self.revision

    def list_own(self) -> Mapping[str, TargetLoad]:
        """Return the load of this instance by target, for its peers."""
        return dict(self._own_sum.loads)

    def has_own(self) -> bool:
        """Return whether any request of this instance is running."""
        return bool(self._own_sum.loads)

    def list_reporters(self) -> list[str]:
        """Return the peers whose reports are included."""
        return list(self._peer_reports)

    def find_scale(self, instances: int, *, now: float) -> float:
        """Return by which factor the load of all `instances` may exceed the known one.

        It is 1 with the reports of a hub, or of all peers.
        """
        self._expire(now)
        if self._hub is not None:
            return 1.0
        return max(1.0, instances / (1 + len(self._peer_reports)))

    def take_snapshot(self, sequence: int) -> LoadSnapshot:
        """Return a snapshot of the own loads for hubs, and keep it for their reports.

        `sequence` must be higher than in any earlier run of this instance.
        """
        if self._snapshots:
            sequence = max(sequence, self._snapshots[-1].sequence + 1)
        snapshot = LoadSnapshot(sequence=sequence, loads=self.list_own())
        self._snapshots.append(snapshot)
        return snapshot

    def merge_report(self, peer: str, loads: Mapping[str, Load], *, now: float) -> None:
        """Replace the load that a peer reports for itself."""
        _merge(self._peer_reports, self._peer_sum, peer, loads, now)

    def merge_data_centre(
        self, data_centre: str, loads: Mapping[str, Load], *, now: float
    ) -> None:
        """Replace the combined load of all instances of another data centre."""
        _merge(self._centre_reports, self._centre_sum, data_centre, loads, now)

    def merge_hub_report(self, report: HubReport, *, now: float) -> bool:
        """Apply a hub's report on the loads of all instances, including this one.

        Return whether it was applied: a report of changes is unusable without a
        previous full report of the same hub.
        """
        if report.hub != self._hub and not report.is_full:
            return False
        changed = {*report.loads, *self._own_in_hub_loads}
        if report.is_full:
            changed |= {*self._hub_loads, *self._totals}
            self._hub_loads = {}
        self._hub, self._hub_reported_at = report.hub, now
        for target, load in report.loads.items():
            if load.running or load.kv:
                self._hub_loads[target] = load
            else:
                self._hub_loads.pop(target, None)
        self._own_in_hub_loads = self._find_snapshot(report.included)
        changed.update(self._own_in_hub_loads)
        for target in changed:
            self._refresh(target)
        return True

    def _find_snapshot(self, sequence: int | None) -> Mapping[str, TargetLoad]:
        """Return the own loads that a hub included, and drop older snapshots."""
        while self._snapshots and sequence is not None:
            if self._snapshots[0].sequence >= sequence:
                break
            self._snapshots.popleft()
        known = self._snapshots[0] if self._snapshots else None
        is_found = known is not None and known.sequence == sequence
        return known.loads if is_found else {}

    def leave_hub(self) -> None:
        """Use the sum of the peers' reports instead of the sum of a hub."""
        if self._hub is None:
            return
        changed = {*self._hub_loads, *self._own_in_hub_loads, *self._totals}
        self._hub, self._hub_loads, self._own_in_hub_loads = None, {}, {}
        for target in changed | {*self._peer_sum.loads, *self._centre_sum.loads}:
            self._refresh(target)

    def find_data_centre_load(self, data_centre: str) -> Mapping[str, Load]:
        """Return the last reported load of another data centre."""
        known = self._centre_reports.get(data_centre)
        return {} if known is None else known.loads

    def sum_linked(self, *, now: float) -> dict[str, TargetLoad]:
        """Return the load by target of this instance and its directly linked peers."""
        self._expire(now)
        total = dict(self._peer_sum.loads)
        for target, load in self._own_sum.loads.items():
            total[target] = add_loads(total.get(target, NO_LOAD), load)
        return total

    def sum_loads(self, *, now: float) -> Mapping[str, TargetLoad]:
        """Return the load by target of this instance and all others, as a live view."""
        self._expire(now)
        return self._totals

    def find_load(self, target: str, *, now: float) -> TargetLoad:
        """Return the load of one target from this instance and all others."""
        return self.sum_loads(now=now).get(target, NO_LOAD)

    def list_changes(self, *, after: int, now: float) -> dict[str, TargetLoad]:
        """Return the loads that changed after a revision, including idle targets."""
        self._expire(now)
        return {
            target: self._totals.get(target, NO_LOAD)
            for target, revision in self._changed_at.items()
            if revision > after
        }

    def _expire(self, now: float) -> None:
        """Remove expired reports."""
        _drop_expired(self._peer_reports, self._peer_sum, now)
        _drop_expired(self._centre_reports, self._centre_sum, now)
        if self._hub is not None and now - self._hub_reported_at > _REPORT_DURATION_S:
            self.leave_hub()

    def _refresh(self, target: str) -> None:
        """Recompute the total load of a target."""
        if self._hub is None:
            parts = (self._own_sum.loads, self._peer_sum.loads, self._centre_sum.loads)
        else:
            parts = (self._own_sum.loads, self._hub_loads)
        loads = [loads[target] for loads in parts if target in loads]
        self.revision += 1
        self._changed_at[target] = self.revision
        self._note_changed()
        if not loads:
            self._totals.pop(target, None)
            return
        total = NO_LOAD
        for load in loads:
            total = add_loads(total, load)
        if self._hub is not None and target in self._own_in_hub_loads:
            total = _subtract(total, self._own_in_hub_loads[target])
        self._totals[target] = total


def _subtract(total: Load, part: Load) -> TargetLoad:
    """Return a load minus a part of it, which may be newer; never below zero."""
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


def _drop_expired(reports: dict[str, _Report], total: LoadSum, now: float) -> None:
    old = [
        reporter
        for reporter, report in reports.items()
        if now - report.at > _REPORT_DURATION_S
    ]
    for reporter in old:
        total.subtract(reports.pop(reporter).loads)

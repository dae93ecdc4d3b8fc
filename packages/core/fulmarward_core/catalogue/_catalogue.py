"""Catalogue of all known targets, fed by the store and by peers.

Rows carry the store's version of their last change, so that updates may arrive from any
source, in any order and repeatedly: the highest version of a row wins.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from operator import attrgetter

from fulmarward_core.catalogue._addresses import AddressTable
from fulmarward_core.fleet import RowFault, TargetRecord
from fulmarward_core.store_versions import find_era, find_number

#: Seconds after an outage of the store within which targets write their rows again if
#: these expired during the outage.
RECOVERY_DURATION_S = 1.9

#: Seconds without a confirmation, by the store or a peer, after which rows may have
#: expired although their targets are alive. Shorter than the time to live of a row.
EXPIRY_AGE_S = 2.0

#: Seconds without a confirmation after which targets may have started to leave
#: unnoticed. Longer than two reads and a heartbeat interval.
STALE_AGE_S = 1.2

#: Seconds for which a removed row is kept as a tombstone. Guards against a peer with an
#: outdated catalogue that would restore it.
_TOMBSTONE_DURATION_S = 60.0


@dataclass(frozen=True, kw_only=True)
class KnownRow:
    """Latest known version of a target's row."""

    #: Name of the target.
    name: str
    #: The store's version of the row's last change.
    version: int
    #: The row's bytes as read, to send to peers; `None` once it was removed.
    value: bytes | None
    #: The decoded row, `None` if it describes no usable target.
    record: TargetRecord | None
    #: When this version became known here, in seconds on the monotonic clock.
    heard_at: float
    #: Name of the target that has taken its address, `None` if none has.
    superseded_by: str | None = None
    #: Why the row describes no usable target, `None` if it does or was removed.
    fault: RowFault | None = None


#: Upper bound on the targets remembered as having announced that they leave.
_MAX_ANNOUNCED = 1024


@dataclass(frozen=True, kw_only=True)
class LeaveAnnouncement:
    """What a target said in an answer, beside what its row says: that it leaves."""

    #: Name of the process that leaves.
    process: str
    #: When the answer arrived, in seconds on the monotonic clock.
    at: float


class TargetCatalogue:
    """The rows of all targets, and when they were last confirmed."""

    def __init__(
        self, *, may_be_used: Callable[[TargetRecord], bool] = lambda record: True
    ) -> None:
        #: Returns whether a target may take the address of another one.
        self._may_be_used = may_be_used
        self._rows: dict[str, KnownRow] = {}
        #: Version at which the content of each row last changed.
        self._changed_versions: dict[str, int] = {}
        #: When each target that leaves, or was removed, did so at the earliest.
        self._leaving_since: dict[str, float] = {}
        #: Targets that announced that they leave, by name, the oldest first. A process
        #: that leaves never stays after all, so that this ends with the next start.
        self._announced: dict[str, LeaveAnnouncement] = {}
        self._addresses = AddressTable()
        #: When the latest process known of each target started, in ms since 1970; kept
        #: while its row is.
        self._started_ms: dict[str, int] = {}
        #: Versions of the rows that were kept when the store came back from a copy that
        #: says otherwise, until they are written again.
        self._kept: dict[str, int] = {}
        #: Numbers of the versions in which these were written.
        self._kept_numbers: dict[str, int] = {}
        #: Targets that have not written their rows since the store was restored.
        self._unwritten: set[str] = set()
        #: Records of rows that expired during an outage of the store, with the time.
        self._expired: dict[str, tuple[TargetRecord, float]] = {}
        #: When the store was last known to be out, to this instance or a peer.
        self._store_out_at = float("-inf")
        #: When confirmations resumed after an outage of more than `EXPIRY_AGE_S`.
        self._recovered_at = float("-inf")
        #: When the whole table was first received, from the store or from a peer.
        self._first_read_at = float("-inf")
        #: The store's version up to which every change is known.
        self.version = 0
        #: The version from which on that holds: removals before it were never known.
        self._known_from = 0
        #: Version of the last change of any row's content.
        self._last_changed = 0
        #: When `version` was last confirmed to be current, by the store or a peer; in
        #: seconds on the monotonic clock.
        self.confirmed_at = float("-inf")
        #: Incremented with each change of the result of `list_targets`.
        self.revision = 0

    @property
    def is_known(self) -> bool:
        """Whether the whole list was read at least once."""
        return self.version > 0

    @property
    def content_version(self) -> int:
        """The version since which no row's content has changed, up to `version`.

        A peer that knows all changes up to it knows as much as this catalogue. Rows
        removed before the first read were never known, so the first read counts as a
        change.
        """
        return min(self.version, max(self._known_from, self._last_changed))

    def may_be_incomplete(self, *, now: float) -> bool:
        """Return whether live targets may be missing because their rows expired.

        That is the case during an outage of the store, for `RECOVERY_DURATION_S` after
        it, and for as long after the first read, when the store may just have
        recovered.
        """
        since = max(self._recovered_at, self._first_read_at)
        return (
            now - since < RECOVERY_DURATION_S or now - self.confirmed_at > EXPIRY_AGE_S
        )

    def may_miss_leaving(self, *, now: float) -> bool:
        """Return whether targets may be leaving without this instance's knowledge."""
        return now - self.confirmed_at > STALE_AGE_S

    def apply_full_read(
        self,
        rows: Iterable[KnownRow],
        version: int,
        *,
        now: float,
        confirmed_at: float | None = None,
    ) -> list[KnownRow]:
        """Apply a full read of the table; return the rows with new content.

        Rows that it lacks were removed. One older than what is known is ignored.
        `confirmed_at` is when the store confirmed them, if not at `now`. The first read
        of a new era returns a copy, and what is newer than the copy stays as known.
        """
        if version < self.version:
            return []
        rows = list(rows)
        if self._is_restored(version):
            self._kept.clear()
            rows = [self._choose_row(row, version, now=now) for row in rows]
        present = {row.name for row in rows}
        missing = [name for name, row in self._rows.items() if name not in present]
        removed = [
            KnownRow(name=name, version=version, value=None, record=None, heard_at=now)
            for name in missing
            if self._rows[name].value is not None
        ]
        return self._apply(
            [*rows, *removed],
            version,
            now=now,
            confirmed_at=now if confirmed_at is None else confirmed_at,
            complete_to=0,
        )

    def apply_changes(
        self,
        rows: Iterable[KnownRow],
        version: int,
        *,
        now: float,
        confirmed_at: float | None = None,
    ) -> list[KnownRow]:
        """Apply changed rows, complete up to `version`; return those with new content.

        `confirmed_at` is when the store confirmed them, if not at `now`. Guards against
        a peer that is behind: a row that is unknown here, although it is no newer than
        what is completely known, has been removed and is not listed again. Changes up
        to a version of a later era are all rows.
        """
        if self._is_restored(version):
            return self.apply_full_read(
                rows, version, now=now, confirmed_at=confirmed_at
            )
        return self._apply(
            rows,
            version,
            now=now,
            confirmed_at=now if confirmed_at is None else confirmed_at,
            complete_to=self.version,
        )

    def apply_kept_rows(
        self, rows: Iterable[KnownRow], *, now: float
    ) -> list[KnownRow]:
        """Apply the rows that a peer kept; return those with new content.

        A row kept at the version of the store's own row replaces that. One that is
        unknown here, although it is no newer than what is completely known, is ignored.
        """
        changed_since = min(now, self.confirmed_at)
        usable = [
            row for row in rows if row.name in self._rows or row.version > self.version
        ]
        changed = [
            row
            for row in usable
            if self._apply_row(row, now, changed_since, is_kept=True)
        ]
        self._kept.update({row.name: row.version for row in usable})
        self.revision += bool(changed)
        return changed

    def _apply(
        self,
        rows: Iterable[KnownRow],
        version: int,
        *,
        now: float,
        confirmed_at: float,
        complete_to: int,
    ) -> list[KnownRow]:
        """Apply rows; skip unknown ones up to version `complete_to`."""
        # What has changed may have changed just after the last confirmation.
        changed_since = min(now, self.confirmed_at)
        is_restored = self._is_restored(version)
        if is_restored:
            self._handle_restore(version, now=now)
        if version >= self.version:
            if self.version == 0:
                self._first_read_at = now
                self._known_from = version
            self.version = version
            self._note_confirmed(confirmed_at)
        changed = [
            row
            for row in rows
            if (row.name in self._rows or row.version > complete_to)
            and self._apply_row(row, now, changed_since)
        ]
        if is_restored:
            self._keep_tombstones(version)
        changed = [*self._apply_superseded(now, changed_since), *changed]
        if changed:
            self.revision += 1
            self._drop_tombstones(now)
        return changed

    def _is_restored(self, version: int) -> bool:
        """Return whether a version is of a later era than what is known."""
        return self.version > 0 and find_era(version) > find_era(self.version)

    def _handle_restore(self, version: int, *, now: float) -> None:
        """Prepare for the rows of a new era, in which the store lost its last changes.

        Targets that leave do so whatever the copy says, and those that the copy lacks
        may write their rows again, as after an outage.
        """
        for row in list(self._rows.values()):
            if row.record is not None and row.record.is_leaving:
                self._announce_known_leaving(row.name, row.record)
        for name, (record, _) in self._expired.items():
            if record.is_leaving:
                self._announce_known_leaving(name, record)
        self._unwritten = set(self._rows)
        self._recovered_at = now
        # Peers that know the lost history only must request what was chosen here.
        self._last_changed = max(self._last_changed, version)

    def _announce_known_leaving(self, name: str, record: TargetRecord) -> None:
        known, process = self._announced.get(name), record.process_name
        if known is None or known.process != process:
            since = self._leaving_since[name]
            self._record_announcement(
                name, LeaveAnnouncement(process=process, at=since)
            )

    def _record_announcement(self, name: str, announcement: LeaveAnnouncement) -> None:
        self._announced[name] = announcement
        if len(self._announced) > _MAX_ANNOUNCED:
            del self._announced[next(iter(self._announced))]

    def _choose_row(self, row: KnownRow, version: int, *, now: float) -> KnownRow:
        """Return a row of a restored store, or what is known if that is newer.

        Versions up to the copy's are the same in both histories. A row that was written
        since then may have a lower version than the lost ones; targets write their rows
        often, and then it is taken.
        """
        known = self._rows.get(row.name)
        if (
            known is None
            or row.name in self._expired
            or _was_written_since(row, known, number=self._find_written_number(known))
            or self._is_later_process(row)
            or _is_leaving_of_same_process(row, known)
        ):
            return row
        if known.value is not None and _has_equal_content(known, row):
            return replace(known, version=row.version, heard_at=now)
        # A target that is gone may be listed by the copy, if not by this peer.
        self._keep(known, version)
        return replace(known, version=version, heard_at=now)

    def _find_written_number(self, row: KnownRow) -> int:
        """Return the number of the version in which a known row was written."""
        return self._kept_numbers.get(row.name, find_number(row.version))

    def _keep(self, row: KnownRow, version: int) -> None:
        """Keep a row at a version of the copy, until it is written again."""
        self._kept_numbers[row.name] = self._find_written_number(row)
        self._kept[row.name] = version

    def _is_later_process(self, row: KnownRow) -> bool:
        known_ms = self._started_ms.get(row.name)
        return (
            row.record is not None
            and known_ms is not None
            and row.record.started_ms > known_ms
        )

    def _keep_tombstones(self, version: int) -> None:
        """Keep targets that were gone, also if a peer's copy lists them."""
        era = find_era(version)
        for name, row in self._rows.items():
            is_lost = find_era(row.version) < era and name not in self._expired
            if row.value is None and is_lost:
                self._keep(row, version)
                self._rows[name] = replace(row, version=version)

    def list_kept_rows(self) -> list[KnownRow]:
        """Return the rows that stay as known although the store's copy differs."""
        return [
            self._rows[name]
            for name, version in self._kept.items()
            if name in self._rows and self._rows[name].version == version
        ]

    def confirm(self, content_version: int, *, at: float) -> None:
        """Record that a peer knew of no change after `content_version` until `at`.

        It also confirms this catalogue if all changes up to that version are known.
        What a peer knows of an earlier era confirms nothing.
        """
        is_of_era = find_era(content_version) == find_era(self.version)
        if is_of_era and content_version <= self.version:
            self._note_confirmed(at)

    def record_store_out(self, *, at: float) -> None:
        """Record that the store did not answer this instance or a peer."""
        self._store_out_at = max(self._store_out_at, at)

    def _note_confirmed(self, at: float) -> None:
        """Record that the store confirmed the rows, here or to a peer."""
        if at <= self.confirmed_at:
            return
        # Without an outage, only this instance did not hear of the store, and a row
        # that is missing now was removed.
        was_out = self._store_out_at > self.confirmed_at
        if was_out and at - self.confirmed_at > EXPIRY_AGE_S:
            self._recovered_at = at
        self.confirmed_at = at

    def announce_leaving(self, name: str, *, process: str, at: float) -> bool:
        """Record that a process of a target has announced that it leaves.

        From then on it counts as leaving, whatever its row says. Returns whether it
        counted as staying before, or is not known.
        """
        known = self._announced.get(name)
        record = self.find_target(name)
        is_other = record is not None and record.process_name != process
        if is_other or (known is not None and known.process == process):
            return False
        self._record_announcement(name, LeaveAnnouncement(process=process, at=at))
        if record is None or record.is_leaving:
            return record is None
        leaving = replace(record, is_leaving=True)
        if name in self._expired:
            self._expired[name] = leaving, self._expired[name][1]
        else:
            self._rows[name] = replace(self._rows[name], record=leaving)
        self._leaving_since.setdefault(name, at)
        self.revision += 1
        return True

    def list_announced(self) -> dict[str, LeaveAnnouncement]:
        """Return the targets that announced that they leave."""
        return dict(self._announced)

    def _apply_announcement(self, row: KnownRow) -> KnownRow:
        """Return a row in which a target that announced that it leaves does so."""
        announced = self._announced.get(row.name)
        if announced is None or row.record is None or row.record.is_leaving:
            return row
        if row.record.process_name != announced.process:
            # It has started again.
            del self._announced[row.name]
            return row
        return replace(row, record=replace(row.record, is_leaving=True))

    def _apply_row(
        self,
        row: KnownRow,
        now: float,
        changed_since: float,
        *,
        is_kept: bool = False,
    ) -> bool:
        row = self._apply_announcement(row)
        known = self._rows.get(row.name)
        if known is not None and known.version >= row.version + is_kept:
            return False
        # One that is only kept after a restore was not written again.
        is_written = known is None or row.record is not known.record
        if is_written or row.record is None:
            self._apply_address(row)
        if is_written:
            self._kept_numbers.pop(row.name, None)
        is_first_write = is_written and row.name in self._unwritten
        if is_first_write:
            # Peers may have another row than this instance.
            self._unwritten.discard(row.name)
        if known is not None and _has_equal_content(known, row):
            self._rows[row.name] = row
            if is_first_write:
                self._changed_versions[row.name] = row.version
                self._last_changed = max(self._last_changed, row.version)
            return False
        self._changed_versions[row.name] = row.version
        self._last_changed = max(self._last_changed, row.version)
        is_removed = (
            row.value is None and known is not None and known.record is not None
        )
        if is_removed and self._may_return(now):
            self._expired[row.name] = (known.record, now)
        elif row.record is not None:
            self._expired.pop(row.name, None)
        self._rows[row.name] = row
        if row.record is not None:
            self._started_ms[row.name] = row.record.started_ms
        if row.record is None or row.record.is_leaving:
            self._leaving_since.setdefault(row.name, changed_since)
        else:
            self._leaving_since.pop(row.name, None)
        return True

    def _apply_address(self, row: KnownRow) -> None:
        is_used = row.record is not None and self._may_be_used(row.record)
        self._addresses.apply(
            row.name, row.record if is_used else None, version=row.version
        )

    def update_addresses(self, *, now: float) -> list[KnownRow]:
        """Judge again which targets hold an address; return those that lost theirs.

        To be called when the services that decide on it have changed.
        """
        for row in sorted(self._rows.values(), key=attrgetter("version")):
            if row.record is None:
                continue
            if self._may_be_used(row.record) != self._addresses.holds_address(row.name):
                self._apply_address(row)
        return self._apply_superseded(now, min(now, self.confirmed_at))

    def _apply_superseded(self, now: float, changed_since: float) -> list[KnownRow]:
        """Return rows without records for the targets that have lost their addresses.

        Such a target has ended, although its row stays in the store until it expires.
        """
        superseded, regained = self._addresses.take_changes()
        if superseded or regained:
            self.revision += 1
        for name in regained:
            record, version = self._rows[name].record, self._rows[name].version
            # Peers must learn of it, although the content is the same.
            self._changed_versions[name] = version
            self._last_changed = max(self._last_changed, version)
            if record is not None and not record.is_leaving:
                self._leaving_since.pop(name, None)
        for name in superseded:
            self._leaving_since.setdefault(name, changed_since)
        return [
            replace(
                self._rows[name], record=None, heard_at=now, superseded_by=successor
            )
            for name, successor in superseded.items()
        ]

    def _may_return(self, now: float) -> bool:
        """Return whether a row removed now may have expired during an outage."""
        return now - self._recovered_at < RECOVERY_DURATION_S

    def list_targets(self, *, now: float) -> list[TargetRecord]:
        """Return the targets that may be alive, including leaving ones."""
        records = [
            row.record
            for row in self._rows.values()
            if row.record is not None and not self._addresses.is_superseded(row.name)
        ]
        for name, (record, expired_at) in list(self._expired.items()):
            if (
                now - self._recovered_at >= RECOVERY_DURATION_S
                or now - expired_at >= RECOVERY_DURATION_S
                or self._addresses.is_taken(record.address)
            ):
                del self._expired[name]
                self.revision += 1
            else:
                records.append(record)
        return records

    def list_refused(self) -> list[KnownRow]:
        """Return the rows that describe no usable target."""
        return [row for row in self._rows.values() if row.fault is not None]

    def find_target(self, name: str) -> TargetRecord | None:
        """Return the target of that name, or `None` if it is not listed."""
        row = self._rows.get(name)
        if row is not None and row.record is not None:
            return None if self._addresses.is_superseded(name) else row.record
        expired = self._expired.get(name)
        return None if expired is None else expired[0]

    def has_ended(self, target: TargetRecord) -> bool:
        """Return whether a target was removed, or has started again, since `target`.

        That is not known of one whose row describes no usable target any more.
        """
        row = self._rows.get(target.name)
        if row is not None and row.fault is not None:
            return False
        current = self.find_target(target.name)
        return current is None or current.process_name != target.process_name

    def has_been_replaced(self, target: TargetRecord) -> bool:
        """Return whether a later process has the name or the address of a target.

        It is not known to have the name if one of the two did not say when it started.
        An earlier one is listed after the store was restored from a copy.
        """
        if self._addresses.is_superseded(target.name):
            return True
        current = self.find_target(target.name)
        return current is not None and 0 < target.started_ms < current.started_ms

    def find_records(self, names: Iterable[str]) -> dict[str, TargetRecord]:
        """Return the targets of these names that are listed, by name."""
        found = {name: self.find_target(name) for name in names}
        return {name: record for name, record in found.items() if record is not None}

    def find_leaving_s(self, name: str, *, now: float) -> float:
        """Return for how many seconds at most a target leaves or has been removed.

        That is 0 for one that stays, or whose row may have expired while it is alive.
        """
        if name in self._expired or name not in self._leaving_since:
            return 0.0
        return now - self._leaving_since[name]

    def knows_changes(self, *, after: int) -> bool:
        """Return whether every change after a version is known here.

        Guards against an instance that has just started: it never knew the targets that
        were removed before its first read, and a peer that requested changes from it
        would miss the removals. A peer without any rows (`after` is 0) misses none.
        """
        is_of_earlier_era = find_era(after) < find_era(self.version)
        return after == 0 or is_of_earlier_era or after >= self._known_from

    def list_rows(self, *, after: int) -> list[KnownRow]:
        """Return the rows whose content changed after a version, including removals.

        Targets rewrite their rows periodically to show that they are alive. A rewrite
        with equal content is not sent to peers, since these learn from the store's
        version that the row was not removed. This saves over 99 % of the bytes.

        After a version of an earlier era these are all rows, as after a restore. Rows
        that were kept are always among them: they may have arrived late, with versions
        that the peer knows already.
        """
        if 0 < after and find_era(after) < find_era(self.version):
            return list(self._rows.values())
        changed = self._changed_versions
        kept = {row.name for row in self.list_kept_rows()}
        return [
            row
            for row in self._rows.values()
            if changed[row.name] > after or row.name in kept
        ]

    def _drop_tombstones(self, now: float) -> None:
        for name, row in list(self._rows.items()):
            if row.value is None and now - row.heard_at > _TOMBSTONE_DURATION_S:
                del self._rows[name], self._changed_versions[name]
                self._addresses.forget(name)
                self._leaving_since.pop(name, None)
                self._announced.pop(name, None)
                self._started_ms.pop(name, None)
                self._kept.pop(name, None)
                self._kept_numbers.pop(name, None)
                self._unwritten.discard(name)


def _was_written_since(row: KnownRow, known: KnownRow, *, number: int) -> bool:
    """Return whether a row of a restored store was certainly written after `known`.

    `number` is that of the version in which `known` was written; one that was given out
    twice shows by the other content.
    """
    new_number = find_number(row.version)
    return new_number > number or (new_number == number and row.value != known.value)


def _is_leaving_of_same_process(row: KnownRow, known: KnownRow) -> bool:
    """Return whether a row says that the known process of its target leaves."""
    return (
        row.record is not None
        and known.record is not None
        and row.record.is_leaving
        and row.record.process_name == known.record.process_name
    )


def _has_equal_content(one: KnownRow, other: KnownRow) -> bool:
    if one.record is None or other.record is None:
        return one.record is other.record and one.value == other.value
    return one.record == other.record

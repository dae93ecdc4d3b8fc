"""The targets that an instance knows of, from the store and from peers.

Rows carry the store's version of their last change, so news may come by any way, in
any order and more than once: the highest version of a row counts.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from fulmarward_core.fleet import TargetRecord

#: Seconds after the store's return in which targets whose rows expired meanwhile write
#: them again.
RETURN_DURATION_S = 1.9

#: Seconds without a confirmation, by the store or a peer, after which rows may have
#: expired although their targets live; less than the life of a row.
EXPIRY_AGE_S = 2.0

#: Seconds without a confirmation after which a target may have begun to leave unseen;
#: over two readings and a heartbeat.
STALE_AGE_S = 1.2

#: Seconds for which the row of a target that is gone is remembered. Guards against a
#: peer with an older catalogue that brings it back.
_TOMBSTONE_DURATION_S = 60.0


@dataclass(frozen=True, kw_only=True)
class KnownRow:
    """One target's row as last heard of."""

    #: Id of the target.
    name: str
    #: The store's version of the row's last change.
    version: int
    #: The row's bytes as read, for peers; `None` once it was removed.
    value: bytes | None
    #: What it says, `None` when it names no target to be used.
    record: TargetRecord | None
    #: When this version came to be known here; seconds on the steady clock.
    heard_at: float


class TargetCatalogue:
    """The rows of all targets, and how current they are."""

    def __init__(self) -> None:
        self._rows: dict[str, KnownRow] = {}
        #: Version at which what a row says last changed.
        self._changed: dict[str, int] = {}
        #: Records of targets whose rows went while the store was out.
        self._lapsed: dict[str, tuple[TargetRecord, float]] = {}
        #: When news came again after nobody had any for `EXPIRY_AGE_S`.
        self._regained_at = float("-inf")
        self._known_at = float("-inf")
        #: The store's version up to which every change is known.
        self.version = 0
        #: The version from which on that holds: what went before it was never known.
        self._known_from = 0
        #: Version of the last change that said something new.
        self._last_changed = 0
        #: When that was last confirmed, here or by a peer; steady seconds.
        self.confirmed_at = float("-inf")
        #: Rises with each change of what `list_targets` returns.
        self.revision = 0

    @property
    def is_known(self) -> bool:
        """Whether the whole list was read at least once."""
        return self.version > 0

    @property
    def stated_version(self) -> int:
        """The version after which, up to `version`, nothing changed that matters.

        Whoever knows all changes up to it knows as much as this catalogue. What went
        before the first reading was never known, and counts as a change.
        """
        return min(self.version, max(self._known_from, self._last_changed))

    def may_be_short(self, *, now: float) -> bool:
        """Return whether targets that live may be missing, and are about to be back.

        So after the first reading, when the store may just have come back, and after
        the store's return.
        """
        since = max(self._regained_at, self._known_at)
        return now - since < RETURN_DURATION_S or now - self.confirmed_at > EXPIRY_AGE_S

    def may_lack_leaving(self, *, now: float) -> bool:
        """Return whether targets may be leaving without its being known here."""
        return now - self.confirmed_at > STALE_AGE_S

    def take_all(self, rows: Iterable[KnownRow], version: int, *, now: float) -> None:
        """Take in a full reading of the table: rows that it lacks are gone."""
        if version < self.version:
            return
        rows = list(rows)
        present = {row.name for row in rows}
        missing = [name for name, row in self._rows.items() if name not in present]
        removed = [
            KnownRow(name=name, version=version, value=None, record=None, heard_at=now)
            for name in missing
            if self._rows[name].value is not None
        ]
        self.take_changes([*rows, *removed], version, now=now)

    def take_changes(
        self,
        rows: Iterable[KnownRow],
        version: int,
        *,
        now: float,
        confirmed_at: float | None = None,
    ) -> list[KnownRow]:
        """Take in changed rows, complete up to `version`; return the news.

        `confirmed_at` is when the store told so, where that was not just now.
        """
        if version >= self.version:
            if self.version == 0:
                self._known_at = now
                self._known_from = version
            self.version = version
            self._note_confirmed(now if confirmed_at is None else confirmed_at)
        news = [row for row in rows if self._take_row(row, now)]
        if news:
            self.revision += 1
            self._forget(now)
        return news

    def confirm(self, stated_version: int, *, at: float) -> None:
        """Note that a peer knew of no change after `stated_version` until `at`.

        That holds here too if all changes up to it are known.
        """
        if stated_version <= self.version:
            self._note_confirmed(at)

    def _note_confirmed(self, at: float) -> None:
        """Note when the store, here or for a peer, last told what there is."""
        if at <= self.confirmed_at:
            return
        if self.confirmed_at > float("-inf") and at - self.confirmed_at > EXPIRY_AGE_S:
            self._regained_at = at
        self.confirmed_at = at

    def _take_row(self, row: KnownRow, now: float) -> bool:
        known = self._rows.get(row.name)
        if known is not None and known.version >= row.version:
            return False
        if known is not None and _says_the_same(known, row):
            self._rows[row.name] = row
            return False
        self._changed[row.name] = row.version
        self._last_changed = max(self._last_changed, row.version)
        has_gone = row.value is None and known is not None and known.record is not None
        if has_gone and self._may_return(now):
            self._lapsed[row.name] = (known.record, now)
        elif row.record is not None:
            self._lapsed.pop(row.name, None)
        self._rows[row.name] = row
        return True

    def _may_return(self, now: float) -> bool:
        """Whether a row that goes now may have lapsed while the store was out."""
        return now - self._regained_at < RETURN_DURATION_S

    def list_targets(self, *, now: float) -> list[TargetRecord]:
        """Return the targets that may be there, leaving ones included."""
        records = [row.record for row in self._rows.values() if row.record is not None]
        for name, (record, gone_at) in list(self._lapsed.items()):
            if (
                now - self._regained_at >= RETURN_DURATION_S
                or now - gone_at >= RETURN_DURATION_S
            ):
                del self._lapsed[name]
                self.revision += 1
            else:
                records.append(record)
        return records

    def find_target(self, name: str) -> TargetRecord | None:
        """Return the target of that name, if it is listed."""
        row = self._rows.get(name)
        if row is not None and row.record is not None:
            return row.record
        lapsed = self._lapsed.get(name)
        return None if lapsed is None else lapsed[0]

    def knows_changes(self, *, after: int) -> bool:
        """Return whether every change after a version is known here.

        Guards against an instance that has just started: it never knew the targets
        that went before its first reading, and a peer that asked it for what changed
        would not hear that they are gone. One that knows nothing at all may be told.
        """
        return after == 0 or after >= self._known_from

    def list_rows(self, *, after: int) -> list[KnownRow]:
        """Return the rows that say something new since a version, or were removed.

        Targets write their rows again and again to show that they live; what says the
        same as before is no news to a peer, which trusts the store's word that a row
        was not removed. That leaves under a hundredth of the bytes.
        """
        changed = self._changed
        return [row for row in self._rows.values() if changed[row.name] > after]

    def _forget(self, now: float) -> None:
        for name, row in list(self._rows.items()):
            if row.value is None and now - row.heard_at > _TOMBSTONE_DURATION_S:
                del self._rows[name], self._changed[name]


def _says_the_same(one: KnownRow, other: KnownRow) -> bool:
    if one.record is None or other.record is None:
        return one.record is other.record and one.value == other.value
    return one.record == other.record

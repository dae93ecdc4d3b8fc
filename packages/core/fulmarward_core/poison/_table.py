"""The crashes of targets that parts of prompts may have caused.

Tables of several instances are merged by the union of their records, of which each only
ever gains properties. So all instances reach the same findings, in whatever order they
hear of the crashes.
"""

from collections import OrderedDict
from collections.abc import Collection, Iterable
from dataclasses import dataclass, replace

from fulmarward_core.poison.decisions import (
    SUSPENSION_S,
    CrashRecord,
    PoisonFinding,
    Verdict,
    find_poison,
)

#: Upper bounds on the parts with records, on those of which only one team is known, and
#: on the records of one part.
MAX_PARTS = 256
_MAX_PARTS_PER_TEAM = 64
_MAX_CRASHES_PER_PART = 16

#: Upper bound on the parts remembered as proven harmless.
_MAX_PROVEN_PARTS = 4096

#: Seconds for which a part counts as trusted after it was proven harmless.
_TRUST_DURATION_S = 30.0

#: Seconds for which the records of a part are kept that is not blocked.
_RECORD_RETENTION_S = 600.0

#: Seconds for which a blocked part is kept after it was last in a request.
BLOCK_RETENTION_S = 24 * 3600.0

#: Seconds after which peers are notified again that a blocked part is still requested.
_RENEWAL_INTERVAL_S = 3600.0

#: Seconds between two checks for records to drop.
_EXPIRY_INTERVAL_S = 1.0


@dataclass(frozen=True, kw_only=True)
class SeenPart:
    """The records of a part, and when a crash or rejection last involved it."""

    part: str
    #: When a target last crashed under it, or a request with it was last rejected, in
    #: seconds on the monotonic clock.
    seen_at: float
    crashes: tuple[CrashRecord, ...]


class PoisonTable:
    """The crash records by part, and what follows from them."""

    def __init__(self) -> None:
        #: Records by part, and by target and team.
        self._crashes: dict[str, dict[tuple[str, str], CrashRecord]] = {}
        self._seen_at: dict[str, float] = {}
        #: When each part was last proven harmless, the oldest first.
        self._proven_at: OrderedDict[str, float] = OrderedDict()
        self._expired_at = float("-inf")
        self._findings: tuple[PoisonFinding, ...] = ()
        #: The parts in any finding.
        self._found_parts: frozenset[str] = frozenset()

    @property
    def findings(self) -> tuple[PoisonFinding, ...]:
        """What follows from the records, those with most evidence first."""
        return self._findings

    def record_crash(
        self,
        *,
        target: str,
        team: str,
        parts: Iterable[str],
        is_strong: bool,
        now: float,
    ) -> list[str]:
        """Record a target that crashed under a request; return the parts changed."""
        records = [
            CrashRecord(
                part=part,
                target=target,
                team=team,
                at=now,
                is_strong=is_strong,
                is_trusted=now - self._find_proven_at(part) < _TRUST_DURATION_S,
            )
            for part in parts
        ]
        return self._add(records, now=now)

    def merge(self, seen_parts: Iterable[SeenPart], *, now: float) -> list[str]:
        """Merge the records of a peer; return the parts of which it knew more."""
        changed = []
        for seen in seen_parts:
            known_at = self._seen_at.get(seen.part, float("-inf"))
            is_changed = bool(self._add(seen.crashes, now=now))
            if seen.part in self._crashes:
                self._seen_at[seen.part] = max(known_at, seen.seen_at)
                is_changed |= seen.seen_at - known_at > _RENEWAL_INTERVAL_S / 2
            if is_changed:
                changed.append(seen.part)
        return changed

    def record_proven(self, parts: Iterable[str], *, now: float) -> list[str]:
        """Record that a request with these parts was answered by a target that lives.

        Returns the parts whose records are cleared by that.
        """
        cleared = []
        for part in parts:
            self._proven_at[part] = now
            self._proven_at.move_to_end(part)
            if part in self._crashes and self._clear(part):
                cleared.append(part)
        while len(self._proven_at) > _MAX_PROVEN_PARTS:
            self._proven_at.popitem(last=False)
        if cleared:
            self._update_findings()
        return cleared

    def lift(self, part: str) -> bool:
        """Clear the records of a part; return whether there were any."""
        is_changed = part in self._crashes and self._clear(part)
        if is_changed:
            self._update_findings()
        return is_changed

    def find_rejection(
        self, parts: Collection[str], *, team: str, now: float
    ) -> PoisonFinding | None:
        """Return the finding for which a request is rejected, `None` if it is not."""
        if self._found_parts.isdisjoint(parts):
            return None
        self._expire(now)
        for finding in self._findings:
            is_over = now - finding.last_crash_at >= SUSPENSION_S
            if finding.verdict is Verdict.SUSPENDED and is_over:
                continue
            if finding.matches(parts, team):
                return finding
        return None

    def renew(self, finding: PoisonFinding, *, now: float) -> list[str]:
        """Record a request with blocked parts; return those to notify peers of."""
        due = [
            part
            for part in finding.parts
            if now - self._seen_at.get(part, now) >= _RENEWAL_INTERVAL_S
        ]
        self._seen_at.update((part, now) for part in due)
        return due

    def list_parts(self) -> frozenset[str]:
        """Return the parts that have records."""
        return frozenset(self._crashes)

    def list_seen(self, parts: Iterable[str] | None = None) -> list[SeenPart]:
        """Return the records of the given parts, by default of all."""
        names = list(self._crashes) if parts is None else parts
        return [
            SeenPart(
                part=part,
                seen_at=self._seen_at[part],
                crashes=tuple(self._crashes[part].values()),
            )
            for part in names
            if part in self._crashes
        ]

    def _find_proven_at(self, part: str) -> float:
        return self._proven_at.get(part, float("-inf"))

    def _clear(self, part: str) -> bool:
        """Mark the records of a part as cleared; return whether any was not."""
        records = self._crashes[part]
        is_changed = any(not record.is_cleared for record in records.values())
        self._crashes[part] = {
            key: replace(record, is_cleared=True) for key, record in records.items()
        }
        return is_changed

    def _add(self, records: Iterable[CrashRecord], *, now: float) -> list[str]:
        """Merge single records; return the parts that changed."""
        changed: dict[str, None] = {}
        for record in records:
            if now - record.at > BLOCK_RETENTION_S:
                continue
            if self._find_proven_at(record.part) > record.at:
                record = replace(record, is_cleared=True)
            if self._add_one(record):
                changed[record.part] = None
                seen_at = self._seen_at.get(record.part, float("-inf"))
                self._seen_at[record.part] = max(seen_at, record.at)
        if changed:
            self._expire(now)
            self._evict()
            self._update_findings()
        return list(changed)

    def _add_one(self, record: CrashRecord) -> bool:
        records = self._crashes.setdefault(record.part, {})
        key = (record.target, record.team)
        known = records.get(key)
        if known is None:
            records[key] = record
            if len(records) > _MAX_CRASHES_PER_PART:
                # All instances must keep the same ones, or each would take those that
                # another one dropped for new.
                dropped = max(records, key=lambda k: (records[k].is_cleared, k))
                del records[dropped]
                return dropped != key
            return True
        merged = replace(
            known,
            is_strong=known.is_strong or record.is_strong,
            is_trusted=known.is_trusted or record.is_trusted,
            is_cleared=known.is_cleared or record.is_cleared,
        )
        records[key] = merged
        return merged != known

    def _update_findings(self) -> None:
        self._findings = find_poison(
            record for records in self._crashes.values() for record in records.values()
        )
        self._found_parts = frozenset(
            part for finding in self._findings for part in finding.parts
        )

    def _list_blocked(self) -> set[str]:
        return {
            part
            for finding in self._findings
            if finding.verdict is Verdict.BLOCKED
            for part in finding.parts
        }

    def _expire(self, now: float) -> None:
        """Drop the parts that were not seen for long enough."""
        if now - self._expired_at < _EXPIRY_INTERVAL_S:
            return
        self._expired_at = now
        blocked = self._list_blocked()
        expired = [
            part
            for part, seen_at in self._seen_at.items()
            if now - seen_at
            > (BLOCK_RETENTION_S if part in blocked else _RECORD_RETENTION_S)
        ]
        self._drop(expired)

    def _evict(self) -> None:
        """Drop the least useful parts beyond the bounds.

        Guards against a team that fills the table: its own parts go first.
        """
        if len(self._crashes) <= _MAX_PARTS_PER_TEAM:
            return
        blocked = self._list_blocked()
        order = sorted(self._seen_at, key=lambda p: (p in blocked, self._seen_at[p]))
        by_team: dict[str, list[str]] = {}
        for part in order:
            teams = {record.team for record in self._crashes[part].values()}
            if len(teams) == 1:
                by_team.setdefault(teams.pop(), []).append(part)
        for parts in by_team.values():
            self._drop(parts[: max(0, len(parts) - _MAX_PARTS_PER_TEAM)])
        left = [part for part in order if part in self._crashes]
        self._drop(left[: max(0, len(left) - MAX_PARTS)])

    def _drop(self, parts: Iterable[str]) -> None:
        dropped = list(parts)
        for part in dropped:
            del self._crashes[part], self._seen_at[part]
        if dropped:
            self._update_findings()

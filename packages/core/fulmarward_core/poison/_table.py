"""The crashes of targets that patterns of prompts may have caused.

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

#: Upper bounds on the patterns with records, on those of which only one team is known,
#: and on the records of one pattern.
MAX_PATTERNS = 256
_MAX_PATTERNS_PER_TEAM = 64
_MAX_CRASHES_PER_PATTERN = 16

#: Upper bound on the patterns remembered as proven harmless.
_MAX_PROVEN_PATTERNS = 4096

#: Seconds for which a pattern counts as trusted after it was proven harmless.
_TRUST_DURATION_S = 30.0

#: Seconds for which the records of a pattern are kept that is not blocked.
_RECORD_RETENTION_S = 600.0

#: Seconds for which a blocked pattern is kept after it was last in a request.
BLOCK_RETENTION_S = 24 * 3600.0

#: Seconds after which peers are notified again that a blocked pattern still comes.
_RENEWAL_INTERVAL_S = 3600.0

#: Seconds between two checks for records to drop.
_EXPIRY_INTERVAL_S = 1.0


@dataclass(frozen=True, kw_only=True)
class SeenPattern:
    """The records of a pattern, and when a crash or rejection last involved it."""

    pattern: str
    #: When a target last crashed under it, or a request with it was last rejected, in
    #: seconds on the monotonic clock.
    seen_at: float
    crashes: tuple[CrashRecord, ...]


class PoisonTable:
    """The crash records by pattern, and what follows from them."""

    def __init__(self) -> None:
        #: Records by pattern, and by target and team.
        self._crashes: dict[str, dict[tuple[str, str], CrashRecord]] = {}
        self._seen_at: dict[str, float] = {}
        #: When each pattern was last proven harmless, the oldest first.
        self._proven_at: OrderedDict[str, float] = OrderedDict()
        self._expired_at = float("-inf")
        self._findings: tuple[PoisonFinding, ...] = ()
        #: The patterns in any finding.
        self._found_patterns: frozenset[str] = frozenset()

    @property
    def findings(self) -> tuple[PoisonFinding, ...]:
        """What follows from the records, those with most evidence first."""
        return self._findings

    def record_crash(
        self,
        *,
        target: str,
        team: str,
        patterns: Iterable[str],
        is_strong: bool,
        now: float,
    ) -> list[str]:
        """Record a target that crashed under a request; return the patterns changed."""
        records = [
            CrashRecord(
                pattern=pattern,
                target=target,
                team=team,
                at=now,
                is_strong=is_strong,
                is_trusted=now - self._find_proven_at(pattern) < _TRUST_DURATION_S,
            )
            for pattern in patterns
        ]
        return self._add(records, now=now)

    def merge(self, seen_patterns: Iterable[SeenPattern], *, now: float) -> list[str]:
        """Merge the records of a peer; return the patterns of which it knew more."""
        changed = []
        for seen in seen_patterns:
            known_at = self._seen_at.get(seen.pattern, float("-inf"))
            is_changed = bool(self._add(seen.crashes, now=now))
            if seen.pattern in self._crashes:
                self._seen_at[seen.pattern] = max(known_at, seen.seen_at)
                is_changed |= seen.seen_at - known_at > _RENEWAL_INTERVAL_S / 2
            if is_changed:
                changed.append(seen.pattern)
        return changed

    def record_proven(self, patterns: Iterable[str], *, now: float) -> list[str]:
        """Record that a target that lives answered a request with these patterns.

        Returns the patterns whose records are cleared by that.
        """
        cleared = []
        for pattern in patterns:
            self._proven_at[pattern] = now
            self._proven_at.move_to_end(pattern)
            if pattern in self._crashes and self._clear(pattern):
                cleared.append(pattern)
        while len(self._proven_at) > _MAX_PROVEN_PATTERNS:
            self._proven_at.popitem(last=False)
        if cleared:
            self._update_findings()
        return cleared

    def lift(self, pattern: str) -> bool:
        """Clear the records of a pattern; return whether there were any."""
        is_changed = pattern in self._crashes and self._clear(pattern)
        if is_changed:
            self._update_findings()
        return is_changed

    def find_rejection(
        self, patterns: Collection[str], *, team: str, now: float
    ) -> PoisonFinding | None:
        """Return the finding for which a request is rejected, `None` if it is not."""
        if self._found_patterns.isdisjoint(patterns):
            return None
        self._expire(now)
        for finding in self._findings:
            is_over = now - finding.last_crash_at >= SUSPENSION_S
            if finding.verdict is Verdict.SUSPENDED and is_over:
                continue
            if finding.matches(patterns, team):
                return finding
        return None

    def renew(self, finding: PoisonFinding, *, now: float) -> list[str]:
        """Record a request with blocked patterns; return those to notify peers of."""
        due = [
            pattern
            for pattern in finding.patterns
            if now - self._seen_at.get(pattern, now) >= _RENEWAL_INTERVAL_S
        ]
        self._seen_at.update((pattern, now) for pattern in due)
        return due

    def list_patterns(self) -> frozenset[str]:
        """Return the patterns that have records."""
        return frozenset(self._crashes)

    def list_seen(self, patterns: Iterable[str] | None = None) -> list[SeenPattern]:
        """Return the records of the given patterns, by default of all."""
        names = list(self._crashes) if patterns is None else patterns
        return [
            SeenPattern(
                pattern=pattern,
                seen_at=self._seen_at[pattern],
                crashes=tuple(self._crashes[pattern].values()),
            )
            for pattern in names
            if pattern in self._crashes
        ]

    def _find_proven_at(self, pattern: str) -> float:
        return self._proven_at.get(pattern, float("-inf"))

    def _clear(self, pattern: str) -> bool:
        """Mark the records of a pattern as cleared; return whether any was not."""
        records = self._crashes[pattern]
        is_changed = any(not record.is_cleared for record in records.values())
        self._crashes[pattern] = {
            key: replace(record, is_cleared=True) for key, record in records.items()
        }
        return is_changed

    def _add(self, records: Iterable[CrashRecord], *, now: float) -> list[str]:
        """Merge single records; return the patterns that changed."""
        changed: dict[str, None] = {}
        for record in records:
            if now - record.at > BLOCK_RETENTION_S:
                continue
            if self._find_proven_at(record.pattern) > record.at:
                record = replace(record, is_cleared=True)
            if self._add_one(record):
                changed[record.pattern] = None
                seen_at = self._seen_at.get(record.pattern, float("-inf"))
                self._seen_at[record.pattern] = max(seen_at, record.at)
        if changed:
            self._expire(now)
            self._evict()
            self._update_findings()
        return list(changed)

    def _add_one(self, record: CrashRecord) -> bool:
        records = self._crashes.setdefault(record.pattern, {})
        key = (record.target, record.team)
        known = records.get(key)
        if known is None:
            records[key] = record
            if len(records) > _MAX_CRASHES_PER_PATTERN:
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
        self._found_patterns = frozenset(
            pattern for finding in self._findings for pattern in finding.patterns
        )

    def _list_blocked(self) -> set[str]:
        return {
            pattern
            for finding in self._findings
            if finding.verdict is Verdict.BLOCKED
            for pattern in finding.patterns
        }

    def _expire(self, now: float) -> None:
        """Drop the patterns that were not seen for long enough."""
        if now - self._expired_at < _EXPIRY_INTERVAL_S:
            return
        self._expired_at = now
        blocked = self._list_blocked()
        expired = [
            pattern
            for pattern, seen_at in self._seen_at.items()
            if now - seen_at
            > (BLOCK_RETENTION_S if pattern in blocked else _RECORD_RETENTION_S)
        ]
        self._drop(expired)

    def _evict(self) -> None:
        """Drop the least useful patterns beyond the bounds.

        Guards against a team that fills the table: its own patterns go first.
        """
        if len(self._crashes) <= _MAX_PATTERNS_PER_TEAM:
            return
        blocked = self._list_blocked()
        order = sorted(self._seen_at, key=lambda p: (p in blocked, self._seen_at[p]))
        by_team: dict[str, list[str]] = {}
        for pattern in order:
            teams = {record.team for record in self._crashes[pattern].values()}
            if len(teams) == 1:
                by_team.setdefault(teams.pop(), []).append(pattern)
        for patterns in by_team.values():
            self._drop(patterns[: max(0, len(patterns) - _MAX_PATTERNS_PER_TEAM)])
        left = [pattern for pattern in order if pattern in self._crashes]
        self._drop(left[: max(0, len(left) - MAX_PATTERNS)])

    def _drop(self, patterns: Iterable[str]) -> None:
        dropped = list(patterns)
        for pattern in dropped:
            del self._crashes[pattern], self._seen_at[pattern]
        if dropped:
            self._update_findings()

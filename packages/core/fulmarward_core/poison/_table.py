"""The crashes of targets that patterns of requests may have caused.

Tables of several instances are merged by the union of their records, of which each only
ever gains properties. So all instances reach the same findings, in whatever order they
hear of the crashes.
"""

from collections import Counter, OrderedDict
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, replace

from fulmarward_core.poison._fingerprint import find_head_fingerprint
from fulmarward_core.poison.decisions import (
    SUSPENSION_S,
    CrashRecord,
    PoisonFinding,
    Verdict,
    find_poison,
)

#: Upper bounds on the patterns with records, on those of which only one team is known,
#: and on the records of one pattern.
MAX_PATTERNS = 1024
_MAX_PATTERNS_PER_TEAM = 512
MAX_CRASHES_PER_PATTERN = 16

#: Upper bound on the patterns remembered as proven harmless.
_MAX_PROVEN_PATTERNS = 4096

#: Patterns by which a table grows before its bounds are enforced again.
_EVICTION_SLACK = 32

#: Crashes that a pattern of a finding has at least.
_MIN_CRASHES = 2

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
        #: How many whole requests have records, by the fingerprint of their heads.
        self._request_heads: Counter[str] = Counter()
        self._expired_at = float("-inf")
        #: Number of patterns above which the bounds are enforced.
        self._evict_above = _MAX_PATTERNS_PER_TEAM
        #: Whether the findings are to be updated before they are used.
        self._is_outdated = False
        self._findings: tuple[PoisonFinding, ...] = ()
        #: The patterns in any finding.
        self._found_patterns: frozenset[str] = frozenset()

    @property
    def findings(self) -> tuple[PoisonFinding, ...]:
        """What follows from the records, those with most evidence first."""
        if self._is_outdated:
            self._update_findings()
        return self._findings

    @property
    def request_heads(self) -> Mapping[str, int]:
        """The fingerprints of the heads of requests with records.

        Only a request with one of them may be known by its own fingerprint.
        """
        return self._request_heads

    def record_crash(
        self,
        *,
        target: str,
        team: str,
        patterns: Iterable[str],
        is_strong: bool,
        at: float,
        now: float,
    ) -> list[str]:
        """Record a target that crashed at a time under a request with these patterns.

        Returns the patterns whose records changed.
        """
        records = [
            CrashRecord(
                pattern=pattern,
                target=target,
                team=team,
                at=at,
                is_strong=is_strong,
                is_trusted=at - self._find_proven_at(pattern) < _TRUST_DURATION_S,
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
            self.record_answered(pattern, at=now)
            if pattern in self._crashes and self._clear(pattern):
                cleared.append(pattern)
        self._is_outdated |= bool(cleared)
        return cleared

    def record_answered(self, pattern: str, *, at: float) -> None:
        """Record that a target answered a request with a pattern at a time.

        Crashes recorded until now stay as they are; later ones weigh less.
        """
        self._proven_at[pattern] = max(at, self._find_proven_at(pattern))
        self._proven_at.move_to_end(pattern)
        if len(self._proven_at) > _MAX_PROVEN_PATTERNS:
            self._proven_at.popitem(last=False)

    def lift(self, pattern: str) -> bool:
        """Clear the records of a pattern; return whether there were any."""
        is_changed = pattern in self._crashes and self._clear(pattern)
        self._is_outdated |= is_changed
        return is_changed

    def find_rejection(
        self, patterns: Collection[str], *, team: str, now: float
    ) -> PoisonFinding | None:
        """Return the finding for which a request is rejected, `None` if it is not."""
        if all(len(self._crashes.get(p, ())) < _MIN_CRASHES for p in patterns):
            return None
        self._expire(now)
        findings = self.findings
        if self._found_patterns.isdisjoint(patterns):
            return None
        for finding in findings:
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
            self._is_outdated = True
            self._expire(now)
            self._evict()
        return [pattern for pattern in changed if pattern in self._crashes]

    def _add_one(self, record: CrashRecord) -> bool:
        if record.pattern not in self._crashes:
            self._crashes[record.pattern] = {}
            self._count_head(record.pattern, 1)
        records = self._crashes[record.pattern]
        key = (record.target, record.team)
        known = records.get(key)
        if known is None:
            records[key] = record
            if len(records) > MAX_CRASHES_PER_PATTERN:
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

    def _count_head(self, pattern: str, change: int) -> None:
        head = find_head_fingerprint(pattern)
        if head is None:
            return
        self._request_heads[head] += change
        if not self._request_heads[head]:
            del self._request_heads[head]

    def _update_findings(self) -> None:
        self._is_outdated = False
        self._findings = find_poison(
            record for records in self._crashes.values() for record in records.values()
        )
        self._found_patterns = frozenset(
            pattern for finding in self._findings for pattern in finding.patterns
        )

    def _list_blocked(self) -> set[str]:
        return {
            pattern
            for finding in self.findings
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
        """Drop the least useful patterns beyond the bounds, with fewest crashes first.

        Guards against a team that fills the table: its own patterns go first. A crash
        adds a pattern for each request that ran beside the one that caused it.
        """
        if len(self._crashes) <= self._evict_above:
            return
        order = sorted(
            self._seen_at, key=lambda p: (self._count_crashes(p), self._seen_at[p])
        )
        by_team: dict[str, list[str]] = {}
        for pattern in order:
            teams = {record.team for record in self._crashes[pattern].values()}
            if len(teams) == 1:
                by_team.setdefault(teams.pop(), []).append(pattern)
        for patterns in by_team.values():
            self._drop(patterns[: max(0, len(patterns) - _MAX_PATTERNS_PER_TEAM)])
        left = [pattern for pattern in order if pattern in self._crashes]
        self._drop(left[: max(0, len(left) - MAX_PATTERNS)])
        self._schedule_eviction()

    def _schedule_eviction(self) -> None:
        slack = len(self._crashes) + _EVICTION_SLACK
        self._evict_above = max(_MAX_PATTERNS_PER_TEAM, slack)

    def _count_crashes(self, pattern: str) -> int:
        """Return the number of crashes of which the pattern has not been cleared."""
        return sum(not crash.is_cleared for crash in self._crashes[pattern].values())

    def _drop(self, patterns: Iterable[str]) -> None:
        dropped = list(patterns)
        for pattern in dropped:
            del self._crashes[pattern], self._seen_at[pattern]
            self._count_head(pattern, -1)
        if dropped:
            self._is_outdated = True
            self._schedule_eviction()

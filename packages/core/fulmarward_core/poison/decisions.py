"""Decides from crashes of targets which patterns of prompts caused them.

A crash ends all requests on a target, so that each of them that had not got far is a
candidate. The cause is the pattern that all the crashes have in common; what ran beside
it is explained by it.
"""

from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from enum import Enum
from heapq import heapify, heappop, heappush

#: Events after which a response has proven that its prompt does not crash the target.
MIN_PROVEN_EVENTS = 4

#: Weights of a crash in the evidence. A candidate whose response had started without an
#: event was just being written; others more likely ran beside it. A trusted pattern has
#: been proven harmless a short time before.
_WEAK_WEIGHT = 0.5
_TRUSTED_WEIGHT = 0.5

#: Evidence from which a pattern is suspended, and blocked.
_SUSPENSION_EVIDENCE = 2.0
_BLOCK_EVIDENCE = 3.0

#: Seconds for which a suspended pattern is rejected after its last crash.
SUSPENSION_S = 2.0

#: Seconds within which crashes count as one: targets that share a cause of their own,
#: such as a power supply, end at the same time.
_EPISODE_S = 0.1


@dataclass(frozen=True, kw_only=True)
class CrashRecord:
    """A target that crashed while a request with a pattern may have been the cause."""

    pattern: str
    #: Name of the target, which is new with each of its starts.
    target: str
    #: Team of the request, empty if it has none.
    team: str
    #: When it crashed, in seconds on the monotonic clock.
    at: float
    #: Whether the response had started and no event had arrived.
    is_strong: bool
    #: Whether the pattern had been proven harmless shortly before.
    is_trusted: bool
    #: Whether the pattern was proven harmless, or lifted by an operator, afterwards.
    is_cleared: bool = False

    @property
    def weight(self) -> float:
        """The contribution to the evidence against the pattern."""
        weight = 1.0 if self.is_strong else _WEAK_WEIGHT
        return weight * _TRUSTED_WEIGHT if self.is_trusted else weight


class Verdict(Enum):
    """What to do with requests that have the patterns of a finding."""

    #: Reject them for a short time, until in-flight requests have shown more.
    SUSPENDED = "suspended"
    #: Reject them.
    BLOCKED = "blocked"


@dataclass(frozen=True, kw_only=True)
class PoisonFinding:
    """Parts of which one crashes targets; all of them were in the same crashes."""

    patterns: frozenset[str]
    #: The only team whose requests had the patterns; `None` if there are several.
    team: str | None
    verdict: Verdict
    evidence: float
    #: Targets that crashed, and when the last one did, in seconds on the monotonic
    #: clock.
    targets: frozenset[str]
    last_crash_at: float

    def matches(self, patterns: Collection[str], team: str) -> bool:
        """Return whether a request with these patterns is to be rejected."""
        return (self.team is None or self.team == team) and self.patterns.issubset(
            patterns
        )


def find_poison(crashes: Iterable[CrashRecord]) -> tuple[PoisonFinding, ...]:
    """Return the patterns that explain the crashes, those with most evidence first.

    Each step takes the pattern with most evidence and drops the crashes that it
    explains; only the patterns that were in these are weighed again.
    """
    index = _index_by_pattern(_drop_outweighed(crashes))
    patterns_by_target = _index_by_target(index)
    evidence = {pattern: _sum_evidence(records) for pattern, records in index.items()}
    queue = [(-weight, pattern) for pattern, weight in evidence.items()]
    heapify(queue)
    findings: list[PoisonFinding] = []
    while queue and -queue[0][0] >= _SUSPENSION_EVIDENCE:
        negated, pattern = heappop(queue)
        weight = -negated
        if evidence.get(pattern) != weight:
            # It was weighed again since, and is in the queue with its new weight.
            continue
        targets = {crash.target for crash in index[pattern]}
        affected = {other for name in targets for other in patterns_by_target[name]}
        group = [
            other
            for other in sorted(affected & index.keys())
            if evidence[other] == weight
            and {crash.target for crash in index[other]} == targets
        ]
        findings.append(_make_finding(group, index, weight))
        for other in affected & index.keys():
            index[other] = [c for c in index[other] if c.target not in targets]
            evidence[other] = _sum_evidence(index[other])
            if not index[other]:
                del index[other], evidence[other]
            else:
                heappush(queue, (-evidence[other], other))
    return tuple(findings)


def _drop_outweighed(crashes: Iterable[CrashRecord]) -> list[CrashRecord]:
    """Return the records that are not cleared, of each target the strongest ones."""
    records = [crash for crash in crashes if not crash.is_cleared]
    with_strong = {crash.target for crash in records if crash.is_strong}
    return [c for c in records if c.is_strong or c.target not in with_strong]


def _index_by_pattern(crashes: Iterable[CrashRecord]) -> dict[str, list[CrashRecord]]:
    index: defaultdict[str, list[CrashRecord]] = defaultdict(list)
    for crash in crashes:
        index[crash.pattern].append(crash)
    return dict(index)


def _index_by_target(
    crashes: Mapping[str, list[CrashRecord]],
) -> dict[str, set[str]]:
    """Return the patterns that were in the crash of each target."""
    index: defaultdict[str, set[str]] = defaultdict(set)
    for pattern, records in crashes.items():
        for crash in records:
            index[crash.target].add(pattern)
    return dict(index)


def _sum_evidence(crashes: Iterable[CrashRecord]) -> float:
    """Return the evidence of the crashes of one pattern, each episode counted once.

    A target may have several records, as each instance saw it end at another time.
    """
    by_target: dict[str, tuple[float, float]] = {}
    for crash in crashes:
        at, weight = by_target.get(crash.target, (crash.at, 0.0))
        by_target[crash.target] = min(at, crash.at), max(weight, crash.weight)
    evidence, counted_at = 0.0, float("-inf")
    for at, weight in sorted(by_target.values()):
        if at - counted_at >= _EPISODE_S:
            evidence, counted_at = evidence + weight, at
    return evidence


def _make_finding(
    group: Iterable[str], crashes: Mapping[str, list[CrashRecord]], evidence: float
) -> PoisonFinding:
    records = [crash for pattern in group for crash in crashes[pattern]]
    teams = {crash.team for crash in records}
    is_blocked = evidence >= _BLOCK_EVIDENCE
    return PoisonFinding(
        patterns=frozenset(group),
        team=teams.pop() if len(teams) == 1 else None,
        verdict=Verdict.BLOCKED if is_blocked else Verdict.SUSPENDED,
        evidence=evidence,
        targets=frozenset(crash.target for crash in records),
        last_crash_at=max(crash.at for crash in records),
    )

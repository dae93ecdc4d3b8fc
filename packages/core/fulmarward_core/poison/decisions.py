"""Decides from crashes of targets which patterns of requests caused them.

A pattern is a part of prompts, or a whole request by its fingerprint. A crash ends all
requests on a target, so that each of them that had not got far is a candidate. The
cause is the pattern that all the crashes have in common; what ran beside it is
explained by it.
"""

from collections import Counter, defaultdict
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from enum import Enum
from heapq import heapify, heappop, heappush
from typing import NamedTuple

from fulmarward_core.poison._fingerprint import find_head_fingerprint

#: Events after which a response has proven that its prompt does not crash the target.
MIN_PROVEN_EVENTS = 4

#: Weights of a crash in the evidence against a part. A candidate whose response had
#: started without an event was just being written; others more likely ran beside it. A
#: whole request is too specific to be in several crashes by chance, and counts fully. A
#: trusted pattern has been proven harmless a short time before.
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
    #: Name of the target's process, which is new with each of its starts.
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
    def is_request(self) -> bool:
        """Whether the pattern is a whole request."""
        return find_head_fingerprint(self.pattern) is not None

    @property
    def weight(self) -> float:
        """The contribution to the evidence against the pattern."""
        is_full = self.is_strong or self.is_request
        weight = 1.0 if is_full else _WEAK_WEIGHT
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


class _Rank(NamedTuple):
    """How well a pattern explains the crashes; the greatest one explains them best."""

    evidence: float
    #: Number of crashes in which it had a response without an event.
    strong: int
    targets: int


def find_poison(crashes: Iterable[CrashRecord]) -> tuple[PoisonFinding, ...]:
    """Return the patterns that explain the crashes, those with most evidence first.

    Each step takes the pattern with most evidence and drops the crashes that it
    explains; only the patterns that were in these are weighed again.
    """
    index = _index_by_pattern(_drop_outweighed(crashes))
    patterns_by_target = _index_by_target(index)
    ranks = {pattern: _rank(records) for pattern, records in index.items()}
    queue = [_make_queue_entry(rank, pattern) for pattern, rank in ranks.items()]
    heapify(queue)
    findings: list[PoisonFinding] = []
    while queue and -queue[0][0] >= _SUSPENSION_EVIDENCE:
        entry = heappop(queue)
        pattern = entry[-1]
        rank = ranks.get(pattern)
        if rank is None or entry != _make_queue_entry(rank, pattern):
            # It was weighed again since, and is in the queue with its new rank.
            continue
        targets = {crash.target for crash in index[pattern]}
        affected = {other for name in targets for other in patterns_by_target[name]}
        group = [
            other
            for other in sorted(affected & index.keys())
            if ranks[other] == rank
            and {crash.target for crash in index[other]} == targets
        ]
        rejected = _choose_rejected(group, rank.evidence)
        if rejected:
            findings.append(_make_finding(rejected, index, rank.evidence))
        for other in affected & index.keys():
            index[other] = [c for c in index[other] if c.target not in targets]
            ranks[other] = _rank(index[other])
            if not index[other]:
                del index[other], ranks[other]
            else:
                heappush(queue, _make_queue_entry(ranks[other], other))
    return tuple(findings)


def _make_queue_entry(rank: _Rank, pattern: str) -> tuple[float, int, int, str]:
    return -rank.evidence, -rank.strong, -rank.targets, pattern


def _choose_rejected(group: list[str], evidence: float) -> list[str]:
    """Return those of the patterns in the same crashes whose requests are rejected.

    A whole request explains them more closely than its parts. It is not suspended, as
    all that repeat it would return at the same moment. Of several requests any may be
    the cause, and the next crash tells them apart.
    """
    requests = [p for p in group if find_head_fingerprint(p) is not None]
    if not requests:
        return group
    is_certain = len(requests) == 1 and evidence >= _BLOCK_EVIDENCE
    return requests if is_certain else []


def _drop_outweighed(crashes: Iterable[CrashRecord]) -> list[CrashRecord]:
    """Return the records that are not cleared, of parts only each target's strongest.

    Patterns with too few crashes for a finding are left out.
    """
    records = [crash for crash in crashes if not crash.is_cleared]
    with_strong = {crash.target for crash in records if crash.is_strong}
    counts = Counter(crash.pattern for crash in records)
    return [
        crash
        for crash in records
        if counts[crash.pattern] >= _SUSPENSION_EVIDENCE
        and (crash.is_strong or crash.target not in with_strong or crash.is_request)
    ]


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


def _rank(crashes: Collection[CrashRecord]) -> _Rank:
    """Return the rank of one pattern, each episode of crashes counted once.

    A target may have several records, as each instance saw it end at another time.
    """
    by_target: dict[str, tuple[float, float, bool]] = {}
    for crash in crashes:
        at, weight, is_strong = by_target.get(crash.target, (crash.at, 0.0, False))
        by_target[crash.target] = (
            min(at, crash.at),
            max(weight, crash.weight),
            is_strong or crash.is_strong,
        )
    evidence, strong, counted_at = 0.0, 0, float("-inf")
    for at, weight, is_strong in sorted(by_target.values()):
        if at - counted_at >= _EPISODE_S:
            evidence, strong, counted_at = evidence + weight, strong + is_strong, at
    return _Rank(evidence=evidence, strong=strong, targets=len(by_target))


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

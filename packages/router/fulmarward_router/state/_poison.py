"""Which requests crash targets: what this instance saw, and what its peers report."""

import asyncio
import math
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence

from fulmarward.observability import log_event
from fulmarward_core.poison import (
    CrashRecord,
    PoisonFinding,
    PoisonTable,
    SeenPattern,
    Verdict,
)
from fulmarward_router.mesh import CrashReport, PatternReport

#: Seconds for which changes are collected before peers are notified: a crash ends many
#: requests at the same time.
_COLLECT_S = 0.01

#: Seconds to wait for a peer's records after a start or a pause of this instance.
_SYNC_TIMEOUT_S = 1.0

#: Seconds between two checks whether the instance was paused, and seconds without one
#: after which it was.
_PAUSE_CHECK_INTERVAL_S = 0.25
_PAUSE_S = 1.0


class PoisonKnowledge:
    """The crash records of the fleet, as far as this instance knows them.

    Logs each change of the findings and notifies peers of what it learned itself.
    """

    def __init__(
        self,
        *,
        read_clock: Callable[[], float],
        notify_peers: Callable[[Sequence[str]], None],
        fetch_from_peers: Callable[[], None],
        record_block_changed: Callable[[Sequence[str]], None],
    ) -> None:
        self._read_clock = read_clock
        #: Called with the patterns that this instance blocked or accepted again, and
        #: with blocked ones that still come.
        self._record_block_changed = record_block_changed
        #: Sends the records of the given patterns to all peers.
        self._notify_peers = notify_peers
        self._fetch_from_peers = fetch_from_peers
        self._table = PoisonTable()
        self._logged: dict[frozenset[str], tuple[Verdict, str | None]] = {}
        self._blocked: frozenset[str] = frozenset()
        #: Parts under which this instance itself saw a target crash; these it writes to
        #: the store.
        self._own_patterns: set[str] = set()
        #: Patterns whose records changed here, to notify peers of.
        self._pending: set[str] = set()
        #: From whom the latest of them are known.
        self._source = "own"
        self._current = asyncio.Event()
        self._checked_at = read_clock()

    @property
    def is_current(self) -> bool:
        """Whether it has the records that its peers had when it started or woke up."""
        return self._current.is_set()

    def record_current(self) -> None:
        """Record that a peer, or the store, has sent all its records."""
        self._current.set()

    async def await_current(self) -> None:
        """Wait for the records of peers after a start or a pause, a second at most.

        Guards against learning of a crashing request by crashing another target.
        """
        if self._read_clock() - self._checked_at > _PAUSE_S:
            self._begin_sync()
        await self._current.wait()

    async def run(self) -> None:
        """Check for pauses of the whole instance, until cancelled."""
        self._begin_sync()
        while True:
            await asyncio.sleep(_PAUSE_CHECK_INTERVAL_S)
            if self._read_clock() - self._checked_at > _PAUSE_S:
                self._begin_sync()
            self._checked_at = self._read_clock()

    def _begin_sync(self) -> None:
        self._checked_at = self._read_clock()
        self._current.clear()
        self._fetch_from_peers()
        asyncio.get_running_loop().call_later(_SYNC_TIMEOUT_S, self._current.set)

    @property
    def findings(self) -> tuple[PoisonFinding, ...]:
        """The suspended and blocked patterns, those with most evidence first."""
        return self._table.findings

    def is_blocked(self, pattern: str) -> bool:
        """Return whether requests with a pattern are rejected until it is cleared."""
        return pattern in _list_blocked(self._table.findings)

    @property
    def request_heads(self) -> Mapping[str, int]:
        """The fingerprints of the heads of requests with records."""
        return self._table.request_heads

    def record_crash(
        self,
        *,
        target: str,
        team: str,
        patterns: Collection[str],
        is_strong: bool,
        at: float,
    ) -> None:
        """Record that a target crashed at a time under a request."""
        self._own_patterns.update(patterns)
        changed = self._table.record_crash(
            target=target,
            team=team,
            patterns=patterns,
            is_strong=is_strong,
            at=at,
            now=self._read_clock(),
        )
        self._handle_changes(changed, source="own")

    def record_proven(self, patterns: Iterable[str], *, request_id: str) -> None:
        """Record that a request with these patterns was answered by a live target."""
        cleared = self._table.record_proven(patterns, now=self._read_clock())
        if cleared:
            log_event("crash_records_cleared", request=request_id, patterns=cleared)
        self._handle_changes(cleared, source="own")

    def record_answered(self, pattern: str, *, at: float) -> None:
        """Record that a request was answered at a time, before it became suspect."""
        self._table.record_answered(pattern, at=at)

    def lift(self, pattern: str) -> bool:
        """Forget the crashes of a pattern; return whether there were any."""
        is_lifted = self._table.lift(pattern)
        if is_lifted:
            self._handle_changes([pattern], source="operator")
        return is_lifted

    def find_rejection(
        self, patterns: Collection[str], *, team: str
    ) -> PoisonFinding | None:
        """Return the finding for which a request is rejected, `None` if it is not."""
        now = self._read_clock()
        finding = self._table.find_rejection(patterns, team=team, now=now)
        if finding is not None and finding.verdict is Verdict.BLOCKED:
            renewed = self._table.renew(finding, now=now)
            self._collect(renewed)
            self._record_block_changed(renewed)
        return finding

    def make_reports(
        self, patterns: Iterable[str] | None = None
    ) -> tuple[PatternReport, ...]:
        """Return the records of the given patterns, by default of all."""
        now = self._read_clock()
        return tuple(
            PatternReport(
                pattern=seen.pattern,
                seen_age_ms=_count_ms(seen.seen_at, now),
                crashes=tuple(_make_report(item, now) for item in seen.crashes),
            )
            for seen in self._table.list_seen(patterns)
        )

    def merge(
        self, reports: Iterable[PatternReport], *, source: str, delay_s: float
    ) -> list[str]:
        """Merge the records of a peer; return the patterns of which it knew more.

        `delay_s` is for how long they were delayed in transit, infinite if unknown.
        """
        now = self._read_clock()
        sent_at = now - (delay_s if math.isfinite(delay_s) else 0.0)
        seen_patterns = [_read_report(report, sent_at) for report in reports]
        changed = self._table.merge(seen_patterns, now=now)
        if changed:
            blocked = self._update_findings(source)
            written = blocked & (self._own_patterns | self._pending)
            self._record_block_changed(sorted(written))
        return changed

    def _handle_changes(self, changed: Collection[str], *, source: str) -> None:
        """Notify peers, and update the findings, once for what changes together."""
        if changed:
            self._source = source
            self._collect(changed)

    def _update_findings(self, source: str) -> frozenset[str]:
        """Log what changed in the findings; return the patterns whose block changed."""
        before = self._blocked
        self._log_findings(source)
        self._blocked = _list_blocked(self._table.findings)
        self._own_patterns.intersection_update(self._table.list_patterns())
        return before ^ self._blocked

    def _collect(self, patterns: Iterable[str]) -> None:
        """Handle changed patterns soon, together with those that follow at once."""
        is_scheduled = bool(self._pending)
        self._pending.update(patterns)
        if self._pending and not is_scheduled:
            asyncio.get_running_loop().call_later(_COLLECT_S, self._flush)

    def _flush(self) -> None:
        pending, self._pending = sorted(self._pending), set()
        self._notify_peers(pending)
        self._record_block_changed(sorted(self._update_findings(self._source)))

    def _log_findings(self, source: str) -> None:
        """Log the findings that are new, and those that no longer hold."""
        found = {
            item.patterns: (item.verdict, item.team) for item in self._table.findings
        }
        if found == self._logged:
            return
        for item in self._table.findings:
            if self._logged.get(item.patterns) != found[item.patterns]:
                log_event(
                    "crash_patterns_rejected",
                    patterns=sorted(item.patterns),
                    team=item.team,
                    verdict=item.verdict.value,
                    evidence=item.evidence,
                    targets=sorted(item.targets),
                    source=source,
                )
        for patterns in self._logged.keys() - found.keys():
            log_event(
                "crash_patterns_accepted", patterns=sorted(patterns), source=source
            )
        self._logged = found


def _list_blocked(findings: Iterable[PoisonFinding]) -> frozenset[str]:
    return frozenset(
        pattern
        for finding in findings
        if finding.verdict is Verdict.BLOCKED
        for pattern in finding.patterns
    )


def _count_ms(at: float, now: float) -> int:
    return max(0, int((now - at) * 1000))


def _make_report(record: CrashRecord, now: float) -> CrashReport:
    return CrashReport(
        target=record.target,
        team=record.team,
        age_ms=_count_ms(record.at, now),
        is_strong=record.is_strong,
        is_trusted=record.is_trusted,
        is_cleared=record.is_cleared,
    )


def _read_report(report: PatternReport, sent_at: float) -> SeenPattern:
    return SeenPattern(
        pattern=report.pattern,
        seen_at=sent_at - report.seen_age_ms / 1000,
        crashes=tuple(
            CrashRecord(
                pattern=report.pattern,
                target=item.target,
                team=item.team,
                at=sent_at - item.age_ms / 1000,
                is_strong=item.is_strong,
                is_trusted=item.is_trusted,
                is_cleared=item.is_cleared,
            )
            for item in report.crashes
        ),
    )

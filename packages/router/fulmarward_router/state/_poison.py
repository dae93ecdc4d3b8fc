"""Which prompts crash targets: what this instance saw, and what its peers report."""

import asyncio
import math
from collections.abc import Callable, Collection, Iterable, Sequence

from fulmarward.observability import log_event
from fulmarward_core.poison import (
    CrashRecord,
    PoisonFinding,
    PoisonTable,
    SeenPart,
    Verdict,
)
from fulmarward_router.mesh import CrashReport, PoisonPartReport

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
        #: Called with the parts that this instance blocked or accepted again, and with
        #: blocked ones that are still requested.
        self._record_block_changed = record_block_changed
        #: Sends the records of the given parts to all peers.
        self._notify_peers = notify_peers
        self._fetch_from_peers = fetch_from_peers
        self._table = PoisonTable()
        self._logged: dict[frozenset[str], tuple[Verdict, str | None]] = {}
        self._blocked: frozenset[str] = frozenset()
        #: Parts under which this instance itself saw a target crash; these it writes to
        #: the store.
        self._own_parts: set[str] = set()
        self._pending: set[str] = set()
        self._current = asyncio.Event()
        self._checked_at = read_clock()

    @property
    def is_current(self) -> bool:
        """Whether it has the records that its peers had when it started or woke up."""
        return self._current.is_set()

    def record_current(self) -> None:
        """Record that a peer has sent all its records."""
        self._current.set()

    async def await_current(self) -> None:
        """Wait for the records of peers after a start or a pause, a second at most.

        Guards against learning of a crashing prompt by crashing another target.
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
        """The parts that are suspended or blocked, those with most evidence first."""
        return self._table.findings

    def is_blocked(self, part: str) -> bool:
        """Return whether requests with a part are rejected until it is cleared."""
        return part in _list_blocked(self._table.findings)

    def record_crash(
        self, *, target: str, team: str, parts: Collection[str], is_strong: bool
    ) -> None:
        """Record that a target crashed under a request."""
        self._own_parts.update(parts)
        changed = self._table.record_crash(
            target=target,
            team=team,
            parts=parts,
            is_strong=is_strong,
            now=self._read_clock(),
        )
        self._handle_changes(changed, source="own")

    def record_proven(self, parts: Iterable[str], *, request_id: str) -> None:
        """Record that a request with these parts was answered by a live target."""
        cleared = self._table.record_proven(parts, now=self._read_clock())
        if cleared:
            log_event("crash_records_cleared", request=request_id, parts=cleared)
        self._handle_changes(cleared, source="own")

    def lift(self, part: str) -> bool:
        """Forget the crashes of a part; return whether there were any."""
        is_lifted = self._table.lift(part)
        if is_lifted:
            self._handle_changes([part], source="operator")
        return is_lifted

    def find_rejection(
        self, parts: Collection[str], *, team: str
    ) -> PoisonFinding | None:
        """Return the finding for which a request is rejected, `None` if it is not."""
        now = self._read_clock()
        finding = self._table.find_rejection(parts, team=team, now=now)
        if finding is not None and finding.verdict is Verdict.BLOCKED:
            renewed = self._table.renew(finding, now=now)
            self._collect(renewed)
            self._record_block_changed(renewed)
        return finding

    def make_reports(
        self, parts: Iterable[str] | None = None
    ) -> tuple[PoisonPartReport, ...]:
        """Return the records of the given parts, by default of all."""
        now = self._read_clock()
        return tuple(
            PoisonPartReport(
                part=seen.part,
                seen_age_ms=_count_ms(seen.seen_at, now),
                crashes=tuple(_make_report(item, now) for item in seen.crashes),
            )
            for seen in self._table.list_seen(parts)
        )

    def merge(
        self, reports: Iterable[PoisonPartReport], *, source: str, delay_s: float
    ) -> list[str]:
        """Merge the records of a peer; return the parts of which it knew more.

        `delay_s` is for how long they were delayed in transit, infinite if unknown.
        """
        now = self._read_clock()
        sent_at = now - (delay_s if math.isfinite(delay_s) else 0.0)
        seen_parts = [_read_report(report, sent_at) for report in reports]
        changed = self._table.merge(seen_parts, now=now)
        if changed:
            blocked = self._update_findings(source) & self._own_parts
            self._record_block_changed(sorted(blocked))
        return changed

    def _handle_changes(self, changed: Collection[str], *, source: str) -> None:
        if changed:
            self._collect(changed)
            self._record_block_changed(sorted(self._update_findings(source)))

    def _update_findings(self, source: str) -> frozenset[str]:
        """Log what changed in the findings; return the parts whose block changed."""
        before = self._blocked
        self._log_findings(source)
        self._blocked = _list_blocked(self._table.findings)
        self._own_parts.intersection_update(self._table.list_parts())
        return before ^ self._blocked

    def _collect(self, parts: Iterable[str]) -> None:
        """Notify peers of parts soon, together with those that follow at once."""
        is_scheduled = bool(self._pending)
        self._pending.update(parts)
        if self._pending and not is_scheduled:
            asyncio.get_running_loop().call_later(_COLLECT_S, self._flush)

    def _flush(self) -> None:
        pending, self._pending = sorted(self._pending), set()
        self._notify_peers(pending)

    def _log_findings(self, source: str) -> None:
        """Log the findings that are new, and those that no longer hold."""
        found = {item.parts: (item.verdict, item.team) for item in self._table.findings}
        if found == self._logged:
            return
        for item in self._table.findings:
            if self._logged.get(item.parts) != found[item.parts]:
                log_event(
                    "prompt_parts_rejected",
                    parts=sorted(item.parts),
                    team=item.team,
                    verdict=item.verdict.value,
                    evidence=item.evidence,
                    targets=sorted(item.targets),
                    source=source,
                )
        for parts in self._logged.keys() - found.keys():
            log_event("prompt_parts_accepted", parts=sorted(parts), source=source)
        self._logged = found


def _list_blocked(findings: Iterable[PoisonFinding]) -> frozenset[str]:
    return frozenset(
        part
        for finding in findings
        if finding.verdict is Verdict.BLOCKED
        for part in finding.parts
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


def _read_report(report: PoisonPartReport, sent_at: float) -> SeenPart:
    return SeenPart(
        part=report.part,
        seen_at=sent_at - report.seen_age_ms / 1000,
        crashes=tuple(
            CrashRecord(
                part=report.part,
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

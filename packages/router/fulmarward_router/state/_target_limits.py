"""What targets demand of this instance: limits of the rate, and pauses."""

import asyncio
import math
import random
from collections.abc import Callable, Collection, Iterable, Sequence
from typing import Protocol

from fulmarward.observability import log_event
from fulmarward_core.fleet import TargetRecord
from fulmarward_core.rendezvous import choose_first
from fulmarward_core.target_limits import (
    MAX_LIMIT_PER_S,
    BackoffTable,
    LimitTable,
    PermitBucket,
    PermitGrant,
    PermitUsage,
)
from fulmarward_router.mesh import PermitsGranted, TargetLimitReport
from fulmarward_router.ports import AnswerFacts

#: Seconds to wait for the answer of an owner.
OWNER_TIMEOUT_S = 0.15

#: Seconds for which a target is throttled if its owner does not answer.
OWNER_SILENT_DURATION_S = 0.3

#: Shortest time, in seconds, for which a target is throttled.
MIN_THROTTLE_S = 0.02

#: Upper bound on the targets with a limit that are not in the fleet.
MAX_UNKNOWN_TARGETS = 64

#: Upper bound on the text of a malformed limit in a log line.
_MAX_LOGGED_TEXT = 32

#: A limit of `None` in a message.
_UNLIMITED = -1


class PeerLinks(Protocol):
    """Sends limits and requests for permits to other instances."""

    def notify_limits(self, reports: Sequence[TargetLimitReport]) -> None:
        """Send limits that changed here to all instances."""

    def request_permits(
        self, owner: str, *, target: str, milli_per_s: int
    ) -> int | None:
        """Request permits; return the number of the answer, `None` without a link."""


class TargetLimits:
    """Whether this instance may send to a target now, by what the target demands.

    A limit of the rate holds for all instances together. One of them, the owner of the
    target, hands out a permit for each request; without one the target is throttled. A
    pause holds for this instance alone.
    """

    def __init__(
        self,
        *,
        own: str,
        read_clock: Callable[[], float],
        list_targets: Callable[[], Collection[str]],
        list_owner_candidates: Callable[[], Collection[str]],
        find_reachable_share: Callable[[], float],
        get_links: Callable[[], PeerLinks],
        count_sent: Callable[[], None],
        count_throttled: Callable[[], None],
    ) -> None:
        #: Name of this instance.
        self._own = own
        self._read_clock = read_clock
        #: Returns the names of the targets in the fleet, and of the instances that may
        #: keep permits.
        self._list_targets = list_targets
        self._list_owner_candidates = list_owner_candidates
        #: Returns the share of the fleet that is heard: the rest may have an owner too.
        self._find_reachable_share = find_reachable_share
        self._get_links = get_links
        #: Count a request that is sent to a limited target, and one that gets no
        #: permit.
        self._count_sent = count_sent
        self._count_throttled = count_throttled
        self.table = LimitTable()
        self.backoffs = BackoffTable()
        self._usage = PermitUsage()
        #: The targets whose permits this instance keeps.
        self._buckets: dict[str, PermitBucket] = {}
        #: Requests without an answer yet, by number: the target, and the future that
        #: is done with the answer.
        self._pending: dict[int, tuple[str, asyncio.Future[None]]] = {}
        #: The malformed limit that was last logged, by target.
        self._malformed: dict[str, str] = {}

    def list_throttled(self) -> frozenset[str]:
        """Return the targets that get no requests for now."""
        now = self._read_clock()
        throttled = self._usage.list_throttled(now=now)
        return throttled | self.backoffs.list_backed_off(now=now)

    def list_backed_off(self) -> frozenset[str]:
        """Return the targets that want no requests of this instance now."""
        return self.backoffs.list_backed_off(now=self._read_clock())

    def find_wait_s(self, targets: Collection[str]) -> float:
        """Return the seconds until the first of the targets may get a request again."""
        now = self._read_clock()
        waits = (
            max(
                self._usage.find_throttled_s(target, now=now),
                self.backoffs.find_left_s(target, now=now),
            )
            for target in targets
        )
        return min(waits, default=0.0)

    def find_owner(self, target: str) -> str | None:
        """Return the name of the instance that keeps the permits of a target."""
        return choose_first(target, self._list_owner_candidates())

    async def acquire(self, target: str, *, request_id: str) -> bool:
        """Return whether a request may be sent to a target now.

        If not, the target is throttled for some time. Waits for its owner, for
        `OWNER_TIMEOUT_S` at most.
        """
        if target in self.list_backed_off():
            return False
        per_s = self.table.find(target)
        if per_s is None:
            return True
        if self._usage.take(target, now=self._read_clock()):
            return True
        owner = self.find_owner(target)
        if owner == self._own:
            self._apply(target, self._grant(target, instance=self._own, per_s=per_s))
        else:
            await self._request_permits(owner, target, per_s)
        if target in self.list_backed_off():
            # It was rejected by the target while it waited for the owner.
            return False
        now = self._read_clock()
        is_granted = self._usage.take(target, now=now)
        if not is_granted:
            self._count_throttled()
            log_event(
                "target_throttled",
                request=request_id,
                target=target,
                per_s=per_s,
                owner=owner,
                wait_s=round(self._usage.find_throttled_s(target, now=now), 3),
            )
        return is_granted

    async def _request_permits(
        self, owner: str | None, target: str, per_s: float
    ) -> None:
        """Request permits from an owner; throttle the target if it does not answer."""
        number = None
        if owner is not None:
            number = self._get_links().request_permits(
                owner, target=target, milli_per_s=_count_milli(per_s)
            )
        if number is not None:
            future = asyncio.get_running_loop().create_future()
            self._pending[number] = target, future
            try:
                async with asyncio.timeout(OWNER_TIMEOUT_S):
                    await future
                return
            except TimeoutError:
                log_event("permit_owner_timed_out", owner=owner, target=target)
            finally:
                self._pending.pop(number, None)
        until = self._read_clock() + OWNER_SILENT_DURATION_S
        self._usage.throttle(target, until=until)

    def handle_granted(self, message: PermitsGranted) -> None:
        """Handle the answer of an owner; one that is late is not used."""
        pending = self._pending.pop(message.number, None)
        if pending is None:
            return
        target, future = pending
        grant = PermitGrant(count=message.count, wait_s=message.wait_ms / 1000)
        self._apply(target, grant)
        if not future.done():
            future.set_result(None)

    def _apply(self, target: str, grant: PermitGrant) -> None:
        now = self._read_clock()
        if grant.count:
            self._usage.add(target, grant.count, now=now)
        else:
            wait_s = max(MIN_THROTTLE_S, grant.wait_s)
            self._usage.throttle(target, until=now + wait_s)

    def grant(
        self, target: str, *, instance: str, number: int, milli_per_s: int
    ) -> PermitsGranted:
        """Return the answer of this instance, the owner, to a request for permits."""
        per_s = self.table.find(target)
        if per_s is None:
            # The other instance has heard of the limit first.
            per_s = milli_per_s / 1000
        grant = self._grant(target, instance=instance, per_s=per_s)
        wait_ms = math.ceil(grant.wait_s * 1000)
        return PermitsGranted(number=number, count=grant.count, wait_ms=wait_ms)

    def _grant(self, target: str, *, instance: str, per_s: float) -> PermitGrant:
        now = self._read_clock()
        per_s *= self._find_reachable_share()
        bucket = self._buckets.get(target)
        if bucket is None:
            bucket = self._buckets[target] = PermitBucket(per_s=per_s, now=now)
            log_event("permit_bucket_created", target=target, per_s=per_s)
        bucket.set_limit(per_s, now=now)
        return bucket.grant(instance, draw=random.random(), now=now)

    def record_sent(self, target: str) -> None:
        """Record that a request is being sent to a target."""
        if self.table.find(target) is not None:
            self._count_sent()

    def record_backoff(
        self, targets: Iterable[TargetRecord], facts: AnswerFacts, *, request_id: str
    ) -> None:
        """Record the pause that an answer demands for targets, if it does.

        A malformed one demands nothing.
        """
        now = self._read_clock()
        for record in targets:
            target = record.name
            if facts.malformed_backoff is not None:
                log_event(
                    "target_backoff_refused",
                    request=request_id,
                    target=target,
                    text=facts.malformed_backoff[:_MAX_LOGGED_TEXT],
                )
            if facts.backoff_s is None:
                continue
            before_s = self.backoffs.find_left_s(target, now=now)
            if self.backoffs.record(
                target,
                process=record.process_name,
                duration_s=facts.backoff_s,
                now=now,
            ):
                log_event(
                    "target_backoff_requested",
                    request=request_id,
                    target=target,
                    requested_s=facts.backoff_s,
                    for_s=round(self.backoffs.find_left_s(target, now=now), 3),
                    left_before_s=round(before_s, 3),
                )

    def record_process(self, record: TargetRecord) -> None:
        """Record the process of a target: a new one has demanded no pause."""
        if self.backoffs.record_process(record.name, process=record.process_name):
            log_event("target_backoff_ended", target=record.name, cause="restart")

    def record_answer(self, target: str, facts: AnswerFacts) -> None:
        """Record what an answer of a target says of its limit.

        A malformed limit says nothing, nor does an answer that may be another's.
        """
        if not facts.is_own:
            return
        if facts.malformed_limit is not None:
            self._log_malformed(target, facts.malformed_limit)
            return
        per_s = facts.limit_per_s
        if per_s is not None and per_s > MAX_LIMIT_PER_S:
            per_s = None
        if self._record(target, per_s, observed_at=self._read_clock(), source="own"):
            self._get_links().notify_limits(self.make_reports([target]))

    def make_reports(
        self, targets: Collection[str] | None = None
    ) -> tuple[TargetLimitReport, ...]:
        """Return what is known of the given targets, by default of all."""
        now = self._read_clock()
        return tuple(
            TargetLimitReport(
                target=target,
                milli_per_s=_count_milli(known.per_s),
                age_ms=max(0, int((now - known.observed_at) * 1000)),
            )
            for target, known in self.table.list_known().items()
            if targets is None or target in targets
        )

    def merge(
        self, reports: Iterable[TargetLimitReport], *, source: str, delay_s: float
    ) -> None:
        """Merge limits that an instance has observed, delayed in transit."""
        sent_at = self._read_clock() - delay_s
        for report in reports:
            milli = report.milli_per_s
            self._record(
                report.target,
                None if milli == _UNLIMITED else milli / 1000,
                observed_at=sent_at - report.age_ms / 1000,
                source=source,
            )

    def _record(
        self, target: str, per_s: float | None, *, observed_at: float, source: str
    ) -> bool:
        """Record an observation; return whether the limit changes by that."""
        before = self.table.find(target)
        if not self.table.record(target, per_s=per_s, observed_at=observed_at):
            return False
        log_event(
            "target_limit_changed",
            target=target,
            before=before,
            per_s=per_s,
            source=source,
        )
        if per_s is None or before is None or per_s > before:
            self._usage.release(target)
        self._forget_removed()
        return True

    def _forget_removed(self) -> None:
        """Forget the targets that are not in the fleet any more, once there are many.

        A target that is not in the fleet may not be known here yet.
        """
        targets = self._list_targets()
        if len(self.table) <= len(targets) + MAX_UNKNOWN_TARGETS:
            return
        self.table.retain(targets)
        self._buckets = {t: owner for t, owner in self._buckets.items() if t in targets}

    def _log_malformed(self, target: str, text: str) -> None:
        if self._malformed.get(target) == text:
            return
        if len(self._malformed) > len(self._list_targets()):
            self._malformed.clear()
        self._malformed[target] = text
        log_event("target_limit_refused", target=target, text=text[:_MAX_LOGGED_TEXT])


def _count_milli(per_s: float | None) -> int:
    return _UNLIMITED if per_s is None else round(per_s * 1000)

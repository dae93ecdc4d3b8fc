"""Which targets have named a limit, and the permits to send requests to them."""

import asyncio
import math
import random
from collections.abc import Callable, Collection, Iterable, Sequence
from typing import Protocol

from fulmarward.observability import log_event
from fulmarward_core.target_limits import (
    MAX_LIMIT_PER_S,
    LimitTable,
    PermitGrant,
    PermitKeeper,
    PermitUsage,
    choose_keeper,
)
from fulmarward_router.mesh import PermitsGranted, TargetLimitReport
from fulmarward_router.ports import AnswerFacts

#: Seconds to wait for the answer of a keeper.
KEEPER_TIMEOUT_S = 0.15

#: Seconds for which a target is held back if its keeper does not answer.
KEEPER_SILENT_DURATION_S = 0.3

#: Shortest time, in seconds, for which a target is held back.
MIN_HELD_BACK_S = 0.02

#: Upper bound on the targets with a limit that are not in the fleet.
MAX_UNKNOWN_TARGETS = 64

#: Upper bound on the text of a malformed limit in a log line.
_MAX_LOGGED_TEXT = 32

#: A limit of `None` in a message.
_UNLIMITED = -1


class PeerLinks(Protocol):
    """Sends limits and questions to other instances."""

    def notify_limits(self, reports: Sequence[TargetLimitReport]) -> None:
        """Send limits that changed here to all instances."""

    def ask_permits(self, keeper: str, *, target: str, milli_per_s: int) -> int | None:
        """Ask a keeper; return the number of its answer, `None` if it is not linked."""


class TargetLimits:
    """The limits of the targets, and this instance's part in keeping them.

    A limit holds for all instances together. One of them, the keeper of the target,
    hands out a permit for each request; without one the target is held back.
    """

    def __init__(
        self,
        *,
        own: str,
        read_clock: Callable[[], float],
        list_targets: Callable[[], Collection[str]],
        list_keepers: Callable[[], Collection[str]],
        find_heard_share: Callable[[], float],
        get_links: Callable[[], PeerLinks],
        count_sent: Callable[[], None],
        count_held_back: Callable[[], None],
    ) -> None:
        #: Name of this instance.
        self._own = own
        self._read_clock = read_clock
        #: Returns the names of the targets in the fleet, and of the instances that may
        #: keep permits.
        self._list_targets = list_targets
        self._list_keepers = list_keepers
        #: Returns the share of the fleet that is heard: the rest may have a keeper too.
        self._find_heard_share = find_heard_share
        self._get_links = get_links
        #: Count a request that is sent to a limited target, and one that gets no
        #: permit.
        self._count_sent = count_sent
        self._count_held_back = count_held_back
        self.table = LimitTable()
        self._usage = PermitUsage()
        #: The targets whose permits this instance keeps.
        self._kept: dict[str, PermitKeeper] = {}
        #: Questions without an answer yet, by number: the target, and the future that
        #: is done with the answer.
        self._questions: dict[int, tuple[str, asyncio.Future[None]]] = {}
        #: The malformed limit that was last logged, by target.
        self._malformed: dict[str, str] = {}

    def list_held_back(self) -> frozenset[str]:
        """Return the targets that get no requests for now."""
        return self._usage.list_held_back(now=self._read_clock())

    def find_wait_s(self) -> float:
        """Return the seconds until a target may get a request again."""
        return self._usage.find_wait_s(now=self._read_clock())

    def find_keeper(self, target: str) -> str | None:
        """Return the name of the instance that keeps the permits of a target."""
        return choose_keeper(target, self._list_keepers())

    async def acquire(self, target: str, *, request_id: str) -> bool:
        """Return whether a request may be sent to a target now.

        If not, the target is held back for some time. Waits for its keeper, for
        `KEEPER_TIMEOUT_S` at most.
        """
        per_s = self.table.find(target)
        if per_s is None:
            return True
        if self._usage.take(target, now=self._read_clock()):
            return True
        keeper = self.find_keeper(target)
        if keeper == self._own:
            self._apply(target, self._grant(target, instance=self._own, per_s=per_s))
        else:
            await self._ask(keeper, target, per_s)
        now = self._read_clock()
        is_granted = self._usage.take(target, now=now)
        if not is_granted:
            self._count_held_back()
            log_event(
                "target_held_back",
                request=request_id,
                target=target,
                per_s=per_s,
                keeper=keeper,
                wait_s=round(self._usage.find_held_back_s(target, now=now), 3),
            )
        return is_granted

    async def _ask(self, keeper: str | None, target: str, per_s: float) -> None:
        """Ask a keeper for permits, and hold the target back if it does not answer."""
        number = None
        if keeper is not None:
            number = self._get_links().ask_permits(
                keeper, target=target, milli_per_s=_count_milli(per_s)
            )
        if number is not None:
            future = asyncio.get_running_loop().create_future()
            self._questions[number] = target, future
            try:
                async with asyncio.timeout(KEEPER_TIMEOUT_S):
                    await future
                return
            except TimeoutError:
                log_event("permit_keeper_silent", keeper=keeper, target=target)
            finally:
                self._questions.pop(number, None)
        until = self._read_clock() + KEEPER_SILENT_DURATION_S
        self._usage.hold_back(target, until=until)

    def handle_granted(self, message: PermitsGranted) -> None:
        """Handle the answer of a keeper; one that is late is not used."""
        question = self._questions.pop(message.number, None)
        if question is None:
            return
        target, future = question
        grant = PermitGrant(count=message.count, wait_s=message.wait_ms / 1000)
        self._apply(target, grant)
        if not future.done():
            future.set_result(None)

    def _apply(self, target: str, grant: PermitGrant) -> None:
        now = self._read_clock()
        if grant.count:
            self._usage.add(target, grant.count, now=now)
        else:
            wait_s = max(MIN_HELD_BACK_S, grant.wait_s)
            self._usage.hold_back(target, until=now + wait_s)

    def grant(
        self, target: str, *, instance: str, number: int, milli_per_s: int
    ) -> PermitsGranted:
        """Return the answer to an instance that asks this one, the keeper."""
        per_s = self.table.find(target)
        if per_s is None:
            # The asker has heard of the limit first.
            per_s = milli_per_s / 1000
        grant = self._grant(target, instance=instance, per_s=per_s)
        wait_ms = math.ceil(grant.wait_s * 1000)
        return PermitsGranted(number=number, count=grant.count, wait_ms=wait_ms)

    def _grant(self, target: str, *, instance: str, per_s: float) -> PermitGrant:
        now = self._read_clock()
        per_s *= self._find_heard_share()
        keeper = self._kept.get(target)
        if keeper is None:
            keeper = self._kept[target] = PermitKeeper(per_s=per_s, now=now)
            log_event("permits_kept", target=target, per_s=per_s)
        keeper.set_limit(per_s, now=now)
        return keeper.grant(instance, draw=random.random(), now=now)

    def record_sent(self, target: str) -> None:
        """Record that a request is being sent to a target."""
        if self.table.find(target) is not None:
            self._count_sent()

    def record_answer(self, target: str, facts: AnswerFacts) -> None:
        """Record what an answer of a target says of its limit.

        A malformed limit says nothing, nor does an answer that may be another's.
        """
        is_own = (facts.is_signed or facts.is_not_run) and not facts.is_misdirected
        if not is_own:
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
        self._kept = {t: keeper for t, keeper in self._kept.items() if t in targets}

    def _log_malformed(self, target: str, text: str) -> None:
        if self._malformed.get(target) == text:
            return
        if len(self._malformed) > len(self._list_targets()):
            self._malformed.clear()
        self._malformed[target] = text
        log_event("target_limit_refused", target=target, text=text[:_MAX_LOGGED_TEXT])


def _count_milli(per_s: float | None) -> int:
    return _UNLIMITED if per_s is None else round(per_s * 1000)

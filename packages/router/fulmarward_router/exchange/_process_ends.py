"""Which processes of targets have ended or are cut off, by what their hosts do.

A process that lives may be silent, frozen, or without an entry, and may break off a
connection. Its host still accepts connections, so that a refused one, or none that is
answered for longer than a sound target is silent, shows more.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from fulmarward.observability import log_event
from fulmarward_core.fleet import TargetRecord
from fulmarward_router.exchange._failure_detector import FailureDetector
from fulmarward_router.exchange._send import ConnectOutcome, try_connection

#: Seconds to wait for a connection, and between two checks of a target.
CHECK_TIMEOUT_S = 0.4
CHECK_INTERVAL_S = 0.1

#: Seconds without an answer to any connection after which a host counts as cut off. At
#: least two are tried in that time, as the first packet of one may be lost.
MIN_UNANSWERED_S = 0.75

#: Seconds for which that holds without another check.
CUT_OFF_DURATION_S = 1.5

#: Upper bound on the processes that are remembered.
MAX_PROCESSES = 1024


@dataclass(kw_only=True)
class _Signs:
    """What the host of a process has done."""

    checked_at: float
    #: Whether it refused a connection, which a process that listens never does.
    is_refused: bool = False
    #: Since when it has answered no connection, `None` if it has answered the last.
    unanswered_since: float | None = None

    def has_ended(self, now: float) -> bool:
        """Return whether the process has ended, or is cut off now."""
        if self.is_refused:
            return True
        if self.unanswered_since is None:
            return False
        is_long = self.checked_at - self.unanswered_since >= MIN_UNANSWERED_S
        return is_long and now - self.checked_at <= CUT_OFF_DURATION_S


class ProcessEnds:
    """What is known of the ends of processes; times are seconds, monotonic."""

    def __init__(self) -> None:
        #: By name of the process, the one that was checked last at the end.
        self._signs: OrderedDict[str, _Signs] = OrderedDict()

    def has_ended(self, target: TargetRecord, *, now: float) -> bool:
        """Return whether the process of a target has ended, or is cut off now."""
        signs = self._signs.get(target.process_name)
        return signs is not None and signs.has_ended(now)

    def find_checked_at(self, target: TargetRecord) -> float:
        """Return when a process was checked last, minus infinity if never."""
        signs = self._signs.get(target.process_name)
        return float("-inf") if signs is None else signs.checked_at

    def record(
        self,
        target: TargetRecord,
        outcome: ConnectOutcome,
        *,
        asked_at: float,
        now: float,
    ) -> None:
        """Record how a connection to a process ended that was begun at `asked_at`.

        An accepted one takes back that the process is cut off. It says nothing against
        a refused one: another process may listen there.
        """
        name = target.process_name
        signs = self._signs.setdefault(name, _Signs(checked_at=now))
        signs.checked_at = now
        self._signs.move_to_end(name)
        if outcome is ConnectOutcome.REFUSED:
            signs.is_refused = True
        if outcome is not ConnectOutcome.UNANSWERED:
            signs.unanswered_since = None
        elif signs.unanswered_since is None:
            signs.unanswered_since = asked_at
        while len(self._signs) > MAX_PROCESSES:
            self._signs.popitem(last=False)


class ProcessEndChecker:
    """Connects to processes to find out whether they have ended.

    What this instance sees counts only if a control accepts a connection meanwhile: an
    isolated instance is refused by healthy targets, or gets no answer from them.
    """

    def __init__(
        self,
        *,
        ends: ProcessEnds,
        failure_detector: FailureDetector,
        read_clock: Callable[[], float],
    ) -> None:
        self._ends = ends
        self._failure_detector = failure_detector
        self._read_clock = read_clock
        #: Running checks by name of the process.
        self._checks: dict[str, asyncio.Task[None]] = {}

    def start(self, targets: Iterable[TargetRecord]) -> list[asyncio.Task[None]]:
        """Start checks of the targets that are due; return all that run for them."""
        checks = []
        for target in targets:
            name = target.process_name
            check = self._checks.get(name)
            if check is None:
                elapsed_s = self._read_clock() - self._ends.find_checked_at(target)
                if elapsed_s < CHECK_INTERVAL_S:
                    continue
                check = self._checks[name] = asyncio.create_task(self._check(target))
            checks.append(check)
        return checks

    async def check(self, targets: Iterable[TargetRecord], *, timeout_s: float) -> None:
        """Check targets; returns after `timeout_s` at the latest."""
        checks = self.start(targets)
        if checks:
            await asyncio.wait(checks, timeout=timeout_s)

    async def _check(self, target: TargetRecord) -> None:
        try:
            asked_at = self._read_clock()
            outcome, has_control = await asyncio.gather(
                try_connection(target.address, timeout_s=CHECK_TIMEOUT_S),
                self._failure_detector.is_control_reached(
                    target.name, timeout_s=CHECK_TIMEOUT_S
                ),
            )
            now = self._read_clock()
            had_ended = self._ends.has_ended(target, now=now)
            if has_control or outcome is ConnectOutcome.ACCEPTED:
                self._ends.record(target, outcome, asked_at=asked_at, now=now)
            has_ended = self._ends.has_ended(target, now=now)
            if has_ended != had_ended:
                log_event(
                    "process_end_changed",
                    target=target.name,
                    process=target.process_name,
                    has_ended=has_ended,
                    outcome=outcome.value,
                )
        except Exception as error:
            log_event("internal_error_caught", exc_info=error, request=None)
        finally:
            del self._checks[target.process_name]

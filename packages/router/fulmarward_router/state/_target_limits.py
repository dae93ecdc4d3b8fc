"""Which targets have named a limit."""

from collections.abc import Callable, Collection

from fulmarward.observability import log_event
from fulmarward_core.target_limits import MAX_LIMIT_PER_S, LimitTable
from fulmarward_router.ports import AnswerFacts

#: Upper bound on the text of a malformed limit in a log line.
_MAX_LOGGED_TEXT = 32


class TargetLimits:
    """The limits of the targets, and how many requests limited ones were sent."""

    def __init__(
        self,
        *,
        read_clock: Callable[[], float],
        list_targets: Callable[[], Collection[str]],
        count_sent: Callable[[], None],
    ) -> None:
        self._read_clock = read_clock
        #: Returns the names of the targets in the fleet.
        self._list_targets = list_targets
        #: Counts a request that is sent to a limited target.
        self._count_sent = count_sent
        self.table = LimitTable()
        #: The malformed limit that was last logged, by target.
        self._malformed: dict[str, str] = {}

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
        before = self.table.find(target)
        now = self._read_clock()
        if self.table.record(target, per_s=per_s, observed_at=now):
            self._log_change(target, before, source="own")
            self.table.retain(self._list_targets())

    def _log_change(self, target: str, before: float | None, *, source: str) -> None:
        log_event(
            "target_limit_changed",
            target=target,
            before=before,
            per_s=self.table.find(target),
            source=source,
        )

    def _log_malformed(self, target: str, text: str) -> None:
        if self._malformed.get(target) == text:
            return
        if len(self._malformed) > len(self._list_targets()):
            self._malformed.clear()
        self._malformed[target] = text
        log_event("target_limit_refused", target=target, text=text[:_MAX_LOGGED_TEXT])

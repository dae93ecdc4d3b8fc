"""Rejects requests whose prompts crash targets, and records crashes under requests."""

from collections.abc import Callable

from fulmarward.observability import log_event
from fulmarward_core.poison import (
    MIN_PROVEN_EVENTS,
    SUSPENSION_S,
    PoisonFinding,
    Verdict,
)
from fulmarward_core.results import ResultCode
from fulmarward_router.exchange._attempt import Attempt, AttemptFailed, Progress
from fulmarward_router.exchange._context import ServiceContext
from fulmarward_router.exchange._failure_detector import FailureDetector
from fulmarward_router.exchange._request_state import (
    RejectedRequest,
    RequestState,
    TruncatedResponse,
)

#: Seconds to wait for the confirmation that a target has ended.
CONFIRM_CRASH_TIMEOUT_S = 0.4

#: Shortest retry delay, in seconds, of a request whose prompt is suspended.
MIN_RETRY_S = 0.1


class CrashMonitor:
    """Relates crashes of targets to the parts of the prompts that they were given."""

    def __init__(
        self,
        *,
        context: ServiceContext,
        failure_detector: FailureDetector,
        count_crash: Callable[[str, str], None],
    ) -> None:
        self._context = context
        self._poison = context.poison
        self._catalogue = context.catalogue
        self._suspicions = context.suspicions
        self._contacts = context.contacts
        self._read_clock = context.read_clock
        self._failure_detector = failure_detector
        #: Counts a target that crashed under a request, by service and progress.
        self._count_crash = count_crash

    async def admit(self, state: RequestState) -> None:
        """Check a request before its first attempt; raises as `check` does."""
        if state.facts.shared_parts:
            await self._poison.await_current()
            self.check(state)

    def check(self, state: RequestState) -> None:
        """Check a request before each attempt.

        Raises `RejectedRequest` if its prompt crashes targets, or `TruncatedResponse`
        if the response has started.
        """
        finding = self._poison.find_rejection(
            state.facts.shared_parts, team=state.team_name
        )
        if finding is None:
            return
        patterns = ", ".join(sorted(finding.patterns))
        cause = f"targets crash under the prompt part {patterns}"
        log_event(
            "crash_pattern_matched",
            request=state.facts.request_id,
            patterns=sorted(finding.patterns),
            verdict=finding.verdict.value,
            evidence=finding.evidence,
            last_crash_s_ago=round(self._read_clock() - finding.last_crash_at, 3),
            attempts=state.attempts,
        )
        if state.has_begun:
            raise TruncatedResponse(cause=cause)
        raise self._make_rejection(state, finding, cause)

    def _make_rejection(
        self, state: RequestState, finding: PoisonFinding, cause: str
    ) -> RejectedRequest:
        """Return the answer; only one that may change soon invites a retry."""
        has_run = state.runs > 0
        if finding.verdict is Verdict.BLOCKED:
            crashed, blocked = ResultCode.PROMPT_CRASHED, ResultCode.PROMPT_BLOCKED
            return RejectedRequest(crashed if has_run else blocked, cause=cause)
        left_s = finding.last_crash_at + SUSPENSION_S - self._read_clock()
        retry_after_s = max(MIN_RETRY_S, left_s)
        if has_run:
            return self._context.make_rejection(
                state, cause=cause, retry_after_s=retry_after_s
            )
        return RejectedRequest(
            ResultCode.PROMPT_SUSPENDED, cause=cause, retry_after_s=retry_after_s
        )

    def record_events(self, state: RequestState, attempt: Attempt) -> None:
        """Record how many events of an attempt have arrived."""
        if not attempt.is_proven and attempt.events >= MIN_PROVEN_EVENTS:
            self.record_proven(state, attempt)

    def record_proven(self, state: RequestState, attempt: Attempt) -> None:
        """Record that a target has written enough, or all, of a response."""
        attempt.is_proven = True
        if state.facts.shared_parts:
            self._poison.record_proven(
                state.facts.shared_parts, request_id=state.facts.request_id
            )

    async def examine(
        self, state: RequestState, attempt: Attempt, failure: AttemptFailed
    ) -> None:
        """Record the crash of a target that broke off its response, if it was one.

        The target is probed beside controls: it may have broken off this response
        alone, or this instance may have lost its link.
        """
        if not failure.is_broken_off or attempt.is_proven:
            return
        if not state.facts.shared_parts:
            return
        target = attempt.first.target
        record = self._catalogue.find_target(target)
        if record is None or record.is_leaving:
            return
        left_s = state.count_left(self._read_clock())
        await self._failure_detector.probe_again(
            target, timeout_s=min(left_s, CONFIRM_CRASH_TIMEOUT_S)
        )
        now = self._read_clock()
        has_ended = self._suspicions.is_unreachable(target, now=now) or (
            self._catalogue.find_target(target) is None
        )
        has_crashed = has_ended and self._contacts.is_reached(state.service)
        log_event(
            "broken_attempt_examined",
            request=state.facts.request_id,
            target=target,
            has_crashed=has_crashed,
            progress=attempt.progress.value,
            events=attempt.events,
            team=state.team_name,
            fingerprint=state.fingerprint,
        )
        if not has_crashed:
            return
        self._count_crash(state.service, attempt.progress.value)
        self._poison.record_crash(
            target=target,
            team=state.team_name,
            patterns=state.facts.shared_parts,
            is_strong=attempt.progress is Progress.NO_EVENT,
        )

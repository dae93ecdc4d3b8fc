"""Rejects requests that crash targets, and records crashes under requests."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from fulmarward.observability import log_event
from fulmarward_core.fleet import TargetRecord
from fulmarward_core.poison import (
    MIN_PROVEN_EVENTS,
    SUSPENSION_S,
    PoisonFinding,
    Verdict,
    find_head_fingerprint,
)
from fulmarward_core.results import ResultCode
from fulmarward_router.exchange._answered_requests import AnsweredRequests
from fulmarward_router.exchange._attempt import Attempt, AttemptFailed, Progress
from fulmarward_router.exchange._context import ServiceContext
from fulmarward_router.exchange._failure_detector import FailureDetector
from fulmarward_router.exchange._request_state import (
    CutCause,
    RejectedRequest,
    RequestState,
    TruncatedResponse,
)

#: Seconds to wait for the confirmation that a target has ended.
CONFIRM_CRASH_TIMEOUT_S = 0.4

#: Seconds since a target was heard from in which it must have ended itself, although
#: this instance reaches no other target of the service: all of them may have ended.
MAX_CONTACT_AGE_S = 1.0

#: Shortest retry delay, in seconds, of a request whose prompt is suspended.
MIN_RETRY_S = 0.1

#: Codes of requests that have not run and that have, by whether a whole request is
#: blocked or a part of its prompt.
_BLOCKED_CODES = {
    (False, False): ResultCode.PROMPT_BLOCKED,
    (False, True): ResultCode.PROMPT_CRASHED,
    (True, False): ResultCode.REQUEST_BLOCKED,
    (True, True): ResultCode.REQUEST_CRASHED,
}


@dataclass(frozen=True, kw_only=True)
class BrokenResponse:
    """A response that its target broke off."""

    #: The target as it was known when the request was sent.
    target: TargetRecord
    progress: Progress
    #: Number of complete events that had arrived.
    events: int
    #: When the target was last heard from, and when the response broke off, in seconds
    #: on the monotonic clock.
    heard_at: float
    broken_at: float


class CrashMonitor:
    """Relates crashes of targets to the requests that they were given."""

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
        self._answered = AnsweredRequests()
        #: Running examinations that no request waits for.
        self._examinations: set[asyncio.Task] = set()

    async def admit(self, state: RequestState) -> None:
        """Check a request before its first attempt; raises as `check` does."""
        await self._poison.await_current()
        self.check(state)

    def check(self, state: RequestState) -> None:
        """Check a request before each attempt.

        Raises `RejectedRequest` if it crashes targets, or `TruncatedResponse` if the
        response has started.
        """
        finding = self._find_rejection(state)
        if finding is None:
            return
        is_request = _names_requests(finding.patterns)
        patterns = ", ".join(sorted(finding.patterns))
        what = "this request" if is_request else "the prompt part"
        cause = f"targets crash under {what} {patterns}"
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
            raise TruncatedResponse(CutCause.CRASHES_TARGETS, detail=cause)
        raise self._make_rejection(state, finding, cause)

    async def await_clearance(self, state: RequestState, *, until: float) -> None:
        """Check a request as `check` does, once its suspension has ended.

        A started response waits for that, until `until` at most, since its caller
        cannot be asked to retry.
        """
        while state.has_begun:
            finding, now = self._find_rejection(state), self._read_clock()
            if finding is None or finding.verdict is Verdict.BLOCKED or now >= until:
                break
            left_s = finding.last_crash_at + SUSPENSION_S - now
            await asyncio.sleep(min(max(MIN_RETRY_S, left_s), until - now))
        self.check(state)

    def _find_rejection(self, state: RequestState) -> PoisonFinding | None:
        """Return why a request is rejected, `None` if it is not.

        A response that is proven to crash no target is not the cause of any crash.
        """
        if state.is_proven:
            return None
        return self._poison.find_rejection(
            self._list_known_patterns(state), team=state.team_name
        )

    def _list_known_patterns(self, state: RequestState) -> list[str]:
        """Return the patterns of a request that may have records.

        Its body is not read unless a request with the same head has some.
        """
        patterns = list(state.facts.shared_parts)
        heads = self._poison.request_heads
        if heads and state.head_fingerprint in heads:
            patterns.append(state.fingerprint)
        return patterns

    def _make_rejection(
        self, state: RequestState, finding: PoisonFinding, cause: str
    ) -> RejectedRequest:
        """Return the answer; only one that may change soon invites a retry."""
        has_run = state.runs > 0
        if finding.verdict is Verdict.BLOCKED:
            is_request = _names_requests(finding.patterns)
            return RejectedRequest(_BLOCKED_CODES[is_request, has_run], cause=cause)
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
            attempt.is_proven = state.is_proven = True
            self.record_proven(state)

    def record_proven(self, state: RequestState) -> None:
        """Record that a target has written enough, or all, of a response."""
        self._answered.record(state, now=self._read_clock())
        patterns = self._list_known_patterns(state)
        if patterns:
            self._poison.record_proven(patterns, request_id=state.facts.request_id)

    async def examine_attempt(
        self, state: RequestState, attempt: Attempt, failure: AttemptFailed
    ) -> None:
        """Examine an attempt at a stream, unless it was ended by this instance."""
        broken = self._find_broken(attempt, failure)
        if broken is not None:
            await self.examine(state, broken)

    def start_attempt_examination(
        self, state: RequestState, attempt: Attempt, failure: AttemptFailed
    ) -> None:
        """Examine an attempt as `examine_attempt` does, while its stream goes on."""
        broken = self._find_broken(attempt, failure)
        if broken is not None:
            self.start_examination(state, broken)

    def _find_broken(
        self, attempt: Attempt, failure: AttemptFailed
    ) -> BrokenResponse | None:
        """Return what its target broke off, `None` if there is nothing to examine."""
        if not failure.is_broken_off or attempt.is_proven or attempt.record is None:
            return None
        return BrokenResponse(
            target=attempt.record,
            progress=attempt.progress,
            events=attempt.events,
            heard_at=attempt.last_activity_at,
            broken_at=self._read_clock(),
        )

    def start_examination(self, state: RequestState, broken: BrokenResponse) -> None:
        """Examine a broken response while its request goes on."""
        task = asyncio.create_task(self.examine(state, broken))
        self._examinations.add(task)
        task.add_done_callback(self._handle_examined)

    def _handle_examined(self, task: asyncio.Task) -> None:
        self._examinations.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log_event("internal_error_caught", exc_info=task.exception(), request=None)

    async def examine(self, state: RequestState, broken: BrokenResponse) -> None:
        """Record the crash of a target that broke off its response, if it was one.

        The target is probed beside controls: it may have broken off this response
        alone, or this instance may have lost its link.
        """
        target = broken.target.name
        record = self._catalogue.find_target(target)
        if record is None or record.is_leaving:
            return
        left_s = state.count_left(self._read_clock())
        await self._failure_detector.probe_again(
            target, timeout_s=min(left_s, CONFIRM_CRASH_TIMEOUT_S)
        )
        patterns = self._list_suspects(state, broken) if self._has_ended(broken) else []
        log_event(
            "broken_attempt_examined",
            request=state.facts.request_id,
            target=target,
            has_crashed=bool(patterns),
            progress=broken.progress.value,
            events=broken.events,
            team=state.team_name,
            fingerprint=state.fingerprint,
        )
        if not patterns:
            return
        self._count_crash(state.service, broken.progress.value)
        answered_at = self._answered.find_answered_at(state)
        if answered_at is not None:
            self._poison.record_answered(state.fingerprint, at=answered_at)
        self._poison.record_crash(
            target=broken.target.process_name,
            team=state.team_name,
            patterns=patterns,
            is_strong=broken.progress is Progress.NO_EVENT,
            at=broken.broken_at,
        )

    def _has_ended(self, broken: BrokenResponse) -> bool:
        """Return whether the process of a target that was probed has ended."""
        target = broken.target
        return self._catalogue.has_ended(target) or self._suspicions.is_unreachable(
            target.name, now=self._read_clock()
        )

    def _list_suspects(self, state: RequestState, broken: BrokenResponse) -> list[str]:
        """Return the patterns of a request that may have crashed its target.

        None if this instance may have been isolated from the service when the response
        broke off. A part, which many requests have, is no candidate while none of the
        targets is reached.
        """
        if self._contacts.is_reached(state.service):
            return [*state.facts.shared_parts, state.fingerprint]
        has_contact = broken.broken_at - broken.heard_at <= MAX_CONTACT_AGE_S
        return [state.fingerprint] if has_contact else []


def _names_requests(patterns: Iterable[str]) -> bool:
    return any(find_head_fingerprint(pattern) is not None for pattern in patterns)

"""Measures attempts: updates a target's latency, speed and failure statistics."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from fulmarward._instance import Instance
from fulmarward.admission import find_pool
from fulmarward.answers import Answer
from fulmarward.requests._completion_request import CompletionRequest
from fulmarward_core.performance import (
    note_failure,
    note_first_token,
    note_refusal,
    note_speed,
    note_success,
)
from fulmarward_core.results import Failure, ResultCode
from fulmarward_core.routing import TargetView, estimate_load

#: Seconds without a first token after which a cancelled attempt counts as a failure of
#: its target. Otherwise the requests of a frozen engine would pass their deadlines
#: one by one without being counted against it. The value is the longest promised time
#: to first token; the target is still compared with its peers before it is set aside.
FIRST_TOKEN_TIMEOUT_S = 2.0


@dataclass(kw_only=True)
class Measurement:
    """Timing and outcome of one attempt."""

    view: TargetView
    #: When it was sent and when its first and last tokens came, monotonic clock.
    sent_at: float
    first_at: float = 0.0
    last_at: float = 0.0
    #: Number of tokens received.
    tokens: int = 0
    #: Whether the attempt ended by itself, and its failure, if any.
    has_ended: bool = False
    failure: Failure | None = None


@contextmanager
def measure_attempt(
    instance: Instance, work: CompletionRequest, answer: Answer, view: TargetView
) -> Iterator[Measurement]:
    """Measure the attempt that runs inside the context."""
    measured = Measurement(view=view, sent_at=instance.read_clock())

    def record_tokens(tokens: int) -> None:
        _record_tokens(instance, work, measured, tokens)

    answer.on_texts = record_tokens
    try:
        yield measured
    finally:
        answer.on_texts = None
        _record_end(instance, measured)


def _record_tokens(
    instance: Instance, work: CompletionRequest, measured: Measurement, tokens: int
) -> None:
    now = instance.read_clock()
    if not measured.tokens:
        measured.first_at = now
        _record_first_token(instance, work, measured, now)
    measured.tokens += tokens
    measured.last_at = now


def _record_first_token(
    instance: Instance, work: CompletionRequest, measured: Measurement, now: float
) -> None:
    view = measured.view
    pool = find_pool(instance.admission, work.pipeline.model)
    ticket = pool.running.get(work.request)
    note_first_token(
        view.performance,
        slots=view.target.slots,
        in_flight=view.in_flight,
        load=estimate_load(view, now=now),
        waited_s=now - measured.sent_at,
        prompt_tokens=len(work.prompt.split()),
        is_lent=ticket is not None and ticket.is_lent,
        now=now,
    )


def _record_end(instance: Instance, measured: Measurement) -> None:
    view, now = measured.view, instance.read_clock()
    failure = measured.failure
    if not measured.has_ended:
        _record_cancellation(measured, now)
    elif failure is None:
        streamed_s = measured.last_at - measured.first_at
        note_success(view.performance, tokens=measured.tokens, streamed_s=streamed_s)
    elif failure.code is ResultCode.TARGET_REFUSED:
        note_refusal(view.performance, slots=view.target.slots, now=now)
    else:
        note_failure(view.performance, slots=view.target.slots, now=now)


def _record_cancellation(measured: Measurement, now: float) -> None:
    """Record an attempt that was cancelled before its answer was complete."""
    view = measured.view
    if measured.tokens:
        streamed_s = measured.last_at - measured.first_at
        note_speed(view.performance, tokens=measured.tokens, streamed_s=streamed_s)
    elif now - measured.sent_at > FIRST_TOKEN_TIMEOUT_S:
        note_failure(view.performance, slots=view.target.slots, now=now)
